// hibiscusctl: the command line of callers and operators.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "core/records.h"
#include "ports/caller_api.h"
#include "ports/http_client.h"

DEFINE_string(server, "127.0.0.1:8080", "ip:port of one or more hosts, separated by commas; tried in turn");
DEFINE_string(tenant, "default", "submit: tenant");
DEFINE_string(id, "", "submit: request id; drawn at random if empty");
DEFINE_string(class_name, "", "submit: class of work");
DEFINE_int32(attempt, 1, "submit: attempt number; 1 is surely the first, 0 does not say");
DEFINE_int64(cpu_millis, 0, "submit: thousandths of a core, per member");
DEFINE_int64(memory_mb, 0, "submit: mebibytes, per member");
DEFINE_int64(accelerators, 0, "submit: devices, per member");
DEFINE_int32(members, 1, "submit: tasks of a gang");
DEFINE_int64(run_ms, 1000, "submit: declared run time, milliseconds");
DEFINE_string(payload, "", "submit: input of the work");
DEFINE_bool(deferred, false, "submit: accept now, ask for the result with 'result'");
DEFINE_int32(timeout_ms, 60'000, "how long to wait for an answer, milliseconds");
DEFINE_bool(json, false, "print the answer as JSON");

namespace hibiscus {

namespace {

// Exit codes, as docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;  // A plain refusal or failure.
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;  // No host answered.
constexpr int kExitUnknown = 4;      // The request may have run.

using Json = nlohmann::json;
using Words = std::vector<std::string>;

std::vector<std::string> Servers() {
  std::vector<std::string> servers;
  std::stringstream stream(FLAGS_server);
  for (std::string server; std::getline(stream, server, ',');) {
    servers.push_back(server);
  }
  return servers;
}

// Asks the hosts in turn. A host that surely got nothing is passed over; any other outcome is final.
HttpResult Ask(const std::string& method, const std::string& path, const std::string& body) {
  HttpResult result;
  for (const std::string& server : Servers()) {
    HttpCall call{method, fmt::format("http://{}{}", server, path), body, std::chrono::milliseconds(FLAGS_timeout_ms)};
    result = HttpFetch(call);
    if (result.delivery != Delivery::kNotSent) {
      break;
    }
  }
  return result;
}

int ExitOf(const Json& json) {
  const int code = json.value("code", 0);
  if (code < 200) {
    return code == static_cast<int>(ResultCode::kCancelled) ? kExitRefused : kExitOk;
  }
  return json.value("verdict", "") == NameOf(Verdict::kUnknown) ? kExitUnknown : kExitRefused;
}

void PrintField(const Json& json, const char* field) {
  if (!json.contains(field)) {
    return;
  }
  const Json& value = json.at(field);
  fmt::print("{:<16} {}\n", field, value.is_string() ? value.get<std::string>() : value.dump());
}

int Print(const HttpResult& result) {
  if (result.delivery != Delivery::kAnswered) {
    const bool sent = result.delivery == Delivery::kUnknown;
    fmt::print(stderr, "ctl: {}\n", sent ? "the answer was lost; the request may have run" : "no host answered");
    return sent ? kExitUnknown : kExitUnreachable;
  }
  const Json json = Json::parse(result.body, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    fmt::print("{}\n", result.body);
    return result.status == 200 ? kExitOk : kExitRefused;
  }
  if (FLAGS_json) {
    fmt::print("{}\n", json.dump(2));
    return ExitOf(json);
  }
  for (const auto& [field, value] : json.items()) {
    PrintField(json, field.c_str());
  }
  return ExitOf(json);
}

std::string FreshId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int Submit(const Words&) {
  Request request;
  request.key = RequestKey{FLAGS_tenant, FLAGS_id.empty() ? FreshId() : FLAGS_id};
  request.attempt = FLAGS_attempt;
  request.class_name = FLAGS_class_name;
  request.size = Resources{FLAGS_cpu_millis, FLAGS_memory_mb, FLAGS_accelerators};
  request.members = FLAGS_members;
  request.run_time = std::chrono::milliseconds(FLAGS_run_ms);
  request.deferred = FLAGS_deferred;
  request.payload = FLAGS_payload;
  return Print(Ask("POST", "/v1/requests", RenderSubmit(request)));
}

int Result(const Words& words) {
  return Print(Ask("GET", fmt::format("/v1/requests/{}/{}", words[1], words[2]), {}));
}

int Cancel(const Words& words) {
  return Print(Ask("DELETE", fmt::format("/v1/requests/{}/{}", words[1], words[2]), {}));
}

int Status(const Words&) {
  return Print(Ask("GET", "/v1/status", {}));
}

int ConfigGet(const Words&) {
  return Print(Ask("GET", "/v1/config", {}));
}

int ConfigSet(const Words& words) {
  std::ifstream file(words[1]);
  std::stringstream text;
  text << file.rdbuf();
  const auto configuration = DecodeConfiguration(text.str());
  if (!configuration) {
    fmt::print(stderr, "ctl: {} is no configuration: {}\n", words[1], configuration.error());
    return kExitUsage;
  }
  if (const std::string problem = CheckConfiguration(*configuration); !problem.empty()) {
    fmt::print(stderr, "ctl: {}\n", problem);
    return kExitUsage;
  }
  const Json now = Json::parse(Ask("GET", "/v1/config", {}).body, nullptr, false);
  if (now.is_discarded()) {
    fmt::print(stderr, "ctl: no host answered\n");
    return kExitUnreachable;
  }
  const uint64_t version = now.at("configuration").at("version");
  const Json set{{"expected_version", version},
                 {"change_id", FreshId()},
                 {"configuration", Json::parse(EncodeConfiguration(*configuration))}};
  return Print(Ask("PUT", "/v1/config", set.dump()));
}

int Leave(const Words&) {
  return Print(Ask("POST", "/v1/leave", {}));
}

struct Command {
  std::string name;
  size_t words;  // Words after the name.
  std::string help;
  int (*run)(const Words&);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"submit", 0, "submit                   send a request and wait for its answer (see --help for its flags)",
       Submit},
      {"result", 2, "result TENANT ID         the result of a request", Result},
      {"cancel", 2, "cancel TENANT ID         cancel a request", Cancel},
      {"status", 0, "status                   what a host knows", Status},
      {"config-get", 0, "config-get               the configuration in force", ConfigGet},
      {"config-set", 1, "config-set FILE          replace the configuration", ConfigSet},
      {"drain", 0, "drain                    ask a host for its planned stop", Leave},
  };
  return kCommands;
}

int Usage() {
  fmt::print(stderr, "usage: hibiscusctl [flags] COMMAND\n\n");
  for (const Command& command : Commands()) {
    fmt::print(stderr, "  {}\n", command.help);
  }
  return kExitUsage;
}

int Run(const Words& words) {
  for (const Command& command : Commands()) {
    if (!words.empty() && command.name == words[0] && command.words == words.size() - 1) {
      return command.run(words);
    }
  }
  return Usage();
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("hibiscusctl [flags] COMMAND; without a command it lists them");
  gflags::SetCommandLineOption("tryfromenv", "server,tenant");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscus::Run(std::vector<std::string>(argv + 1, argv + argc));
}
