// Room on the workers of this host: holds, the queue of tasks that wait, and admission to it.
#include <algorithm>
#include <optional>

#include "core/worker_role.h"

namespace hibiscus {

namespace {

constexpr Duration kStartMargin = 300ms;       // A lease that ends sooner takes no new start.
constexpr Duration kMaxStartLatency = 5ms;     // From the hold to the start, at most, where nothing fails.
constexpr Duration kGangAdmissionTtl = 100ms;  // Members of one try arrive within this.
constexpr double kServiceCostSeconds = 5;      // Seconds for which a service counts in the queue: it never ends.
constexpr double kPatience = 0.5;              // Share of its start target for which a task lets others pass.
constexpr double kLargeTaskShare = 0.2;        // Share of a worker beyond which a task is very large.
constexpr double kDefaultRunSeconds = 1;       // Seconds, for a task that declares none.

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void WorkerRole::OnReserve(const HostName& from, const Reserve& reserve) {
  const auto refuse = [&](ResultCode code, Duration retry_after) {
    context_.Send(from, Reserved{reserve.run, code, {}, 0, retry_after});
  };
  if (!claims_.Allows(reserve.run.task.key, from)) {
    refuse(ResultCode::kRepeatUnverified, kComeBack);
  } else if (NeverFits(reserve.size)) {
    refuse(ResultCode::kNeverFits, 0us);
  } else if (!AdmitsGang(from, reserve)) {
    refuse(ResultCode::kOverloaded, admission_.RetryAfter(DemandOf(MakeQueued(from, reserve)), 1, context_.Now()));
  } else if (OwnedWorker* worker = FindWorker(reserve, true); worker != nullptr) {
    RecordAdmitted(MakeQueued(from, reserve));
    HoldCapacity(*worker, from, reserve);
  } else if (!reserve.queue || context_.leaving || !CouldHoldGang(reserve)) {
    refuse(ResultCode::kNoCapacity, kComeBack);
  } else {
    Enqueue(from, reserve);
  }
}

// A host to which no worker falls speaks for none: it must not keep the home host from refusing at once.
bool WorkerRole::NeverFits(const Resources& size) const {
  const bool owns_none = rooms_.capacity() == Resources{} && !workers_.empty() && CoversAllWorkers();
  return owns_none || rooms_.NeverFits(size);
}

QueuedReserve WorkerRole::MakeQueued(const HostName& home, const Reserve& reserve) const {
  const TimePoint now = context_.Now();
  return QueuedReserve{home, reserve, now, now + reserve.start_within - kMaxStartLatency, CostOf(reserve), 0us};
}

bool WorkerRole::ChecksAdmission() const {
  return context_.settings.policy.admission && rooms_.capacity() != Resources{};
}

// Gangs are noted as a whole, by AdmitsGang.
void WorkerRole::RecordAdmitted(const QueuedReserve& queued) {
  if (queued.reserve.kind != WorkKind::kGang || !queued.reserve.queue) {
    admission_.Offered(DemandOf(queued), context_.Now());
    admission_.Admitted(DemandOf(queued), context_.Now());
  }
}

// All members are admitted or none: judged by the first that arrives.
bool WorkerRole::AdmitsGang(const HostName& home, const Reserve& reserve) {
  if (reserve.kind != WorkKind::kGang || !reserve.queue || !ChecksAdmission()) {
    return true;
  }
  const TimePoint now = context_.Now();
  const auto verdict = gang_admissions_.find(reserve.run.task.key);
  if (verdict != gang_admissions_.end() && now < verdict->second.until) {
    return verdict->second.admitted;
  }
  Demand demand = DemandOf(MakeQueued(home, reserve));
  demand.cost *= reserve.members;
  const bool admitted = admission_.Admits(demand, 1, now);
  admission_.Offered(demand, now);
  if (admitted) {
    admission_.Admitted(demand, now);
  }
  gang_admissions_[reserve.run.task.key] = GangVerdict{admitted, now + kGangAdmissionTtl};
  return admitted;
}

// False if all workers of this host together could never hold so many members.
bool WorkerRole::CouldHoldGang(const Reserve& reserve) const {
  if (reserve.kind != WorkKind::kGang) {
    return true;
  }
  const RequestKey& key = reserve.run.task.key;
  const int64_t members = 1 + EntriesOfRequest(held_by_, key).size() + EntriesOfRequest(queued_, key).size();
  return members <= rooms_.MaxCount(reserve.size);
}

// Refuses at once what would not start in time.
void WorkerRole::Enqueue(const HostName& home, const Reserve& reserve) {
  const TimePoint now = context_.Now();
  QueuedReserve queued = MakeQueued(home, reserve);
  const Demand demand = DemandOf(queued);
  const bool gang = reserve.kind == WorkKind::kGang;
  if (!gang && ChecksAdmission() && !admission_.Admits(demand, 1, now)) {
    admission_.Offered(demand, now);
    const Duration retry_after = admission_.RetryAfter(demand, 1, now);
    context_.Send(home, Reserved{reserve.run, ResultCode::kOverloaded, {}, 0, retry_after});
    return;
  }
  RecordAdmitted(queued);
  queued.predicted = admission_.Wait(demand, 1, now);
  admission_.Queued(demand, now);
  // Members of gangs wait in deadline order alone: two gangs that each got half of their room would wait for ever.
  const std::string tenant = reserve.kind == WorkKind::kGang ? std::string() : reserve.run.task.key.tenant;
  const QueueAttributes place{reserve.class_name, tenant, reserve.size, queued.start_by, queued.cost};
  queued_[reserve.run] = queue_.Push(place, std::move(queued));
}

void WorkerRole::Dequeued(const QueuedReserve& queued) {
  queued_.erase(queued.reserve.run);
  admission_.Dequeued(DemandOf(queued));
}

double WorkerRole::CostOf(const Reserve& reserve) const {
  const double declared = reserve.run_time > 0us ? Seconds(reserve.run_time) : kDefaultRunSeconds;
  const bool service = reserve.kind == WorkKind::kService;
  return rooms_.ShareOf(reserve.size) *
         (service ? kServiceCostSeconds : run_times_.Seconds(reserve.class_name, declared));
}

Demand WorkerRole::DemandOf(const QueuedReserve& queued) const {
  return Demand{queued.reserve.class_name, queued.reserve.run.task.key.tenant, queued.start_by, queued.cost};
}

void WorkerRole::RefuseExpired() {
  while (const std::optional<QueuedReserve> late = queue_.TakeExpired(context_.Now())) {
    Dequeued(*late);
    admission_.Learn(late->predicted, context_.Now() - late->arrived);
    context_.Send(late->home, Reserved{late->reserve.run, ResultCode::kStartTargetMissed, {}, 0, kComeBack});
  }
}

void WorkerRole::PlaceQueued() {
  capacity_freed_ = false;
  RefuseExpired();
  std::erase_if(gang_admissions_, [&](const auto& verdict) { return context_.Now() >= verdict.second.until; });
  std::vector<Resources> full;  // Sizes that found no room: what is no smaller need not ask.
  while (!queue_.empty()) {
    OwnedWorker* worker = nullptr;
    const std::optional<QueuedReserve> next = queue_.TakeNext([&](const QueuedReserve& queued) {
      const Resources& size = queued.reserve.size;
      if (std::any_of(full.begin(), full.end(), [&](const Resources& none) { return none.FitsIn(size); })) {
        return MayBeOvertaken(queued) ? QueueDecision::kSkip : QueueDecision::kStop;
      }
      worker = FindWorker(queued.reserve, CanWait(queued));
      if (worker != nullptr) {
        return QueueDecision::kTake;
      }
      if (CanBeProbe(queued.reserve) || quarantine_.suspects().empty()) {
        full.push_back(size);  // Else others may have room where this one may not go.
      }
      return MayBeOvertaken(queued) ? QueueDecision::kSkip : QueueDecision::kStop;
    });
    if (!next) {
      return;
    }
    Dequeued(*next);
    admission_.Learn(next->predicted, context_.Now() - next->arrived);
    HoldCapacity(*worker, next->home, next->reserve);
  }
}

// Smaller tasks pass a larger one until it has waited for half of its target; then what comes free is kept for it. Very
// large ones are passed always, since most of the room would stand empty meanwhile.
// TODO: keep one worker for a very large task, so that it cannot starve either.
bool WorkerRole::MayBeOvertaken(const QueuedReserve& queued) const {
  const bool small = rooms_.ShareOfLargest(queued.reserve.size) <= kLargeTaskShare;
  return CanWait(queued) || !small || context_.settings.policy.queue == QueueOrder::kArrival;
}

bool WorkerRole::CanWait(const QueuedReserve& queued) const {
  return context_.Now() - queued.arrived < (queued.start_by - queued.arrived) * kPatience;
}

OwnedWorker* WorkerRole::FindAnyWorker(const Reserve& reserve) {
  const Policy& policy = context_.settings.policy;
  std::optional<CapacityIndex::Id> room;
  do {
    if (!policy.best_fit) {
      room = rooms_.Choose(reserve.size, policy.choice, context_.random);
    } else if (reserve.kind == WorkKind::kService) {
      room = rooms_.Spread(reserve.size, [&](CapacityIndex::Id id) {
        return TasksOnRack(reserve.class_name, indexed_workers_[id]->entry.rack);
      });
    } else {
      room = rooms_.BestFit(reserve.size);
    }
    if (room) {
      RefreshCapacity(*indexed_workers_[*room]);  // Its lease may have run low since.
    }
  } while (room && !rooms_.room(*room).usable);
  return room ? indexed_workers_[*room] : nullptr;
}

// Tasks of a class on a rack, as far as they are on workers of this host.
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
    context_.Send(home, Reserved{reserve.run, ResultCode::kRepeatUnverified, {}, 0, kComeBack});
    return;
  }
  const bool added = worker.ledger.Add(reserve.run, reserve.size);
  HIBISCUS_INVARIANT(added, reserve.run.ToString(), "FindRoom must only name a worker with room.");
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
    Dequeued(*item);
  }
  if (const auto held = held_by_.find(release.run); held != held_by_.end()) {
    DropHold(*held->second, RunId(release.run));
  }
}

