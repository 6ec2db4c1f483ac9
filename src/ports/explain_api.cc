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

std::string DescribeRefusals(const MemberExplanation& member) {
  std::string text;
  for (const auto& [host, code] : member.refused_by) {
    text += fmt::format("{}{}: {}", text.empty() ? "" : ", ", host, InfoOf(code).name);
  }
  return text;
}

// Why this member has not ended yet; called for the gang's least advanced member.
std::string DescribeMember(const MemberExplanation& member) {
  switch (member.phase) {
    case MemberPhase::kIdle:
      return member.refused_by.empty() ? "waits for its next try"
                                       : fmt::format("waits for room; refused by {}", DescribeRefusals(member));
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

std::string DescribeRequest(const RequestExplanation& explanation) {
  if (!explanation.known) {
    return explanation.home == explanation.host
               ? "this host is home and knows no such request: never accepted, or forgotten"
               : fmt::format("this host does not have it; its home is {}", explanation.home);
  }
  if (explanation.phase == JobPhase::kClaiming) {
    return "waits until every host of the data centre has said whether it knows of an earlier attempt";
  }
  if (explanation.phase == JobPhase::kEnded) {
    return fmt::format("has ended: {}. {}", InfoOf(explanation.code).name, InfoOf(explanation.code).meaning);
  }
  const auto least_advanced = std::min_element(explanation.members.begin(), explanation.members.end(),
                                               [](const auto& a, const auto& b) { return a.phase < b.phase; });
  return least_advanced == explanation.members.end() ? "waits" : DescribeMember(*least_advanced);
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

std::string RenderExplanation(const RequestExplanation& explanation) {
  Json json{{"tenant", explanation.key.tenant}, {"id", explanation.key.id},   {"host", explanation.host},
            {"home", explanation.home},         {"known", explanation.known}, {"why", DescribeRequest(explanation)}};
  if (explanation.known) {
    json["accepted_ms_ago"] = Millis(explanation.accepted_ago);
    json["start_target_left_ms"] = Millis(explanation.start_left);
    json["finish_target_left_ms"] = Millis(explanation.finish_left);
    json["tries"] = explanation.runs;
    json["members"] = Json::array();
    std::transform(explanation.members.begin(), explanation.members.end(), std::back_inserter(json["members"]),
                   [](const MemberExplanation& member) { return ToJson(member); });
  }
  return JsonText(json);
}

std::string RenderExplanation(const WorkerExplanation& explanation) {
  Json json{{"worker", explanation.worker},
            {"host", explanation.host},
            {"known", explanation.listed},
            {"owner", explanation.listed ? explanation.owner : ""},
            {"leased", explanation.leased},
            {"why", explanation.listed ? fmt::format("falls to {}", explanation.owner)
                                       : "not in the list for this data centre"}};
  if (explanation.listed) {
    json["data_centre"] = explanation.entry.data_centre;
    json["rack"] = explanation.entry.rack;
    json["leaving"] = explanation.entry.leaving;
  }
  if (explanation.leased) {
    json["lease_left_ms"] = Millis(explanation.lease_left);
    json["free_cpu_millis"] = explanation.free.cpu_millis;
    json["free_memory_mb"] = explanation.free.memory_mb;
    json["free_accelerators"] = explanation.free.accelerators;
    json["runs"] = explanation.runs;
    json["holds"] = explanation.holds;
    json["quarantined"] = explanation.quarantine.quarantined;
    json["requests_failed"] = explanation.quarantine.failures;
    if (explanation.quarantine.quarantined) {
      json["quarantined_ms"] = Millis(explanation.quarantine.quarantined_for);
      json["probe_in_ms"] = Millis(explanation.quarantine.probe_in);
    }
  }
  return JsonText(json);
}

}  // namespace hibiscus
