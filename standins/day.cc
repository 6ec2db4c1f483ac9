#include "standins/day.h"

#include <algorithm>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/records.h"
#include "standins/fakes.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

DrawRange ParseRange(const Json& json, const char* field, DrawRange fallback) {
  if (!json.contains(field)) {
    return fallback;
  }
  const DrawRange range{json.at(field).at(0).get<int64_t>(), json.at(field).at(1).get<int64_t>()};
  if (range.min < 0 || range.max < range.min) {
    throw std::invalid_argument(fmt::format("'{}' must be a range such as [1, 2]", field));
  }
  return range;
}

DayStream ParseStream(const Json& json) {
  DayStream stream;
  stream.class_name = json.at("class").get<std::string>();
  stream.tenant = json.at("tenant").get<std::string>();
  stream.per_second = json.at("per_second").get<double>();
  stream.cpu_millis = ParseRange(json, "cpu_millis", stream.cpu_millis);
  stream.memory_mb = ParseRange(json, "memory_mb", stream.memory_mb);
  stream.accelerators = ParseRange(json, "accelerators", stream.accelerators);
  stream.members = ParseRange(json, "members", stream.members);
  stream.run_ms = ParseRange(json, "run_ms", stream.run_ms);
  stream.wrong_share = json.value("wrong_share", stream.wrong_share);
  stream.wrong_factor = json.value("wrong_factor", stream.wrong_factor);
  if (stream.per_second <= 0.0) {
    throw std::invalid_argument("'per_second' must be above zero");
  }
  return stream;
}

Request GenerateRequest(const DayStream& stream, const std::string& id, std::mt19937_64& random) {
  Request request;
  request.key = RequestKey{stream.tenant, id};
  request.attempt = 1;
  request.class_name = stream.class_name;
  request.size =
      Resources{stream.cpu_millis.Draw(random), stream.memory_mb.Draw(random), stream.accelerators.Draw(random)};
  request.members = static_cast<int>(stream.members.Draw(random));
  const int64_t declared_ms = stream.run_ms.Draw(random);
  request.run_time = std::chrono::milliseconds(declared_ms);
  const bool wrong = std::uniform_real_distribution<double>(0.0, 1.0)(random) < stream.wrong_share;
  const double factor = wrong ? stream.wrong_factor : 1.0;
  request.payload = fmt::format("run_ms={}", static_cast<int64_t>(static_cast<double>(declared_ms) * factor));
  return request;
}

}  // namespace

int64_t DrawRange::Draw(std::mt19937_64& random) const {
  return std::uniform_int_distribution<int64_t>(min, max)(random);
}

const ClassSpec* Day::FindClass(const std::string& name) const {
  const auto found = std::find_if(classes.begin(), classes.end(), [&](const auto& spec) { return spec.name == name; });
  return found == classes.end() ? nullptr : &*found;
}

tl::expected<Day, std::string> ParseDay(const std::string& text) {
  const auto configuration = DecodeConfiguration(text);
  if (!configuration) {
    return tl::unexpected(std::string(configuration.error()));
  }
  try {
    const Json json = Json::parse(text).at("day");
    Day day;
    day.classes = configuration->classes;
    day.seconds = json.at("seconds").get<double>();
    for (const Json& stream : json.at("streams")) {
      day.streams.push_back(ParseStream(stream));
      if (day.FindClass(day.streams.back().class_name) == nullptr) {
        return tl::unexpected(
            fmt::format("the day names class '{}', which is not in 'classes'", day.streams.back().class_name));
      }
    }
    return day;
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

std::vector<Arrival> GenerateArrivals(const Day& day, uint64_t seed, const std::string& id_prefix) {
  std::mt19937_64 random(seed);
  std::vector<Arrival> arrivals;
  for (const DayStream& stream : day.streams) {
    std::exponential_distribution<double> gap(stream.per_second);
    int count = 0;
    for (double at = gap(random); at < day.seconds; at += gap(random)) {
      const std::string id = fmt::format("{}-{}-{}", id_prefix, stream.class_name, ++count);
      const auto offset = Duration(static_cast<int64_t>(at * 1e6));
      arrivals.push_back(Arrival{offset, GenerateRequest(stream, id, random)});
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return arrivals;
}

std::string ExpectedAnswer(const Request& request) {
  std::string body;
  for (int member = 0; member < request.members; ++member) {
    body += ExpectedBody(TaskId{request.key, member});
  }
  return body;
}

}  // namespace hibiscus
