// In which order waiting steps are served. Pure functions.
#ifndef HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_
#define HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_

#include <vector>

#include "cell/job_table.h"
#include "cell/policies.h"

namespace hibiscus::cell {

// True if tasks of the step may start now: its turn has come, some wait, and no earlier start of a gang is left.
bool IsReadyToStart(const StepRun& step);

// Steps in the order in which they are to be served: by their queue's priority, then by what is due first; those that
// cannot be in time after those that can, and those that have expired after all others. Answers more work than the
// workers hold: what cannot be in time any more must not make late what still can. Baseline: first come, first served.
std::vector<StepRun*> SortByUrgency(const std::vector<StepRun*>& waiting, TimePoint now, const Policies& policies);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_
