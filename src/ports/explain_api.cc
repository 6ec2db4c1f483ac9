#include "ports/explain_api.h"

#include <algorithm>
#include <iterator>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPhaseNames[] = {"idle", "reserving", "held", "committed", "running", "ended"};

std::string Refusals(const MemberExplanation& member) {
  std::string text;
  for (const auto& [host, code] : member.refused_by) {
    text += fmt::format("{}{}: {}", text.empty() ? "" : ", ", host, InfoOf(code).name);
  }
  return text;
}

// What the member that is furthest behind waits for.
std::string WhyOf(const MemberExplanation& member) {
  switch (member.phase) {
    case MemberPhase::kIdle:
      return member.refused_by.empty() ? "waits for its next try"
                                       : fmt::format("waits for room; refused by {}", Refusals(member));
    case MemberPhase::kReserving:
      return fmt::format("waits in the queue of {}, which was asked for room", member.owner);
    case MemberPhase::kHeld:
      return fmt::format("has room on {} and waits for the other members of its gang", member.worker);
    case MemberPhase::kCommitted:
      return member.worker.empty()
                 ? fmt::format("is with {}, which waits for a backend server", member.owner)
                 : fmt::format("was ordered to start on {}; the report is not here yet", member.worker);
    case MemberPhase::kRunning:
      return fmt::format("runs on {}, owned by {}", member.worker, member.owner);
    case MemberPhase::kEnded:
      return "has ended";
  }
  return {};
}

std::string Why(const RequestExplanation& view) {
  if (!view.known) {
    return view.home == view.host ? "this host is home and knows no such request: never accepted, or forgotten"
                                  : fmt::format("this host does not have it; its home is {}", view.home);
  }
  if (view.phase == JobPhase::kClaiming) {
    return "waits until every host of the data centre has said whether it knows of an earlier attempt";
  }
  if (view.phase == JobPhase::kEnded) {
    return fmt::format("has ended: {}. {}", InfoOf(view.code).name, InfoOf(view.code).meaning);
  }
  const auto behind = std::min_element(view.members.begin(), view.members.end(),
                                       [](const auto& a, const auto& b) { return a.phase < b.phase; });
  return behind == view.members.end() ? "waits" : WhyOf(*behind);
}

Json ToJson(const MemberExplanation& member) {
  Json refused = Json::object();
  for (const auto& [host, code] : member.refused_by) {
    refused[host] = InfoOf(code).name;
  }
  return Json{{"phase", kPhaseNames[static_cast<size_t>(member.phase)]},
              {"since_ms", Millis(member.since)},
              {"owner", member.owner},
              {"worker", member.worker},
              {"refused_by", refused},
              {"failed_on", member.failed_on}};
}

}  // namespace

std::string RenderExplanation(const RequestExplanation& view) {
  Json json{{"tenant", view.key.tenant}, {"id", view.key.id},   {"host", view.host},
            {"home", view.home},         {"known", view.known}, {"why", Why(view)}};
  if (view.known) {
    json["accepted_ms_ago"] = Millis(view.accepted_ago);
    json["start_target_left_ms"] = Millis(view.start_left);
    json["finish_target_left_ms"] = Millis(view.finish_left);
    json["tries"] = view.runs;
    json["members"] = Json::array();
    std::transform(view.members.begin(), view.members.end(), std::back_inserter(json["members"]),
                   [](const MemberExplanation& member) { return ToJson(member); });
  }
  return JsonText(json);
}

std::string RenderExplanation(const WorkerExplanation& view) {
  Json json{{"worker", view.worker},
            {"host", view.host},
            {"known", view.listed},
            {"owner", view.listed ? view.owner : ""},
            {"leased", view.leased},
            {"why", view.listed ? fmt::format("falls to {}", view.owner) : "not in the list for this data centre"}};
  if (view.listed) {
    json["data_centre"] = view.entry.data_centre;
    json["rack"] = view.entry.rack;
    json["leaving"] = view.entry.leaving;
  }
  if (view.leased) {
    json["lease_left_ms"] = Millis(view.lease_left);
    json["free_cpu_millis"] = view.free.cpu_millis;
    json["free_memory_mb"] = view.free.memory_mb;
    json["free_accelerators"] = view.free.accelerators;
    json["runs"] = view.runs;
    json["holds"] = view.holds;
    json["quarantined"] = view.quarantine.quarantined;
    json["requests_failed"] = view.quarantine.failures;
    if (view.quarantine.quarantined) {
      json["quarantined_ms"] = Millis(view.quarantine.quarantined_for);
      json["probe_in_ms"] = Millis(view.quarantine.probe_in);
    }
  }
  return JsonText(json);
}

}  // namespace hibiscus
