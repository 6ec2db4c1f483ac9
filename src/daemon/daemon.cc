#include "daemon/daemon.h"

#include <random>
#include <thread>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "ports/json_codec.h"
#include "ports/log.h"

namespace hibiscus {

namespace {

constexpr Duration kListTimeout = 800ms;

uint64_t FreshSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Reads a reply of an outside system; an unreadable one counts as unknown.
template <class Event, class Reply>
Event EventOf(CallId call, const HttpResult& result) {
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
      core_(settings.host, clock_, FreshSeed()),
      loop_(core_, [this](std::vector<Action> actions) { Execute(std::move(actions)); }) {
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
  std::thread reader([this] {
    while (!leaving_) {
      ReadList();
      std::this_thread::sleep_for(settings_.list_every);
    }
  });
  loop_.Run();
  leaving_ = true;
  reader.join();
}

void Daemon::Leave() {
  Log(LogLevel::kInfo, "daemon", "leaving: no new work, requests in progress finish");
  loop_.Post(LeaveEvent{});
}

void Daemon::Stop() {
  loop_.Stop();
}

void Daemon::ReadList() {
  HttpCall call{"GET", fmt::format("http://{}/hosts", settings_.list_address), {}, kListTimeout};
  client_.Send(std::move(call), [this](const HttpResult& result) { OnList(result); });
}

void Daemon::OnList(const HttpResult& result) {
  if (result.delivery != Delivery::kAnswered || result.status != 200) {
    Log(LogLevel::kWarning, "list", "the host list is out of reach; the last one stays in use");
    return;
  }
  const auto entries = DecodeJson<std::vector<ListEntry>>(result.body);
  if (!entries) {
    Log(LogLevel::kWarning, "list", fmt::format("the host list is unreadable: {}", entries.error()));
    return;
  }
  loop_.PostLook([this, entries = *entries](HostCore&) {
    for (const ListEntry& entry : entries) {
      if (entry.kind == ListKind::kEntryHost) {
        peer_addresses_[entry.name] = entry.address;
      }
    }
  });
  loop_.Post(ListEvent{*entries});
}

void Daemon::OnHttp(ExchangeId exchange, const HttpRequest& request) {
  const auto ask = ParseApi(exchange, request);
  if (!ask) {
    http_->Reply(exchange, RenderError(ask.error()));
    return;
  }
  if (const auto* submit = std::get_if<CallerSubmit>(&*ask)) {
    loop_.Post(*submit);
  } else if (const auto* query = std::get_if<CallerQuery>(&*ask)) {
    loop_.Post(*query);
  } else if (const auto* cancel = std::get_if<CallerCancel>(&*ask)) {
    loop_.Post(*cancel);
  } else if (const auto* set = std::get_if<OperatorConfigSet>(&*ask)) {
    loop_.Post(*set);
  } else if (std::holds_alternative<StatusAsk>(*ask)) {
    AnswerStatus(exchange);
  } else if (std::holds_alternative<ConfigAsk>(*ask)) {
    AnswerConfig(exchange);
  } else if (std::holds_alternative<MetricsAsk>(*ask)) {
    AnswerMetrics(exchange);
  } else if (std::holds_alternative<LeaveAsk>(*ask)) {
    Leave();
    http_->Reply(exchange, HttpReply{202, R"({"leaving":true})"});
  } else {
    const bool leaving = leaving_;
    http_->Reply(exchange, HttpReply{leaving ? 503 : 200, leaving ? R"({"leaving":true})" : R"({"leaving":false})"});
  }
}

void Daemon::Execute(std::vector<Action> actions) {
  std::map<HostName, std::vector<PeerMessage>> to_peers;
  for (Action& action : actions) {
    ExecuteOne(action, to_peers);
  }
  for (const auto& [host, messages] : to_peers) {
    const auto address = peer_addresses_.find(host);
    if (address != peer_addresses_.end()) {
      peers_->Send(address->second, messages);
    }
  }
}

void Daemon::ExecuteOne(Action& action, std::map<HostName, std::vector<PeerMessage>>& to_peers) {
  if (auto* peer = std::get_if<SendPeer>(&action)) {
    to_peers[peer->to].push_back(std::move(peer->message));
  } else if (const auto* worker = std::get_if<SendWorker>(&action)) {
    SendToWorker(*worker);
  } else if (const auto* server = std::get_if<SendServer>(&action)) {
    SendToServer(*server);
  } else if (const auto* store = std::get_if<SendStore>(&action)) {
    SendToStore(*store);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    http_->Reply(answer->exchange, RenderAnswer(answer->answer));
  } else if (const auto* config = std::get_if<AnswerOperator>(&action)) {
    http_->Reply(config->exchange, RenderConfig(config->code, config->configuration));
  } else if (const auto* line = std::get_if<LogLine>(&action)) {
    Log(LogLevel::kInfo, line->part, line->text);
  } else if (std::holds_alternative<Exit>(action)) {
    Log(LogLevel::kInfo, "daemon", "the planned stop is complete");
    loop_.Stop();
  }
}

void Daemon::SendToWorker(const SendWorker& action) {
  HttpCall call{"POST", fmt::format("http://{}/workers/{}", action.address, action.worker), EncodeJson(action.request),
                action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(EventOf<WorkerEvent, WorkerReply>(id, result));
  });
}

void Daemon::SendToServer(const SendServer& action) {
  HttpCall call{"POST", fmt::format("http://{}/servers/{}", action.address, action.server), EncodeJson(action.request),
                action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(EventOf<ServerEvent, ServerReply>(id, result));
  });
}

void Daemon::SendToStore(const SendStore& action) {
  ++store_calls_;
  HttpCall call{"POST", fmt::format("http://{}/store", settings_.store_address), EncodeJson(action.request),
                action.timeout};
  client_.Send(std::move(call), [this, id = action.call](const HttpResult& result) {
    loop_.Post(EventOf<StoreEvent, StoreReply>(id, result));
  });
}

void Daemon::AnswerStatus(ExchangeId exchange) {
  loop_.PostLook([this, exchange](HostCore& core) {
    const nlohmann::json json{{"name", settings_.host.name},
                              {"data_centre", settings_.host.data_centre},
                              {"live", core.live()},
                              {"workers_leased", core.leases()},
                              {"requests_active", core.active_requests()},
                              {"config_version", core.configuration().version}};
    http_->Reply(exchange, HttpReply{200, json.dump()});
  });
}

void Daemon::AnswerConfig(ExchangeId exchange) {
  loop_.PostLook([this, exchange](HostCore& core) {
    http_->Reply(exchange, RenderConfig(ResultCode::kOk, core.configuration()));
  });
}

void Daemon::AnswerMetrics(ExchangeId exchange) {
  loop_.PostLook([this, exchange](HostCore& core) {
    const std::string text = fmt::format(
        "hibiscus_peer_bytes_total {}\nhibiscus_peer_messages_total {}\nhibiscus_store_calls_total {}\n"
        "hibiscus_workers_leased {}\n",
        peers_->bytes_sent(), peers_->messages_sent(), store_calls_.load(), core.leases());
    http_->Reply(exchange, HttpReply{200, text, "text/plain; version=0.0.4", 0});
  });
}

}  // namespace hibiscus
