// Notices targets, such as backend servers, that are slow beside their peers. A slow one is to be avoided while others
// can serve, but for one trial now and then, whose time decides whether it is sound again.
#ifndef HIBISCUSSTAND_OUTLIER_DETECTOR_H_
#define HIBISCUSSTAND_OUTLIER_DETECTOR_H_

#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

class OutlierDetector {
 public:
  // A call to the target took `ratio` times what is usual for its class.
  void Record(const std::string& target, double ratio);

  // Recomputes who is slow. Call it now and then; it costs a sort of the targets.
  void Judge();

  bool IsSlow(const std::string& target) const;
  // How many times slower than usual; 1 if nothing is known.
  double Slowness(const std::string& target) const;

  // True, at most once in a while for each slow target: let one request through.
  bool TakeTrial(const std::string& target, TimePoint now);

  void Forget(const std::string& target) { targets_.erase(target); }

 private:
  struct Target {
    double ratio = 1;  // Decayed mean.
    int samples = 0;
    bool slow = false;
    TimePoint next_trial{};
  };

  double median_ = 1;
  std::map<std::string, Target> targets_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_OUTLIER_DETECTOR_H_
