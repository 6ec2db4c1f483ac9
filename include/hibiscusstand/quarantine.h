// Detects targets, such as workers, that fail work which succeeds on others, and quarantines them: they get only
// occasional probes until one succeeds. Without this a target that fails immediately is always free and attracts ever
// more work.
//
// Each failure is weighted by the usual failure share of its class on the other targets, so that a job that fails
// everywhere does not count against the target it failed on. At most a third of the targets, but at least one of two or
// more, can be quarantined at once.
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

// The state of one target, for operators.
struct QuarantineState {
  bool quarantined = false;
  int failures = 0;            // Distinct requests that failed since the last success.
  Duration quarantined_for{};  // Time since it was quarantined.
  Duration probe_in{};         // Time until the next probe is due; 0 if it is due.

  friend bool operator==(const QuarantineState&, const QuarantineState&) = default;
};

class Quarantine {
 public:
  // Records the end of a run on the target. Of the failures of one request on one target only the first counts; a
  // request that failed on several targets counts little against each.
  void RecordSuccess(const std::string& target, const std::string& class_name, TimePoint now);
  void RecordFailure(const std::string& target,
                     const std::string& class_name,
                     const std::string& request,
                     TimePoint now);

  // Sets the number of targets, quarantined or not. With fewer than two, none is quarantined.
  void SetTargetCount(size_t targets);
  // Releases targets that were not probed for five minutes. Call it periodically.
  void ReleaseUnprobed(TimePoint now);
  // Removes a target and its history.
  void Forget(const std::string& target);

  bool IsQuarantined(const std::string& target) const { return quarantined_.contains(target); }
  // Returns true for a quarantined target whose next probe is due, and starts the probe: the caller must then send it
  // one run, which must be safe to run twice.
  bool TakeProbe(const std::string& target, TimePoint now);

  // True for a target with evidence worth about two failures, quarantined or not. Don't use it for work that must not
  // run twice.
  bool IsUnreliable(const std::string& target) const;
  // Targets with any evidence against them.
  const std::set<std::string>& suspects() const { return suspects_; }
  const std::set<std::string>& quarantined() const { return quarantined_; }
  // Targets on which this request failed in the last two minutes or so.
  std::vector<std::string> TargetsFailedOn(const std::string& request) const;

  QuarantineState StateOf(const std::string& target, TimePoint now) const;

 private:
  // Numbers of ended runs. Both are halved at a limit, so that old runs count less.
  struct RunCounts {
    double all = 0;
    double failed = 0;

    void Add(bool failure);
  };

  struct Target {
    double evidence = 0;  // Sum of log-likelihood ratios of the target being bad; at least 0.
    int failures = 0;     // Since the last success.
    Duration probe_interval = kMinProbeInterval;
    TimePoint waiting_since{};   // When it was quarantined or last probed.
    TimePoint quarantined_at{};  // When it was quarantined.
    TimePoint next_probe{};      // Valid while quarantined.
  };

  // A failed request, and the evidence it added against each target.
  struct FailedRequest {
    std::map<std::string, double> weights;
    TimePoint at{};
  };

  static constexpr Duration kMinProbeInterval = 1s;

  double UsualFailureShare(const std::string& target, const std::string& class_name) const;
  void UpdateState(const std::string& target, TimePoint now);
  void Release(const std::string& target);
  void ForgetOldRequests(TimePoint now);
  size_t MaxQuarantined() const;

  size_t target_count_ = 0;
  std::map<std::string, Target> targets_;
  std::map<std::string, std::map<std::string, RunCounts>> run_counts_;  // By class and target.
  std::map<std::string, FailedRequest> requests_;
  std::deque<std::string> requests_by_age_;  // Keys of `requests_`, the oldest first.
  std::set<std::string> quarantined_;
  std::set<std::string> suspects_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_QUARANTINE_H_
