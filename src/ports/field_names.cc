#include "ports/field_names.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscus {

namespace {

using Json = nlohmann::json;

// The place of a name is its short form: append only, never reorder. Names that are missing here travel in full.
constexpr std::array kNames = {
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

constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
static_assert(kNames.size() <= kDigits.size());

// Full names have at least two letters, short ones have one.
std::string ShortName(const std::string& name) {
  static const auto* const kPlaces = [] {
    auto* places = new std::unordered_map<std::string_view, size_t>;
    for (size_t place = 0; place < kNames.size(); ++place) {
      (*places)[kNames[place]] = place;
    }
    return places;
  }();
  const auto place = kPlaces->find(name);
  return place == kPlaces->end() ? name : std::string(1, kDigits[place->second]);
}

std::string FullName(const std::string& name) {
  const size_t place = name.size() == 1 ? kDigits.find(name[0]) : std::string_view::npos;
  return place < kNames.size() ? kNames[place] : name;
}

std::string SameName(const std::string& name) {
  return name;
}

// The value without the fields that are as in `plain`, its names changed.
Json Reduce(const Json& value, const Json& plain, std::string (*rename)(const std::string&)) {
  if (value.is_array()) {
    Json list = Json::array();
    for (const Json& element : value) {
      list.push_back(Reduce(element, Json(), rename));
    }
    return list;
  }
  if (!value.is_object()) {
    return value;
  }
  Json object = Json::object();
  for (const auto& [name, field] : value.items()) {
    const auto usual = plain.is_object() ? plain.find(name) : plain.end();
    const bool known = plain.is_object() && usual != plain.end();
    if (!known || *usual != field) {
      object[rename(name)] = Reduce(field, known ? *usual : Json(), rename);
    }
  }
  return object;
}

}  // namespace

Json ShortenFields(const Json& value, const Json& plain) {
  return Reduce(value, plain, &ShortName);
}

Json OmitDefaults(const Json& value, const Json& plain) {
  return Reduce(value, plain, &SameName);
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
