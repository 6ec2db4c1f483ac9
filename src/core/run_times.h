// Run times learned from completions, by class. Declared ones are often far off.
#ifndef HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_
#define HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_

#include <algorithm>
#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

class RunTimes {
 public:
  void Learn(const std::string& class_name, Duration took) {
    Mean& mean = means_[class_name];
    mean.samples = std::min(mean.samples + 1, kMemory);
    mean.seconds += (std::chrono::duration<double>(took).count() - mean.seconds) / mean.samples;
  }

  // Mean in seconds; `unknown` if nothing of the class has ended yet.
  double Seconds(const std::string& class_name, double unknown) const {
    const auto mean = means_.find(class_name);
    return mean == means_.end() ? unknown : mean->second.seconds;
  }

 private:
  static constexpr int kMemory = 100;  // Completions that a mean rests on.

  struct Mean {
    double seconds = 0;
    int samples = 0;
  };

  std::map<std::string, Mean> means_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_
