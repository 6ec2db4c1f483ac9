// hibiscus_standin: plays one outside system on loopback: the store, the host list, workers or backend servers.
// It exists for tests and the demo; docs/PLATFORM.md states what the real ones must do.
#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "ports/log.h"
#include "standins/standin.h"

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
DEFINE_string(journal, "", "store: file that keeps its writes over a restart");

namespace hibiscus {

namespace {

std::vector<std::string> Names() {
  std::vector<std::string> names;
  std::stringstream stream(FLAGS_names);
  for (std::string name; std::getline(stream, name, ',');) {
    names.push_back(name);
  }
  return names;
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
    options.workers = Names();
  }
  if (FLAGS_role == "servers") {
    options.servers = Names();
  }
  return options;
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in for one outside system");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const hibiscus::Standin standin(hibiscus::OptionsFromFlags());
  hibiscus::Log(hibiscus::LogLevel::kInfo, "standin", fmt::format("{} on port {}", FLAGS_role, standin.port()));
  while (true) {
    std::this_thread::sleep_for(std::chrono::hours(1));  // Ends by a signal.
  }
}
