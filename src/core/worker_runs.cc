// Runs on the workers of this host: holds, starts, stops, ends, and the queue of tasks that wait for room.
#include <algorithm>

#include "core/worker_role.h"

namespace hibiscus {

namespace {

constexpr Duration kReportEvery = 1s;     // Ends that the home host has not acknowledged.
constexpr Duration kComeBack = 1s;        // Retry-After when room is lacking.
constexpr Duration kStartMargin = 300ms;  // A lease that ends sooner takes no new start.

}  // namespace

void WorkerRole::OnReserve(const HostName& from, const Reserve& reserve) {
  if (!claims_.Allows(reserve.run.task.key, from)) {
    context_.Send(from, Reserved{reserve.run, ResultCode::kRepeatUnverified, {}, 0, kComeBack});
    return;
  }
  if (NeverFits(reserve.size)) {
    context_.Send(from, Reserved{reserve.run, ResultCode::kNeverFits, {}, 0, 0us});
    return;
  }
  if (OwnedWorker* worker = FindRoom(reserve); worker != nullptr) {
    HoldRoom(*worker, from, reserve);
    return;
  }
  if (!reserve.queue || context_.leaving) {
    context_.Send(from, Reserved{reserve.run, ResultCode::kNoCapacity, {}, 0, kComeBack});
    return;
  }
  QueuedReserve queued{from, reserve, context_.Now() + reserve.start_within};
  const auto place = std::upper_bound(queue_.begin(), queue_.end(), queued,
                                      [](const auto& a, const auto& b) { return a.start_by < b.start_by; });
  queue_.insert(place, std::move(queued));
}

void WorkerRole::PlaceQueued() {
  std::vector<QueuedReserve> waiting;
  for (QueuedReserve& queued : queue_) {
    if (context_.Now() >= queued.start_by) {
      context_.Send(queued.home, Reserved{queued.reserve.run, ResultCode::kStartTargetMissed, {}, 0, kComeBack});
    } else if (OwnedWorker* worker = FindRoom(queued.reserve); worker != nullptr) {
      HoldRoom(*worker, queued.home, queued.reserve);
    } else {
      waiting.push_back(std::move(queued));
    }
  }
  queue_ = std::move(waiting);
}

// Batch and gangs fill the fullest worker that has room; services go where most is free.
OwnedWorker* WorkerRole::FindRoom(const Reserve& reserve) {
  OwnedWorker* best = nullptr;
  const bool spread = reserve.kind == WorkKind::kService;
  for (auto& [name, worker] : workers_) {
    const bool usable = HasLease(worker) && !worker.releasing && !worker.entry.leaving &&
                        context_.Now() + kStartMargin < worker.lease_until;
    if (!usable || !reserve.size.FitsIn(worker.ledger.free())) {
      continue;
    }
    const int64_t free = worker.ledger.free().cpu_millis;
    const int64_t best_free = best == nullptr ? 0 : best->ledger.free().cpu_millis;
    if (best == nullptr || (spread ? free > best_free : free < best_free)) {
      best = &worker;
    }
  }
  return best;
}

void WorkerRole::HoldRoom(OwnedWorker& worker, const HostName& home, const Reserve& reserve) {
  const bool added = worker.ledger.Add(reserve.run, reserve.size);
  HIBISCUS_INVARIANT(added, reserve.run.ToString(), "FindRoom must only name a worker with room.");
  worker.holds[reserve.run] = Hold{home, context_.Now() + context_.settings.hold};
  context_.Send(home, Reserved{reserve.run, ResultCode::kOk, worker.entry.name, worker.token, 0us});
}

bool WorkerRole::NeverFits(const Resources& size) const {
  bool any = false;
  for (const auto& [name, worker] : workers_) {
    if (!HasLease(worker)) {
      continue;
    }
    any = true;
    if (size.FitsIn(worker.ledger.capacity())) {
      return false;
    }
  }
  return any;
}

void WorkerRole::OnCommit(const HostName& from, const Commit& commit) {
  const auto found = workers_.find(commit.worker);
  if (found == workers_.end()) {
    return;  // Not ours to say; the home host asks again.
  }
  if (!HasLease(found->second)) {
    ReportUnlisted(found->second, from, commit);
    return;
  }
  OwnedWorker& worker = found->second;
  if (const auto run = worker.runs.find(commit.run); run != worker.runs.end()) {
    if (!claims_.Allows(commit.run.task.key, from)) {
      return;  // Another home host has taken the request over.
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
  const RunPhase phase = worker.token == commit.token ? RunPhase::kNotStarted : RunPhase::kGone;
  context_.Send(from, RunReport{commit.run, commit.worker, worker.token, phase, {}});
}

// The platform has taken the worker away for longer than any run could last there without a renewal.
void WorkerRole::ReportUnlisted(const OwnedWorker& worker, const HostName& home, const Commit& commit) {
  if (IsLongUnlisted(worker)) {
    ReportTo(home, RunReport{commit.run, commit.worker, worker.token, RunPhase::kGone, {}});
  }
}

void WorkerRole::Start(OwnedWorker& worker, const HostName& home, const Commit& commit) {
  worker.holds.erase(commit.run);
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
      LoseLease(worker);  // Only a new lease, which lists what runs, can tell what became of the start.
      return;
    case Delivery::kNotSent:
      EndRun(worker, call.run, RunPhase::kNotStarted);
      return;
    case Delivery::kAnswered:
      break;
  }
  if (event.reply.status == WorkerStatus::kOk) {
    found->second.phase = OwnedRun::Phase::kRunning;
    Report(worker, found->second);
    return;
  }
  EndRun(worker, call.run, RunPhase::kNotStarted);
  if (event.reply.status == WorkerStatus::kStaleToken) {
    LoseLease(worker);
  }
}

void WorkerRole::OnReleaseHold(const ReleaseHold& release) {
  std::erase_if(queue_, [&](const QueuedReserve& queued) { return queued.reserve.run == release.run; });
  for (auto& [name, worker] : workers_) {
    if (worker.holds.erase(release.run) > 0) {
      worker.ledger.Remove(release.run);
    }
  }
}

void WorkerRole::OnStopRun(const HostName& from, const StopRun& stop) {
  if (!claims_.Allows(stop.run.task.key, from)) {
    context_.Send(from, RunReport{stop.run, stop.worker, 0, RunPhase::kGone, {}});  // No longer its run to stop.
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
    return;  // The start may still be on its way, so that "no such run" proves nothing. The order is repeated.
  }
  WorkerCall request;
  request.op = WorkerOp::kStop;
  request.holder = context_.settings.name;
  request.token = worker->second.token;
  request.task = run->second.task;
  const CallId call = Call(worker->second, request, context_.settings.worker_timeout);
  calls_[call].asked_by = from;
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
  owned.end = end;
  owned.forget_at = context_.Now() + context_.settings.remember;
  worker.ledger.Remove(run);
  Report(worker, owned);
}

void WorkerRole::Report(OwnedWorker& worker, OwnedRun& run) {
  const bool ended = run.phase == OwnedRun::Phase::kEnded;
  run.next_report = ended ? context_.Now() + kReportEvery : TimePoint::max();
  const RunPhase phase = ended ? run.end : RunPhase::kStarted;
  const bool home_there = context_.IsReachable(run.task.home);
  const HostName home = home_there ? run.task.home : context_.HomeOf(run.task.run.task.key);
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
  worker.acks.push_back(run);
  worker.runs.erase(run);
}

// Ends that no home host acknowledges are kept for as long as a repeat may ask for them.
void WorkerRole::ForgetOld(OwnedWorker& worker) {
  std::vector<RunId> old;
  for (const auto& [id, run] : worker.runs) {
    if (context_.Now() >= run.forget_at) {
      old.push_back(id);
    }
  }
  for (const RunId& run : old) {
    Forget(worker, run);
  }
}

void WorkerRole::DropExpiredHolds(OwnedWorker& worker) {
  std::erase_if(worker.holds, [&](const auto& hold) {
    const bool expired = context_.Now() >= hold.second.until;
    if (expired) {
      worker.ledger.Remove(hold.first);
    }
    return expired;
  });
}

void WorkerRole::RefreshLoad() {
  context_.own_load.free = {};
  context_.own_load.largest = {};
  for (const auto& [name, worker] : workers_) {
    if (!HasLease(worker) || worker.releasing) {
      continue;
    }
    const Resources free = worker.ledger.free();
    context_.own_load.free += free;
    if (free.cpu_millis > context_.own_load.largest.cpu_millis) {
      context_.own_load.largest = free;
    }
  }
}

}  // namespace hibiscus
