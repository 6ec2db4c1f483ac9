// Detects targets, such as backend servers, that are slow compared with their peers. Callers avoid a slow target while
// others can serve, except for an occasional trial request whose time shows whether the target has recovered.
#ifndef HIBISCUSSTAND_OUTLIER_DETECTOR_H_
#define HIBISCUSSTAND_OUTLIER_DETECTOR_H_

#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

class OutlierDetector {
 public:
  // Records a call to the target that took `ratio` times the usual run time of its class.
  void Record(const std::string& target, double ratio);

  // Recomputes which targets are slow. Call it periodically; the cost is linear in the number of targets.
  void UpdateSlowTargets();

  bool IsSlow(const std::string& target) const;
  // Returns the mean ratio of the target's run times to the usual ones; 1 if unknown.
  double Slowness(const std::string& target) const;

  // Returns true if the target is slow and a trial is due, at most every 500 ms: send it one request.
  bool TakeTrial(const std::string& target, TimePoint now);

  // Removes a target and its history.
  void Forget(const std::string& target) { targets_.erase(target); }

 private:
  struct Target {
    double ratio = 1;  // Exponentially decaying mean.
    int samples = 0;
    bool slow = false;
    TimePoint next_trial{};
  };

  double median_ = 1;
  std::map<std::string, Target> targets_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_OUTLIER_DETECTOR_H_
