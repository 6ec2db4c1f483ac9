// Mean run times by class, learned from completed runs, because declared run times are often far off.
#ifndef HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_
#define HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_

#include <algorithm>
#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

class RunTimes {
 public:
  void Learn(const std::string& class_name, Duration run_time) {
    Mean& mean = means_[class_name];
    mean.samples = std::min(mean.samples + 1, kMaxSamples);
    mean.seconds += (std::chrono::duration<double>(run_time).count() - mean.seconds) / mean.samples;
  }

  // Returns the mean in seconds; `fallback` before the first completed run of the class.
  double Seconds(const std::string& class_name, double fallback) const {
    const auto mean = means_.find(class_name);
    return mean == means_.end() ? fallback : mean->second.seconds;
  }

 private:
  static constexpr int kMaxSamples = 100;  // Beyond it the mean decays exponentially.

  struct Mean {
    double seconds = 0;
    int samples = 0;
  };

  std::map<std::string, Mean> means_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_RUN_TIMES_H_
