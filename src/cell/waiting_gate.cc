#include "cell/waiting_gate.h"

namespace hibiscus::cell {

const char* NameOf(WaitingGate gate) {
  switch (gate) {
    case WaitingGate::kAuthority:
      return "authority";
    case WaitingGate::kNotStored:
      return "not_stored";
    case WaitingGate::kEarlierRuns:
      return "earlier_runs";
    case WaitingGate::kGangEnding:
      return "gang_ending";
    case WaitingGate::kGangPartlyStarted:
      return "gang_partly_started";
    case WaitingGate::kMayStillStart:
      return "may_still_start";
    case WaitingGate::kUnwantedRun:
      return "unwanted_run";
    case WaitingGate::kOwnerInDoubt:
      return "owner_in_doubt";
    case WaitingGate::kQuota:
      return "quota";
    case WaitingGate::kAdvicePending:
      return "advice_pending";
    case WaitingGate::kNoTicket:
      return "no_ticket";
    case WaitingGate::kNotAllowed:
      return "not_allowed";
    case WaitingGate::kReserved:
      return "reserved";
    case WaitingGate::kQuarantined:
      return "quarantined";
    case WaitingGate::kNoCapacity:
      return "no_capacity";
    case WaitingGate::kPlacement:
      return "placement";
  }
  return "?";
}

std::optional<WaitingGate> GateOf(const PassGates& gates) {
  struct Row {
    bool PassGates::*closed;
    WaitingGate gate;
  };
  static constexpr std::array kRows{
      Row{&PassGates::authority, WaitingGate::kAuthority},
      Row{&PassGates::not_stored, WaitingGate::kNotStored},
      Row{&PassGates::earlier_runs, WaitingGate::kEarlierRuns},
      Row{&PassGates::gang_ending, WaitingGate::kGangEnding},
      Row{&PassGates::gang_partly_started, WaitingGate::kGangPartlyStarted},
      Row{&PassGates::may_still_start, WaitingGate::kMayStillStart},
      Row{&PassGates::unwanted_run, WaitingGate::kUnwantedRun},
      Row{&PassGates::owner_in_doubt, WaitingGate::kOwnerInDoubt},
  };
  for (const Row& row : kRows) {
    if (gates.*row.closed) {
      return row.gate;
    }
  }
  return std::nullopt;
}

WaitingGate GateOf(const PassFindings& findings) {
  if (findings.quota_used) {
    return WaitingGate::kQuota;
  }
  if (findings.tickets_missing) {
    return findings.advice_pending ? WaitingGate::kAdvicePending : WaitingGate::kNoTicket;
  }
  if (findings.reserved) {
    return WaitingGate::kReserved;
  }
  return findings.quarantined ? WaitingGate::kQuarantined : WaitingGate::kNoCapacity;
}

void GateHold::Observe(WaitingGate observed, TimePoint now) {
  if (since == TimePoint{} || gate != observed) {
    gate = observed;
    since = now;
  }
}

}  // namespace hibiscus::cell
