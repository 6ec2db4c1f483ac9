// Whether a new job is taken on, and when its caller is told to come back. Pure functions.
#ifndef HIBISCUSSTAND_SRC_CELL_ADMISSION_H_
#define HIBISCUSSTAND_SRC_CELL_ADMISSION_H_

#include <compare>
#include <cstddef>

#include "cell/policies.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// What the owner knows of its own load.
struct OwnerLoad {
  size_t jobs = 0;           // Open ones that it holds.
  Duration store_stalled{};  // For so long the store has confirmed nothing of what it was sent.
  Duration thread_delay{};   // Of the control thread: how long what comes waits for it.
  Duration start_delay{};    // How long starts take to be answered.

  friend auto operator<=>(const OwnerLoad&, const OwnerLoad&) = default;
};

enum class RefusalReason {
  kNone = 0,
  kStoreStalled = 1,  // No job can be stored.
  kOwnerBehind = 2,   // More work would make all of it later.
  kTooManyJobs = 3,   // The host's memory holds no more.
};
const char* NameOf(RefusalReason reason);

// Answers outages of the store, a burst beyond what the owner's processor carries, and callers without end. Baseline:
// every job is taken on.
RefusalReason ReasonToRefuse(const OwnerLoad& load, const Policies& policies);

// Whether a job that came this long ago may go on waiting for a store that confirms nothing; its caller stops waiting
// after `caller_time_left`, and must know by then that it does not run. Answers the end of an outage: what came in its
// last moments is stored at once, where a caller that was refused would come back too late for a short objective.
// Baseline: only what came before the outage was noticed.
bool MayWaitForStore(RefusalReason reason, Duration waited, Duration caller_time_left);

// Retry-After: as long as what the refusal is for has lasted, since that is likely to last as long again; within what
// callers with few tries can use.
Duration RetryAfter(const OwnerLoad& load);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADMISSION_H_
