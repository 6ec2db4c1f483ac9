#include "ports/caller_api.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/json_text.h"
#include "core/records.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 200;  // For tenants, ids and class names.
constexpr int kMaxGangMembers = 1024;  // Tasks of one gang.
constexpr int64_t kMaxRunMs = int64_t{366} * 24 * 3600 * 1000;
constexpr std::string_view kRequestsPath = "/v1/requests";
constexpr std::string_view kExplainRequestsPath = "/v1/explain/requests";
constexpr std::string_view kExplainWorkersPath = "/v1/explain/workers/";
constexpr std::string_view kHistoryPath = "/v1/config/history/";

ApiError BadRequest(std::string detail) {
  return ApiError{ResultCode::kBadRequest, std::move(detail)};
}

std::string ParseName(const Json& json, const char* field) {
  if (!json.contains(field)) {
    throw std::invalid_argument(fmt::format("'{}' is missing", field));
  }
  if (!json.at(field).is_string()) {
    throw std::invalid_argument(fmt::format("'{}' must be a string", field));
  }
  auto name = json.at(field).get<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw std::invalid_argument(fmt::format("'{}' must have 1 to {} bytes", field, kMaxNameBytes));
  }
  return name;
}

int64_t ParseNumber(const Json& json, const char* field, int64_t fallback, int64_t min, int64_t max) {
  if (!json.contains(field)) {
    return fallback;
  }
  const Json& value = json.at(field);
  if (!value.is_number_integer()) {
    throw std::invalid_argument(fmt::format("'{}' must be a whole number", field));
  }
  const bool above_max = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(max);
  if (above_max || value.get<int64_t>() < min) {
    throw std::invalid_argument(fmt::format("'{}' is {}, it must be {} to {}", field, value.dump(), min, max));
  }
  return value.get<int64_t>();
}

template <class Value>
Value ParseField(const Json& json, const char* field, Value fallback, const char* expected_type) {
  try {
    return json.value(field, std::move(fallback));
  } catch (const Json::exception&) {
    throw std::invalid_argument(fmt::format("'{}' must be {}", field, expected_type));
  }
}

Request ParseRequest(const Json& json) {
  if (!json.is_object()) {
    throw std::invalid_argument("the body must be a JSON object");
  }
  constexpr int64_t kMaxResource = int64_t{1} << 40;
  Request request;
  request.key.tenant = ParseName(json, "tenant");
  request.key.id = ParseName(json, "id");
  request.class_name = ParseName(json, "class");
  request.attempt = static_cast<int>(ParseNumber(json, "attempt", 0, 0, 1'000'000));
  request.size.cpu_millis = ParseNumber(json, "cpu_millis", 0, 0, kMaxResource);
  request.size.memory_mb = ParseNumber(json, "memory_mb", 0, 0, kMaxResource);
  request.size.accelerators = ParseNumber(json, "accelerators", 0, 0, kMaxResource);
  request.members = static_cast<int>(ParseNumber(json, "members", 1, 1, kMaxGangMembers));
  request.run_time = std::chrono::milliseconds(ParseNumber(json, "run_ms", 1000, 0, kMaxRunMs));
  request.deferred = ParseField(json, "deferred", false, "true or false");
  request.payload = ParseField(json, "payload", std::string(), "a string");
  return request;
}

tl::expected<ApiCall, ApiError> ParseSubmit(ExchangeId exchange, const std::string& body) {
  try {
    return CallerSubmit{exchange, ParseRequest(Json::parse(body))};
  } catch (const std::exception& error) {
    return tl::unexpected(BadRequest(error.what()));
  }
}

tl::expected<ApiCall, ApiError> ParseConfigSet(ExchangeId exchange, const std::string& body) {
  try {
    const Json json = Json::parse(body);
    const auto configuration = DecodeConfiguration(json.at("configuration").dump());
    if (!configuration) {
      return tl::unexpected(BadRequest(configuration.error()));
    }
    if (std::string problem = CheckConfiguration(*configuration); !problem.empty()) {
      return tl::unexpected(BadRequest(problem));
    }
    OperatorConfigSet set{exchange, json.at("expected_version").get<uint64_t>(), *configuration};
    set.configuration.change_id = ParseName(json, "change_id");
    return set;
  } catch (const std::exception& error) {
    return tl::unexpected(BadRequest(error.what()));
  }
}

// "<prefix>/<tenant>/<id>"
tl::expected<RequestKey, ApiError> ParseKey(const std::string& path, std::string_view prefix) {
  const size_t begin = prefix.size() + 1;
  const size_t slash = path.find('/', begin);
  if (slash == std::string::npos || slash == begin || slash + 1 == path.size()) {
    return tl::unexpected(BadRequest(fmt::format("the path must be {}/TENANT/ID", prefix)));
  }
  return RequestKey{path.substr(begin, slash - begin), path.substr(slash + 1)};
}

