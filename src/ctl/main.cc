// hibiscusctl: the command-line client for callers and operators.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "core/records.h"
#include "core/split.h"
#include "ctl/table.h"
#include "ports/caller_api.h"
#include "ports/http_client.h"

DEFINE_string(server,
              "127.0.0.1:8080",
              "ip:port of a host; may be repeated or hold several separated by commas; hosts are tried in order");
DEFINE_string(tenant, "default", "submit: tenant");
DEFINE_string(id, "", "submit: request id; random if empty");
DEFINE_string(class_name, "", "submit: class of work");
DEFINE_int32(attempt, 1, "submit: attempt number; 1: certainly the first, 0: unknown");
DEFINE_int64(cpu_millis, 0, "submit: thousandths of a core, per member");
DEFINE_int64(memory_mb, 0, "submit: mebibytes, per member");
DEFINE_int64(accelerators, 0, "submit: devices, per member");
DEFINE_int32(members, 1, "submit: number of tasks in the gang");
DEFINE_int64(run_ms, 1000, "submit: declared run time, milliseconds");
DEFINE_string(payload, "", "submit: input data");
DEFINE_bool(deferred, false, "submit: return once accepted; fetch the result with 'result'");
DEFINE_int32(versions, 10, "config history: number of versions, 1 to 100");
DEFINE_int32(timeout_ms, 60'000, "timeout for an answer, milliseconds");
DEFINE_bool(json, false, "print the answer as JSON");

namespace hibiscus {

namespace {

// Exit codes; see docs/OPERATIONS.md.
constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;  // The request was refused or failed.
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;  // No host answered.
constexpr int kExitUnknown = 4;      // The request may have run.

using Json = nlohmann::json;
using Words = std::vector<std::string>;

std::vector<std::string> Servers() {
  return Split(FLAGS_server);
}

// Tries the hosts in order. Continues with the next one only if the request was certainly not sent, because it may
// otherwise have run.
HttpResult SendRequest(const std::string& method, const std::string& path, const std::string& body) {
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

int ExitCodeFor(const Json& json) {
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

int PrintResult(const HttpResult& result) {
  if (result.delivery != Delivery::kAnswered) {
    const bool may_have_run = result.delivery == Delivery::kUnknown;
    fmt::print(stderr, "ctl: {}\n",
               may_have_run ? "the answer was lost; the request may have run" : "no host answered");
    return may_have_run ? kExitUnknown : kExitUnreachable;
  }
  const Json json = Json::parse(result.body, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    fmt::print("{}\n", result.body);
    return result.status == 200 ? kExitOk : kExitRefused;
  }
  if (FLAGS_json) {
    fmt::print("{}\n", json.dump(2));
    return ExitCodeFor(json);
  }
  for (const auto& [field, value] : json.items()) {
    PrintField(json, field.c_str());
  }
  return ExitCodeFor(json);
}

std::string RandomId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int Submit(const Words&) {
  Request request;
  request.key = RequestKey{FLAGS_tenant, FLAGS_id.empty() ? RandomId() : FLAGS_id};
  request.attempt = FLAGS_attempt;
  request.class_name = FLAGS_class_name;
  request.size = Resources{FLAGS_cpu_millis, FLAGS_memory_mb, FLAGS_accelerators};
  request.members = FLAGS_members;
  request.run_time = std::chrono::milliseconds(FLAGS_run_ms);
  request.deferred = FLAGS_deferred;
  request.payload = FLAGS_payload;
  return PrintResult(SendRequest("POST", "/v1/requests", RenderSubmitBody(request)));
}

int GetResult(const Words& words) {
  return PrintResult(SendRequest("GET", fmt::format("/v1/requests/{}/{}", words[1], words[2]), {}));
}

int CancelRequest(const Words& words) {
  return PrintResult(SendRequest("DELETE", fmt::format("/v1/requests/{}/{}", words[1], words[2]), {}));
}

// Sends a request to this host only.
HttpResult SendRequestTo(const std::string& server, const std::string& method, const std::string& path) {
  return HttpFetch({method, fmt::format("http://{}{}", server, path), {}, std::chrono::milliseconds(FLAGS_timeout_ms)});
}

// The answer as a JSON object, or null if there is none.
Json ParseObject(const HttpResult& result) {
  if (result.delivery != Delivery::kAnswered) {
    return nullptr;
  }
  Json json = Json::parse(result.body, nullptr, false);
  return json.is_object() ? json : Json(nullptr);
}

std::string FieldText(const Json& json, const char* field) {
  if (!json.contains(field)) {
    return "-";
  }
  const Json& value = json.at(field);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints a table with a row per object and a column per field.
void PrintObjects(const Json& objects, const std::vector<std::string>& fields) {
  if (FLAGS_json) {
    fmt::print("{}\n", objects.dump(2));
    return;
  }
  std::vector<Row> rows = {fields};
  for (const Json& object : objects) {
    Row& row = rows.emplace_back();
    for (const std::string& field : fields) {
      row.push_back(FieldText(object, field.c_str()));
    }
  }
  fmt::print("{}", FormatTable(rows));
}

int ReportUnreachable() {
  fmt::print(stderr, "ctl: no host answered\n");
  return kExitUnreachable;
}

// Queries every host in --server. Unreachable hosts are listed without values.
int ShowStatus(const Words&) {
  Json rows = Json::array();
  bool any_answered = false;
  for (const std::string& server : Servers()) {
    Json row = ParseObject(SendRequestTo(server, "GET", "/v1/status"));
    any_answered = any_answered || !row.is_null();
    if (row.is_null()) {
      row = Json{{"state", "unreachable"}};
    } else {
      row["state"] = row.value("leaving", false) ? "leaving" : "serving";
      row["live"] = row.value("live", Json::array()).size();
    }
    row["server"] = server;
    rows.push_back(row);
  }
  PrintObjects(rows, {"server", "name", "data_centre", "state", "live", "workers_leased", "requests_active",
                      "queued_tasks", "queued_calls", "config_version"});
  return any_answered ? kExitOk : kExitUnreachable;
}

// Queries every host and prints the best answer: preferably from a host that knows the request or leases the worker,
// otherwise from any that answered.
int Explain(const std::string& path, const char* preferred_field) {
  Json best;
  for (const std::string& server : Servers()) {
    const Json view = ParseObject(SendRequestTo(server, "GET", path));
    const bool better =
        !view.is_null() && (best.is_null() || (view.value("known", false) && !best.value("known", false)) ||
                            (view.value(preferred_field, false) && !best.value(preferred_field, false)));
    best = better ? view : best;
  }
  if (best.is_null()) {
    return ReportUnreachable();
  }
  if (FLAGS_json) {
    fmt::print("{}\n", best.dump(2));
  } else {
    for (const auto& [field, value] : best.items()) {
      PrintField(best, field.c_str());
    }
  }
  return best.value("known", false) ? kExitOk : kExitRefused;
}

int ExplainRequest(const Words& words) {
  return Explain(fmt::format("/v1/explain/requests/{}/{}", words[2], words[3]), "known");
}

int ExplainWorker(const Words& words) {
  return Explain(fmt::format("/v1/explain/workers/{}", words[2]), "leased");
}

// Polls until there is a result or --timeout_ms has passed.
int WaitForResult(const Words& words) {
  constexpr std::chrono::milliseconds kPollInterval(200);
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
  while (true) {
    const HttpResult result = SendRequest("GET", fmt::format("/v1/requests/{}/{}", words[1], words[2]), {});
    const Json json = ParseObject(result);
    const bool pending = !json.is_null() && json.value("code", 0) == static_cast<int>(ResultCode::kAccepted);
    if ((!pending && !json.is_null()) || std::chrono::steady_clock::now() >= deadline) {
      PrintResult(result);
      return pending ? kExitUnknown : json.is_null() ? kExitUnreachable : ExitCodeFor(json);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int ListClasses(const Words&) {
  const Json answer = ParseObject(SendRequest("GET", "/v1/config", {}));
  if (answer.is_null()) {
    return ReportUnreachable();
  }
  PrintObjects(answer.at("configuration").at("classes"),
               {"name", "kind", "start_within_ms", "finish_within_ms", "may_run_twice"});
  return kExitOk;
}

int ListQuotas(const Words&) {
  const Json answer = ParseObject(SendRequest("GET", "/v1/config", {}));
  if (answer.is_null()) {
    return ReportUnreachable();
  }
  Json quotas = answer.at("configuration").at("quotas");
  for (Json& quota : quotas) {
    const Json limit = quota.value("limit", Json::object());
    quota.update(limit);
    quota.erase("limit");
  }
  PrintObjects(quotas, {"tenant", "cpu_millis", "memory_mb", "accelerators", "max_calls"});
  return kExitOk;
}

int ConfigGet(const Words&) {
  return PrintResult(SendRequest("GET", "/v1/config", {}));
}

int ConfigSet(const Words& words) {
  std::ifstream file(words[2]);
  std::stringstream text;
  text << file.rdbuf();
  const auto configuration = DecodeConfiguration(text.str());
  if (!configuration) {
    fmt::print(stderr, "ctl: {} is not a valid configuration: {}\n", words[2], configuration.error());
    return kExitUsage;
  }
  if (const std::string problem = CheckConfiguration(*configuration); !problem.empty()) {
    fmt::print(stderr, "ctl: {}\n", problem);
    return kExitUsage;
  }
  const Json current = ParseObject(SendRequest("GET", "/v1/config", {}));
  if (current.is_null()) {
    return ReportUnreachable();
  }
  const uint64_t version = current.at("configuration").at("version");
  const Json change{{"expected_version", version},
                    {"change_id", RandomId()},
                    {"configuration", Json::parse(EncodeConfiguration(*configuration))}};
  return PrintResult(SendRequest("PUT", "/v1/config", change.dump()));
}

// Lists the latest versions, newest first, with the change that made each.
int ConfigHistory(const Words&) {
  const Json answer = ParseObject(SendRequest("GET", fmt::format("/v1/config/history/{}", FLAGS_versions), {}));
  if (answer.is_null()) {
    return ReportUnreachable();
  }
  if (!answer.contains("versions")) {
    fmt::print(stderr, "ctl: {}\n", FieldText(answer, "detail"));
    return kExitUsage;
  }
  Json rows = answer.at("versions");
  if (!FLAGS_json) {
    for (Json& row : rows) {
      row["classes"] = row.value("classes", Json::array()).size();
      row["quotas"] = row.value("quotas", Json::array()).size();
    }
  }
  PrintObjects(rows, {"version", "change_id", "classes", "quotas"});
  if (ExitCodeFor(answer) != kExitOk) {
    fmt::print(stderr, "ctl: some versions are missing: {}\n", FieldText(answer, "meaning"));
  }
  return ExitCodeFor(answer);
}

int DrainHost(const Words&) {
  if (Servers().size() != 1) {
    fmt::print(stderr, "ctl: drain stops one host; --server is '{}', it must name exactly 1 host\n", FLAGS_server);
    return kExitUsage;
  }
  return PrintResult(SendRequest("POST", "/v1/leave", {}));
}

struct Command {
  Words name;
  Words arguments;
  std::string help;
  int (*run)(const Words&);  // Receives the words of the name and the arguments.

  std::string Usage() const {
    std::string text;
    for (const Words& words : {name, arguments}) {
      for (const std::string& word : words) {
        text += word + " ";
      }
    }
    return text;
  }
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {{"submit"}, {}, "send a request and wait for its answer; --help lists its flags", Submit},
      {{"result"}, {"TENANT", "ID"}, "print the result of a request, or that it is pending", GetResult},
      {{"wait"}, {"TENANT", "ID"}, "wait for the result of a request", WaitForResult},
      {{"cancel"}, {"TENANT", "ID"}, "cancel a request", CancelRequest},
      {{"status"}, {}, "print the status of each host in --server", ShowStatus},
      {{"explain", "request"},
       {"TENANT", "ID"},
       "print which host is the home of a request, and what the request waits for",
       ExplainRequest},
      {{"explain", "worker"},
       {"NAME"},
       "print which host owns a worker, its lease and its free capacity",
       ExplainWorker},
      {{"classes"}, {}, "list the classes of work in effect", ListClasses},
      {{"quotas"}, {}, "list the quotas in effect", ListQuotas},
      {{"config", "get"}, {}, "print the configuration in effect", ConfigGet},
      {{"config", "set"}, {"FILE"}, "replace the configuration, unless it has changed in the meantime", ConfigSet},
      {{"config", "history"}, {}, "list past versions, newest first; --versions limits their number", ConfigHistory},
      {{"drain"}, {}, "begin the planned stop of one host", DrainHost},
  };
  return kCommands;
}

int PrintUsage() {
  fmt::print(stderr, "usage: hibiscusctl [--server=IP:PORT]... [--json] COMMAND\n\n");
  std::vector<Row> rows;
  for (const Command& command : Commands()) {
    rows.push_back({"  " + command.Usage(), command.help});
  }
  fmt::print(stderr, "{}\nexit codes: 0 success, 1 refused or failed, 2 usage, 3 no host answered, 4 unknown\n",
             FormatTable(rows));
  return kExitUsage;
}

int RunCommand(const Words& words) {
  for (const Command& command : Commands()) {
    const bool matches = words.size() == command.name.size() + command.arguments.size();
    if (matches && std::equal(command.name.begin(), command.name.end(), words.begin())) {
      return command.run(words);
    }
  }
  return PrintUsage();
}

// Joins repeated --server flags into one, separated by commas, because gflags keeps only the last.
Words JoinServers(const Words& words) {
  constexpr std::string_view kFlag = "--server=";
  Words joined;
  std::string servers;
  for (const std::string& word : words) {
    if (word.starts_with(kFlag)) {
      servers += (servers.empty() ? "" : ",") + word.substr(kFlag.size());
    } else {
      joined.push_back(word);
    }
  }
  if (!servers.empty()) {
    joined.insert(joined.begin() + 1, std::string(kFlag) + servers);
  }
  return joined;
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  hibiscus::Words words = hibiscus::JoinServers(hibiscus::Words(argv, argv + argc));
  std::vector<char*> pointers;
  pointers.reserve(words.size());
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  int count = static_cast<int>(pointers.size());
  char** arguments = pointers.data();
  gflags::SetUsageMessage("hibiscusctl [flags] COMMAND; without a command, lists all commands");
  gflags::SetCommandLineOption("tryfromenv", "server,tenant");
  gflags::ParseCommandLineFlags(&count, &arguments, true);
  return hibiscus::RunCommand(hibiscus::Words(arguments + 1, arguments + count));
}
