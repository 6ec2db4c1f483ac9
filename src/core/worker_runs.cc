// Runs on the workers that this host owns: starting, stopping, and reporting their ends.
#include <algorithm>

#include "core/worker_role.h"

namespace hibiscus {

namespace {

constexpr Duration kReportInterval = 1s;  // For ends that the home host has not acknowledged.

}  // namespace

void WorkerRole::OnCommit(const HostName& from, const Commit& commit) {
  const auto found = workers_.find(commit.worker);
  if (found == workers_.end()) {
    return;  // This host cannot answer for the worker; the home host asks again.
  }
  if (!HasLease(found->second)) {
    ReportIfRemoved(found->second, from, commit);
    return;
  }
  OwnedWorker& worker = found->second;
  if (commit.token > worker.token) {
    LoseLease(worker);  // The worker has granted a newer lease since, for example after a restart.
    return;
  }
  if (const auto run = worker.runs.find(commit.run); run != worker.runs.end()) {
    if (!claims_.Allows(commit.run.task.key, from)) {
      return;  // Another home host has claimed the request.
    }
    run->second.task.home = from;
    if (run->second.phase != OwnedRun::Phase::kStarting) {
      Report(worker, run->second);
    }
    return;
  }
  const bool held = worker.holds.contains(commit.run) && worker.token == commit.token;
  if (held && claims_.Allows(commit.run.task.key, from)) {
    Start(worker, from, commit);
    return;
  }
  OnReleaseHold(ReleaseHold{commit.run});
  // An unknown run may still have run: it may have started, ended and been acknowledged by another home host. Only a
  // hold under the same token proves that it did not start.
  const bool lapsed = worker.token == commit.token && worker.expired_holds.contains(commit.run);
  const RunPhase phase = held || lapsed ? RunPhase::kNotStarted : RunPhase::kGone;
  context_.Send(from, RunReport{commit.run, commit.worker, worker.token, phase, {}});
}

// Reports the run as gone if the platform's list dropped the worker longer ago than any run can last without a renewal.
void WorkerRole::ReportIfRemoved(const OwnedWorker& worker, const HostName& home, const Commit& commit) {
  if (IsRemoved(worker)) {
    ReportTo(home, RunReport{commit.run, commit.worker, worker.token, RunPhase::kGone, {}});
  }
}

void WorkerRole::Start(OwnedWorker& worker, const HostName& home, const Commit& commit) {
  context_.ReportStep(Step::kStartSent);
  worker.holds.erase(commit.run);
  held_by_.erase(commit.run);
  OwnedRun& run = worker.runs[commit.run];
  run.task = WorkerTask{commit.run, commit.class_name, home, commit.size, RunState::kRunning, {}};
  run.phase = OwnedRun::Phase::kStarting;
  HIBISCUS_INVARIANT(worker.ledger.used().FitsIn(worker.ledger.capacity()), worker.entry.name,
                     "A start must be covered by a hold: reserve before you commit.");
  WorkerCall request;
  request.op = WorkerOp::kStart;
  request.holder = context_.settings.name;
  request.run_ttl = context_.settings.run_lease;
  request.token = worker.token;
  request.task = run.task;
  request.run_time = commit.run_time;
  request.payload = commit.payload;
  worker.last_renewal = context_.Now();
  Call(worker, request, context_.settings.worker_timeout);
}

void WorkerRole::OnStartReply(OwnedWorker& worker, const PendingCall& call, const WorkerEvent& event) {
  const auto found = worker.runs.find(call.run);
  if (found == worker.runs.end() || found->second.phase != OwnedRun::Phase::kStarting) {
    return;
  }
  switch (event.delivery) {
    case Delivery::kUnknown:
      LoseLease(worker);  // Only the run list of a new lease shows whether it started.
      return;
    case Delivery::kNotSent:
      EndRun(worker, call.run, RunPhase::kNotStarted);
      return;
    case Delivery::kAnswered:
      break;
  }
  if (event.reply.status == WorkerStatus::kOk) {
    found->second.phase = OwnedRun::Phase::kRunning;
    found->second.started = context_.Now();
    context_.ReportStep(Step::kStartKnown);
    Report(worker, found->second);
    return;
  }
  if (event.reply.status == WorkerStatus::kInsufficientCapacity) {
    RecordRunEnd(worker, found->second.task, true);  // The worker reported enough free capacity for the run.
  }
  EndRun(worker, call.run, RunPhase::kNotStarted);
  if (event.reply.status == WorkerStatus::kStaleToken) {
    LoseLease(worker);
  }
}

void WorkerRole::OnStopRun(const HostName& from, const StopRun& stop) {
  if (!claims_.Allows(stop.run.task.key, from)) {
    context_.Send(
        from, RunReport{stop.run, stop.worker, 0, RunPhase::kGone, {}});  // Another home host has claimed the request.
    return;
  }
  OnReleaseHold(ReleaseHold{stop.run});
  const auto worker = workers_.find(stop.worker);
  if (worker == workers_.end() || !HasLease(worker->second)) {
    return;
  }
  const auto run = worker->second.runs.find(stop.run);
  if (run == worker->second.runs.end()) {
    context_.Send(from, RunReport{stop.run, stop.worker, worker->second.token, RunPhase::kStopped, {}});
    return;
  }
  if (run->second.phase == OwnedRun::Phase::kEnded) {
    Report(worker->second, run->second);
    return;
  }
  if (run->second.phase == OwnedRun::Phase::kStarting) {
    return;  // The start may arrive after a stop, so "no such run" would prove nothing. The home host repeats the
             // request.
  }
  WorkerCall request;
  request.op = WorkerOp::kStop;
  context_.ReportStep(Step::kStopSent);
  request.holder = context_.settings.name;
  request.token = worker->second.token;
  request.task = run->second.task;
  const CallId call = Call(worker->second, request, context_.settings.worker_timeout);
  calls_[call].requested_by = from;
}

void WorkerRole::OnStopReply(OwnedWorker& worker, const PendingCall& call, const WorkerEvent& event) {
  const bool stopped = event.delivery == Delivery::kAnswered &&
                       (event.reply.status == WorkerStatus::kOk || event.reply.status == WorkerStatus::kNoSuchRun);
  if (stopped && worker.runs.contains(call.run)) {
    EndRun(worker, call.run, RunPhase::kStopped);
  }
}

void WorkerRole::EndRun(OwnedWorker& worker, const RunId& run, RunPhase end) {
  OwnedRun& owned = worker.runs[run];
  if (owned.phase == OwnedRun::Phase::kEnded) {
    return;
  }
  owned.phase = OwnedRun::Phase::kEnded;
  context_.ReportStep(Step::kRunEnded);
  owned.end = end;
  owned.forget_at = context_.Now() + context_.settings.result_retention;
  if (end == RunPhase::kDone && owned.started != TimePoint{}) {
    run_times_.Learn(owned.task.class_name, context_.Now() - owned.started);
  }
  worker.next_run_check = std::min(worker.next_run_check, owned.forget_at);
  worker.ledger.Remove(run);
  RefreshCapacity(worker);
  capacity_freed_ = true;
  Report(worker, owned);
}

void WorkerRole::Report(OwnedWorker& worker, OwnedRun& run) {
  const bool ended = run.phase == OwnedRun::Phase::kEnded;
  run.next_report = ended ? context_.Now() + kReportInterval : TimePoint::max();
  worker.next_run_check = std::min(worker.next_run_check, run.next_report);
  const RunPhase phase = ended ? run.end : RunPhase::kStarted;
  const bool home_reachable = context_.IsReachable(run.task.home);
  const HostName home = home_reachable ? run.task.home : context_.HomeOf(run.task.run.task.key);
  if (!home.empty()) {
    ReportTo(home, RunReport{run.task.run, worker.entry.name, worker.token, phase, run.task.body});
  }
}

void WorkerRole::OnReportAck(const RunReportAck& ack) {
  const auto worker = workers_.find(ack.worker);
  if (worker == workers_.end()) {
    return;
  }
  const auto run = worker->second.runs.find(ack.run);
  if (run == worker->second.runs.end() || run->second.phase != OwnedRun::Phase::kEnded) {
    return;
  }
  Forget(worker->second, ack.run);
}

void WorkerRole::Forget(OwnedWorker& worker, const RunId& run) {
  context_.ReportStep(Step::kEndAcknowledged);
  worker.acks.push_back(run);
  worker.runs.erase(run);
}

// Forgets ended runs without an acknowledgement, and expired holds, once no retry can refer to them any more.
void WorkerRole::ForgetExpired(OwnedWorker& worker) {
  std::vector<RunId> expired;
  for (const auto& [id, run] : worker.runs) {
    if (context_.Now() >= run.forget_at) {
      expired.push_back(id);
    }
  }
  for (const RunId& run : expired) {
    Forget(worker, run);
  }
  std::erase_if(worker.expired_holds, [&](const auto& hold) { return context_.Now() >= hold.second; });
}

}  // namespace hibiscus