// A hold of a gang's member stays for as long as another member waits here for room.
void WorkerRole::DropExpiredHolds(OwnedWorker& worker) {
  std::vector<RunId> expired;
  for (auto& [run, hold] : worker.holds) {
    if (context_.Now() < hold.until) {
      continue;
    }
    const auto waiting = queued_.lower_bound(RunId{TaskId{run.task.key, 0}, 0});
    if (waiting != queued_.end() && waiting->first.task.key == run.task.key) {
      hold.until = context_.Now() + context_.settings.hold;
    } else {
      expired.push_back(run);
    }
  }
  for (const RunId& run : expired) {
    context_.Pass(Step::kHoldLapsed);
    const TimePoint forget_at = context_.Now() + context_.settings.remember;
    worker.expired_holds[run] = forget_at;
    worker.next_run_check = std::min(worker.next_run_check, forget_at);
    DropHold(worker, run);
  }
}

bool WorkerRole::AcceptsRuns(const OwnedWorker& worker) const {
  return HasLease(worker) && !worker.releasing && !worker.entry.leaving &&
         context_.Now() + kStartMargin < worker.lease_until;
}

void WorkerRole::RefreshCapacity(const OwnedWorker& worker) {
  const bool usable = AcceptsRuns(worker) && !quarantine_.IsQuarantined(worker.entry.name);
  rooms_.Update(worker.room, Room{worker.ledger.capacity(), worker.ledger.free(), usable});
}

void WorkerRole::RefreshLoad() {
  context_.own_load.free = rooms_.free();
  context_.own_load.largest = rooms_.LargestFree();
}

}  // namespace hibiscus
