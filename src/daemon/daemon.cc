#include "daemon/daemon.h"

#include <random>
#include <thread>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/overloaded.h"
#include "ports/explain_api.h"
#include "ports/json_codec.h"
#include "ports/log.h"

namespace hibiscus {

namespace {

constexpr Duration kListTimeout = 800ms;
constexpr Duration kDrainTimeout = 3s;  // For sending the last answers of a planned stop.

uint64_t RandomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Decodes a reply of an external system into an event. The outcome of an unreadable reply counts as unknown.
template <class Event, class Reply>
Event ToReplyEvent(CallId call, const HttpResult& result) {
  Event event;
  event.call = call;
  event.delivery = result.delivery;
  if (result.delivery != Delivery::kAnswered) {
    return event;
  }
  const auto reply = DecodeJson<Reply>(result.body);
  if (result.status != 200 || !reply) {
    event.delivery = Delivery::kUnknown;
    return event;
  }
  event.reply = *reply;
  return event;
}

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      core_(settings.host, clock_, RandomSeed()),
      loop_(core_, [this](std::vector<Action> actions) { Execute(std::move(actions)); }),
      metrics_(settings.host.data_centre) {
  peers_ = std::make_unique<PeerLink>(settings_.host.name, settings_.peer_address,
                                      [this](const HostName& from, PeerMessage message) {
                                        loop_.Post(PeerEvent{from, std::move(message)});
                                      });
  http_ = std::make_unique<HttpServer>(
      settings_.http, [this](ExchangeId exchange, const HttpRequest& request) { OnHttp(exchange, request); });
}

Daemon::~Daemon() = default;

void Daemon::Run() {
  Log(LogLevel::kInfo, "daemon",
      fmt::format("{} serves callers on port {}, peers on port {}", settings_.host.name, http_->port(),
                  peers_->port()));
  std::thread list_thread([this] { PollListUntilStop(); });
  std::thread leave_thread([this] { StopAfterLeave(); });
  loop_.Run();
  NotifyStopped();
  list_thread.join();
  leave_thread.join();
}

void Daemon::NotifyStopped() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
}

void Daemon::PollListUntilStop() {
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    lock.unlock();
    FetchList();
    lock.lock();
    wake_.wait_for(lock, settings_.list_interval, [&] { return stopped_; });
  }
}

// Runs a planned stop: refuses callers until the balancer has removed the host, waits until no request is open, then
// sends the remaining answers.
void Daemon::StopAfterLeave() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [&] { return leaving_ || stopped_; });
  if (stopped_) {
    return;
  }
  const TimePoint leave_started = clock_.Now();
  wake_.wait(lock, [&] { return drained_ || stopped_; });
  wake_.wait_until(lock, leave_started + settings_.leave_linger, [&] { return stopped_; });
  lock.unlock();
  http_->Drain(kDrainTimeout);
  Log(LogLevel::kInfo, "daemon", "the planned stop is complete");
  loop_.Stop();
}

void Daemon::Leave() {
  {
    const std::lock_guard lock(mutex_);
    if (leaving_) {
      return;
    }
    leaving_ = true;
  }
  Log(LogLevel::kInfo, "daemon", "leaving: refusing new work, finishing open requests");
  http_->CloseAfterReplies();
  loop_.Post(LeaveEvent{});
  wake_.notify_all();
}

void Daemon::Stop() {
  loop_.Stop();
}

void Daemon::FetchList() {
  HttpCall call{"GET", fmt::format("http://{}/hosts", settings_.list_address), {}, kListTimeout};
  client_.Send(std::move(call), [this](const HttpResult& result) { OnList(result); });
}

void Daemon::OnList(const HttpResult& result) {
  if (result.delivery != Delivery::kAnswered || result.status != 200) {
    Log(LogLevel::kWarning, "list", "the host list is out of reach; using the last one");
    return;
  }
  const auto entries = DecodeJson<std::vector<ListEntry>>(result.body);
  if (!entries) {
    Log(LogLevel::kWarning, "list", fmt::format("the host list is unreadable: {}", entries.error()));
    return;
  }
  loop_.PostTask([this, entries = *entries](HostCore&) {
    for (const ListEntry& entry : entries) {
      if (entry.kind == ListKind::kEntryHost) {
        entry_hosts_[entry.name] = entry;
      }
    }
  });
  loop_.Post(ListEvent{*entries});
}

void Daemon::OnHttp(ExchangeId exchange, const HttpRequest& request) {
  const auto parsed = ParseApiCall(exchange, request);
  if (!parsed) {
    http_->Reply(exchange, RenderError(parsed.error()));
    return;
  }
  std::visit(
      Overloaded{[&](const StatusCall&) { AnswerStatus(exchange); }, [&](const ConfigCall&) { AnswerConfig(exchange); },
                 [&](const MetricsCall&) { AnswerMetrics(exchange); },
                 [&](const HealthCall&) { AnswerHealth(exchange); }, [&](const LeaveCall&) { AnswerLeave(exchange); },
                 [&](const ExplainRequestCall& explain) { AnswerExplain(exchange, explain.key); },
                 [&](const ExplainWorkerCall& explain) { AnswerExplain(exchange, explain.worker); },
                 [&](const auto& event) { loop_.Post(event); }},  // All other requests are events for the core.
      *parsed);
}

void Daemon::AnswerLeave(ExchangeId exchange) {
  Leave();
  http_->Reply(exchange, HttpReply{202, R"({"leaving":true})"});
}

