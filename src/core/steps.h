// State transitions of a request, a lease, a gang, a configuration change, the log, a takeover or a planned stop. The
// core reports each one as it happens; the fault matrix of the tests counts the faults injected at each.
#ifndef HIBISCUSSTAND_SRC_CORE_STEPS_H_
#define HIBISCUSSTAND_SRC_CORE_STEPS_H_

#include <cstddef>
#include <string_view>

namespace hibiscus {

enum class Step {
  kForwarded,
  kResubmitted,
  kRequestAccepted,
  kRequestEnded,
  kClaimAsked,
  kClaimHeld,
  kClaimYielded,
  kRoomAsked,
  kRoomHeld,
  kGangHeld,
  kHoldLapsed,
  kCommitSent,
  kStartSent,
  kStartKnown,
  kRunEnded,
  kEndAcknowledged,
  kRunAdopted,
  kStopSent,
  kCallDispatched,
  kCallSent,
  kCallEnded,
  kLeaseTaken,
  kLeaseLost,
  kLeaseReleased,
  kViewChanged,
  kConfigWritten,
  kConfigReadBack,
  kConfigApplied,
  kPauseNoticed,
  kLeaveBegun,
  kLeaveDone,
  kAppendSent,
  kGroupWritten,
  kGroupLost,
  kAppendAnswerLost,
  kLogLookedUp,
  kLogTakenOver,
  kLogTrim,
  kRequestResumed,
  kAnswerSaved,
  kHandedOver,
};
inline constexpr size_t kStepCount = static_cast<size_t>(Step::kHandedOver) + 1;

inline constexpr std::string_view kStepNames[kStepCount] = {
    "forwarded",       "resubmitted",    "request accepted", "request ended",    "claim asked",        "claim held",
    "claim yielded",   "room asked",     "room held",        "gang held",        "hold lapsed",        "commit sent",
    "start sent",      "start known",    "run ended",        "end acknowledged", "run adopted",        "stop sent",
    "call dispatched", "call sent",      "call ended",       "lease taken",      "lease lost",         "lease released",
    "view changed",    "config written", "config read back", "config applied",   "pause noticed",      "leave begun",
    "leave done",      "append sent",    "group written",    "group lost",       "append answer lost", "log looked up",
    "log taken over",  "log trim",       "request resumed",  "answer saved",     "handed over",
};

// Notified of every step on the core's thread. Must not call back into the core.
class StepObserver {
 public:
  virtual ~StepObserver() = default;
  virtual void OnStep(Step step) = 0;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_STEPS_H_
