// Admission control: whether to accept a new job, and when a refused caller should retry. Pure functions.
#ifndef HIBISCUSSTAND_SRC_CELL_ADMISSION_H_
#define HIBISCUSSTAND_SRC_CELL_ADMISSION_H_

#include <compare>
#include <cstddef>

#include "cell/policies.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// Load figures of the owner.
struct OwnerLoad {
  size_t jobs = 0;           // Jobs in memory that have not ended.
  Duration store_stalled{};  // How long the store has confirmed none of the pending writes.
  Duration thread_delay{};   // How long events wait for the control thread.
  Duration start_delay{};    // Smoothed response time of starts.

  friend auto operator<=>(const OwnerLoad&, const OwnerLoad&) = default;
};

enum class RefusalReason {
  kNone = 0,
  kStoreStalled = 1,  // No job can be stored.
  kOwnerBehind = 2,   // The owner is overloaded; more work would delay all jobs.
  kTooManyJobs = 3,   // The host's memory limit is reached.
};
const char* NameOf(RefusalReason reason);

// Returns why a new job is refused, or kNone. Protects against store outages, bursts beyond the capacity of the owner's
// processor, and unlimited submissions. Baseline: every job is accepted.
RefusalReason ReasonToRefuse(const OwnerLoad& load, const Policies& policies);

// Returns true if a job that has waited this long may keep waiting for a stalled store. Its caller stops waiting after
// `caller_time_left` and must learn before then that the job will not run. Lets jobs that arrive shortly before the end
// of an outage be stored at once; a refused caller would retry too late for a short objective. Baseline: only jobs that
// arrived before the outage was detected wait.
bool MayWaitForStore(RefusalReason reason, Duration waited, Duration caller_time_left);

// Value for Retry-After: as long as the cause of the refusal has lasted, since it is likely to last as long again;
// limited to a range that callers with few retries can use.
Duration RetryAfter(const OwnerLoad& load);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADMISSION_H_
