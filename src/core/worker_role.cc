// Control leases: acquiring, renewing, releasing, and adopting the runs in progress before placing new ones.
#include "core/worker_role.h"

#include <algorithm>
#include <set>

#include <fmt/core.h>

namespace hibiscus {

namespace {
constexpr Duration kAcquireRetryDelay = 300ms;
constexpr Duration kPendingRunCheckInterval = 20ms;  // For runs in an unknown state.
}  // namespace

void WorkerRole::OnList(const std::vector<ListEntry>& entries) {
  std::set<WorkerName> listed;
  for (const ListEntry& entry : entries) {
    if (entry.kind == ListKind::kWorker && entry.data_centre == context_.settings.data_centre) {
      RefreshCapacity(AddOrUpdateWorker(entry));
      listed.insert(entry.name);
    }
  }
  for (auto& [name, worker] : workers_) {
    if (listed.contains(name)) {
      worker.unlisted_since = TimePoint{};
    } else if (worker.unlisted_since == TimePoint{}) {
      worker.unlisted_since = context_.Now();
    }
  }
  RefreshOwned();
}

OwnedWorker& WorkerRole::AddOrUpdateWorker(const ListEntry& entry) {
  const auto [found, added] = workers_.try_emplace(entry.name);
  OwnedWorker& worker = found->second;
  worker.entry = entry;
  if (added) {
    worker.index_id = capacity_index_.Add();
    indexed_workers_.push_back(&worker);
    racks_[entry.rack].push_back(&worker);
  }
  return worker;
}

void WorkerRole::RefreshOwned() {
  refreshed_view_ = context_.view;
  for (auto& [name, worker] : workers_) {
    worker.owned_here = context_.OwnerOf(name) == context_.settings.name;
  }
}

void WorkerRole::OnTick() {
  if (refreshed_view_ != context_.view) {
    RefreshOwned();
  }
  for (auto& [name, worker] : workers_) {
    TickWorker(worker);
  }
  RefreshQuarantine();
  PlaceQueued();
  RefreshLoad();
}

void WorkerRole::OnPause() {
  for (auto& [name, worker] : workers_) {
    LoseLease(worker);
  }
}

void WorkerRole::TickWorker(OwnedWorker& worker) {
  const TimePoint now = context_.Now();
  if (worker.token != 0 && now >= worker.lease_expiry) {
    LoseLease(worker);
  }
  DropExpiredHolds(worker);
  EndExpiredRuns(worker);
  if (now >= worker.next_run_check) {
    TickRuns(worker);
  }
  if (worker.owned_here && worker.acquire_call == 0 && now >= worker.next_acquire) {
    Acquire(worker);
  }
  RefreshCapacity(worker);
  if (worker.owned_here || !HasLease(worker) || !worker.holds.empty() || worker.releasing) {
    return;
  }
  const bool starting = std::any_of(worker.runs.begin(), worker.runs.end(),
                                    [](const auto& entry) { return entry.second.phase == OwnedRun::Phase::kStarting; });
  if (!starting) {
    Release(worker);
  }
}

// Sends the reports that are due, forgets expired runs and schedules the next check.
void WorkerRole::TickRuns(OwnedWorker& worker) {
  const TimePoint now = context_.Now();
  ForgetExpired(worker);
  worker.next_run_check = TimePoint::max();
  for (auto& [run, owned] : worker.runs) {
    const bool ended = owned.phase == OwnedRun::Phase::kEnded;
    const bool state_known = ended || (owned.phase == OwnedRun::Phase::kRunning && HasLease(worker));
    if (state_known && now >= owned.next_report) {
      Report(worker, owned);
    }
    const TimePoint retry =
        state_known ? owned.next_report : std::max(owned.next_report, now + kPendingRunCheckInterval);
    worker.next_run_check = std::min({worker.next_run_check, retry, owned.forget_at});
  }
}

void WorkerRole::Acquire(OwnedWorker& worker) {
  WorkerCall request;
  request.op = WorkerOp::kAcquire;
  request.holder = context_.settings.name;
  request.token = worker.token;
  request.ttl = context_.settings.control_lease;
  request.run_ttl = context_.settings.run_lease;
  request.wait = worker.token == 0 ? 0us : context_.settings.renew_wait;
  request.acks = std::move(worker.acks);
  worker.acks.clear();
  worker.acquire_sent = context_.Now();
  if (worker.token != 0) {
    worker.last_renewal = context_.Now();
  }
  worker.acquire_call = Call(worker, request, context_.settings.worker_timeout);
}

void WorkerRole::Release(OwnedWorker& worker) {
  context_.ReportStep(Step::kLeaseReleased);
  worker.releasing = true;
  WorkerCall request;
  request.op = WorkerOp::kRelease;
  request.holder = context_.settings.name;
  request.token = worker.token;
  Call(worker, request, context_.settings.worker_timeout);
}

// Invalidates the token and drops every hold. Runs continue, and the next lease holder adopts them.
void WorkerRole::LoseLease(OwnedWorker& worker) {
  if (worker.token != 0) {
    context_.ReportStep(Step::kLeaseLost);
  }
  worker.token = 0;
  worker.releasing = false;
  worker.acquire_call = 0;
  while (!worker.holds.empty()) {
    DropHold(worker, RunId(worker.holds.begin()->first));
  }
  worker.expired_holds.clear();
  RefreshCapacity(worker);
}

// The time after which no run can still execute without a further renewal. Counts from the last renewal sent, whether
// or not it was answered, because the worker may have received it as late as the call's timeout.
Duration WorkerRole::RunExpiryDelay() const {
  return context_.settings.worker_timeout + context_.settings.run_lease + context_.settings.drift_margin;
}

// Ends the runs of an unreachable worker whose last lease was this host's, once their run leases must have expired
// there.
void WorkerRole::EndExpiredRuns(OwnedWorker& worker) {
  const bool renewed = worker.token != 0 || worker.last_renewal == TimePoint{};
  if (renewed || context_.Now() < worker.last_renewal + RunExpiryDelay()) {
    return;
  }
  for (auto& [id, run] : worker.runs) {
    if (run.phase != OwnedRun::Phase::kEnded) {
      const bool started = run.phase == OwnedRun::Phase::kRunning;
      EndRun(worker, id, started ? RunPhase::kStopped : RunPhase::kGone);
    }
  }
}

CallId WorkerRole::Call(const OwnedWorker& worker, WorkerCall request, Duration timeout) {
  const CallId call = context_.NextId();
  calls_[call] = PendingCall{worker.entry.name, request.op, request.task.run, request.token, {}};
  context_.AddAction(SendWorker{call, worker.entry.name, worker.entry.address, std::move(request), timeout});
  return call;
}

bool WorkerRole::OnWorker(const WorkerEvent& event) {
  const auto entry = calls_.extract(event.call);
  if (entry.empty()) {
    return false;
  }
  const PendingCall& call = entry.mapped();
  OwnedWorker& worker = workers_[call.worker];
  switch (call.op) {
    case WorkerOp::kAcquire:
      if (event.call == worker.acquire_call) {
        worker.acquire_call = 0;
        OnAcquireReply(worker, event);
      }
      break;
    case WorkerOp::kStart:
      OnStartReply(worker, call, event);
      break;
    case WorkerOp::kStop:
      OnStopReply(worker, call, event);
      break;
    case WorkerOp::kRelease:
      if (call.token == worker.token) {
        LoseLease(worker);
        worker.acks.clear();
        std::erase_if(worker.runs, [](const auto& run) { return run.second.phase != OwnedRun::Phase::kEnded; });
        worker.ledger.Reset({});
        RefreshCapacity(worker);
      }
      break;
  }
  if (capacity_freed_) {
    PlaceQueued();
  }
  RefreshLoad();
  return true;
}

void WorkerRole::OnAcquireReply(OwnedWorker& worker, const WorkerEvent& event) {
  const bool granted = event.delivery == Delivery::kAnswered && event.reply.status == WorkerStatus::kOk;
  if (!granted) {
    worker.next_acquire = context_.Now() + kAcquireRetryDelay;
    const bool fenced = event.delivery == Delivery::kAnswered;
    if (fenced) {
      LoseLease(worker);
    }
    return;
  }
  HIBISCUS_INVARIANT(event.reply.token >= worker.token, worker.entry.name,
                     "A worker's token must only grow: check the worker's protocol.");
  if (!event.reply.full && event.reply.token != worker.token) {
    LoseLease(worker);  // An earlier call of this host, answered late, acquired a newer lease. Only a full list may
                        // replace the known runs.
    return;
  }
  worker.token = event.reply.token;
  worker.lease_expiry = worker.acquire_sent + context_.settings.control_lease;
  worker.next_acquire = context_.Now();
  if (event.reply.full) {
    AdoptRuns(worker, event.reply);
  } else {
    RecordEndedRuns(worker, event.reply.tasks, true);
  }
}

// Handles a new lease: the worker's list of runs replaces the state known to this host.
void WorkerRole::AdoptRuns(OwnedWorker& worker, const WorkerReply& reply) {
  context_.ReportStep(Step::kLeaseTaken);
  worker.lease_number = ++lease_count_;
  context_.own_load.lease_count = lease_count_;
  const std::map<RunId, OwnedRun> before = std::move(worker.runs);
  worker.runs.clear();
  while (!worker.holds.empty()) {
    DropHold(worker, RunId(worker.holds.begin()->first));
  }
  worker.next_run_check = context_.Now();
  worker.ledger.Reset(reply.capacity);
  for (const WorkerTask& task : reply.tasks) {
    OwnedRun& run = worker.runs[task.run];
    run.task = task;
    run.phase = OwnedRun::Phase::kRunning;
    worker.ledger.AddUnchecked(task.run, task.size);
  }
  for (const auto& [id, old] : before) {
    if (worker.runs.contains(id)) {
      continue;
    }
    if (old.phase == OwnedRun::Phase::kEnded) {
      worker.runs[id] = old;  // Its report is not acknowledged yet.
      continue;
    }
    OwnedRun& gone = worker.runs[id] = old;
    gone.phase = OwnedRun::Phase::kEnded;
    gone.end = old.phase == OwnedRun::Phase::kStarting ? RunPhase::kGone : RunPhase::kStopped;
  }
  RecordEndedRuns(worker, reply.tasks, false);
  RefreshCapacity(worker);
  capacity_freed_ = true;
  context_.Log("worker",
               fmt::format("{} leased, token {}, {} runs", worker.entry.name, worker.token, reply.tasks.size()));
}

// Records the runs that the worker reports as ended. `under_same_lease`: false if a new lease reported them; such ends
// don't count for quarantine.
void WorkerRole::RecordEndedRuns(OwnedWorker& worker, const std::vector<WorkerTask>& tasks, bool under_same_lease) {
  for (const WorkerTask& task : tasks) {
    if (task.state == RunState::kRunning) {
      continue;
    }
    const auto [entry, unknown] = worker.runs.try_emplace(task.run);
    OwnedRun& run = entry->second;
    run.task = task;
    const bool failed = task.state == RunState::kFailed;
    if (under_same_lease && !unknown && run.phase != OwnedRun::Phase::kEnded) {
      RecordRunEnd(worker, task, failed);
    }
    EndRun(worker, task.run, failed ? RunPhase::kFailed : RunPhase::kDone);
  }
}

bool WorkerRole::HasLease(const OwnedWorker& worker) const {
  return worker.token != 0 && context_.Now() < worker.lease_expiry;
}

bool WorkerRole::IsRemoved(const OwnedWorker& worker) const {
  const bool unlisted_since = worker.unlisted_since != TimePoint{};
  return unlisted_since && context_.Now() >= worker.unlisted_since + RunExpiryDelay();
}

bool WorkerRole::CoversAllWorkers() const {
  return !context_.list.empty() && std::all_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const OwnedWorker& worker = entry.second;
    const bool owned_here = context_.OwnerOf(entry.first) == context_.settings.name;
    return !owned_here || HasLease(worker) || IsRemoved(worker);
  });
}

std::vector<RunReport> WorkerRole::RunsOf(const RequestKey& key) const {
  std::vector<RunReport> reports;
  for (const auto& [name, worker] : workers_) {
    for (const auto& [id, run] : EntriesOfRequest(worker.runs, key)) {
      const bool gone = run.phase == OwnedRun::Phase::kEnded && run.end != RunPhase::kDone;
      if (!gone) {
        const RunPhase phase = run.phase == OwnedRun::Phase::kEnded ? RunPhase::kDone : RunPhase::kStarted;
        reports.push_back(RunReport{id, name, worker.token, phase, run.task.body});
      }
    }
  }
  return reports;
}

size_t WorkerRole::leases() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) { return HasLease(entry.second); }));
}

}  // namespace hibiscus
