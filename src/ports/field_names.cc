#include "ports/field_names.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscus {

namespace {

using Json = nlohmann::json;

// A name's index selects its short form on the wire: append only, never reorder. Names not listed are sent in full.
constexpr std::array kFieldNames = {
    "data_centre", "incarnation",   "leaving",       "config_version", "free",       "largest",
    "free_slots",  "cpu_millis",    "memory_mb",     "accelerators",   "forward_id", "request",
    "resubmit",    "answer",        "key",           "tenant",         "id",         "attempt",
    "class_name",  "size",          "members",       "run_time",       "deferred",   "payload",
    "code",        "verdict",       "body",          "retry_after",    "home",       "run",
    "task",        "member",        "kind",          "start_within",   "queue",      "worker",
    "token",       "phase",         "finish_within", "view",           "covered",    "known_elsewhere",
    "runs",        "configuration", "version",       "change_id",      "classes",    "quotas",
    "name",        "may_run_twice", "limit",         "max_calls",      "relayed",    "wants_configuration",
    "hosts",       "claim",         "spread",        "lease_count",
};

constexpr std::string_view kShortNames = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
static_assert(kFieldNames.size() <= kShortNames.size());

// Full names have at least two characters, short names one.
std::string ShortName(const std::string& name) {
  static const auto* const kIndexByName = [] {
    auto* index_by_name = new std::unordered_map<std::string_view, size_t>;
    for (size_t index = 0; index < kFieldNames.size(); ++index) {
      (*index_by_name)[kFieldNames[index]] = index;
    }
    return index_by_name;
  }();
  const auto index = kIndexByName->find(name);
  return index == kIndexByName->end() ? name : std::string(1, kShortNames[index->second]);
}

std::string FullName(const std::string& name) {
  const size_t index = name.size() == 1 ? kShortNames.find(name[0]) : std::string_view::npos;
  return index < kFieldNames.size() ? kFieldNames[index] : name;
}

std::string UnchangedName(const std::string& name) {
  return name;
}

// Omits fields that equal those of `defaults` and renames the others, recursively.
Json OmitAndRename(const Json& value, const Json& defaults, std::string (*rename)(const std::string&)) {
  if (value.is_array()) {
    Json list = Json::array();
    for (const Json& element : value) {
      list.push_back(OmitAndRename(element, Json(), rename));
    }
    return list;
  }
  if (!value.is_object()) {
    return value;
  }
  Json object = Json::object();
  for (const auto& [name, field] : value.items()) {
    const auto default_field = defaults.is_object() ? defaults.find(name) : defaults.end();
    const bool has_default = defaults.is_object() && default_field != defaults.end();
    if (!has_default || *default_field != field) {
      object[rename(name)] = OmitAndRename(field, has_default ? *default_field : Json(), rename);
    }
  }
  return object;
}

}  // namespace

Json ShortenFields(const Json& value, const Json& defaults) {
  return OmitAndRename(value, defaults, &ShortName);
}

Json OmitDefaults(const Json& value, const Json& defaults) {
  return OmitAndRename(value, defaults, &UnchangedName);
}

Json ExpandFields(const Json& value) {
  if (value.is_array()) {
    Json list = Json::array();
    for (const Json& element : value) {
      list.push_back(ExpandFields(element));
    }
    return list;
  }
  if (!value.is_object()) {
    return value;
  }
  Json object = Json::object();
  for (const auto& [name, field] : value.items()) {
    object[FullName(name)] = ExpandFields(field);
  }
  return object;
}

}  // namespace hibiscus
