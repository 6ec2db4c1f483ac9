#include "daemon/settings.h"

#include <charconv>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "ports/log.h"

DEFINE_string(name, "", "name of this host, as in the platform's list");
DEFINE_string(data_centre, "", "data centre of this host, as in the platform's list");
DEFINE_string(http, "127.0.0.1:8080", "ip:port for callers, operators and metrics");
DEFINE_string(peer, "127.0.0.1:8081", "ip:port for the other hosts of the system");
DEFINE_string(store, "127.0.0.1:7001", "ip:port of the platform's store");
DEFINE_string(list, "127.0.0.1:7002", "ip:port of the platform's host list");
DEFINE_int32(leave_limit_ms, 30'000, "a planned stop takes no longer; milliseconds, 100 to 3600000");
DEFINE_int32(connections, 12'000, "open caller connections; 16 to 20000");
DEFINE_int32(idle_timeout_s, 30, "a caller's connection without traffic is closed after this; seconds, 1 to 3600");
DEFINE_int32(heartbeat_ms, 250, "beat between the hosts of a data centre; milliseconds, 50 to 5000");
DEFINE_int32(suspect_ms, 1000, "a host this silent is not live; milliseconds, 200 to 60000");
DEFINE_int32(control_lease_ms, 4000, "length of a worker's control lease; milliseconds, 1000 to 60000");
DEFINE_string(log_level, "info", "lines below this level are dropped: debug, info, warning or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace hibiscus {

namespace {

constexpr char kFromEnvironment[] =
    "name,data_centre,http,peer,store,list,leave_limit_ms,connections,idle_timeout_s,heartbeat_ms,suspect_ms,"
    "control_lease_ms,log_level";

std::string CheckRange(const char* flag, int value, int least, int most, const char* unit) {
  if (value >= least && value <= most) {
    return {};
  }
  return fmt::format("--{} is {}; it must be {} to {} {}", flag, value, least, most, unit);
}

std::string CheckAddress(const char* flag, const std::string& value) {
  const size_t colon = value.rfind(':');
  int port = -1;
  if (colon != std::string::npos) {
    std::from_chars(value.data() + colon + 1, value.data() + value.size(), port);
  }
  const bool good = colon != std::string::npos && colon > 0 && port >= 0 && port <= 65535;
  return good ? std::string() : fmt::format("--{} is '{}'; it must be ip:port, port 0 to 65535", flag, value);
}

std::string CheckNotEmpty(const char* flag, const std::string& value) {
  return value.empty() ? fmt::format("--{} is empty; it must be given", flag) : std::string();
}

std::string CheckLevel(const std::string& value) {
  const bool good = value == "debug" || value == "info" || value == "warning" || value == "error";
  return good ? std::string() : fmt::format("--log_level is '{}'; it must be debug, info, warning or error", value);
}

std::string CheckTogether() {
  if (FLAGS_suspect_ms < 3 * FLAGS_heartbeat_ms) {
    return fmt::format("--suspect_ms is {}; it must be at least 3 times --heartbeat_ms ({}) milliseconds",
                       FLAGS_suspect_ms, FLAGS_heartbeat_ms);
  }
  return {};
}

std::string FirstProblem() {
  const std::string problems[] = {
      CheckNotEmpty("name", FLAGS_name),
      CheckNotEmpty("data_centre", FLAGS_data_centre),
      CheckAddress("http", FLAGS_http),
      CheckAddress("peer", FLAGS_peer),
      CheckAddress("store", FLAGS_store),
      CheckAddress("list", FLAGS_list),
      CheckRange("leave_limit_ms", FLAGS_leave_limit_ms, 100, 3'600'000, "milliseconds"),
      CheckRange("connections", FLAGS_connections, 16, 20'000, "connections"),
      CheckRange("idle_timeout_s", FLAGS_idle_timeout_s, 1, 3600, "seconds"),
      CheckRange("heartbeat_ms", FLAGS_heartbeat_ms, 50, 5000, "milliseconds"),
      CheckRange("suspect_ms", FLAGS_suspect_ms, 200, 60'000, "milliseconds"),
      CheckRange("control_lease_ms", FLAGS_control_lease_ms, 1000, 60'000, "milliseconds"),
      CheckLevel(FLAGS_log_level),
      CheckTogether(),
  };
  for (const std::string& problem : problems) {
    if (!problem.empty()) {
      return problem;
    }
  }
  return {};
}

LogLevel LevelOf(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace

tl::expected<ReadSettingsResult, std::string> ReadSettings(int* argc, char*** argv) {
  gflags::SetUsageMessage("one host of hibiscusstand; see docs/OPERATIONS.md");
  gflags::SetCommandLineOption("tryfromenv", kFromEnvironment);
  gflags::ParseCommandLineFlags(argc, argv, true);
  if (*argc > 1) {
    return tl::unexpected(fmt::format("'{}' is no flag; see --help", (*argv)[1]));
  }
  if (std::string problem = FirstProblem(); !problem.empty()) {
    return tl::unexpected(problem);
  }
  SetLogLevel(LevelOf(FLAGS_log_level));
  ReadSettingsResult result;
  result.check_only = FLAGS_check;
  HostSettings& host = result.daemon.host;
  host.name = FLAGS_name;
  host.data_centre = FLAGS_data_centre;
  host.heartbeat_every = std::chrono::milliseconds(FLAGS_heartbeat_ms);
  host.suspect_after = std::chrono::milliseconds(FLAGS_suspect_ms);
  host.control_lease = std::chrono::milliseconds(FLAGS_control_lease_ms);
  const size_t colon = FLAGS_http.rfind(':');
  result.daemon.http.address = FLAGS_http.substr(0, colon);
  result.daemon.http.port = static_cast<uint16_t>(std::stoi(FLAGS_http.substr(colon + 1)));
  result.daemon.http.connection_limit = static_cast<unsigned>(FLAGS_connections);
  result.daemon.http.idle_timeout_s = static_cast<unsigned>(FLAGS_idle_timeout_s);
  result.daemon.peer_address = FLAGS_peer;
  result.daemon.store_address = FLAGS_store;
  result.daemon.list_address = FLAGS_list;
  result.daemon.leave_limit = std::chrono::milliseconds(FLAGS_leave_limit_ms);
  return result;
}

}  // namespace hibiscus
