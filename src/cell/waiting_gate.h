// Why a step whose turn has come has waiting tasks: the gate that keeps them from being started. For logs and metrics;
// nothing is decided by it. Pure values and functions.
#ifndef HIBISCUSSTAND_SRC_CELL_WAITING_GATE_H_
#define HIBISCUSSTAND_SRC_CELL_WAITING_GATE_H_

#include <array>
#include <optional>

#include "cell/values.h"

namespace hibiscus::cell {

// In the order in which placement checks them: the first that is closed holds the step.
enum class WaitingGate {
  kAuthority,          // The owner may start nothing: its lease has expired without witnesses, or it is closing.
  kNotStored,          // The job itself is not stored yet.
  kEarlierRuns,        // An earlier owner may have started it on a worker that has not answered yet.
  kGangEnding,         // Members of its last start are being stopped.
  kGangPartlyStarted,  // Some members were found running after a takeover, others not.
  kMayStillStart,      // An unanswered start may still arrive in a worker's next life.
  kUnwantedRun,        // A run that was found and not kept is not over yet.
  kOwnerInDoubt,       // A run was lost while another host could own the cell.
  kQuota,              // Its tenant's maximum is in use, or kept for a gang of the tenant.
  kAdvicePending,      // The advice service has not answered, or has as many calls as it may have.
  kNoTicket,           // Workers with room are there whose tickets are missing or have expired.
  kNotAllowed,         // The advice service has refused all workers with room.
  kReserved,           // Workers with room are reserved for gangs.
  kQuarantined,        // Workers with room are in quarantine.
  kNoCapacity,         // It fits on no usable worker; a gang, on no set of them.
  kPlacement,          // None of these: the next pass is to start it.
};

inline constexpr std::array kWaitingGates{
    WaitingGate::kAuthority,     WaitingGate::kNotStored,         WaitingGate::kEarlierRuns,
    WaitingGate::kGangEnding,    WaitingGate::kGangPartlyStarted, WaitingGate::kMayStillStart,
    WaitingGate::kUnwantedRun,   WaitingGate::kOwnerInDoubt,      WaitingGate::kQuota,
    WaitingGate::kAdvicePending, WaitingGate::kNoTicket,          WaitingGate::kNotAllowed,
    WaitingGate::kReserved,      WaitingGate::kQuarantined,       WaitingGate::kNoCapacity,
    WaitingGate::kPlacement,
};

const char* NameOf(WaitingGate gate);

// Gates that keep a step out of the placement pass. True: closed.
struct PassGates {
  bool authority = false;
  bool not_stored = false;
  bool earlier_runs = false;
  bool gang_ending = false;
  bool gang_partly_started = false;
  bool may_still_start = false;
  bool unwanted_run = false;
  bool owner_in_doubt = false;

  friend auto operator<=>(const PassGates&, const PassGates&) = default;
};

// The first closed gate; empty if the step takes part in the pass.
std::optional<WaitingGate> GateOf(const PassGates& gates);

// What a pass found that left tasks of a step waiting.
struct PassFindings {
  bool quota_used = false;
  bool advice_pending = false;   // A call for the step is unanswered.
  bool tickets_missing = false;  // On workers that have room.
  bool reserved = false;         // Workers that have room are reserved for others.
  bool quarantined = false;      // Workers that have room are in quarantine.

  friend auto operator<=>(const PassFindings&, const PassFindings&) = default;
};

WaitingGate GateOf(const PassFindings& findings);

// A gate as seen by periodic observations.
struct GateHold {
  WaitingGate gate = WaitingGate::kPlacement;
  TimePoint since{};  // First of the consecutive observations that found it. Zero: none yet.

  void Observe(WaitingGate observed, TimePoint now);
  friend auto operator<=>(const GateHold&, const GateHold&) = default;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WAITING_GATE_H_
