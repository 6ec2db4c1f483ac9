// hibiscus_standin: fakes one external system on loopback, for tests and the demo: the store, the host list, workers,
// backend servers, or the network between data centres (a relay). docs/PLATFORM.md specifies the real systems.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "core/split.h"
#include "ports/http_server.h"
#include "ports/log.h"
#include "standins/relay.h"
#include "standins/standin.h"

DEFINE_string(role, "", "store, list, workers, servers or relay");
DEFINE_int32(port, 0, "TCP port on loopback; 0 takes any free one");
DEFINE_string(hosts, "", "list: file with the list as a JSON array; read again at each request");
DEFINE_string(names, "", "workers, servers: names, separated by commas");
DEFINE_int64(cpu_millis, 64'000, "workers: thousandths of a core of each");
DEFINE_int64(memory_mb, 262'144, "workers: mebibytes of each");
DEFINE_int64(accelerators, 0, "workers: devices of each");
DEFINE_int32(slots, 8, "servers: concurrent calls per server");
DEFINE_int32(service_ms, 20, "servers: service time per call, milliseconds");
DEFINE_int32(delay_ms, 0, "store: delay of each answer, milliseconds");
DEFINE_string(journal, "", "store: journal file that preserves its writes across restarts");
DEFINE_string(links, "", "relay: LISTEN:TARGET ports on loopback, separated by commas");

namespace hibiscus {

namespace {

std::vector<RelayLink> LinksFromFlags() {
  std::vector<RelayLink> links;
  for (const std::string& text : Split(FLAGS_links)) {
    const size_t colon = text.find(':') + 1;
    links.push_back(
        RelayLink{static_cast<uint16_t>(std::stoi(text)), static_cast<uint16_t>(std::stoi(text.substr(colon)))});
  }
  return links;
}

StandinOptions OptionsFromFlags() {
  StandinOptions options;
  options.port = static_cast<uint16_t>(FLAGS_port);
  options.hosts_file = FLAGS_hosts;
  options.worker_capacity = Resources{FLAGS_cpu_millis, FLAGS_memory_mb, FLAGS_accelerators};
  options.slots = FLAGS_slots;
  options.service_time = std::chrono::milliseconds(FLAGS_service_ms);
  options.store_delay = std::chrono::milliseconds(FLAGS_delay_ms);
  options.journal_file = FLAGS_journal;
  if (FLAGS_role == "workers") {
    options.workers = Split(FLAGS_names);
  }
  if (FLAGS_role == "servers") {
    options.servers = Split(FLAGS_names);
  }
  return options;
}

void SleepForever() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::hours(1));  // The process is ended by a signal.
  }
}

void RunStandin() {
  const Standin standin(OptionsFromFlags());
  Log(LogLevel::kInfo, "standin", fmt::format("{} on port {}", FLAGS_role, standin.port()));
  SleepForever();
}

// Fault injection: POST /fault/cut and /fault/heal. Every reply, as to GET /counts, holds the bytes dropped so far.
void RunRelay() {
  Relay relay(LinksFromFlags());
  std::unique_ptr<HttpServer> http;
  HttpServerOptions options;
  options.port = static_cast<uint16_t>(FLAGS_port);
  http = std::make_unique<HttpServer>(options, [&](HttpServer::ExchangeId exchange, const HttpRequest& request) {
    if (request.path == "/fault/cut") {
      relay.Cut();
    } else if (request.path == "/fault/heal") {
      relay.Heal();
    }
    http->Reply(exchange, HttpReply{200, fmt::format(R"({{"swallowed_bytes":{}}})", relay.swallowed_bytes())});
  });
  Log(LogLevel::kInfo, "relay", fmt::format("controlled on port {}", http->port()));
  SleepForever();
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("fakes one external system for tests and the demo");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_role == "relay") {
    hibiscus::RunRelay();
  }
  hibiscus::RunStandin();
}
