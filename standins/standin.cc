#include "standins/standin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/take_if.h"
#include "ports/json_codec.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kTickInterval(2);
constexpr std::string_view kRunTimePrefix = "run_ms=";  // Payload prefix that sets the actual run time.
constexpr std::string_view kStartsPath = "/starts/";    // Followed by TENANT/ID.
constexpr std::string_view kStatusNames[] = {"ok",      "held_by_other", "stale_token",
                                             "no_room", "duplicate",     "no_such_run"};

void ApplyRunTimeOverride(WorkerCall& call) {
  if (call.payload.starts_with(kRunTimePrefix)) {
    const std::string text = call.payload.substr(kRunTimePrefix.size());
    call.run_time = std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
  }
}

}  // namespace

Standin::Standin(const StandinOptions& options) : options_(options), store_delay_(options.store_delay), store_(clock_) {
  for (const std::string& name : options_.workers) {
    workers_.emplace(name, FakeWorker(name, options_.worker_capacity, clock_, log_));
  }
  for (const std::string& name : options_.servers) {
    servers_.emplace(name, FakeServer(name, options_.slots, options_.service_time, clock_, log_));
  }
  ReplayJournal();
  HttpServerOptions http;
  http.port = options_.port;
  http_ = std::make_unique<HttpServer>(
      http, [this](HttpServer::ExchangeId exchange, const HttpRequest& request) { OnHttp(exchange, request); });
  ticker_ = std::thread([this] { TickLoop(); });
}

Standin::~Standin() {
  stopping_ = true;
  ticker_.join();
}

void Standin::SetHosts(std::string json) {
  const std::lock_guard lock(mutex_);
  hosts_ = std::move(json);
}

void Standin::TickLoop() {
  while (!stopping_) {
    std::this_thread::sleep_for(kTickInterval);
    const std::lock_guard lock(mutex_);
    Tick();
  }
}

void Standin::Tick() {
  for (const DelayedStoreCall& call :
       TakeIf(delayed_store_calls_, [&](const DelayedStoreCall& each) { return clock_.Now() >= each.due_at; })) {
    HandleStore(call.exchange, call.body);
  }
  store_.Tick();
  for (auto& [name, worker] : workers_) {
    worker.Tick();
    CpuUsage& usage = cpu_usage_[name];
    usage.cpu_millis_sum += static_cast<double>(worker.used().cpu_millis);
    usage.cpu_millis_peak = std::max(usage.cpu_millis_peak, worker.used().cpu_millis);
    ++usage.samples;
  }
  for (auto& [name, server] : servers_) {
    server.Tick();
  }
}

void Standin::OnHttp(HttpServer::ExchangeId exchange, const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const std::string name = request.path.substr(request.path.rfind('/') + 1);
  if (request.path == "/store") {
    OnStore(exchange, request.body);
  } else if (request.path == "/hosts") {
    ReplyText(exchange, HostList());
  } else if (request.path == "/log") {
    ReplyText(exchange, RunLogJson());
  } else if (request.path.starts_with(kStartsPath)) {
    ReplyText(exchange, StartsOf(request.path.substr(kStartsPath.size())));
  } else if (request.path == "/usage") {
    ReplyText(exchange, Usage());
  } else if (request.path == "/counts") {
    ReplyText(exchange, nlohmann::json{{"calls", store_.calls()}, {"writes", store_.writes()}}.dump());
  } else if (request.path.starts_with("/workers/") && workers_.contains(name)) {
    OnWorker(exchange, name, request.body);
  } else if (request.path.starts_with("/servers/") && servers_.contains(name)) {
    OnServer(exchange, name, request.body);
  } else if (!OnFaultRequest(exchange, request)) {
    http_->Reply(exchange, HttpReply{404, "{}"});
  }
}

void Standin::OnStore(HttpServer::ExchangeId exchange, const std::string& body) {
  if (store_delay_ > 0us) {
    delayed_store_calls_.push_back(DelayedStoreCall{clock_.Now() + store_delay_, exchange, body});
  } else {
    HandleStore(exchange, body);
  }
}

// Fault injection: POST /fault/delay_ms/N delays each store call; /fault/leave/SERVER and /fault/stay/SERVER set and
// clear a backend server's leaving state.
bool Standin::OnFaultRequest(HttpServer::ExchangeId exchange, const HttpRequest& request) {
  const std::string last = request.path.substr(request.path.rfind('/') + 1);
  if (request.path.starts_with("/fault/delay_ms/")) {
    store_delay_ = std::chrono::milliseconds(std::strtoll(last.c_str(), nullptr, 10));
  } else if (request.path.starts_with("/fault/leave/") && servers_.contains(last)) {
    servers_.at(last).set_leaving(true);
    leaving_servers_[last] = LeavingServer{clock_.Now()};
  } else if (request.path.starts_with("/fault/stay/") && servers_.contains(last)) {
    servers_.at(last).set_leaving(false);
    leaving_servers_.erase(last);
  } else {
    return false;
  }
  ReplyText(exchange, "{}");
  return true;
}

