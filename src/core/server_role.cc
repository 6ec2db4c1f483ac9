#include "core/server_role.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kProbeTimeout = 700ms;
constexpr Duration kMinBackoff = 50ms;              // After a server refused or broke off a call.
constexpr Duration kMaxBackoff = 3200ms;            // For a server that keeps failing calls.
constexpr Duration kSlotRetryAfter = 500ms;         // Retry-After if no slot became free in time.
constexpr Duration kMaxServerLatency = 5ms;         // Upper bound from sending a call to its start.
constexpr Duration kOutlierUpdateInterval = 200ms;  // For finding slow servers.
constexpr double kSlowServerWaitShare = 0.25;       // Share of its start target before a call may use a slow server.
constexpr int kMaxSlotsPerServer = 8;               // Concurrent calls on one server, whatever it reports.

}  // namespace

void ServerRole::OnList(const std::vector<ListEntry>& entries) {
  for (const ListEntry& entry : entries) {
    if (entry.kind == ListKind::kServer && entry.data_centre == context_.settings.data_centre) {
      servers_[entry.name].entry = entry;
    }
  }
  RefreshOwned();
}

void ServerRole::RefreshOwned() {
  refreshed_view_ = context_.view;
  for (auto& [name, server] : servers_) {
    server.owned_here = context_.OwnerOf(name) == context_.settings.name;
  }
}

void ServerRole::OnTick() {
  if (refreshed_view_ != context_.view) {
    RefreshOwned();
  }
  if (context_.Now() >= next_outlier_update_) {
    next_outlier_update_ = context_.Now() + kOutlierUpdateInterval;
    outliers_.UpdateSlowTargets();
  }
  for (auto& [name, server] : servers_) {
    if (server.owned_here && server.pending_probe == 0 && context_.Now() >= server.next_probe) {
      Probe(server);
    }
  }
  ServeQueue();
  RefreshLoad();
}

void ServerRole::OnDispatch(const HostName& from, const CallDispatch& dispatch) {
  const TimePoint now = context_.Now();
  const double cost = run_times_.Seconds(dispatch.class_name, 0);
  const TimePoint start_by = now + dispatch.start_within - kMaxServerLatency;
  QueuedCall call{from, dispatch, now, start_by, now + dispatch.finish_within, cost, 0us};
  admission_.OnOffered(DemandOf(call), now);
  OwnedServer* server = queue_.empty() ? FindServer(call) : nullptr;
  const double capacity = Capacity();
  const bool checked = context_.settings.policy.admission && capacity > 0;
  if (server != nullptr) {
    admission_.OnAdmitted(DemandOf(call), now);
    Execute(*server, call);
  } else if (checked && !admission_.Admits(DemandOf(call), capacity, now)) {
    Refuse(call, ResultCode::kOverloaded, admission_.RetryAfter(DemandOf(call), capacity, now));
  } else {
    admission_.OnAdmitted(DemandOf(call), now);
    call.predicted_wait = admission_.PredictWait(DemandOf(call), capacity, now);
    Enqueue(std::move(call));
    ServeQueue();
  }
  RefreshLoad();
}

bool ServerRole::OnServer(const ServerEvent& event) {
  if (const auto probe = probes_.extract(event.call); !probe.empty()) {
    OnProbe(servers_[probe.mapped()], event);
    return true;
  }
  const auto execution = executions_.extract(event.call);
  if (execution.empty()) {
    return false;
  }
  OnExecuted(execution.mapped(), event);
  ServeQueue();
  RefreshLoad();
  return true;
}

bool ServerRole::IsServing(const OwnedServer& server) const {
  const bool fresh = context_.Now() - server.last_good_probe < context_.settings.probe_validity;
  return server.owned_here && fresh && server.healthy && !server.entry.leaving;
}

bool ServerRole::HasFreeSlot(const OwnedServer& server) const {
  return IsServing(server) && context_.Now() >= server.backoff_until &&
         server.in_progress < std::min(server.slots, kMaxSlotsPerServer);
}

