// Quarantine of workers that fail work which succeeds on others: which work they still get, and probes.
#include <algorithm>

#include <fmt/core.h>

#include "core/worker_role.h"

namespace hibiscus {

// Records how a run ended. Only ends under an uninterrupted lease count: those found under a new lease may be runs
// whose run lease expired.
void WorkerRole::RecordRunEnd(const OwnedWorker& worker, const WorkerTask& task, bool failed) {
  if (!context_.settings.policy.quarantine) {
    return;
  }
  const WorkerName& name = worker.entry.name;
  const bool before = quarantine_.IsQuarantined(name);
  if (failed) {
    quarantine_.RecordFailure(name, task.class_name, task.run.task.key.ToString(), context_.Now());
  } else {
    quarantine_.RecordSuccess(name, task.class_name, context_.Now());
  }
  if (before != quarantine_.IsQuarantined(name)) {
    context_.Log("worker", before ? fmt::format("{} runs work again: released from quarantine", name)
                                  : fmt::format("{} fails work that other workers complete: quarantined", name));
  }
  capacity_freed_ = true;
}

// Updates the number of leased workers, and forgets workers that moved to other owners.
void WorkerRole::RefreshQuarantine() {
  quarantine_.SetTargetCount(leases());
  quarantine_.ReleaseUnprobed(context_.Now());
  for (const WorkerName& name : std::set<WorkerName>(quarantine_.suspects())) {
    const OwnedWorker& worker = workers_[name];
    if (!worker.owned_here && worker.token == 0) {
      quarantine_.Forget(name);
    }
  }
}

// True for a single batch task that may run twice: it is safe to retry and ends by itself.
bool WorkerRole::CanBeProbe(const Reserve& reserve) const {
  const ClassSpec* spec = context_.configuration.FindClass(reserve.class_name);
  return reserve.kind == WorkKind::kBatch && spec != nullptr && spec->may_run_twice;
}

// Returns a quarantined worker whose probe is due, if the task can be a probe and has not failed on that worker itself;
// else null.
OwnedWorker* WorkerRole::FindProbe(const Reserve& reserve) {
  if (quarantine_.quarantined().empty() || !CanBeProbe(reserve)) {
    return nullptr;
  }
  const std::vector<WorkerName> failed_on = quarantine_.TargetsFailedOn(reserve.run.task.key.ToString());
  for (const WorkerName& name : quarantine_.quarantined()) {
    OwnedWorker& worker = workers_[name];
    const bool failed = std::find(failed_on.begin(), failed_on.end(), name) != failed_on.end();
    const bool fits = AcceptsRuns(worker) && reserve.size.FitsIn(worker.ledger.free());
    if (fits && !failed && quarantine_.TakeProbe(name, context_.Now())) {
      return &worker;
    }
  }
  return nullptr;
}

// Returns the workers to use for a task only if no other has capacity: those on which it failed before and, unless it
// can be a probe, those on which other tasks failed.
std::vector<OwnedWorker*> WorkerRole::WorkersToAvoid(const Reserve& reserve) {
  std::vector<OwnedWorker*> avoided;
  const std::vector<WorkerName> failed_on = quarantine_.TargetsFailedOn(reserve.run.task.key.ToString());
  const bool run_once_or_together = !CanBeProbe(reserve);
  for (const WorkerName& name : quarantine_.suspects()) {
    const bool failed = std::find(failed_on.begin(), failed_on.end(), name) != failed_on.end();
    if (failed || run_once_or_together) {
      avoided.push_back(&workers_[name]);
    }
  }
  return avoided;
}

// A task that must not run twice first waits for a while instead of using a worker on which several tasks failed.
bool WorkerRole::AcceptsAvoidedWorker(const Reserve& reserve, const OwnedWorker& worker, bool can_wait) const {
  return !can_wait || !reserve.queue || CanBeProbe(reserve) || !quarantine_.IsUnreliable(worker.entry.name);
}

OwnedWorker* WorkerRole::FindWorker(const Reserve& reserve, bool can_wait) {
  if (quarantine_.suspects().empty()) {
    return FindAnyWorker(reserve);
  }
  if (OwnedWorker* probe = FindProbe(reserve); probe != nullptr) {
    return probe;
  }
  const std::vector<OwnedWorker*> avoided = WorkersToAvoid(reserve);
  for (const OwnedWorker* worker : avoided) {
    capacity_index_.Update(worker->index_id, WorkerCapacity{worker->ledger.capacity(), worker->ledger.free(), false});
  }
  OwnedWorker* found = FindAnyWorker(reserve);
  for (const OwnedWorker* worker : avoided) {
    RefreshCapacity(*worker);
  }
  if (found != nullptr || avoided.empty()) {
    return found;
  }
  found = FindAnyWorker(reserve);
  return found != nullptr && AcceptsAvoidedWorker(reserve, *found, can_wait) ? found : nullptr;
}

}  // namespace hibiscus
