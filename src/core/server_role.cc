#include "core/server_role.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kProbeTimeout = 700ms;
constexpr Duration kFirstPause = 50ms;      // A server that refused or broke off a call gets nothing new for this long.
constexpr Duration kLongestPause = 3200ms;  // Of a server that serves no call.
constexpr Duration kSlotRetryAfter = 500ms;  // Retry-After when no slot came free in time.
constexpr Duration kMaxServerLatency = 5ms;  // A call begins this long after it was sent, at most.
constexpr Duration kJudgeEvery = 200ms;      // Which servers are slow.
constexpr double kPatience = 0.25;  // Share of its start target that a call waits before it takes a slow server.
constexpr int kMostSlots = 8;       // Calls that one server serves at once.

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
    server.ours = context_.OwnerOf(name) == context_.settings.name;
  }
}

void ServerRole::OnTick() {
  if (refreshed_view_ != context_.view) {
    RefreshOwned();
  }
  if (context_.Now() >= next_outlier_update_) {
    next_outlier_update_ = context_.Now() + kJudgeEvery;
    outliers_.Judge();
  }
  for (auto& [name, server] : servers_) {
    if (server.ours && server.probe == 0 && context_.Now() >= server.next_probe) {
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
  admission_.Offered(DemandOf(call), now);
  OwnedServer* server = queue_.empty() ? FindServer(call) : nullptr;
  const double capacity = Capacity();
  const bool checked = context_.settings.policy.admission && capacity > 0;
  if (server != nullptr) {
    admission_.Admitted(DemandOf(call), now);
    Execute(*server, call);
  } else if (checked && !admission_.Admits(DemandOf(call), capacity, now)) {
    Refuse(call, ResultCode::kOverloaded, admission_.RetryAfter(DemandOf(call), capacity, now));
  } else {
    admission_.Admitted(DemandOf(call), now);
    call.predicted = admission_.Wait(DemandOf(call), capacity, now);
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
  const bool fresh = context_.Now() - server.good_probe < context_.settings.probe_fresh;
  return server.ours && fresh && server.healthy && !server.entry.leaving;
}

bool ServerRole::HasFreeSlot(const OwnedServer& server) const {
  return IsServing(server) && context_.Now() >= server.not_before &&
         server.in_progress < std::min(server.slots, kMostSlots);
}

// Slots of all servers that serve, free or not.
double ServerRole::Capacity() const {
  int slots = 0;
  for (const auto& [name, server] : servers_) {
    slots += IsServing(server) ? std::min(server.slots, kMostSlots) : 0;
  }
  return slots;
}

void ServerRole::Probe(OwnedServer& server) {
  server.probe = context_.NextId();
  server.probe_sent = context_.Now();
  server.next_probe = context_.Now() + context_.settings.probe_every;
  probes_[server.probe] = server.entry.name;
  context_.Act(SendServer{server.probe, server.entry.name, server.entry.address, ServerCall{}, kProbeTimeout});
}

void ServerRole::OnProbe(OwnedServer& server, const ServerEvent& event) {
  server.probe = 0;
  const bool good = event.delivery == Delivery::kAnswered && event.reply.status == ServerStatus::kOk;
  server.healthy = good && !event.reply.leaving;
  if (good) {
    server.slots = event.reply.slots;
    server.good_probe = server.probe_sent;
  }
}

void ServerRole::OnExecuted(const Execution& execution, const ServerEvent& event) {
  context_.Pass(Step::kCallEnded);
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
  server.pause = 0us;
  RecordRunTime(execution);
  const bool ok = event.reply.status == ServerStatus::kOk;
  context_.Send(call.home, CallResult{call.dispatch.run, ok ? ResultCode::kOk : ResultCode::kTaskFailed,
                                      ok ? Verdict::kDone : Verdict::kFailed, event.reply.body, 0us});
}

// A server that serves no call, though its probes are good, is tried ever more rarely. Calls that were on their way
// together count as one.
void ServerRole::StartBackoff(OwnedServer& server) {
  if (context_.Now() < server.not_before) {
    return;
  }
  const bool backs_off = context_.settings.policy.retry_budget && server.pause > 0us;
  server.pause = backs_off ? std::min(server.pause * 2, kLongestPause) : kFirstPause;
  server.not_before = context_.Now() + server.pause;
}

void ServerRole::RecordRunTime(const Execution& execution) {
  const std::string& class_name = execution.call.dispatch.class_name;
  const Duration took = context_.Now() - execution.started;
  run_times_.Learn(class_name, took);
  const double usual = run_times_.Seconds(class_name, 0);
  if (usual > 0) {
    outliers_.Record(execution.server, std::chrono::duration<double>(took).count() / usual);
  }
}

Demand ServerRole::DemandOf(const QueuedCall& call) const {
  return Demand{call.dispatch.class_name, call.dispatch.run.task.key.tenant, call.start_by, call.cost};
}

void ServerRole::Enqueue(QueuedCall call) {
  admission_.Queued(DemandOf(call), context_.Now());
  const QueueAttributes place{call.dispatch.class_name, call.dispatch.run.task.key.tenant, {}, call.start_by, 1};
  queue_.Push(place, std::move(call));
}

void ServerRole::ServeQueue() {
  while (const std::optional<QueuedCall> late = queue_.TakeExpired(context_.Now())) {
    admission_.Dequeued(DemandOf(*late));
    admission_.Learn(late->predicted, context_.Now() - late->arrived);
    Refuse(*late, ResultCode::kStartTargetMissed, kSlotRetryAfter);
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
    admission_.Dequeued(DemandOf(*next));
    admission_.Learn(next->predicted, context_.Now() - next->arrived);
    Execute(*server, *next);
  }
}

// A sound server by the policy's choice; a slow one on trial, or when the call has waited long.
OwnedServer* ServerRole::FindServer(const QueuedCall& call) {
  std::vector<OwnedServer*> sound;
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
    sound.push_back(&server);
    loads.push_back(static_cast<double>(server.in_progress) / std::min(server.slots, kMostSlots));
  }
  for (OwnedServer* server : slow) {
    if (MayUseSlow(*server, call) && outliers_.TakeTrial(server->entry.name, context_.Now())) {
      return server;
    }
  }
  if (!sound.empty()) {
    return sound[ChoiceFor(context_.settings.policy.choice).Pick(loads, context_.random)];
  }
  const bool waited = context_.Now() - call.arrived >= (call.start_by - call.arrived) * kPatience;
  const bool usable = waited && !slow.empty() && MayUseSlow(*slow.front(), call);
  return usable ? slow.front() : nullptr;
}

// A slow server must still be able to answer within the target, with a factor of two to spare.
bool ServerRole::MayUseSlow(const OwnedServer& server, const QueuedCall& call) const {
  const double expected = 2 * call.cost * outliers_.Slowness(server.entry.name);
  return expected < std::chrono::duration<double>(call.finish_by - context_.Now()).count();
}

void ServerRole::Execute(OwnedServer& server, const QueuedCall& call) {
  context_.Pass(Step::kCallSent);
  HIBISCUS_INVARIANT(context_.Now() - server.good_probe < context_.settings.probe_fresh, server.entry.name,
                     "A backend server gets new work only while its last good probe is fresh: use FindSlot.");
  ++server.in_progress;
  ReportStart(call);
  const CallId id = context_.NextId();
  executions_[id] = Execution{server.entry.name, call, context_.Now()};
  const Duration left = call.finish_by - context_.Now();
  ServerCall request{ServerOp::kExecute, call.dispatch.run, call.dispatch.payload, left};
  context_.Act(SendServer{id, server.entry.name, server.entry.address, std::move(request), left});
}

// What is left of the start target tells how long ago the request was accepted.
void ServerRole::ReportStart(const QueuedCall& call) {
  const ClassSpec* spec = context_.configuration.FindClass(call.dispatch.class_name);
  if (spec == nullptr) {
    return;
  }
  const Duration waited =
      std::max(spec->start_within - (call.start_by + kMaxServerLatency - context_.Now()), Duration(0));
  const std::string& tenant = call.dispatch.run.task.key.tenant;
  context_.Act(Observed{Observed::What::kStarted, tenant, spec->name, waited});
}

void ServerRole::Refuse(const QueuedCall& call, ResultCode code, Duration retry_after) {
  context_.Send(call.home, CallResult{call.dispatch.run, code, Verdict::kNotRun, {}, retry_after});
}

void ServerRole::RefreshLoad() {
  int free = 0;
  for (const auto& [name, server] : servers_) {
    free += HasFreeSlot(server) ? std::min(server.slots, kMostSlots) - server.in_progress : 0;
  }
  context_.own_load.free_slots = free - static_cast<int>(queue_.size());
}

}  // namespace hibiscus
