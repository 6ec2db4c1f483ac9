// HostCore is the state machine that makes every decision of one host: it takes events and a clock and returns actions.
// It does no I/O, starts no threads and uses no global state, so that tests can run many hosts in virtual time.
//
// Usage: pass every event to Handle from a single thread and execute the returned actions in order. Pass a TickEvent at
// least once per kTickInterval.
#ifndef HIBISCUSSTAND_SRC_CORE_HOST_CORE_H_
#define HIBISCUSSTAND_SRC_CORE_HOST_CORE_H_

#include <vector>

#include "core/centre_claims.h"
#include "core/claim_table.h"
#include "core/config_role.h"
#include "core/context.h"
#include "core/digest_role.h"
#include "core/entry_role.h"
#include "core/home_role.h"
#include "core/log_role.h"
#include "core/membership.h"
#include "core/server_role.h"
#include "core/worker_role.h"

namespace hibiscus {

// Maximum time between two TickEvents.
inline constexpr Duration kTickInterval = 20ms;

class HostCore {
 public:
  HostCore(const HostSettings& settings, const Clock& clock, uint64_t seed);

  // Processes one event and returns the actions to execute, in order.
  std::vector<Action> Handle(const Event& event);

  // Used by the fault-injection tests. `observer` must outlive the core.
  void set_step_observer(StepObserver* observer) { context_.step_observer = observer; }

  const Configuration& configuration() const { return context_.configuration; }
  const std::vector<HostName>& live() const { return context_.live; }
  const std::vector<HostName>& remote() const { return context_.remote; }
  RequestExplanation ExplainRequest(const RequestKey& key) const;
  WorkerExplanation ExplainWorker(const WorkerName& name) const;
  size_t leases() const { return workers_.leases(); }
  size_t active_requests() const { return home_.active(); }
  size_t quarantined_workers() const { return workers_.quarantined(); }
  size_t queued_tasks() const { return workers_.queued(); }
  size_t queued_calls() const { return servers_.queued(); }

 private:
  void DetectPause();
  void Dispatch(const HostName& from, const PeerMessage& message);
  void OnHeartbeat(const HostName& from, const Heartbeat& heartbeat);
  void OnClaim(const HostName& from, const Claim& claim);
  void OnClaimAnswer(const HostName& from, const ClaimAnswer& answer);
  void Tick();
  void BeginLeave();
  void ExitIfDone();

  CoreContext context_;
  Membership membership_;
  ClaimTable claims_;
  ConfigRole config_;
  EntryRole entry_;
  DigestRole digests_;
  CentreClaims centre_claims_;
  HomeRole home_;
  WorkerRole workers_;
  ServerRole servers_;
  LogRole log_;
  TimePoint last_event_;
  TimePoint leave_deadline_{};  // While leaving: the planned stop ends by this time, finished or not.
  bool exited_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_HOST_CORE_H_
