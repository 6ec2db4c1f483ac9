#include "core/server_role.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kProbeTimeout = 700ms;
constexpr Duration kRefusedPause = 50ms;  // A server that refused gets nothing new for this long.
constexpr Duration kComeBack = 500ms;     // Retry-After when no slot comes free in time.
constexpr int kMostSlots = 8;             // Calls that one server serves at once.

}  // namespace

void ServerRole::OnList(const std::vector<ListEntry>& entries) {
  for (const ListEntry& entry : entries) {
    if (entry.kind == ListKind::kServer && entry.data_centre == context_.settings.data_centre) {
      servers_[entry.name].entry = entry;
    }
  }
}

void ServerRole::OnTick() {
  for (auto& [name, server] : servers_) {
    const bool ours = context_.OwnerOf(name) == context_.settings.name;
    if (ours && server.probe == 0 && context_.Now() >= server.next_probe) {
      Probe(server);
    }
  }
  ServeQueue();
  RefreshLoad();
}

void ServerRole::OnDispatch(const HostName& from, const CallDispatch& dispatch) {
  const TimePoint now = context_.Now();
  Enqueue(QueuedCall{from, dispatch, now + dispatch.start_within, now + dispatch.finish_within});
  ServeQueue();
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

bool ServerRole::Usable(const OwnedServer& server) const {
  const TimePoint now = context_.Now();
  const bool ours = context_.OwnerOf(server.entry.name) == context_.settings.name;
  const bool fresh = now - server.good_probe < context_.settings.probe_fresh;
  return ours && fresh && server.healthy && !server.entry.leaving && now >= server.not_before &&
         server.in_progress < std::min(server.slots, kMostSlots);
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
  OwnedServer& server = servers_[execution.server];
  --server.in_progress;
  const QueuedCall& call = execution.call;
  if (event.delivery == Delivery::kUnknown) {
    server.healthy = false;
    const CallResult unknown{call.dispatch.run, ResultCode::kUnknownOutcome, Verdict::kUnknown, {}, 0us};
    context_.Send(call.home, unknown);
    return;
  }
  const bool refused = event.delivery == Delivery::kNotSent || event.reply.status == ServerStatus::kRefused;
  if (refused) {
    server.not_before = context_.Now() + kRefusedPause;
    server.healthy = server.healthy && event.delivery == Delivery::kAnswered && !event.reply.leaving;
    Enqueue(call);
    return;
  }
  const bool ok = event.reply.status == ServerStatus::kOk;
  context_.Send(call.home, CallResult{call.dispatch.run, ok ? ResultCode::kOk : ResultCode::kTaskFailed,
                                      ok ? Verdict::kDone : Verdict::kFailed, event.reply.body, 0us});
}

void ServerRole::Enqueue(QueuedCall call) {
  const auto place = std::upper_bound(queue_.begin(), queue_.end(), call,
                                      [](const auto& a, const auto& b) { return a.start_by < b.start_by; });
  queue_.insert(place, std::move(call));
}

void ServerRole::ServeQueue() {
  size_t served = 0;
  for (; served < queue_.size(); ++served) {
    const QueuedCall& call = queue_[served];
    if (context_.Now() >= call.start_by) {
      Refuse(call, ResultCode::kStartTargetMissed);
      continue;
    }
    OwnedServer* server = FindSlot();
    if (server == nullptr) {
      break;
    }
    Execute(*server, call);
  }
  queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(served));
}

OwnedServer* ServerRole::FindSlot() {
  OwnedServer* best = nullptr;
  for (auto& [name, server] : servers_) {
    if (Usable(server) && (best == nullptr || server.in_progress < best->in_progress)) {
      best = &server;
    }
  }
  return best;
}

void ServerRole::Execute(OwnedServer& server, const QueuedCall& call) {
  HIBISCUS_INVARIANT(context_.Now() - server.good_probe < context_.settings.probe_fresh, server.entry.name,
                     "A backend server gets new work only while its last good probe is fresh: use FindSlot.");
  ++server.in_progress;
  ObserveStart(call);
  const CallId id = context_.NextId();
  executions_[id] = Execution{server.entry.name, call};
  const Duration left = call.finish_by - context_.Now();
  ServerCall request{ServerOp::kExecute, call.dispatch.run, call.dispatch.payload, left};
  context_.Act(SendServer{id, server.entry.name, server.entry.address, std::move(request), left});
}

// What is left of the start target tells how long ago the request was accepted.
void ServerRole::ObserveStart(const QueuedCall& call) {
  const ClassSpec* spec = context_.configuration.FindClass(call.dispatch.class_name);
  if (spec == nullptr) {
    return;
  }
  const Duration waited = std::max(spec->start_within - (call.start_by - context_.Now()), Duration(0));
  const std::string& tenant = call.dispatch.run.task.key.tenant;
  context_.Act(Observed{Observed::What::kStarted, tenant, spec->name, waited});
}

void ServerRole::Refuse(const QueuedCall& call, ResultCode code) {
  context_.Send(call.home, CallResult{call.dispatch.run, code, Verdict::kNotRun, {}, kComeBack});
}

void ServerRole::RefreshLoad() {
  int free = 0;
  for (const auto& [name, server] : servers_) {
    if (Usable(server)) {
      free += std::min(server.slots, kMostSlots) - server.in_progress;
    }
  }
  context_.own_load.free_slots = free - static_cast<int>(queue_.size());
}

}  // namespace hibiscus