// Total slots of the servers in service, free or busy.
double ServerRole::Capacity() const {
  int slots = 0;
  for (const auto& [name, server] : servers_) {
    slots += IsServing(server) ? std::min(server.slots, kMaxSlotsPerServer) : 0;
  }
  return slots;
}

void ServerRole::Probe(OwnedServer& server) {
  server.pending_probe = context_.NextId();
  server.probe_sent = context_.Now();
  server.next_probe = context_.Now() + context_.settings.probe_interval;
  probes_[server.pending_probe] = server.entry.name;
  context_.AddAction(
      SendServer{server.pending_probe, server.entry.name, server.entry.address, ServerCall{}, kProbeTimeout});
}

void ServerRole::OnProbe(OwnedServer& server, const ServerEvent& event) {
  server.pending_probe = 0;
  const bool good = event.delivery == Delivery::kAnswered && event.reply.status == ServerStatus::kOk;
  server.healthy = good && !event.reply.leaving;
  if (good) {
    server.slots = event.reply.slots;
    server.last_good_probe = server.probe_sent;
  }
}

void ServerRole::OnExecuted(const Execution& execution, const ServerEvent& event) {
  context_.ReportStep(Step::kCallEnded);
  OwnedServer& server = servers_[execution.server];
  --server.in_progress;
  const QueuedCall& call = execution.call;
  if (event.delivery == Delivery::kUnknown) {
    server.healthy = false;
    StartBackoff(server);
    const CallResult unknown{call.dispatch.run, ResultCode::kUnknownOutcome, Verdict::kUnknown, {}, 0us};
    context_.Send(call.home, unknown);
    return;
  }
  const bool refused = event.delivery == Delivery::kNotSent || event.reply.status == ServerStatus::kRefused;
  if (refused) {
    StartBackoff(server);
    server.healthy = server.healthy && event.delivery == Delivery::kAnswered && !event.reply.leaving;
    Enqueue(call);
    return;
  }
  server.backoff = 0us;
  RecordRunTime(execution);
  const bool ok = event.reply.status == ServerStatus::kOk;
  context_.Send(call.home, CallResult{call.dispatch.run, ok ? ResultCode::kOk : ResultCode::kTaskFailed,
                                      ok ? Verdict::kDone : Verdict::kFailed, event.reply.body, 0us});
}

// Doubles the backoff of a server that fails calls although its probes succeed. Failures of calls that were in flight
// together count once.
void ServerRole::StartBackoff(OwnedServer& server) {
  if (context_.Now() < server.backoff_until) {
    return;
  }
  const bool doubles = context_.settings.policy.retry_budget && server.backoff > 0us;
  server.backoff = doubles ? std::min(server.backoff * 2, kMaxBackoff) : kMinBackoff;
  server.backoff_until = context_.Now() + server.backoff;
}

void ServerRole::RecordRunTime(const Execution& execution) {
  const std::string& class_name = execution.call.dispatch.class_name;
  const Duration run_time = context_.Now() - execution.started;
  run_times_.Learn(class_name, run_time);
  const double usual = run_times_.Seconds(class_name, 0);
  if (usual > 0) {
    outliers_.Record(execution.server, std::chrono::duration<double>(run_time).count() / usual);
  }
}

Demand ServerRole::DemandOf(const QueuedCall& call) const {
  return Demand{call.dispatch.class_name, call.dispatch.run.task.key.tenant, call.start_by, call.cost};
}

void ServerRole::Enqueue(QueuedCall call) {
  admission_.OnQueued(DemandOf(call), context_.Now());
  const QueueAttributes attributes{call.dispatch.class_name, call.dispatch.run.task.key.tenant, {}, call.start_by, 1};
  queue_.Push(attributes, std::move(call));
}

