// Workers of this host that fail what others run well: which of them take what, and the probes.
#include <algorithm>

#include <fmt/core.h>

#include "core/worker_role.h"

namespace hibiscus {

// How a run ended under a lease that never lapsed. Ends that a new lease finds say little: the runs may have lapsed.
void WorkerRole::RecordRunEnd(const OwnedWorker& worker, const WorkerTask& task, bool failed) {
  if (!context_.settings.policy.quarantine) {
    return;
  }
  const WorkerName& name = worker.entry.name;
  const bool before = quarantine_.IsQuarantined(name);
  if (failed) {
    quarantine_.Failed(name, task.class_name, task.run.task.key.ToString(), context_.Now());
  } else {
    quarantine_.RecordSuccess(name, task.class_name, context_.Now());
  }
  if (before != quarantine_.IsQuarantined(name)) {
    context_.Log("worker", before ? fmt::format("{} runs work again: out of quarantine", name)
                                  : fmt::format("{} fails what others run: quarantined", name));
  }
  capacity_freed_ = true;
}

// Counts the workers that are leased, and forgets those that have gone to other owners.
void WorkerRole::RefreshQuarantine() {
  quarantine_.SetTargetCount(leases());
  quarantine_.Judge(context_.Now());
  for (const WorkerName& name : std::set<WorkerName>(quarantine_.suspects())) {
    const OwnedWorker& worker = workers_[name];
    if (!worker.ours && worker.token == 0) {
      quarantine_.Forget(name);
    }
  }
}

// Work that may run twice, alone, and ends by itself.
bool WorkerRole::CanBeProbe(const Reserve& reserve) const {
  const ClassSpec* spec = context_.configuration.FindClass(reserve.class_name);
  return reserve.kind == WorkKind::kBatch && spec != nullptr && spec->may_run_twice;
}

// A quarantined worker whose probe is due, if the task may be one and has not failed there itself.
OwnedWorker* WorkerRole::FindProbe(const Reserve& reserve) {
  if (quarantine_.quarantined().empty() || !CanBeProbe(reserve)) {
    return nullptr;
  }
  const std::vector<WorkerName> failed_on = quarantine_.TargetsFailedOn(reserve.run.task.key.ToString());
  for (const WorkerName& name : quarantine_.quarantined()) {
    OwnedWorker& worker = workers_[name];
    const bool failed = std::find(failed_on.begin(), failed_on.end(), name) != failed_on.end();
    const bool room = AcceptsRuns(worker) && reserve.size.FitsIn(worker.ledger.free());
    if (room && !failed && quarantine_.TakeProbe(name, context_.Now())) {
      return &worker;
    }
  }
  return nullptr;
}

// Workers to be used for a task only if no other has room: those it failed on already and, for what may not be run
// again or has to run together, those on which others failed.
std::vector<OwnedWorker*> WorkerRole::WorkersToAvoid(const Reserve& reserve) {
  std::vector<OwnedWorker*> last;
  const std::vector<WorkerName> failed_on = quarantine_.TargetsFailedOn(reserve.run.task.key.ToString());
  const bool delicate = !CanBeProbe(reserve);
  for (const WorkerName& name : quarantine_.suspects()) {
    const bool failed = std::find(failed_on.begin(), failed_on.end(), name) != failed_on.end();
    if (failed || delicate) {
      last.push_back(&workers_[name]);
    }
  }
  return last;
}

// A task that cannot be run again waits for a while rather than go to a worker on which several others failed.
bool WorkerRole::AcceptsAvoidedWorker(const Reserve& reserve, const OwnedWorker& worker, bool patient) const {
  return !patient || !reserve.queue || CanBeProbe(reserve) || !quarantine_.IsUnreliable(worker.entry.name);
}

OwnedWorker* WorkerRole::FindWorker(const Reserve& reserve, bool patient) {
  if (quarantine_.suspects().empty()) {
    return FindAnyWorker(reserve);
  }
  if (OwnedWorker* probe = FindProbe(reserve); probe != nullptr) {
    return probe;
  }
  const std::vector<OwnedWorker*> last = WorkersToAvoid(reserve);
  for (const OwnedWorker* worker : last) {
    rooms_.Update(worker->room, Room{worker->ledger.capacity(), worker->ledger.free(), false});
  }
  OwnedWorker* found = FindAnyWorker(reserve);
  for (const OwnedWorker* worker : last) {
    RefreshCapacity(*worker);
  }
  if (found != nullptr || last.empty()) {
    return found;
  }
  found = FindAnyWorker(reserve);
  return found != nullptr && AcceptsAvoidedWorker(reserve, *found, patient) ? found : nullptr;
}

}  // namespace hibiscus
