#include "daemon/settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "ports/log.h"

// Numeric flags are strings, so that a malformed number gets the same error message as one out of range.
DEFINE_string(name, "", "");
DEFINE_string(data_centre, "", "");
DEFINE_string(http, "127.0.0.1:8080", "");
DEFINE_string(peer, "127.0.0.1:8081", "");
DEFINE_string(store, "127.0.0.1:7001", "");
DEFINE_string(list, "127.0.0.1:7002", "");
DEFINE_string(connections, "12000", "");
DEFINE_string(idle_timeout_s, "30", "");
DEFINE_string(request_limit_s, "30", "");
DEFINE_string(body_limit_kb, "1024", "");
DEFINE_string(heartbeat_ms, "250", "");
DEFINE_string(suspect_ms, "1000", "");
DEFINE_string(control_lease_ms, "4000", "");
DEFINE_string(leave_limit_ms, "30000", "");
DEFINE_string(leave_linger_ms, "2000", "");
DEFINE_string(log_level, "info", "");
DEFINE_string(mode, "hosts", "");
DEFINE_string(ready, "127.0.0.1:8082", "");
DEFINE_string(metrics, "127.0.0.1:8083", "");
DEFINE_string(advice, "", "");
DEFINE_string(processor_share, "", "");
DEFINE_string(processor_speed, "", "");
DEFINE_string(most_hold_ms, "6000", "");
DEFINE_string(gang_timeout_ms, "3000", "");
DEFINE_string(state_kept_s, "120", "");
DEFINE_string(shortest_lease_ms, "1000", "");
DEFINE_string(grace_s, "6", "");
DEFINE_string(worker_connections, "64", "");
DEFINE_string(key_withdrawal_ms, "0", "");
DEFINE_string(configuration_ms, "2500", "");
DEFINE_bool(check, false, "");
DECLARE_string(flagfile);
DECLARE_bool(help);
DECLARE_bool(helpshort);