void ServerRole::ServeQueue() {
  while (const std::optional<QueuedCall> expired = queue_.TakeExpired(context_.Now())) {
    admission_.OnDequeued(DemandOf(*expired));
    admission_.RecordWait(expired->predicted_wait, context_.Now() - expired->arrived);
    Refuse(*expired, ResultCode::kStartTargetMissed, kSlotRetryAfter);
  }
  const auto has_slot = [&](const auto& entry) { return HasFreeSlot(entry.second); };
  while (!queue_.empty() && std::any_of(servers_.begin(), servers_.end(), has_slot)) {
    OwnedServer* server = nullptr;
    const std::optional<QueuedCall> next = queue_.TakeNext([&](const QueuedCall& call) {
      server = FindServer(call);
      return server != nullptr ? QueueDecision::kTake : QueueDecision::kSkip;
    });
    if (!next) {
      return;
    }
    admission_.OnDequeued(DemandOf(*next));
    admission_.RecordWait(next->predicted_wait, context_.Now() - next->arrived);
    Execute(*server, *next);
  }
}

// Returns a server with a free slot: a slow one if its trial is due, else a regular one by the choice rule, else a slow
// one if the call has waited long; null if there is none.
OwnedServer* ServerRole::FindServer(const QueuedCall& call) {
  std::vector<OwnedServer*> regular;
  std::vector<OwnedServer*> slow;
  std::vector<double> loads;
  for (auto& [name, server] : servers_) {
    if (!HasFreeSlot(server)) {
      continue;
    }
    if (context_.settings.policy.avoid_slow && outliers_.IsSlow(name)) {
      slow.push_back(&server);
      continue;
    }
    regular.push_back(&server);
    loads.push_back(static_cast<double>(server.in_progress) / std::min(server.slots, kMaxSlotsPerServer));
  }
  for (OwnedServer* server : slow) {
    if (MayUseSlow(*server, call) && outliers_.TakeTrial(server->entry.name, context_.Now())) {
      return server;
    }
  }
  if (!regular.empty()) {
    return regular[ChoiceFor(context_.settings.policy.choice).Pick(loads, context_.random)];
  }
  const bool waited = context_.Now() - call.arrived >= (call.start_by - call.arrived) * kSlowServerWaitShare;
  const bool usable = waited && !slow.empty() && MayUseSlow(*slow.front(), call);
  return usable ? slow.front() : nullptr;
}

// True if twice the expected run time on the slow server still ends before the call's deadline.
bool ServerRole::MayUseSlow(const OwnedServer& server, const QueuedCall& call) const {
  const double expected = 2 * call.cost * outliers_.Slowness(server.entry.name);
  return expected < std::chrono::duration<double>(call.finish_by - context_.Now()).count();
}

void ServerRole::Execute(OwnedServer& server, const QueuedCall& call) {
  context_.ReportStep(Step::kCallSent);
  HIBISCUS_INVARIANT(context_.Now() - server.last_good_probe < context_.settings.probe_validity, server.entry.name,
                     "A backend server gets new work only while its last good probe is fresh: use FindServer.");
  ++server.in_progress;
  ReportStart(call);
  const CallId id = context_.NextId();
  executions_[id] = Execution{server.entry.name, call, context_.Now()};
  const Duration left = call.finish_by - context_.Now();
  ServerCall request{ServerOp::kExecute, call.dispatch.run, call.dispatch.payload, left};
  context_.AddAction(SendServer{id, server.entry.name, server.entry.address, std::move(request), left});
}

// Reports the time from acceptance to start, derived from the time left of the start target.
void ServerRole::ReportStart(const QueuedCall& call) {
  const ClassSpec* spec = context_.configuration.FindClass(call.dispatch.class_name);
  if (spec == nullptr) {
    return;
  }
  const Duration waited =
      std::max(spec->start_within - (call.start_by + kMaxServerLatency - context_.Now()), Duration(0));
  const std::string& tenant = call.dispatch.run.task.key.tenant;
  context_.AddAction(RequestObservation{RequestObservation::Milestone::kStarted, tenant, spec->name, waited});
}

void ServerRole::Refuse(const QueuedCall& call, ResultCode code, Duration retry_after) {
  context_.Send(call.home, CallResult{call.dispatch.run, code, Verdict::kNotRun, {}, retry_after});
}

void ServerRole::RefreshLoad() {
  int free = 0;
  for (const auto& [name, server] : servers_) {
    free += HasFreeSlot(server) ? std::min(server.slots, kMaxSlotsPerServer) - server.in_progress : 0;
  }
  context_.own_load.free_slots = free - static_cast<int>(queue_.size());
}

}  // namespace hibiscus
