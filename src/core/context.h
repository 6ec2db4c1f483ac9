// The state shared by all roles of one host: settings, clock, random numbers, the platform's list, the live hosts, the
// configuration and the pending actions. There is no other shared state.
#ifndef HIBISCUSSTAND_SRC_CORE_CONTEXT_H_
#define HIBISCUSSTAND_SRC_CORE_CONTEXT_H_

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/steps.h"
#include "hibiscusstand/clock.h"
#include "hibiscusstand/policy.h"

namespace hibiscus {

// Settings of a host, fixed at its start. The daemon validates the durations.
struct HostSettings {
  HostName name;
  DataCentre data_centre;
  Duration heartbeat_interval = 250ms;  // Between heartbeats to the hosts of the own data centre.
  Duration suspect_timeout = 1s;        // A peer without a heartbeat for this long is not live.
  // A new incarnation is not live before this, so that every host notices that the old one ended.
  Duration settle_time = 300ms;
  Duration control_lease = 4s;  // Duration of a worker's control lease.
  Duration run_lease = 20s;     // Runs on a worker end if no host has renewed them for this long.
  // Added to the remote side's lease before it is considered expired, to allow for clock drift.
  Duration drift_margin = 2s;
  Duration renew_wait = 1200ms;      // How long a worker may delay the answer to a renewal (long poll).
  Duration worker_timeout = 2500ms;  // A worker call without an answer fails after this.
  Duration hold = 2s;                // A reservation that has not been committed expires after this.
  Duration resend_interval = 500ms;  // Between repeats of a commit or report that has not been answered.
  Duration probe_interval = 800ms;   // Between health probes of a backend server.
  Duration probe_validity = 2400ms;  // A server gets no new calls if its last successful probe is older.
  Duration store_timeout = 1s;       // A store call without an answer fails after this.
  Duration watch_wait = 20s;         // How long the store may delay the answer to a watch (long poll).
  // A longer gap between two events means that the process was paused: every lease counts as lost.
  Duration pause_threshold = 2s;
  Duration recovery_period = 1s;  // Callers are refused for this long after a start or a pause.
  Duration leave_timeout = 30s;  // Maximum duration of a planned stop; requests still open then get an unknown outcome.
  Duration result_retention = 5min;   // How long ended requests are retained to answer repeats.
  Duration log_batch_window = 150ms;  // Log records submitted within this window share one write.
  Duration log_horizon = 10min;       // How long intents and answers are retained in the log.
  Duration digest_interval = 1s;      // Between digests to other data centres, if the digest changed.
  Duration digest_keepalive = 3s;     // Between digests to other data centres, if it did not change.
  Duration digest_timeout = 8s;       // A data centre without a digest for this long is unreachable.
  Policy policy;                      // Scheduling strategies; changed only by benchmarks and tests.
};

inline constexpr Duration kDefaultRetryAfter = 1s;  // Used if there is no better estimate.

// Aborts the process because an invariant is violated, in every build type. `hint` says how to fix the caller or what
// to include in a bug report.
[[noreturn]] void InvariantFailed(const char* condition, const std::string& ids, const char* hint);

#define HIBISCUS_INVARIANT(condition, ids, hint)              \
  do {                                                        \
    if (!(condition)) {                                       \
      ::hibiscus::InvariantFailed(#condition, (ids), (hint)); \
    }                                                         \
  } while (false)

struct CoreContext {
  CoreContext(HostSettings host_settings, const Clock& host_clock, uint64_t seed);

  TimePoint Now() const { return clock.Now(); }
  uint64_t NextId() { return next_id++; }
  uint64_t RandomNumber() { return random(); }

  // Sends a message to a host. A message to this host itself is handled before HostCore::Handle returns.
  void Send(const HostName& to, PeerMessage message);
  // Notifies the step observer, if there is one.
  void ReportStep(Step step) {
    if (step_observer != nullptr) {
      step_observer->OnStep(step);
    }
  }
  void AddAction(Action action) { actions.push_back(std::move(action)); }
  // Calls the store and returns the id of the call. The call times out `store_timeout` after its own wait has passed.
  CallId CallStore(StoreCall call);
  // Reads one key of the store.
  CallId ReadStore(std::string key);
  void Log(const char* component, std::string text) { AddAction(LogLine{component, std::move(text)}); }

  // The host responsible for a key, selected by rendezvous hashing among the live hosts of the own data centre.
  HostName HomeOf(const RequestKey& key) const;
  HostName OwnerOf(const std::string& worker_or_server) const;
  bool IsLive(const HostName& host) const;       // Has a recent heartbeat and is not leaving.
  bool IsReachable(const HostName& host) const;  // Has a recent heartbeat or digest, or is this host.
  bool IsRemote(const HostName& host) const;     // A live host of another data centre, according to the digests.
  bool IsRecovering() const { return Now() < recovering_until; }
  bool HasAnnouncedLeave() const { return leaving && Now() >= leave_announced_by; }

  StepObserver* step_observer = nullptr;
  const HostSettings settings;
  const Clock& clock;
  std::mt19937_64 random;
  uint64_t next_id;  // Starts at a random value, so that late replies to an earlier process of this host match no call.

  std::vector<ListEntry> list;  // The platform's list, as last received.
  std::vector<HostName> live;   // Live hosts of the own data centre, sorted; includes this host unless it is leaving.
  std::vector<HostName> reachable;  // Live and leaving hosts of the own data centre, sorted.
  std::vector<HostName> remote;     // Live hosts of other data centres according to their digests, sorted.
  TimePoint recovering_until{};     // After a start or a pause, requests of unknown age may arrive until then.
  uint64_t view = 0;                // Hash of `live`.
  bool leaving = false;             // True if this host is leaving.
  TimePoint leave_announced_by{};   // By then each peer has received the announcement or considers this host lost.
  Configuration configuration;      // Version 0 if none is known yet.
  Heartbeat own_load;               // Contents of the next heartbeat; each role fills in its fields.

  std::vector<Action> actions;            // To be executed by the ports.
  std::deque<PeerMessage> self_messages;  // Handled before HostCore::Handle returns.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONTEXT_H_