void Standin::HandleStore(HttpServer::ExchangeId exchange, const std::string& body) {
  const auto call = DecodeJson<StoreCall>(body);
  if (!call) {
    http_->Reply(exchange, HttpReply{400, "{}"});
    return;
  }
  store_.Handle(*call, [this, exchange, call = *call](const StoreReply& reply) {
    JournalWrite(call, reply);
    ReplyText(exchange, EncodeJson(reply));
  });
}

void Standin::OnWorker(HttpServer::ExchangeId exchange, const std::string& name, const std::string& body) {
  auto call = DecodeJson<WorkerCall>(body);
  if (!call) {
    http_->Reply(exchange, HttpReply{400, "{}"});
    return;
  }
  ApplyRunTimeOverride(*call);
  workers_.at(name).Handle(*call, [this, exchange, name, call = *call](const WorkerReply& reply) {
    CheckFencing(name, call, reply);
    ReplyText(exchange, EncodeJson(reply));
  });
}

void Standin::OnServer(HttpServer::ExchangeId exchange, const std::string& name, const std::string& body) {
  const auto call = DecodeJson<ServerCall>(body);
  if (!call) {
    http_->Reply(exchange, HttpReply{400, "{}"});
    return;
  }
  CountOffer(name, *call);
  servers_.at(name).Handle(*call,
                           [this, exchange](const ServerReply& reply) { ReplyText(exchange, EncodeJson(reply)); });
}

// Replaying the same writes in the same order gives a restarted store the same revisions.
void Standin::ReplayJournal() {
  std::ifstream file(options_.journal_file);
  for (std::string line; std::getline(file, line);) {
    if (const auto call = DecodeJson<StoreCall>(line)) {
      store_.Handle(*call, [](const StoreReply&) {});
    }
  }
}

void Standin::JournalWrite(const StoreCall& call, const StoreReply& reply) {
  const bool write = call.op == StoreOp::kPut || call.op == StoreOp::kDelete;
  if (write && reply.status == StoreStatus::kOk && !options_.journal_file.empty()) {
    std::ofstream(options_.journal_file, std::ios::app) << EncodeJson(call) << '\n';
  }
}

// Checks fencing independently of the fake worker: a start with a token below the newest must not be accepted.
void Standin::CheckFencing(const std::string& worker, const WorkerCall& call, const WorkerReply& reply) {
  uint64_t& newest = newest_token_[worker];
  if (call.op == WorkerOp::kAcquire && reply.status == WorkerStatus::kOk) {
    newest = std::max(newest, reply.token);
  }
  if (call.op != WorkerOp::kStart) {
    return;
  }
  ++start_replies_[fmt::format("{} {}", call.holder, kStatusNames[static_cast<size_t>(reply.status)])];
  if (reply.status == WorkerStatus::kOk && call.token < newest) {
    log_.Broken(fmt::format("{} accepted a start of {} under token {}, the newest is {}", worker, call.holder,
                            call.token, newest));
  }
}

void Standin::CountOffer(const std::string& server, const ServerCall& call) {
  const auto leaving = leaving_servers_.find(server);
  if (call.op == ServerOp::kExecute && leaving != leaving_servers_.end()) {
    ++leaving->second.offers;
    leaving->second.last_offer = clock_.Now() - leaving->second.since;
  }
}

void Standin::ReplyText(HttpServer::ExchangeId exchange, std::string text) {
  http_->Reply(exchange, HttpReply{200, std::move(text)});
}

std::string Standin::HostList() const {
  if (options_.hosts_file.empty()) {
    return hosts_.empty() ? "[]" : hosts_;
  }
  std::ifstream file(options_.hosts_file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Standin::Usage() {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, worker] : workers_) {
    const CpuUsage& usage = cpu_usage_[name];
    const double mean = usage.samples == 0 ? 0.0 : usage.cpu_millis_sum / static_cast<double>(usage.samples);
    json[name] = {{"cpu_millis", worker.capacity().cpu_millis}, {"mean", mean}, {"peak", usage.cpu_millis_peak}};
  }
  return json.dump();
}

std::string Standin::RunLogJson() const {
  nlohmann::json offers = nlohmann::json::object();
  for (const auto& [server, leaving] : leaving_servers_) {
    offers[server] = {{"count", leaving.offers}, {"last_ms", Millis(leaving.last_offer)}};
  }
  return nlohmann::json{{"starts", log_.starts()},
                        {"broken", log_.broken()},
                        {"start_replies", start_replies_},
                        {"offers_while_leaving", offers}}
      .dump();
}

// Number of starts of each task of a request.
std::string Standin::StartsOf(const std::string& request) const {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [task, starts] : log_.starts_of()) {
    if (task.key.ToString() == request) {
      json[task.ToString()] = starts;
    }
  }
  return json.dump();
}

}  // namespace hibiscus
