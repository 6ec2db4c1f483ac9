// Selection of the worker for a task and of the workers that a gang reserves. Pure functions of the free resources.
#ifndef HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus::cell {

// A worker on which tasks of one step may be placed.
struct CandidateView {
  Resources capacity;
  Resources free;
  std::string_view rack;    // Points into the worker's entry, which outlives the view.
  int same_step_tasks = 0;  // Tasks of the same step placed on this worker; counted only if the step limits them.
  bool reserved = false;    // Reserved for a gang in the previous pass.
  bool preferred = false;   // In the rack that holds the step's data.

  friend bool operator==(const CandidateView&, const CandidateView&) = default;
};

// Resources and placement limit of one task.
struct TaskDemand {
  Resources size;
  int max_per_worker = 0;  // 0: no limit.

  friend bool operator==(const TaskDemand&, const TaskDemand&) = default;
};

// Number of tasks of this size that fit into the free resources.
int SlotsIn(const Resources& free, const Resources& size);
int SlotsOf(const CandidateView& candidate, const TaskDemand& demand);
int SlotsOf(const std::vector<CandidateView>& candidates, const TaskDemand& demand);  // Sum over all candidates.

// Selects a worker for a single task: near its data first, then an unreserved one, then the tightest fit by the
// scarcest resource, which keeps large free blocks whole for large tasks. For mixed task sizes near capacity.
std::optional<size_t> TightestFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand);

// Baseline for TightestFit: the first worker on which the task fits.
std::optional<size_t> FirstFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand);

// Places all members of a gang at once: returns the number of members per candidate, or nothing if they do not all fit
// now. Uses the fewest workers, and a single rack if `one_rack` is set and possible. For gangs that compete with
// streams of small tasks.
std::vector<int> FitGang(const std::vector<CandidateView>& candidates,
                         const TaskDemand& demand,
                         int members,
                         bool one_rack);

// Selects the workers to reserve until the gang fits: those with the most free slots now, as many as the gang needs
// once they are empty. Returns nothing if even all of them would not suffice. Prevents small tasks from starving gangs.
// Baseline: no reservations.
std::vector<size_t> SelectWorkersToReserve(const std::vector<CandidateView>& candidates,
                                           const TaskDemand& demand,
                                           int members);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_
