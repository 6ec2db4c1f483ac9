// Which worker a task goes to, and which workers a gang reserves. Pure functions of what is free.
#ifndef HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus::cell {

// A worker as a placement sees it.
struct CandidateView {
  Resources capacity;
  Resources free;
  std::string_view rack;    // Of the worker's entry, which outlives the view.
  int same_step_tasks = 0;  // Tasks of the same step.
  bool reserved = false;    // A gang waits for more room there.
  bool preferred = false;   // Nearer to the data.

  friend bool operator==(const CandidateView&, const CandidateView&) = default;
};

// What a task asks for.
struct TaskDemand {
  Resources size;
  int max_per_worker = 0;  // 0: no limit.

  friend bool operator==(const TaskDemand&, const TaskDemand&) = default;
};

// How many tasks fit into the free room.
int SlotsIn(const Resources& free, const Resources& size);
int SlotsOf(const CandidateView& candidate, const TaskDemand& demand);
int SlotsOf(const std::vector<CandidateView>& candidates, const TaskDemand& demand);  // In all of them.

// A single task: near its data first, then off reserved workers, then where it fits tightest by the scarcest resource,
// so that wide room stays whole for large tasks. Answers a load of unlike sizes near capacity.
std::optional<size_t> TightestFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand);

// Its baseline: the first worker that has room.
std::optional<size_t> FirstFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand);

// All members of a gang at once: how many go to each room; empty if they do not fit now. Fewest workers first, and one
// rack if `one_rack` is asked for and possible. Answers gangs that compete with streams of small tasks.
std::vector<int> FitGang(const std::vector<CandidateView>& candidates,
                         const TaskDemand& demand,
                         int members,
                         bool one_rack);

// The rooms to keep others off until the gang fits: those that have most room now, just as many as the gang needs when
// they are empty. Empty if not even all would do. Answers gangs that small tasks would overtake for ever. Baseline:
// none.
std::vector<size_t> SelectWorkersToReserve(const std::vector<CandidateView>& candidates,
                                           const TaskDemand& demand,
                                           int members);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PLACEMENT_POLICY_H_
