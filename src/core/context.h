// The state that all roles of one host share: settings, clock, random numbers, the list, who is live, the
// configuration, and the actions to be taken. There is no other shared state.
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

// What a host is told at its start. Durations are checked by the daemon.
struct HostSettings {
  HostName name;
  DataCentre data_centre;
  Duration heartbeat_interval = 250ms;  // Beat towards the own data centre.
  Duration suspect_timeout = 1s;        // A peer this silent is not live.
  Duration settle_time = 300ms;       // A new incarnation is not live before this: all notice that the old one is gone.
  Duration control_lease = 4s;        // Length of a worker's control lease.
  Duration run_lease = 20s;           // Runs on a worker that nobody renews end after this.
  Duration drift_margin = 2s;         // Added to the far side's lease before it counts as ended.
  Duration renew_wait = 1200ms;       // How long a worker may hold a renewal open.
  Duration worker_timeout = 2500ms;   // An unanswered worker call is given up.
  Duration hold = 2s;                 // A reservation without a commit lapses.
  Duration resend_interval = 500ms;   // Commits and reports without an answer.
  Duration probe_interval = 800ms;    // Health probes of backend servers.
  Duration probe_validity = 2400ms;   // No new call to a server whose good probe is older.
  Duration store_timeout = 1s;        // An unanswered store call is given up.
  Duration watch_wait = 20s;          // How long the store may hold a watch open.
  Duration pause_threshold = 2s;      // A longer gap between two ticks is a pause: every lease counts as lost.
  Duration recovery_period = 1s;      // Callers are refused this long after a start or a pause.
  Duration leave_timeout = 30s;       // A planned stop takes no longer: what is open then is answered as unknown.
  Duration result_retention = 5min;   // How long ended requests are remembered for repeats.
  Duration log_batch_window = 150ms;  // Records for the log that come within it share one write.
  Duration log_horizon = 10min;       // How long intents and answers stay in the log.
  Duration digest_interval = 1s;      // To other data centres, if the digest changed.
  Duration digest_keepalive = 3s;     // To other data centres, if it did not.
  Duration digest_timeout = 8s;       // A data centre this silent is not reachable.
  Policy policy;                      // Strategies; only benches and tests change them.
};

inline constexpr Duration kDefaultRetryAfter = 1s;  // Retry-After where no better time is known.

// Stops the process when an invariant is broken, in every build. `hint` says how to mend the call or what to report.
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

  // Sends to a host; a message to this host itself is handled before Handle returns.
  void Send(const HostName& to, PeerMessage message);
  // Reports a step to the observer, if there is one.
  void ReportStep(Step step) {
    if (step_observer != nullptr) {
      step_observer->OnStep(step);
    }
  }
  void AddAction(Action action) { actions.push_back(std::move(action)); }
  // Calls the store and names the call; it is given up `store_timeout` after the store may have answered.
  CallId CallStore(StoreCall call);
  CallId ReadStore(std::string key);
  void Log(const char* component, std::string text) { AddAction(LogLine{component, std::move(text)}); }

  // The host that a key falls to among the live hosts of the own data centre.
  HostName HomeOf(const RequestKey& key) const;
  HostName OwnerOf(const std::string& worker_or_server) const;
  bool IsLive(const HostName& host) const;       // Heard lately and not leaving.
  bool IsReachable(const HostName& host) const;  // Heard lately, here or by a digest, or this host itself.
  bool IsRemote(const HostName& host) const;     // By the digests a live host of another data centre.
  bool IsRecovering() const { return Now() < recovering_until; }

  StepObserver* step_observer = nullptr;
  const HostSettings settings;
  const Clock& clock;
  std::mt19937_64 random;
  uint64_t next_id;  // Starts at random: late replies to an earlier process of this name match nothing.

  std::vector<ListEntry> list;      // As the platform last gave it.
  std::vector<HostName> live;       // Live hosts of the own data centre, sorted, this one among them.
  std::vector<HostName> reachable;  // The live hosts and those that leave, sorted.
  std::vector<HostName> remote;     // Live hosts of the other data centres, by their digests, sorted.
  TimePoint recovering_until{};     // After a start or a pause: requests of unknown age may arrive until then.
  uint64_t view = 0;                // Digest of `live`.
  bool leaving = false;             // This host leaves.
  Configuration configuration;      // Version 0: none known.
  Heartbeat own_load;               // What the next heartbeat says; roles fill in their parts.

  std::vector<Action> actions;            // To be taken by the ports.
  std::deque<PeerMessage> self_messages;  // Handled before Handle returns.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONTEXT_H_
