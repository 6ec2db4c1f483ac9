#include "cell/advice_policy.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

constexpr size_t kFullBatchWorkers = 6;    // A batch of this size is sent at once, however many tasks wait.
constexpr Duration kMaxBatchDelay = 1s;    // How long a batch waits for more free workers.
constexpr Duration kMaxQueueTime = 300ms;  // Longest acceptable wait of a new call in a host's queue.

}  // namespace

size_t AdviceQueues::FindEarliestFree(TimePoint now) const {
  const auto has_priority = [now](const AdviceQueue& a, const AdviceQueue& b) {
    const bool avoid_a = a.avoid_until > now;
    const bool avoid_b = b.avoid_until > now;
    return avoid_a != avoid_b ? avoid_b : a.busy_until < b.busy_until;
  };
  return static_cast<size_t>(std::min_element(queues_.begin(), queues_.end(), has_priority) - queues_.begin());
}

bool AdviceQueues::CanQueueCall(TimePoint now) const {
  const size_t queue = FindEarliestFree(now);
  return queue == queues_.size() || queues_[queue].busy_until - now < kMaxQueueTime;
}

bool AdviceQueues::IsBusy(TimePoint now) const {
  const size_t queue = FindEarliestFree(now);
  return queue != queues_.size() && queues_[queue].busy_until > now;
}

bool AdviceQueues::HasIdleShare(TimePoint now, size_t divisor) const {
  const auto idle =
      std::count_if(queues_.begin(), queues_.end(), [now](const AdviceQueue& each) { return each.busy_until <= now; });
  return static_cast<size_t>(idle) * divisor > queues_.size();
}

size_t AdviceQueues::Assign(TimePoint now, Duration expected_time) {
  const size_t queue = FindEarliestFree(now);
  queues_[queue].busy_until = std::max(now, queues_[queue].busy_until) + expected_time;
  return queue;
}

Duration ExpectedCallTime(const AdviceSpec& spec, size_t workers) {
  return spec.base + spec.per_worker * static_cast<int64_t>(workers);
}

bool ShouldAskForTickets(size_t workers, int waiting, bool queues_busy, Duration since_last) {
  const size_t full_batch = std::min(static_cast<size_t>(std::max(waiting, 0)), kFullBatchWorkers);
  return workers > 0 && (!queues_busy || workers >= full_batch || since_last >= kMaxBatchDelay);
}

}  // namespace hibiscus::cell
