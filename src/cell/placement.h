// Placement of waiting steps on workers, and selection of advice queries. A pass takes the waiting steps in scheduling
// order, the free resources of the workers, the tenants' quotas and the advice service's queues, and returns decisions
// that the caller executes. Only reservations and tentative allocations persist between passes. Performs no I/O and
// reads no clock.
//
// A pass inspects only the workers that its steps may use: those the advice service was asked about and, of the others,
// only as many of the freest as the next query would name.
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
#include "cell/tenant_quota.h"

namespace hibiscus::cell {

// A usable worker, as a placement pass sees it.
struct WorkerView {
  size_t number = 0;                   // Worker::number: small, never reused for another worker.
  const WorkerEntry* entry = nullptr;  // Owned by the worker table; outlives the view.
  Resources free;
  int suspicion = 0;  // Sum of the runs there, see RunDemand.
  bool quarantined = false;
  bool probe_due = false;        // Quarantined, and one task may be started on it as a probe.
  int64_t initial_free_cpu = 0;  // Free CPU at the last Refresh, the sort key; later passes reduce only `free`.
};

// Starts tasks of a step; for a gang, all of its members.
struct StartTasks {
  struct Assignment {
    int index = 0;      // Index of the task within its step.
    size_t worker = 0;  // Worker number.

    friend auto operator<=>(const Assignment&, const Assignment&) = default;
  };

  StepRun* step = nullptr;
  std::vector<Assignment> tasks;
  bool probe = false;  // Tests whether a quarantined worker has recovered.

  friend bool operator==(const StartTasks&, const StartTasks&) = default;
};

// Asks the advice service which of these workers may run the step.
struct AskAdvice {
  StepRun* step = nullptr;
  std::vector<size_t> workers;  // Worker numbers.

  friend bool operator==(const AskAdvice&, const AskAdvice&) = default;
};

// Resources for a whole gang are allocated tentatively while its tickets are requested. Already recorded by the pass
// that returned it; Placement::ReleaseTentative undoes it.
struct TentativeAllocation {
  StepRun* step = nullptr;
  std::map<size_t, int> members;  // Members per worker, by worker number.

  friend bool operator==(const TentativeAllocation&, const TentativeAllocation&) = default;
};

using Decision = std::variant<StartTasks, AskAdvice, TentativeAllocation>;

// Totals over the usable workers, for logs and load decisions.
struct PlacementLoad {
  size_t workers = 0;           // Usable workers.
  size_t reserved_workers = 0;  // Workers reserved for gangs that do not fit yet.
  Resources capacity;
  Resources free;

  friend bool operator==(const PlacementLoad&, const PlacementLoad&) = default;
};

// What a waiting gang finds on the workers that it may use, for logs.
struct GangFit {
  int workers_allowed = 0;     // Usable workers that the advice service allows.
  int slots = 0;               // Members that fit there now.
  int slots_when_empty = 0;    // Members that would fit there if nothing ran.
  int workers_reserved = 0;    // Of the allowed workers: reserved for the gang.
  int reserved_by_others = 0;  // Of the allowed workers: reserved for other gangs.

  friend bool operator==(const GangFit&, const GangFit&) = default;
};

class Placement {
 public:
  explicit Placement(const Policies& policies) : policies_(policies) {}

  // Replaces the worker views; no worker has a number above `max_number`.
  void Refresh(std::vector<WorkerView> workers, size_t max_number);

  // Runs one pass over all waiting steps. Reservations of the previous pass end unless their step renews them. Records
  // in StepRun::left_by why tasks are left waiting.
  std::vector<Decision> Plan(const std::vector<StepRun*>& waiting,
                             const AdviceQueues& queues,
                             const TenantQuotas& quotas,
                             TimePoint now);

  // Places one gang as soon as its tickets have arrived: before the next pass other steps could take its workers.
  std::vector<Decision> PlanStep(StepRun& step, const AdviceQueues& queues, const TenantQuotas& quotas, TimePoint now);

  // Requests advice for a step whose job is still being stored, so that the answer is available when the step may
  // start.
  std::vector<Decision> PlanAdviceAhead(StepRun& step,
                                        const AdviceQueues& queues,
                                        const TenantQuotas& quotas,
                                        TimePoint now);

  // Releases the step's tentative allocation.
  void ReleaseTentative(StepRun& step);

  PlacementLoad load() const;
  // The state of a waiting gang after the last pass.
  GangFit FitOf(const StepRun& step);
  // Number of steps that the last pass left waiting for their tenant's quota.
  int quota_waits() const { return quota_waits_; }
  // Number of workers inspected since the last call: a measure of the cost of passes.
  int64_t TakeInspectedCount() { return std::exchange(inspected_count_, 0); }

 private:
  // Candidate workers and, at the same index, the view of each.
  struct Candidates {
    std::vector<WorkerView*> workers;
    std::vector<CandidateView> views;

