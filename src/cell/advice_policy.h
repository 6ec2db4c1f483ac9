// Decides when to call the advice service and through which host. The service processes the calls of each host
// sequentially, so in a full cell these calls are the bottleneck. Performs no I/O.
#ifndef HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_

#include <compare>
#include <cstddef>
#include <vector>

#include "cell/values.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// Expected load of one host's call queue at the service.
struct AdviceQueue {
  TimePoint busy_until{};
  TimePoint avoid_until{};  // Set after the host left a call unanswered.

  friend auto operator<=>(const AdviceQueue&, const AdviceQueue&) = default;
};

// The call queues of all hosts, in a fixed order.
class AdviceQueues {
 public:
  AdviceQueues() = default;
  explicit AdviceQueues(std::vector<AdviceQueue> queues) : queues_(std::move(queues)) {}

  const std::vector<AdviceQueue>& queues() const { return queues_; }
  // Returns true if a call made now would start soon enough: tickets are valid for little more than a second.
  bool CanQueueCall(TimePoint now) const;
  // Returns true if a call made now would wait for others.
  bool IsBusy(TimePoint now) const;
  // Returns true if more than half of the hosts have no call in progress.
  bool IsMostlyIdle(TimePoint now) const { return HasIdleShare(now, 2); }
  // Returns true if more than a quarter of the hosts have no call in progress: short calls seldom wait.
  bool IsPartlyIdle(TimePoint now) const { return HasIdleShare(now, 4); }
  // Adds a call to the queue that is free earliest and returns the index of that queue. There must be at least one.
  size_t Assign(TimePoint now, Duration expected_time);
  void Avoid(size_t queue, TimePoint until) { queues_[queue].avoid_until = until; }

  friend bool operator==(const AdviceQueues&, const AdviceQueues&) = default;

 private:
  size_t FindEarliestFree(TimePoint now) const;  // Returns queues_.size() if there is none.
  bool HasIdleShare(TimePoint now, size_t divisor) const;

  std::vector<AdviceQueue> queues_;
};

// Expected duration of a call about this many workers.
Duration ExpectedCallTime(const AdviceSpec& spec, size_t workers);

// Decides whether to request tickets for these workers now, or later in one batch with workers that become free
// meanwhile: while the queues are busy, a call for few workers delays others. For wide steps of small tasks in a full
// cell, where capacity frees up one task at a time. Baseline: request at once.
bool ShouldAskForTickets(size_t workers, int waiting, bool queues_busy, Duration since_last);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
