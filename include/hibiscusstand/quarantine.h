// Notices targets, such as workers, that fail what others run well, and keeps them out of use but for a probe now and
// then, until one succeeds. A target that fails at once is always free, so that it would draw ever more work.
//
// Each failure is weighed against the usual failure share of its class at the other targets, so that a job which fails
// everywhere is not held against the target that it fails on. At most a share of the targets is quarantined at once.
#ifndef HIBISCUSSTAND_QUARANTINE_H_
#define HIBISCUSSTAND_QUARANTINE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hibiscusstand/clock.h"

namespace hibiscus {

// How a target stands, for operators.
struct QuarantineState {
  bool quarantined = false;
  int failures = 0;            // Distinct requests that failed since the last success.
  Duration quarantined_for{};  // If quarantined.
  Duration probe_in{};         // If quarantined: until a probe may go out.

  friend bool operator==(const QuarantineState&, const QuarantineState&) = default;
};

class Quarantine {
 public:
  // A run that ended well on the target, or failed. Of the failures of one request on one target only the first counts;
  // a request that failed on several targets counts little against each.
  void RecordSuccess(const std::string& target, const std::string& class_name, TimePoint now);
  void Failed(const std::string& target, const std::string& class_name, const std::string& request, TimePoint now);

  // How many targets are in use or quarantined. With fewer than two nothing is quarantined.
  void SetTargetCount(size_t targets);
  // Lets go what could not be probed for long. Call it now and then.
  void Judge(TimePoint now);
  void Forget(const std::string& target);

  bool IsQuarantined(const std::string& target) const { return quarantined_.contains(target); }
  // True for a quarantined target whose next probe is due: let one run through that may run twice.
  bool TakeProbe(const std::string& target, TimePoint now);

  // Targets on which several requests failed and none has succeeded since, quarantined or not: to be kept from work
  // that runs once only.
  bool IsUnreliable(const std::string& target) const;
  const std::set<std::string>& suspects() const { return suspects_; }
  const std::set<std::string>& quarantined() const { return quarantined_; }
  // Where this request failed lately.
  std::vector<std::string> TargetsFailedOn(const std::string& request) const;

  QuarantineState StateOf(const std::string& target, TimePoint now) const;

 private:
  // Ended runs, halved now and then.
  struct Ends {
    double all = 0;
    double failed = 0;

    void Add(bool failure);
  };

  struct Target {
    double evidence = 0;  // Of being bad: a sum of logarithms of likelihood ratios, never below zero.
    int failures = 0;     // Since the last success.
    Duration pause = kFirstPause;
    TimePoint since{};       // Quarantined since, or last probed.
    TimePoint entered{};     // Quarantined since.
    TimePoint next_probe{};  // If quarantined.
  };

  // A request that failed, and what that counted against each target.
  struct FailedRequest {
    std::map<std::string, double> counted;
    TimePoint at{};
  };

  static constexpr Duration kFirstPause = 1s;

  double UsualShare(const std::string& target, const std::string& class_name) const;
  void UpdateState(const std::string& target, TimePoint now);
  void Release(const std::string& target);
  void ForgetOldRequests(TimePoint now);
  size_t Most() const;

  size_t size_ = 0;
  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, Ends>> ends_;  // By class and target.
  std::map<std::string, FailedRequest> requests_;
  std::deque<std::string> by_age_;  // Keys of `requests_`, the oldest first.
  std::set<std::string> quarantined_;
  std::set<std::string> suspects_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_QUARANTINE_H_
