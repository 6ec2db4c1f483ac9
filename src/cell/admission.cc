#include "cell/admission.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

constexpr Duration kMaxStoreWait = 600ms;   // Longest wait of one job for a stalled store.
constexpr Duration kReplyMargin = 200ms;    // Covers a periodic check by the owner and a round trip between regions.
constexpr Duration kMaxStoreStall = 600ms;  // Longest time without a confirmation from the store.
constexpr Duration kMaxDelay = 300ms;       // Longest delay of the control thread or of starts.
constexpr size_t kMaxJobs = 20'000;         // About 5 KB of the host's memory each.
constexpr Duration kMinRetryAfter = 1s;     // Used where no better estimate exists.
constexpr Duration kMaxRetryAfter = 3s;     // Callers retry about four times.

}  // namespace

const char* NameOf(RefusalReason reason) {
  constexpr const char* kNames[] = {"none", "store_stalled", "owner_behind", "too_many_jobs"};
  return kNames[static_cast<size_t>(reason)];
}

RefusalReason ReasonToRefuse(const OwnerLoad& load, const Policies& policies) {
  if (policies.refuse_stalled && load.store_stalled > kMaxStoreStall) {
    return RefusalReason::kStoreStalled;
  }
  if (policies.refuse_behind && std::max(load.thread_delay, load.start_delay) > kMaxDelay) {
    return RefusalReason::kOwnerBehind;
  }
  return load.jobs >= kMaxJobs ? RefusalReason::kTooManyJobs : RefusalReason::kNone;
}

bool MayWaitForStore(RefusalReason reason, Duration waited, Duration caller_time_left) {
  return reason == RefusalReason::kStoreStalled && waited < kMaxStoreWait && caller_time_left > kReplyMargin;
}

Duration RetryAfter(const OwnerLoad& load) {
  return std::clamp<Duration>(std::max(load.store_stalled, load.thread_delay), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace hibiscus::cell
