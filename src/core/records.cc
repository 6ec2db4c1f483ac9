#include "core/records.h"

#include <set>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace hibiscus {

namespace {

using Json = nlohmann::json;

constexpr Duration kMaxTarget = 24h * 366;

Json ToJson(const Resources& size) {
  return Json{{"cpu_millis", size.cpu_millis}, {"memory_mb", size.memory_mb}, {"accelerators", size.accelerators}};
}

Resources ResourcesFrom(const Json& json) {
  Resources size;
  size.cpu_millis = json.value("cpu_millis", int64_t{0});
  size.memory_mb = json.value("memory_mb", int64_t{0});
  size.accelerators = json.value("accelerators", int64_t{0});
  return size;
}

constexpr std::string_view kKindNames[] = {"call", "batch", "service", "gang"};

Json ToJson(const ClassSpec& spec) {
  return Json{{"name", spec.name},
              {"kind", kKindNames[static_cast<size_t>(spec.kind)]},
              {"start_within_ms", Millis(spec.start_within)},
              {"finish_within_ms", Millis(spec.finish_within)},
              {"may_run_twice", spec.may_run_twice}};
}

WorkKind KindFrom(const std::string& name) {
  for (size_t i = 0; i < std::size(kKindNames); ++i) {
    if (name == kKindNames[i]) {
      return static_cast<WorkKind>(i);
    }
  }
  throw std::invalid_argument(fmt::format("kind '{}' is none of call, batch, service, gang", name));
}

ClassSpec ClassFrom(const Json& json) {
  ClassSpec spec;
  spec.name = json.at("name").get<std::string>();
  spec.kind = KindFrom(json.at("kind").get<std::string>());
  spec.start_within = std::chrono::milliseconds(json.at("start_within_ms").get<int64_t>());
  spec.finish_within = std::chrono::milliseconds(json.at("finish_within_ms").get<int64_t>());
  spec.may_run_twice = json.at("may_run_twice").get<bool>();
  return spec;
}

Json ToJson(const TenantQuota& quota) {
  return Json{{"tenant", quota.tenant}, {"limit", ToJson(quota.limit)}, {"max_calls", quota.max_calls}};
}

TenantQuota QuotaFrom(const Json& json) {
  TenantQuota quota;
  quota.tenant = json.at("tenant").get<std::string>();
  quota.limit = ResourcesFrom(json.value("limit", Json::object()));
  quota.max_calls = json.value("max_calls", 0);
  return quota;
}

Configuration ConfigurationFrom(const Json& json) {
  Configuration configuration;
  configuration.version = json.value("version", uint64_t{0});
  configuration.change_id = json.value("change_id", std::string());
  for (const Json& spec : json.at("classes")) {
    configuration.classes.push_back(ClassFrom(spec));
  }
  for (const Json& quota : json.value("quotas", Json::array())) {
    configuration.quotas.push_back(QuotaFrom(quota));
  }
  return configuration;
}

std::string CheckClass(const ClassSpec& spec) {
  if (spec.name.empty()) {
    return "a class has no name";
  }
  if (spec.start_within <= 0us || spec.start_within > kMaxTarget) {
    return fmt::format("class '{}': start_within_ms must be between 1 and {}", spec.name, Millis(kMaxTarget));
  }
  if (spec.finish_within < spec.start_within || spec.finish_within > kMaxTarget) {
    return fmt::format("class '{}': finish_within_ms must be between start_within_ms and {}", spec.name,
                       Millis(kMaxTarget));
  }
  return {};
}

Json ToJson(const Configuration& configuration) {
  Json json{{"version", configuration.version},
            {"change_id", configuration.change_id},
            {"classes", Json::array()},
            {"quotas", Json::array()}};
  for (const ClassSpec& spec : configuration.classes) {
    json["classes"].push_back(ToJson(spec));
  }
  for (const TenantQuota& quota : configuration.quotas) {
    json["quotas"].push_back(ToJson(quota));
  }
  return json;
}

ConfigRecord ConfigRecordFrom(const Json& json) {
  ConfigRecord record{ConfigurationFrom(json), {}};
  for (const Json& change : json.value("changes", Json::array())) {
    record.changes.push_back(
        ConfigChange{change.at("version").get<uint64_t>(), change.at("change_id").get<std::string>()});
  }
  return record;
}

}  // namespace

std::string EncodeConfiguration(const Configuration& configuration) {
  return ToJson(configuration).dump();
}

std::string EncodeConfigRecord(const ConfigRecord& record) {
  Json json = ToJson(record.configuration);
  json["changes"] = Json::array();
  for (const ConfigChange& change : record.changes) {
    json["changes"].push_back(Json{{"version", change.version}, {"change_id", change.change_id}});
  }
  return json.dump();
}

tl::expected<ConfigRecord, RecordError> DecodeConfigRecord(const std::string& text) {
  try {
    return ConfigRecordFrom(Json::parse(text));
  } catch (const std::exception& error) {
    return tl::unexpected(RecordError(error.what()));
  }
}

tl::expected<Configuration, RecordError> DecodeConfiguration(const std::string& text) {
  try {
    return ConfigurationFrom(Json::parse(text));
  } catch (const std::exception& error) {
    return tl::unexpected(RecordError(error.what()));
  }
}

std::string CheckConfiguration(const Configuration& configuration) {
  std::set<std::string> names;
  for (const ClassSpec& spec : configuration.classes) {
    if (std::string problem = CheckClass(spec); !problem.empty()) {
      return problem;
    }
    if (!names.insert(spec.name).second) {
      return fmt::format("class '{}' stands twice", spec.name);
    }
  }
  std::set<std::string> tenants;
  for (const TenantQuota& quota : configuration.quotas) {
    if (!tenants.insert(quota.tenant).second) {
      return fmt::format("the quota of tenant '{}' stands twice", quota.tenant);
    }
    if (!quota.limit.IsValid() || quota.max_calls < 0) {
      return fmt::format("the quota of tenant '{}' is below zero", quota.tenant);
    }
  }
  return {};
}

}  // namespace hibiscus
