// Capacity of the workers that this host owns: holds, the queue of waiting tasks, and admission control.
#include <algorithm>
#include <optional>

#include "core/worker_role.h"

namespace hibiscus {

namespace {

constexpr Duration kMinLeaseLeft = 300ms;      // A lease with less time left accepts no new run.
constexpr Duration kMaxStartLatency = 5ms;     // Allowance from the hold to the start, without failures.
constexpr Duration kGangAdmissionTtl = 100ms;  // All members of one attempt arrive within this time.
constexpr double kServiceCostSeconds = 5;      // Run time charged for a service, since it never ends.
constexpr double kOvertakeWaitShare = 0.5;     // Share of its start target during which a task may be overtaken.
constexpr double kLargeTaskShare = 0.2;        // Share of the largest worker above which a task is very large.
constexpr double kDefaultRunSeconds = 1;       // For a task that declares no run time.

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void WorkerRole::OnReserve(const HostName& from, const Reserve& reserve) {
  const auto refuse = [&](ResultCode code, Duration retry_after) {
    context_.Send(from, Reserved{reserve.run, code, {}, 0, retry_after});
  };
  if (!claims_.Allows(reserve.run.task.key, from)) {
    refuse(ResultCode::kRepeatUnverified, kDefaultRetryAfter);
  } else if (NeverFits(reserve.size)) {
    refuse(ResultCode::kNeverFits, 0us);
  } else if (!AdmitsGang(from, reserve)) {
    refuse(ResultCode::kOverloaded, admission_.RetryAfter(DemandOf(MakeQueued(from, reserve)), 1, context_.Now()));
  } else if (OwnedWorker* worker = FindWorker(reserve, true); worker != nullptr) {
    RecordAdmitted(MakeQueued(from, reserve));
    HoldCapacity(*worker, from, reserve);
  } else if (!reserve.queue || context_.leaving || !CouldHoldGang(reserve)) {
    refuse(ResultCode::kNoCapacity, kDefaultRetryAfter);
  } else {
    Enqueue(from, reserve);
  }
}

// A host that owns no worker answers that nothing fits, so that it does not keep the home host from refusing at once.
bool WorkerRole::NeverFits(const Resources& size) const {
  const bool owns_none = capacity_index_.capacity() == Resources{} && !workers_.empty() && CoversAllWorkers();
  return owns_none || capacity_index_.NeverFits(size);
}

QueuedReserve WorkerRole::MakeQueued(const HostName& home, const Reserve& reserve) const {
  const TimePoint now = context_.Now();
  return QueuedReserve{home, reserve, now, now + reserve.start_within - kMaxStartLatency, CostOf(reserve), 0us};
}

bool WorkerRole::ChecksAdmission() const {
  return context_.settings.policy.admission && capacity_index_.capacity() != Resources{};
}

// Records an admitted task. Queueing gangs are recorded as a whole by AdmitsGang.
void WorkerRole::RecordAdmitted(const QueuedReserve& queued) {
  if (queued.reserve.kind != WorkKind::kGang || !queued.reserve.queue) {
    admission_.OnOffered(DemandOf(queued), context_.Now());
    admission_.OnAdmitted(DemandOf(queued), context_.Now());
  }
}

// Admits all members of a gang or none. The first member to arrive decides.
bool WorkerRole::AdmitsGang(const HostName& home, const Reserve& reserve) {
  if (reserve.kind != WorkKind::kGang || !reserve.queue || !ChecksAdmission()) {
    return true;
  }
  const TimePoint now = context_.Now();
  const auto admission = gang_admissions_.find(reserve.run.task.key);
  if (admission != gang_admissions_.end() && now < admission->second.expires_at) {
    return admission->second.admitted;
  }
  Demand demand = DemandOf(MakeQueued(home, reserve));
  demand.cost *= reserve.members;
  const bool admitted = admission_.Admits(demand, 1, now);
  admission_.OnOffered(demand, now);
  if (admitted) {
    admission_.OnAdmitted(demand, now);
  }
  gang_admissions_[reserve.run.task.key] = GangAdmission{admitted, now + kGangAdmissionTtl};
  return admitted;
}

// Returns false if the workers of this host together, even empty, could not hold the members that arrived so far.
bool WorkerRole::CouldHoldGang(const Reserve& reserve) const {
  if (reserve.kind != WorkKind::kGang) {
    return true;
  }
  const RequestKey& key = reserve.run.task.key;
  const int64_t members = 1 + EntriesOfRequest(held_by_, key).size() + EntriesOfRequest(queued_, key).size();
  return members <= capacity_index_.MaxCount(reserve.size);
}

// Queues a reservation, or refuses it at once if it would not start in time.
void WorkerRole::Enqueue(const HostName& home, const Reserve& reserve) {
  const TimePoint now = context_.Now();
  QueuedReserve queued = MakeQueued(home, reserve);
  const Demand demand = DemandOf(queued);
  const bool gang = reserve.kind == WorkKind::kGang;
  if (!gang && ChecksAdmission() && !admission_.Admits(demand, 1, now)) {
    admission_.OnOffered(demand, now);
    const Duration retry_after = admission_.RetryAfter(demand, 1, now);
    context_.Send(home, Reserved{reserve.run, ResultCode::kOverloaded, {}, 0, retry_after});
    return;
  }
  RecordAdmitted(queued);
  queued.predicted_wait = admission_.PredictWait(demand, 1, now);
  admission_.OnQueued(demand, now);
  // Members of gangs queue by deadline only, without fairness between tenants: two gangs that each held half of the
  // capacity they need would deadlock.
  const std::string tenant = reserve.kind == WorkKind::kGang ? std::string() : reserve.run.task.key.tenant;
  const QueueAttributes attributes{reserve.class_name, tenant, reserve.size, queued.start_by, queued.cost};
  queued_[reserve.run] = queue_.Push(attributes, std::move(queued));
}

void WorkerRole::OnDequeued(const QueuedReserve& queued) {
  queued_.erase(queued.reserve.run);
  admission_.OnDequeued(DemandOf(queued));
}

double WorkerRole::CostOf(const Reserve& reserve) const {
  const double declared = reserve.run_time > 0us ? Seconds(reserve.run_time) : kDefaultRunSeconds;
  const bool service = reserve.kind == WorkKind::kService;
  return capacity_index_.ShareOf(reserve.size) *
         (service ? kServiceCostSeconds : run_times_.Seconds(reserve.class_name, declared));
}

Demand WorkerRole::DemandOf(const QueuedReserve& queued) const {
  return Demand{queued.reserve.class_name, queued.reserve.run.task.key.tenant, queued.start_by, queued.cost};
}

void WorkerRole::RefuseExpired() {
  while (const std::optional<QueuedReserve> expired = queue_.TakeExpired(context_.Now())) {
    OnDequeued(*expired);
    admission_.RecordWait(expired->predicted_wait, context_.Now() - expired->arrived);
    context_.Send(expired->home,
                  Reserved{expired->reserve.run, ResultCode::kStartTargetMissed, {}, 0, kDefaultRetryAfter});
  }
}

void WorkerRole::PlaceQueued() {
  capacity_freed_ = false;
  RefuseExpired();
  std::erase_if(gang_admissions_, [&](const auto& admission) { return context_.Now() >= admission.second.expires_at; });
  std::vector<Resources> unplaceable;  // Sizes that did not fit; nothing at least as large is tried again.
  while (!queue_.empty()) {
    OwnedWorker* worker = nullptr;
    const std::optional<QueuedReserve> next = queue_.TakeNext([&](const QueuedReserve& queued) {
      const Resources& size = queued.reserve.size;
      if (std::any_of(unplaceable.begin(), unplaceable.end(),
                      [&](const Resources& smaller) { return smaller.FitsIn(size); })) {
        return MayBeOvertaken(queued) ? QueueDecision::kSkip : QueueDecision::kStop;
      }
      worker = FindWorker(queued.reserve, CanWait(queued));
      if (worker != nullptr) {
        return QueueDecision::kTake;
      }
      if (CanBeProbe(queued.reserve) || quarantine_.suspects().empty()) {
        unplaceable.push_back(size);  // Otherwise this task avoided workers that other tasks may use.
      }
      return MayBeOvertaken(queued) ? QueueDecision::kSkip : QueueDecision::kStop;
    });
    if (!next) {
      return;
    }
    OnDequeued(*next);
    admission_.RecordWait(next->predicted_wait, context_.Now() - next->arrived);
    HoldCapacity(*worker, next->home, next->reserve);
  }
}

// Smaller tasks may overtake a larger one until it has waited for half of its start target; after that, freed capacity
// is kept for it. Very large tasks may always be overtaken, because most of the capacity would stay idle meanwhile.
// TODO: reserve one worker for a very large task, so that it cannot starve either.
bool WorkerRole::MayBeOvertaken(const QueuedReserve& queued) const {
  const bool is_small = capacity_index_.ShareOfLargest(queued.reserve.size) <= kLargeTaskShare;
  return CanWait(queued) || !is_small || context_.settings.policy.queue == QueueOrder::kArrival;
}

bool WorkerRole::CanWait(const QueuedReserve& queued) const {
  return context_.Now() - queued.arrived < (queued.start_by - queued.arrived) * kOvertakeWaitShare;
}

OwnedWorker* WorkerRole::FindAnyWorker(const Reserve& reserve) {
  const Policy& policy = context_.settings.policy;
  std::optional<CapacityIndex::Id> index_id;
  do {
    if (!policy.best_fit) {
      index_id = capacity_index_.Choose(reserve.size, policy.choice, context_.random);
    } else if (reserve.kind == WorkKind::kService) {
      index_id = capacity_index_.Spread(reserve.size, [&](CapacityIndex::Id id) {
        return TasksOnRack(reserve.class_name, indexed_workers_[id]->entry.rack);
      });
    } else {
      index_id = capacity_index_.BestFit(reserve.size);
    }
    if (index_id) {
      RefreshCapacity(*indexed_workers_[*index_id]);  // Its lease may be close to expiry by now.
    }
  } while (index_id && !capacity_index_.entry(*index_id).usable);
  return index_id ? indexed_workers_[*index_id] : nullptr;
}

// Counts the active tasks of a class on a rack, on workers known to this host.
int WorkerRole::TasksOnRack(const std::string& class_name, const std::string& rack) const {
  int tasks = 0;
  const auto members = racks_.find(rack);
  if (members == racks_.end()) {
    return 0;
  }
  for (const OwnedWorker* worker : members->second) {
    for (const auto& [id, run] : worker->runs) {
      tasks += run.phase != OwnedRun::Phase::kEnded && run.task.class_name == class_name ? 1 : 0;
    }
  }
  return tasks;
}

void WorkerRole::HoldCapacity(OwnedWorker& worker, const HostName& home, const Reserve& reserve) {
  if (worker.lease_number > reserve.lease_count) {
    context_.Send(home, Reserved{reserve.run, ResultCode::kRepeatUnverified, {}, 0, kDefaultRetryAfter});
    return;
  }
  const bool added = worker.ledger.Add(reserve.run, reserve.size);
  HIBISCUS_INVARIANT(added, reserve.run.ToString(), "FindWorker must only return a worker with enough free capacity.");
  worker.holds[reserve.run] = Hold{home, context_.Now() + context_.settings.hold};
  held_by_[reserve.run] = &worker;
  RefreshCapacity(worker);
  context_.Send(home, Reserved{reserve.run, ResultCode::kOk, worker.entry.name, worker.token, 0us});
}

void WorkerRole::DropHold(OwnedWorker& worker, const RunId& run) {
  worker.holds.erase(run);
  held_by_.erase(run);
  worker.ledger.Remove(run);
  RefreshCapacity(worker);
  capacity_freed_ = true;
}

void WorkerRole::OnReleaseHold(const ReleaseHold& release) {
  if (const auto queued = queued_.find(release.run); queued != queued_.end()) {
    const std::optional<QueuedReserve> item = queue_.Remove(queued->second);
    OnDequeued(*item);
  }
  if (const auto held = held_by_.find(release.run); held != held_by_.end()) {
    DropHold(*held->second, RunId(release.run));
  }
}

// Holds of a gang are extended while another member of the gang waits for capacity here.
void WorkerRole::DropExpiredHolds(OwnedWorker& worker) {
  std::vector<RunId> expired;
  for (auto& [run, hold] : worker.holds) {
    if (context_.Now() < hold.expires_at) {
      continue;
    }
    const auto waiting = queued_.lower_bound(RunId{TaskId{run.task.key, 0}, 0});
    if (waiting != queued_.end() && waiting->first.task.key == run.task.key) {
      hold.expires_at = context_.Now() + context_.settings.hold;
    } else {
      expired.push_back(run);
    }
  }
  for (const RunId& run : expired) {
    context_.ReportStep(Step::kHoldLapsed);
    const TimePoint forget_at = context_.Now() + context_.settings.result_retention;
    worker.expired_holds[run] = forget_at;
    worker.next_run_check = std::min(worker.next_run_check, forget_at);
    DropHold(worker, run);
  }
}

bool WorkerRole::AcceptsRuns(const OwnedWorker& worker) const {
  return HasLease(worker) && !worker.releasing && !worker.entry.leaving &&
         context_.Now() + kMinLeaseLeft < worker.lease_expiry;
}

void WorkerRole::RefreshCapacity(const OwnedWorker& worker) {
  const bool usable = AcceptsRuns(worker) && !quarantine_.IsQuarantined(worker.entry.name);
  capacity_index_.Update(worker.index_id, WorkerCapacity{worker.ledger.capacity(), worker.ledger.free(), usable});
}

void WorkerRole::RefreshLoad() {
  context_.own_load.free = capacity_index_.free();
  context_.own_load.largest = capacity_index_.LargestFree();
}

}  // namespace hibiscus
