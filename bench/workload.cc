#include "bench/workload.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/records.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

Resources ResourcesFrom(const Json& json) {
  return Resources{json.value("cpu_millis", int64_t{0}), json.value("memory_mb", int64_t{0}),
                   json.value("accelerators", int64_t{0})};
}

LoadStream StreamFrom(const Json& json, const Configuration& configuration) {
  LoadStream stream;
  stream.class_name = json.at("class");
  stream.tenant = json.at("tenant");
  stream.share = json.at("share");
  stream.run_time = std::chrono::milliseconds(json.at("run_time_ms").get<int64_t>());
  stream.size = ResourcesFrom(json);
  stream.least_members = json.value("least_members", 1);
  stream.most_members = json.value("most_members", 1);
  const ClassSpec* spec = configuration.FindClass(stream.class_name);
  if (spec == nullptr) {
    throw std::runtime_error(fmt::format("the load of '{}' names no class", stream.class_name));
  }
  stream.kind = spec->kind;
  return stream;
}

}  // namespace

Workload ReadWorkload(const std::string& directory, const std::string& name) {
  std::ifstream file(directory + "/" + name + ".json");
  if (!file) {
    throw std::runtime_error(fmt::format("no workload '{}' in {}", name, directory));
  }
  Json json = Json::parse(file);
  json["version"] = 1;
  json["change_id"] = "bench";
  const auto configuration = DecodeConfiguration(json.dump());
  if (!configuration) {
    throw std::runtime_error(configuration.error());
  }
  Workload workload{name, *configuration, ResourcesFrom(json.at("worker")), {}};
  for (const Json& load : json.at("loads")) {
    workload.streams.push_back(StreamFrom(load, *configuration));
  }
  return workload;
}

const std::vector<Day>& Days() {
  static const std::vector<Day> kDays = {
      Day{"plain", false, false, false, false},         Day{"burst", true, false, false, false},
      Day{"slow", false, true, false, false},           Day{"misdeclared", false, false, true, false},
      Day{"flood", false, false, false, true},          Day{"all", true, true, true, false},
      Day{"failing", false, false, false, false, true},
  };
  return kDays;
}

}  // namespace hibiscus
