// Scheduling order of waiting steps. Pure functions.
#ifndef HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_
#define HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_

#include <vector>

#include "cell/job_table.h"
#include "cell/policies.h"

namespace hibiscus::cell {

// Returns true if tasks of the step may start now: its dependencies are finished, tasks are waiting and, for a gang, no
// member of an earlier start is left.
bool IsReadyToStart(const StepRun& step);

// Sorts steps into scheduling order: by queue priority, then by due time; within a priority, jobs that can no longer
// meet their objective come after those that can. After all these come jobs beyond their tenant's share, and then
// expired jobs; tasks that last neither come too late nor expire. For overload: a job that is already late must not
// delay one that can still be in time. Baseline: first come, first served.
std::vector<StepRun*> SortByUrgency(const std::vector<StepRun*>& waiting, TimePoint now, const Policies& policies);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WAIT_ORDER_H_