// "<prefix>COUNT"
tl::expected<ApiCall, ApiError> ParseHistory(ExchangeId exchange, const std::string& path) {
  const char* begin = path.data() + kHistoryPath.size();
  const char* end = path.data() + path.size();
  OperatorHistory history{exchange, 0};
  const auto [rest, error] = std::from_chars(begin, end, history.limit);
  if (error != std::errc() || rest != end || history.limit < 1 || history.limit > kMaxConfigHistory) {
    return tl::unexpected(
        BadRequest(fmt::format("the path must be {}COUNT, with a count from 1 to {}", kHistoryPath,  //
                               kMaxConfigHistory)));
  }
  return history;
}

int RoundUpToSeconds(Duration duration) {
  return static_cast<int>((Millis(duration) + 999) / 1000);
}

}  // namespace

tl::expected<ApiCall, ApiError> ParseApiCall(ExchangeId exchange, const HttpRequest& request) {
  const std::string& path = request.path;
  if (path == kRequestsPath && request.method == "POST") {
    return ParseSubmit(exchange, request.body);
  }
  if (path.starts_with(fmt::format("{}/", kRequestsPath))) {
    const auto key = ParseKey(path, kRequestsPath);
    if (!key) {
      return tl::unexpected(key.error());
    }
    if (request.method == "GET") {
      return CallerQuery{exchange, *key};
    }
    if (request.method == "DELETE") {
      return CallerCancel{exchange, *key};
    }
  }
  if (path.starts_with(fmt::format("{}/", kExplainRequestsPath)) && request.method == "GET") {
    const auto key = ParseKey(path, kExplainRequestsPath);
    return key ? tl::expected<ApiCall, ApiError>(ExplainRequestCall{*key}) : tl::unexpected(key.error());
  }
  if (path.starts_with(kExplainWorkersPath) && request.method == "GET") {
    return ExplainWorkerCall{path.substr(kExplainWorkersPath.size())};
  }
  if (path == "/v1/config" && request.method == "GET") {
    return ConfigCall{};
  }
  if (path == "/v1/config" && request.method == "PUT") {
    return ParseConfigSet(exchange, request.body);
  }
  if (path.starts_with(kHistoryPath) && request.method == "GET") {
    return ParseHistory(exchange, path);
  }
  if (path == "/v1/status" && request.method == "GET") {
    return StatusCall{};
  }
  if (path == "/v1/health" && request.method == "GET") {
    return HealthCall{};
  }
  if (path == "/v1/leave" && request.method == "POST") {
    return LeaveCall{};
  }
  if (path == "/metrics" && request.method == "GET") {
    return MetricsCall{};
  }
  return tl::unexpected(ApiError{ResultCode::kNotFound, fmt::format("no such call: {} {}", request.method, path)});
}

HttpReply RenderAnswer(const Answer& answer) {
  const ResultInfo& info = InfoOf(answer.code);
  Json json{{"tenant", answer.key.tenant},           {"id", answer.key.id},
            {"code", static_cast<int>(answer.code)}, {"name", info.name},
            {"verdict", NameOf(answer.verdict)},     {"meaning", info.meaning}};
  if (!answer.body.empty()) {
    json["body"] = answer.body;
  }
  if (answer.retry_after > 0us) {
    json["retry_after_ms"] = Millis(answer.retry_after);
  }
  return HttpReply{info.http_status, JsonText(json), "application/json", RoundUpToSeconds(answer.retry_after)};
}

HttpReply RenderConfig(ResultCode code, const Configuration& configuration) {
  const ResultInfo& info = InfoOf(code);
  const Json json{{"code", static_cast<int>(code)},
                  {"name", info.name},
                  {"meaning", info.meaning},
                  {"configuration", Json::parse(EncodeConfiguration(configuration))}};
  return HttpReply{info.http_status, json.dump()};
}

HttpReply RenderHistory(ResultCode code, const std::vector<Configuration>& versions) {
  const ResultInfo& info = InfoOf(code);
  Json list = Json::array();
  for (const Configuration& version : versions) {
    list.push_back(Json::parse(EncodeConfiguration(version)));
  }
  const Json json{
      {"code", static_cast<int>(code)}, {"name", info.name}, {"meaning", info.meaning}, {"versions", std::move(list)}};
  return HttpReply{info.http_status, json.dump()};
}

HttpReply RenderError(const ApiError& error) {
  const ResultInfo& info = InfoOf(error.code);
  const Json json{{"code", static_cast<int>(error.code)},
                  {"name", info.name},
                  {"verdict", NameOf(Verdict::kNotRun)},
                  {"meaning", info.meaning},
                  {"detail", error.detail}};
  return HttpReply{info.http_status, JsonText(json)};
}

std::string RenderSubmitBody(const Request& request) {
  const Json json{{"tenant", request.key.tenant},
                  {"id", request.key.id},
                  {"class", request.class_name},
                  {"attempt", request.attempt},
                  {"cpu_millis", request.size.cpu_millis},
                  {"memory_mb", request.size.memory_mb},
                  {"accelerators", request.size.accelerators},
                  {"members", request.members},
                  {"run_ms", Millis(request.run_time)},
                  {"deferred", request.deferred},
                  {"payload", request.payload}};
  return JsonText(json);
}

}  // namespace hibiscus
