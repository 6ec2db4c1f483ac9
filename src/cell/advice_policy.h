// When a call to the advice service is worth its time, and through which host it goes. The service serves the calls of
// each host one after the other, so that in a full cell calls are what work waits for. No I/O.
#ifndef HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_

#include <compare>
#include <cstddef>
#include <vector>

#include "cell/values.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// The calls that one host has at the service, by what they are expected to take.
struct AdviceQueue {
  TimePoint busy_until{};
  TimePoint avoid_until{};  // The host left a call unanswered lately.

  friend auto operator<=>(const AdviceQueue&, const AdviceQueue&) = default;
};

// The queues of all hosts, in a fixed order.
class AdviceQueues {
 public:
  AdviceQueues() = default;
  explicit AdviceQueues(std::vector<AdviceQueue> queues) : queues_(std::move(queues)) {}

  const std::vector<AdviceQueue>& queues() const { return queues_; }
  // Whether a call made now would be answered soon: tickets are good for little more than a second.
  bool CanQueueCall(TimePoint now) const;
  // Whether a call made now would have to wait for others.
  bool IsBusy(TimePoint now) const;
  // Whether more than half of the hosts have no call under way.
  bool IsMostlyIdle(TimePoint now) const;
  // Puts a call into the queue that is free soonest; returns that queue's place. There must be one.
  size_t Assign(TimePoint now, Duration expected_time);
  void Avoid(size_t queue, TimePoint until) { queues_[queue].avoid_until = until; }

  friend bool operator==(const AdviceQueues&, const AdviceQueues&) = default;

 private:
  size_t FindEarliestFree(TimePoint now) const;  // The number of queues if there is none.

  std::vector<AdviceQueue> queues_;
};

// What a call about so many workers takes.
Duration ExpectedCallTime(const AdviceSpec& spec, size_t workers);

// Whether tickets for these workers are asked for now, or later with those that get room meanwhile: while the queues
// are busy, a call for little keeps others waiting. Answers wide steps of small tasks in a full cell, where room comes
// one task at a time. Baseline: at once.
bool ShouldAskForTickets(size_t workers, int waiting, bool queues_busy, Duration since_last);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