namespace hibiscus {

namespace {

constexpr double kMaxProcessorRatio = 1024;  // Upper bound of --processor_share, in cores, and of --processor_speed.

enum class SettingKind { kName, kAddress, kAddressOrEmpty, kNumber, kRatioOrEmpty, kLevel, kMode };

// One setting: its flag, help text and valid values.
struct Setting {
  const char* flag;
  std::string* value;
  SettingKind kind;
  const char* help;
  int min_value = 0;  // Range and unit apply to kNumber only.
  int max_value = 0;
  const char* unit = "";
};

struct SettingGroup {
  const char* title;
  std::vector<Setting> settings;
};

const std::vector<SettingGroup>& SettingGroups() {
  using Kind = SettingKind;
  static const std::vector<SettingGroup> kGroups = {
      {"This host",
       {{"name", &FLAGS_name, Kind::kName, "name of this host, as in the platform's host list; required"},
        {"data_centre", &FLAGS_data_centre, Kind::kName,
         "data centre of this host, as in the platform's host list; required"}}},
      {"Addresses",
       {{"http", &FLAGS_http, Kind::kAddress, "address for callers, operators and metrics"},
        {"peer", &FLAGS_peer, Kind::kAddress, "address for the other hosts of the system"},
        {"store", &FLAGS_store, Kind::kAddress, "address of the platform's store"},
        {"list", &FLAGS_list, Kind::kAddress, "address of the platform's host list"}}},
      {"Callers",
       {{"connections", &FLAGS_connections, Kind::kNumber, "maximum number of open connections of callers", 16, 20'000,
         "connections"},
        {"idle_timeout_s", &FLAGS_idle_timeout_s, Kind::kNumber, "idle connections are closed after this", 1, 3600,
         "seconds"},
        {"request_limit_s", &FLAGS_request_limit_s, Kind::kNumber, "time limit for receiving a whole request", 1, 3600,
         "seconds"},
        {"body_limit_kb", &FLAGS_body_limit_kb, Kind::kNumber, "maximum size of a request body", 1, 65'536,
         "kibibytes"}}},
      {"Failure detection",
       {{"heartbeat_ms", &FLAGS_heartbeat_ms, Kind::kNumber, "heartbeat interval between the hosts of a data centre",
         50, 5000, "milliseconds"},
        {"suspect_ms", &FLAGS_suspect_ms, Kind::kNumber,
         "a host counts as failed after this silence; at least 3 heartbeats", 200, 60'000, "milliseconds"},
        {"control_lease_ms", &FLAGS_control_lease_ms, Kind::kNumber, "duration of a worker's control lease", 1000,
         60'000, "milliseconds"}}},
      {"Planned stop",
       {{"leave_limit_ms", &FLAGS_leave_limit_ms, Kind::kNumber,
         "requests still open after this are answered as unknown", 100, 3'600'000, "milliseconds"},
        {"leave_linger_ms", &FLAGS_leave_linger_ms, Kind::kNumber,
         "callers are refused this long, so that the balancer can remove the host", 0, 600'000, "milliseconds"}}},
      {"On the platform (--mode=cell)",
       {{"mode", &FLAGS_mode, Kind::kMode, "hosts: the project's own interface; cell: the platform's interface"},
        {"ready", &FLAGS_ready, Kind::kAddress, "address for the balancer's readiness checks"},
        {"metrics", &FLAGS_metrics, Kind::kAddress, "address for reading metrics"},
        {"advice", &FLAGS_advice, Kind::kAddressOrEmpty, "address of the advice service; empty: none"},
        {"processor_share", &FLAGS_processor_share, Kind::kRatioOrEmpty,
         "share of a core available to this process; empty: unknown"},
        {"processor_speed", &FLAGS_processor_speed, Kind::kRatioOrEmpty,
         "speed of that core relative to others; empty: 1"},
        {"most_hold_ms", &FLAGS_most_hold_ms, Kind::kNumber, "maximum duration of a hold that a worker grants", 500,
         600'000, "milliseconds"},
        {"gang_timeout_ms", &FLAGS_gang_timeout_ms, Kind::kNumber, "a gang member waits this long for the others", 100,
         600'000, "milliseconds"},
        {"state_kept_s", &FLAGS_state_kept_s, Kind::kNumber, "the state of an ended job is reported this long", 1,
         86'400, "seconds"},
        {"shortest_lease_ms", &FLAGS_shortest_lease_ms, Kind::kNumber, "minimum lease of the store", 1, 60'000,
         "milliseconds"},
        {"grace_s", &FLAGS_grace_s, Kind::kNumber, "the platform kills a stopping process after this", 1, 600,
         "seconds"},
        {"worker_connections", &FLAGS_worker_connections, Kind::kNumber,
         "connections that a worker accepts, of all hosts together; at least 2 for the owner and 2 for its successor",
         4, 65'535, "connections"},
        {"key_withdrawal_ms", &FLAGS_key_withdrawal_ms, Kind::kNumber,
         "a withdrawn API key is refused by every host after this, even by one that is cut off; 0: once the host has "
         "the "
         "configuration",
         0, 600'000, "milliseconds"},
        {"configuration_ms", &FLAGS_configuration_ms, Kind::kNumber,
         "a new configuration is in force after this on every host that reaches the store", 500, 600'000,
         "milliseconds"}}},
      {"Log", {{"log_level", &FLAGS_log_level, Kind::kLevel, "minimum level: debug, info, warning or error"}}},
  };
  return kGroups;
}

// Parses the whole text as a number of this type.
template <class Value>
tl::expected<Value, std::string> ParseNumber(const std::string& text) {
  Value number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return tl::unexpected(std::string("not a number"));
  }
  return number;
}

tl::expected<int, std::string> ParseInt(const std::string& text) {
  return ParseNumber<int>(text);
}

// None unless the text is a number above 0 and at most kMaxProcessorRatio.
std::optional<double> ParseRatio(const std::string& text) {
  const auto ratio = ParseNumber<double>(text);
  return ratio && *ratio > 0 && *ratio <= kMaxProcessorRatio ? std::optional(*ratio) : std::nullopt;
}

bool IsAddress(const std::string& value) {
  const size_t colon = value.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const auto port = ParseInt(value.substr(colon + 1));
  return port && *port >= 0 && *port <= 65'535;
}

// Returns an error message, or an empty string if the value is valid.
std::string CheckSetting(const Setting& setting) {
  const std::string& value = *setting.value;
  switch (setting.kind) {
    case SettingKind::kName:
      return value.empty() ? fmt::format("--{} is '{}'; it must be a name of at least 1 letter", setting.flag, value)
                           : std::string();
    case SettingKind::kAddress:
      return IsAddress(value) ? std::string()
                              : fmt::format("--{} is '{}'; it must be ip:port, port 0 to 65535", setting.flag, value);
    case SettingKind::kAddressOrEmpty:
      return value.empty() || IsAddress(value)
                 ? std::string()
                 : fmt::format("--{} is '{}'; it must be empty or ip:port, port 0 to 65535", setting.flag, value);
    case SettingKind::kMode:
      return value == "hosts" || value == "cell"
                 ? std::string()
                 : fmt::format("--{} is '{}'; it must be hosts or cell", setting.flag, value);
    case SettingKind::kNumber: {
      const auto number = ParseInt(value);
      const bool valid = number && *number >= setting.min_value && *number <= setting.max_value;
      return valid ? std::string()
                   : fmt::format("--{} is '{}'; it must be {} to {} {}", setting.flag, value, setting.min_value,
                                 setting.max_value, setting.unit);
    }
    case SettingKind::kRatioOrEmpty:
      return value.empty() || ParseRatio(value) ? std::string()
                                                : fmt::format("--{} is '{}'; it must be empty or above 0, at most {}",
                                                              setting.flag, value, kMaxProcessorRatio);
    case SettingKind::kLevel: {
      const bool valid = value == "debug" || value == "info" || value == "warning" || value == "error";
      return valid ? std::string()
                   : fmt::format("--{} is '{}'; it must be debug, info, warning or error", setting.flag, value);
    }
  }
  return {};
}

// Value of a numeric setting that has been validated.
int ValidatedInt(const std::string& valid_value) {
  return *ParseInt(valid_value);
}

// Checks settings whose range depends on other settings.
std::string CheckDependencies() {
  const int min_value = 3 * ValidatedInt(FLAGS_heartbeat_ms);
  if (ValidatedInt(FLAGS_suspect_ms) < min_value) {
    return fmt::format("--suspect_ms is '{}'; it must be {} to 60000 milliseconds, 3 times --heartbeat_ms at least",
                       FLAGS_suspect_ms, min_value);
  }
  return {};
}

// The process must be able to open a file for each connection. Raises the soft limit if necessary.
std::string CheckOpenFileLimit() {
  constexpr rlim_t kReservedFiles = 1000;  // For connections to workers, backend servers, peers and all else.
  rlimit limits{};
  getrlimit(RLIMIT_NOFILE, &limits);
  const rlim_t needed = static_cast<rlim_t>(ValidatedInt(FLAGS_connections)) + kReservedFiles;
  if (limits.rlim_cur >= needed) {
    return {};
  }
  if (limits.rlim_max < needed) {
    return fmt::format("--connections is '{}'; this process may open {} files, so it must be 16 to {} connections",
                       FLAGS_connections, limits.rlim_max, limits.rlim_max - std::min(limits.rlim_max, kReservedFiles));
  }
  limits.rlim_cur = needed;
  setrlimit(RLIMIT_NOFILE, &limits);
  return {};
}

// Validates all settings; returns the first error message, or an empty string.
std::string ValidateSettings() {
  for (const SettingGroup& group : SettingGroups()) {
    for (const Setting& setting : group.settings) {
      if (std::string problem = CheckSetting(setting); !problem.empty()) {
        return problem;
      }
    }
  }
  if (std::string problem = CheckDependencies(); !problem.empty()) {
    return problem;
  }
  return CheckOpenFileLimit();
}

std::string FlagNames() {
  std::string names;
  for (const SettingGroup& group : SettingGroups()) {
    for (const Setting& setting : group.settings) {
      names += (names.empty() ? "" : ",") + std::string(setting.flag);
    }
  }
  return names;
}

std::string RangeText(const Setting& setting) {
  return setting.kind == SettingKind::kNumber
             ? fmt::format("; {} to {} {}", setting.min_value, setting.max_value, setting.unit)
             : std::string(setting.kind == SettingKind::kAddress ? "; ip:port" : "");
}

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

HttpServerOptions ServerOptionsFor(const std::string& address) {
  HttpServerOptions options;
  const size_t colon = address.rfind(':');
  options.address = address.substr(0, colon);
  options.port = static_cast<uint16_t>(ValidatedInt(address.substr(colon + 1)));
  options.threads = 1;
  return options;
}

// The server for callers, with one thread.
HttpServerOptions CallerServerFromFlags() {
  HttpServerOptions options = ServerOptionsFor(FLAGS_http);
  options.connection_limit = static_cast<unsigned>(ValidatedInt(FLAGS_connections));
  options.idle_timeout_s = static_cast<unsigned>(ValidatedInt(FLAGS_idle_timeout_s));
  options.request_timeout = std::chrono::seconds(ValidatedInt(FLAGS_request_limit_s));
  options.body_limit = static_cast<size_t>(ValidatedInt(FLAGS_body_limit_kb)) * 1024;
  return options;
}

// The share of one host. The owner, its successor and relays use a worker's connections, and hosts that lost power
// leave theirs open. A new owner starts many tasks at once, so only one of its share is kept for urgent orders.
ConnectionLimits ShareOfWorkerConnections(size_t accepted) {
  constexpr size_t kHosts = 16;  // That share them; of these, about a dozen may have lost power since a worker started.
  constexpr size_t kMinShare = 2;
  constexpr size_t kMaxShare = 4;
  const size_t share = std::clamp(accepted / kHosts, kMinShare, kMaxShare);
  return ConnectionLimits{.total = share, .urgent = 1};
}

CellDaemonSettings CellDaemonSettingsFromFlags() {
  const auto millis = [](const std::string& value) { return std::chrono::milliseconds(ValidatedInt(value)); };
  CellDaemonSettings settings;
  settings.cell.name = FLAGS_name;
  settings.cell.data_centre = FLAGS_data_centre;
  settings.cell.peer_address = FLAGS_peer;
  settings.cell.advice_address = FLAGS_advice;
  const double processor =
      ParseRatio(FLAGS_processor_share).value_or(0) * ParseRatio(FLAGS_processor_speed).value_or(1);
  settings.cell.processor_millis = static_cast<int>(processor * 1000);
  settings.cell.max_hold = millis(FLAGS_most_hold_ms);
  settings.cell.gang_timeout = millis(FLAGS_gang_timeout_ms);
  settings.cell.ended_job_retention = std::chrono::seconds(ValidatedInt(FLAGS_state_kept_s));
  settings.cell.min_lease_ttl = millis(FLAGS_shortest_lease_ms);
  settings.cell.key_withdrawal_limit = millis(FLAGS_key_withdrawal_ms);
  settings.cell.configuration_limit = millis(FLAGS_configuration_ms);
  settings.callers = CallerServerFromFlags();
  settings.balancer = ServerOptionsFor(FLAGS_ready);
  settings.metrics = ServerOptionsFor(FLAGS_metrics);
  settings.store_address = FLAGS_store;
  settings.worker_connections = ShareOfWorkerConnections(static_cast<size_t>(ValidatedInt(FLAGS_worker_connections)));
  settings.grace_period = std::chrono::seconds(ValidatedInt(FLAGS_grace_s));
  return settings;
}

DaemonSettings DaemonSettingsFromFlags() {
  const auto millis = [](const std::string& value) { return std::chrono::milliseconds(ValidatedInt(value)); };
  DaemonSettings settings;
  settings.host.name = FLAGS_name;
  settings.host.data_centre = FLAGS_data_centre;
  settings.host.heartbeat_interval = millis(FLAGS_heartbeat_ms);
  settings.host.suspect_timeout = millis(FLAGS_suspect_ms);
  settings.host.control_lease = millis(FLAGS_control_lease_ms);
  settings.host.leave_timeout = millis(FLAGS_leave_limit_ms);
  settings.http = CallerServerFromFlags();
  settings.http.threads = HttpServerOptions{}.threads;
  settings.peer_address = FLAGS_peer;
  settings.store_address = FLAGS_store;
  settings.list_address = FLAGS_list;
  settings.leave_linger = millis(FLAGS_leave_linger_ms);
  return settings;
}

}  // namespace

std::string SettingsHelp() {
  std::string text =
      "hibiscusd: one host of hibiscusstand. Every setting is a flag (--name=a1) or an environment variable\n"
      "(FLAGS_name=a1); the flag takes precedence. See docs/OPERATIONS.md.\n";
  for (const SettingGroup& group : SettingGroups()) {
    text += fmt::format("\n{}\n", group.title);
    for (const Setting& setting : group.settings) {
      const std::string default_value = gflags::GetCommandLineFlagInfoOrDie(setting.flag).default_value;
      const std::string default_text = default_value.empty() ? "no default" : fmt::format("default {}", default_value);
      text += fmt::format("  --{:<18} {}{} ({})\n", setting.flag, setting.help, RangeText(setting), default_text);
    }
  }
  text +=
      "\nRun and exit\n  --check              checks the settings and exits\n  --help               prints this text\n";
  return text;
}

tl::expected<ParsedSettings, std::string> ReadSettings(int* argc, char*** argv) {
  gflags::SetCommandLineOption("tryfromenv", FlagNames().c_str());
  gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
  ParsedSettings result;
  result.help_only = FLAGS_help || FLAGS_helpshort;
  if (result.help_only) {
    return result;
  }
  if (*argc > 1) {
    return tl::unexpected(fmt::format("'{}' is no flag; see --help", (*argv)[1]));
  }
  if (std::string problem = ValidateSettings(); !problem.empty()) {
    return tl::unexpected(problem);
  }
  SetLogLevel(ParseLogLevel(FLAGS_log_level));
  result.check_only = FLAGS_check;
  result.daemon = DaemonSettingsFromFlags();
  result.cell_mode = FLAGS_mode == "cell";
  result.cell = CellDaemonSettingsFromFlags();
  return result;
}

tl::expected<CellDaemonSettings, std::string> ReloadSettings() {
  if (FLAGS_flagfile.empty()) {
    return tl::unexpected(std::string("the settings came from the command line; there is no --flagfile to reload"));
  }
  const gflags::FlagSaver saver;  // Restores the flags on return; the new values are in the result only.
  std::ifstream file(FLAGS_flagfile);
  if (!file) {
    return tl::unexpected(fmt::format("cannot read {}", FLAGS_flagfile));
  }
  std::map<std::string, std::string> values;
  for (std::string line; std::getline(file, line);) {
    const size_t equals = line.find('=');
    if (line.starts_with("--") && equals != std::string::npos) {
      values[line.substr(2, equals - 2)] = line.substr(equals + 1);
    }
  }
  for (const auto& [flag, value] : values) {
    if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
      return tl::unexpected(fmt::format("--{} is not a flag, or '{}' is not a valid value for it", flag, value));
    }
  }
  if (std::string problem = ValidateSettings(); !problem.empty()) {
    return tl::unexpected(problem);
  }
  return CellDaemonSettingsFromFlags();
}

std::string SettingsFilePath() {
  return FLAGS_flagfile;
}

}  // namespace hibiscus