    void Add(WorkerView* worker, const CandidateView& view) {
      workers.push_back(worker);
      views.push_back(view);
    }
  };
  // Candidates for a gang, by what must happen before it can start there.
  struct GangCandidates {
    Candidates with_ticket;    // The gang can start at once.
    Candidates allowed;        // `with_ticket`, and allowed workers whose tickets must be requested first.
    Candidates reserved;       // Allowed, but reserved for another gang; filled only while the cell is mostly free.
    PassFindings findings;     // Workers left out.
    int slots_when_empty = 0;  // Members that would fit on all allowed workers if nothing ran there; with advice only.
  };
  // Candidates for single tasks: workers with a valid ticket in `candidates`, the others in `without_ticket`.
  struct SingleTaskCandidates {
    Candidates candidates;
    std::vector<WorkerView*> without_ticket;  // Workers already allowed come first.
    PassFindings findings;                    // Workers left out.
  };
  // Inputs and results of one planning call.
  struct Pass {
    TimePoint now;
    AdviceQueues queues;
    TenantQuotas quotas;
    std::vector<Decision> decisions;
  };

  // Returns the view of a worker, or nullptr if the worker is not usable now.
  WorkerView* Find(size_t number);
  // Visits the usable workers that the advice service allows for the step; all usable workers if its queue needs no
  // advice.
  void ForEachAllowed(const StepRun& step, const std::function<void(WorkerView&)>& visit);
  // Returns eligible workers about which the advice service was not asked yet, freest first: at most `limit`, each with
  // at least `min_free` free.
  std::vector<WorkerView*> FindUnaskedWorkers(const StepRun& step, size_t limit, const Resources& min_free);
  CandidateView ViewOf(const StepRun& step, const WorkerView& worker) const;
  bool IsReservedForOther(const StepRun& step, const WorkerView& worker) const;

  // Returns the best candidate for a task. A suspect one goes where the sum of suspicion is lowest: the next crash then
  // tells the guilty from the others.
  std::optional<size_t> BestFor(const StepRun& step, int index, const Candidates& candidates) const;
  void PlaceSingleTasks(StepRun& step, Pass& pass);
  SingleTaskCandidates FindSingleTaskCandidates(const StepRun& step, const TaskDemand& demand, TimePoint now);
  // Starts the first of the waiting tasks, and removes it from `waiting`, on a quarantined worker whose probe is due.
  void StartProbe(StepRun& step, std::vector<int>& waiting, Pass& pass);
  void PlaceGang(StepRun& step, Pass& pass);
  GangCandidates FindGangCandidates(const StepRun& step, TimePoint now);
  // Returns true if the gang fits: its members start, or the missing tickets are requested and resources allocated
  // tentatively until they arrive.
  bool StartGangIfFits(StepRun& step, const Candidates& candidates, Pass& pass);
  void StartOrAskForTickets(StepRun& step, const Candidates& candidates, const std::vector<int>& counts, Pass& pass);
  void ReserveWorkers(StepRun& step, const Candidates& candidates);
  void AllocateTentatively(StepRun& step, const Candidates& candidates, const std::vector<int>& counts, Pass& pass);

  bool MayAsk(const StepRun& step, const Pass& pass) const;
  void AskInitially(StepRun& step, Pass& pass);
  // Returns the number of workers that the step has asked about and that are still usable: answers about others no
  // longer tell where the step may run.
  size_t CountUsableAsked(const StepRun& step);
  // Returns how many further workers a gang should ask about so that it can collect enough room, of which it has
  // `slots_when_empty` on the usable workers among the `asked`; 0: it has asked about enough.
  static size_t MissingWorkers(const StepRun& step, int slots_when_empty, size_t asked);
  // Asks about more workers, through several hosts at once: about missing ones while a quarter of the hosts have no
  // call in progress, about others while most have none. While hosts are busier, only about replacements.
  void AskAboutMoreWorkers(StepRun& step, int slots_when_empty, Pass& pass);
  // Asks about at most `limit` workers that have come since the first question, in one call, under the same condition
  // on the queues as that question: of the workers that it was about, too few are left. A long call follows the last
  // one later than a short one, so that it leaves the hosts to others.
  void AskAboutReplacements(StepRun& step, size_t limit, Pass& pass);
  // Requests tickets for workers with free resources whose tickets have expired or that were never asked about.
  void AskForTickets(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass);
  void Ask(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass);

  const Policies policies_;
  std::vector<WorkerView> workers_;  // Freest first.
  std::vector<size_t> positions_;    // Index in `workers_` by worker number; kNotUsable if absent.
  std::vector<size_t> due_probes_;   // Indices in `workers_` of workers whose probe is due.
  bool mostly_free_ = false;  // At least kMostlyFreeShare of the capacity is free: others may use reserved workers.
  std::vector<Resources> tentative_resources_;  // By worker number: resources allocated to gangs that await tickets.
  std::vector<const StepRun*> reserved_for_;    // By worker number: the gang the worker is reserved for.
  std::vector<bool> previously_reserved_;       // By worker number: whether the previous pass reserved it.
  size_t reserved_count_ = 0;
  int quota_waits_ = 0;
  int64_t inspected_count_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PLACEMENT_H_
