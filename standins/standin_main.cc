// hibiscus_standin: plays one outside system on loopback: the store, the host list, workers or backend servers.
// It exists for tests and the demo; docs/PLATFORM.md states what the real ones must do.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "ports/http_server.h"
#include "ports/json_codec.h"
#include "ports/log.h"
#include "standins/fakes.h"

DEFINE_string(role, "", "store, list, workers or servers");
DEFINE_int32(port, 0, "TCP port on loopback; 0 takes any free one");
DEFINE_string(hosts, "", "list: file with the list as a JSON array; read at every question");
DEFINE_string(names, "", "workers, servers: names, separated by commas");
DEFINE_int64(cpu_millis, 64'000, "workers: thousandths of a core of each");
DEFINE_int64(memory_mb, 262'144, "workers: mebibytes of each");
DEFINE_int64(accelerators, 0, "workers: devices of each");
DEFINE_int32(slots, 8, "servers: calls that each serves at once");
DEFINE_int32(service_ms, 20, "servers: time of a call, milliseconds");
DEFINE_int32(delay_ms, 0, "store: delay of each answer, milliseconds");

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kTick(2);

// A task's payload may state how long it really runs, whatever was declared.
constexpr std::string_view kRealRunTime = "run_ms=";

void ApplyPayload(WorkerCall& call) {
  if (call.payload.starts_with(kRealRunTime)) {
    const std::string text = call.payload.substr(kRealRunTime.size());
    call.run_time = std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
  }
}

void ApplyPayload(const ServerCall& /*call*/) {}
void ApplyPayload(const StoreCall& /*call*/) {}

std::vector<std::string> Names() {
  std::vector<std::string> names;
  std::stringstream stream(FLAGS_names);
  for (std::string name; std::getline(stream, name, ',');) {
    names.push_back(name);
  }
  return names;
}

// All fakes of one role, behind one HTTP port. Calls and ticks take turns.
class Standin {
 public:
  Standin() : store_(clock_) {
    for (const std::string& name : Names()) {
      const Resources capacity{FLAGS_cpu_millis, FLAGS_memory_mb, FLAGS_accelerators};
      workers_.emplace(name, FakeWorker(name, capacity, clock_, log_));
      servers_.emplace(name, FakeServer(name, FLAGS_slots, std::chrono::milliseconds(FLAGS_service_ms), clock_, log_));
    }
    HttpServerOptions options;
    options.port = static_cast<uint16_t>(FLAGS_port);
    http_ = std::make_unique<HttpServer>(
        options, [this](HttpServer::ExchangeId exchange, const HttpRequest& request) { OnHttp(exchange, request); });
  }

  void Run() {
    Log(LogLevel::kInfo, "standin", fmt::format("{} on port {}", FLAGS_role, http_->port()));
    while (true) {
      std::this_thread::sleep_for(kTick);
      const std::lock_guard lock(mutex_);
      Tick();
    }
  }

 private:
  // Processors in use of each worker: the mean since the start, and the peak.
  struct Use {
    double cpu_millis_sum = 0.0;
    int64_t cpu_millis_peak = 0;
    int64_t samples = 0;
  };

  std::string Usage() {
    nlohmann::json json = nlohmann::json::object();
    for (const auto& [name, worker] : workers_) {
      const Use& use = uses_[name];
      const double mean = use.samples == 0 ? 0.0 : use.cpu_millis_sum / static_cast<double>(use.samples);
      json[name] = {{"cpu_millis", worker.capacity().cpu_millis}, {"mean", mean}, {"peak", use.cpu_millis_peak}};
    }
    return json.dump();
  }

  void Tick() {
    store_.Tick();
    for (auto& [name, worker] : workers_) {
      worker.Tick();
      Use& use = uses_[name];
      use.cpu_millis_sum += static_cast<double>(worker.used().cpu_millis);
      use.cpu_millis_peak = std::max(use.cpu_millis_peak, worker.used().cpu_millis);
      ++use.samples;
    }
    for (auto& [name, server] : servers_) {
      server.Tick();
    }
  }

  void OnHttp(HttpServer::ExchangeId exchange, const HttpRequest& request) {
    const std::lock_guard lock(mutex_);
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    if (request.path == "/store") {
      OnStore(exchange, request.body);
    } else if (request.path == "/hosts") {
      ReplyText(exchange, ReadHosts());
    } else if (request.path == "/log") {
      ReplyText(exchange, nlohmann::json{{"starts", log_.starts()}, {"broken", log_.broken()}}.dump());
    } else if (request.path == "/usage") {
      ReplyText(exchange, Usage());
    } else if (request.path == "/counts") {
      ReplyText(exchange, nlohmann::json{{"calls", store_.calls()}, {"writes", store_.writes()}}.dump());
    } else if (request.path.starts_with("/workers/") && workers_.contains(name)) {
      Forward<WorkerCall, WorkerReply>(exchange, request.body, workers_.at(name));
    } else if (request.path.starts_with("/servers/") && servers_.contains(name)) {
      Forward<ServerCall, ServerReply>(exchange, request.body, servers_.at(name));
    } else {
      http_->Reply(exchange, HttpReply{404, "{}"});
    }
  }

  void OnStore(HttpServer::ExchangeId exchange, const std::string& body) {
    if (FLAGS_delay_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_delay_ms));
    }
    Forward<StoreCall, StoreReply>(exchange, body, store_);
  }

  template <class Call, class Reply, class Fake>
  void Forward(HttpServer::ExchangeId exchange, const std::string& body, Fake& fake) {
    auto call = DecodeJson<Call>(body);
    if (!call) {
      http_->Reply(exchange, HttpReply{400, "{}"});
      return;
    }
    ApplyPayload(*call);
    fake.Handle(*call, [this, exchange](const Reply& reply) { ReplyText(exchange, EncodeJson(reply)); });
  }

  void ReplyText(HttpServer::ExchangeId exchange, std::string text) {
    http_->Reply(exchange, HttpReply{200, std::move(text)});
  }

  static std::string ReadHosts() {
    std::ifstream file(FLAGS_hosts);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  SteadyClock clock_;
  RunLog log_;
  std::mutex mutex_;
  FakeStore store_;
  std::map<std::string, FakeWorker> workers_;
  std::map<std::string, Use> uses_;
  std::map<std::string, FakeServer> servers_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in for one outside system");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hibiscus::Standin standin;
  standin.Run();
}
