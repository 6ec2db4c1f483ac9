// What starts where, and what the advice service is asked. A pass takes the waiting steps in the order in which they
// are to be served, the workers' free room and the advice service's queues, and returns decisions; whoever called it
// carries them out. What outlasts a pass are reservations. No I/O, no clock.
//
// A pass touches what its steps may use: workers that the advice service was asked about, and of the others only as
// many of the freest as would be asked about next.
#ifndef HIBISCUSSTAND_SRC_CELL_PLACEMENT_H_
#define HIBISCUSSTAND_SRC_CELL_PLACEMENT_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "cell/advice_policy.h"
#include "cell/job_table.h"
#include "cell/placement_policy.h"
#include "cell/policies.h"

namespace hibiscus::cell {

// A worker that tasks may be placed on, as a pass sees it.
struct WorkerView {
  size_t number = 0;                   // Of the worker; small, and never used again for another.
  const WorkerEntry* entry = nullptr;  // Outlives the view.
  Resources free;
  bool quarantined = false;
  bool probe_due = false;        // Quarantined, and one task may try it now.
  int64_t initial_free_cpu = 0;  // Set by Refresh; passes since may have taken some of it.
};

// Tasks of a step start. Those of a gang are all of its members.
struct StartTasks {
  struct Assignment {
    int index = 0;      // Of the task within its step.
    size_t worker = 0;  // Number.

    friend auto operator<=>(const Assignment&, const Assignment&) = default;
  };

  StepRun* step = nullptr;
  std::vector<Assignment> tasks;
  bool probe = false;  // To see whether a quarantined worker does its work again.

  friend bool operator==(const StartTasks&, const StartTasks&) = default;
};

// The advice service is asked which of these workers may run the step.
struct AskAdvice {
  StepRun* step = nullptr;
  std::vector<size_t> workers;  // Numbers.

  friend bool operator==(const AskAdvice&, const AskAdvice&) = default;
};

// Room for a whole gang is set aside while tickets are asked for; the pass has noted it. Release gives it back.
struct TentativeAllocation {
  StepRun* step = nullptr;
  std::map<size_t, int> members;  // By worker's number.

  friend bool operator==(const TentativeAllocation&, const TentativeAllocation&) = default;
};

using Decision = std::variant<StartTasks, AskAdvice, TentativeAllocation>;

// What there is to place on, for logs and for decisions on load.
struct PlacementLoad {
  size_t workers = 0;           // Usable ones.
  size_t reserved_workers = 0;  // On which gangs wait for more room.
  Resources capacity;
  Resources free;

  friend bool operator==(const PlacementLoad&, const PlacementLoad&) = default;
};

class Placement {
 public:
  explicit Placement(const Policies& policies) : policies_(policies) {}

  // Replaces what is known of the workers; none has a higher number than `max_number`.
  void Refresh(std::vector<WorkerView> workers, size_t max_number);

  // One pass. Reservations of the pass before are renewed by the steps that still need them, or end.
  std::vector<Decision> Plan(const std::vector<StepRun*>& waiting, const AdviceQueues& queues, TimePoint now);

  // For one step whose tickets have come: by the next pass others would have taken its room.
  std::vector<Decision> PlanStep(StepRun& step, const AdviceQueues& queues, TimePoint now);

  // For a step whose job is being stored: the answer is there by the time the step may start.
  std::vector<Decision> PlanAdviceAhead(StepRun& step, const AdviceQueues& queues, TimePoint now);

  // Gives back the room that was set aside for the step.
  void ReleaseTentative(StepRun& step);

  PlacementLoad load() const;
  // Workers that were looked at since the last call: what passes cost.
  int64_t TakeInspectedCount() { return std::exchange(inspected_count_, 0); }

 private:
  // Workers with what a placement sees of each.
  struct Candidates {
    std::vector<WorkerView*> workers;
    std::vector<CandidateView> views;

    void Add(WorkerView* worker, const CandidateView& view) {
      workers.push_back(worker);
      views.push_back(view);
    }
  };
  // Rooms that a gang may use, by what has to be done first.
  struct GangCandidates {
    Candidates with_ticket;  // Nothing.
    Candidates allowed;      // Those, and others for which tickets are to be asked for.
    Candidates reserved;     // Allowed, but reserved for another gang; only while much is free.
  };
  // What a single task of the step may use: a worker with a ticket goes to `rooms`, others to `without_ticket`.
  struct SingleTaskCandidates {
    Candidates candidates;
    std::vector<WorkerView*> without_ticket;  // Those known to be allowed first.
  };
  // What one call decides with and about.
  struct Pass {
    TimePoint now;
    AdviceQueues queues;
    std::vector<Decision> decisions;
  };

  // The view of a worker, or none if it is not usable now.
  WorkerView* Find(size_t number);
  // The usable workers that the advice service allows the step; all of them if its queue asks for no advice.
  void ForEachAllowed(const StepRun& step, const std::function<void(WorkerView&)>& visit);
  // Workers that may run the step and that the advice service was not asked about, most free first; at most `limit`,
  // each with at least `min_free` free.
  std::vector<WorkerView*> FindUnaskedWorkers(const StepRun& step, size_t limit, const Resources& min_free);
  CandidateView ViewOf(const StepRun& step, const WorkerView& worker) const;
  bool IsReservedForOther(const StepRun& step, const WorkerView& worker) const;

  void PlaceSingleTasks(StepRun& step, Pass& pass);
  SingleTaskCandidates FindSingleTaskCandidates(const StepRun& step, const TaskDemand& demand, TimePoint now);
  // Takes the first of the waiting tasks for a quarantined worker whose probe is due.
  void StartProbe(StepRun& step, std::vector<int>& waiting, Pass& pass);
  void PlaceGang(StepRun& step, Pass& pass);
  GangCandidates FindGangCandidates(const StepRun& step, TimePoint now);
  // True if the gang fits: its members start, or room is set aside for them until there are tickets for all.
  bool StartGangIfFits(StepRun& step, const Candidates& candidates, Pass& pass);
  void StartOrAskForTickets(StepRun& step, const Candidates& candidates, const std::vector<int>& counts, Pass& pass);
  void ReserveWorkers(StepRun& step, const Candidates& candidates);
  void AllocateTentatively(StepRun& step, const Candidates& candidates, const std::vector<int>& counts, Pass& pass);

  bool MayAsk(const StepRun& step, const Pass& pass) const;
  void AskInitially(StepRun& step, Pass& pass);
  // About more workers to choose from, through several hosts at once, while most have nothing else to ask.
  void AskAboutMoreWorkers(StepRun& step, Pass& pass);
  // Some workers have room, but their tickets are over or they were never asked about.
  void AskForTickets(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass);
  void Ask(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass);

  const Policies policies_;
  std::vector<WorkerView> workers_;             // Most free first.
  std::vector<size_t> positions_;               // In `workers_` by the worker's number; kNotUsable if it is not there.
  std::vector<size_t> due_probes_;              // Places of workers whose probe is due.
  bool mostly_free_ = false;                    // Much of the room is free: reserved workers may be used by others.
  std::vector<Resources> tentative_resources_;  // By the worker's number: for gangs that wait for tickets.
  std::vector<const StepRun*> reserved_for_;    // By the worker's number: the gang that waits for more room there.
  std::vector<bool> previously_reserved_;       // By the worker's number: whether the last pass reserved it.
  size_t reserved_count_ = 0;
  int64_t inspected_count_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PLACEMENT_H_