void Daemon::AnswerHealth(ExchangeId exchange) {
  const bool leaving = leaving_;
  http_->Reply(exchange, HttpReply{leaving ? 503 : 200, leaving ? R"({"leaving":true})" : R"({"leaving":false})"});
}

void Daemon::Execute(std::vector<Action> actions) {
  std::map<HostName, std::vector<PeerMessage>> messages_by_host;
  for (Action& action : actions) {
    ExecuteAction(action, messages_by_host);
  }
  for (const auto& [host, messages] : messages_by_host) {
    SendToPeer(host, messages);
  }
}

void Daemon::SendToPeer(const HostName& host, const std::vector<PeerMessage>& messages) {
  const auto entry = entry_hosts_.find(host);
  if (entry == entry_hosts_.end()) {
    return;
  }
  const std::vector<size_t> sizes = peers_->Send(entry->second.address, messages);
  for (size_t i = 0; i < messages.size(); ++i) {
    metrics_.OnPeerSent(host, entry->second.data_centre, messages[i], sizes[i]);
  }
}

void Daemon::ExecuteAction(Action& action, std::map<HostName, std::vector<PeerMessage>>& messages_by_host) {
  if (auto* peer = std::get_if<SendPeer>(&action)) {
    messages_by_host[peer->to].push_back(std::move(peer->message));
  } else if (const auto* worker = std::get_if<SendWorker>(&action)) {
    SendToWorker(*worker);
  } else if (const auto* server = std::get_if<SendServer>(&action)) {
    SendToServer(*server);
  } else if (const auto* store = std::get_if<SendStore>(&action)) {
    SendToStore(*store);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    metrics_.OnAnswer(answer->answer.code);
    http_->Reply(answer->exchange, RenderAnswer(answer->answer));
  } else if (const auto* config = std::get_if<AnswerOperator>(&action)) {
    http_->Reply(config->exchange, RenderConfig(config->code, config->configuration));
  } else if (const auto* history = std::get_if<AnswerHistory>(&action)) {
    http_->Reply(history->exchange, RenderHistory(history->code, history->versions));
  } else if (const auto* line = std::get_if<LogLine>(&action)) {
    Log(LogLevel::kInfo, line->component, line->text);
  } else if (std::holds_alternative<Exit>(action)) {
    {
      const std::lock_guard lock(mutex_);
      drained_ = true;
    }
    wake_.notify_all();
  } else if (const auto* observation = std::get_if<RequestObservation>(&action)) {
    metrics_.OnObserved(*observation);
  }
}

void Daemon::SendToWorker(const SendWorker& action) {
  metrics_.OnWorkerCall(action.request.op);
  HttpCall call{"POST", fmt::format("http://{}/workers/{}", action.address, action.worker),
                EncodeCompactJson(action.request), action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(ToReplyEvent<WorkerEvent, WorkerReply>(id, result));
  });
}

void Daemon::SendToServer(const SendServer& action) {
  metrics_.OnServerCall(action.request.op);
  HttpCall call{"POST", fmt::format("http://{}/servers/{}", action.address, action.server),
                EncodeCompactJson(action.request), action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(ToReplyEvent<ServerEvent, ServerReply>(id, result));
  });
}

void Daemon::SendToStore(const SendStore& action) {
  metrics_.OnStoreCall(action.request.op);
  HttpCall call{"POST", fmt::format("http://{}/store", settings_.store_address), EncodeCompactJson(action.request),
                action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(ToReplyEvent<StoreEvent, StoreReply>(id, result));
  });
}

void Daemon::AnswerStatus(ExchangeId exchange) {
  loop_.PostTask([this, exchange](HostCore& core) {
    const nlohmann::json json{{"name", settings_.host.name},
                              {"data_centre", settings_.host.data_centre},
                              {"live", core.live()},
                              {"workers_leased", core.leases()},
                              {"workers_quarantined", core.quarantined_workers()},
                              {"requests_active", core.active_requests()},
                              {"queued_tasks", core.queued_tasks()},
                              {"queued_calls", core.queued_calls()},
                              {"leaving", leaving_.load()},
                              {"config_version", core.configuration().version}};
    http_->Reply(exchange, HttpReply{200, json.dump()});
  });
}

void Daemon::AnswerConfig(ExchangeId exchange) {
  loop_.PostTask([this, exchange](HostCore& core) {
    http_->Reply(exchange, RenderConfig(ResultCode::kOk, core.configuration()));
  });
}

void Daemon::AnswerExplain(ExchangeId exchange, const RequestKey& key) {
  loop_.PostTask([this, exchange, key](HostCore& core) {
    http_->Reply(exchange, HttpReply{200, RenderExplanation(core.ExplainRequest(key))});
  });
}

void Daemon::AnswerExplain(ExchangeId exchange, const WorkerName& worker) {
  loop_.PostTask([this, exchange, worker](HostCore& core) {
    http_->Reply(exchange, HttpReply{200, RenderExplanation(core.ExplainWorker(worker))});
  });
}

void Daemon::AnswerMetrics(ExchangeId exchange) {
  loop_.PostTask([this, exchange](HostCore& core) {
    const Gauges gauges{core.leases(),
                        core.quarantined_workers(),
                        core.active_requests(),
                        core.queued_tasks(),
                        core.queued_calls(),
                        core.live().size(),
                        core.configuration().version,
                        leaving_,
                        http_->open_connections(),
                        peers_->lost()};
    const std::string text = metrics_.Render(gauges);
    http_->Reply(exchange, HttpReply{200, text, "text/plain; version=0.0.4", 0});
  });
}

}  // namespace hibiscus
