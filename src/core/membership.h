// Failure detection inside the data centre. Heartbeats decide which hosts are live; the platform's list only supplies
// the peers to send them to. Hosts may disagree about the set of live hosts without harm: leases at the workers decide
// which host may start a run.
#ifndef HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_
#define HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_

#include <map>
#include <vector>

#include "core/context.h"

namespace hibiscus {

// The latest heartbeat of a peer.
struct PeerState {
  Heartbeat heartbeat;
  TimePoint last_heartbeat;   // Arrival time of `heartbeat`.
  TimePoint first_heartbeat;  // Arrival time of the first heartbeat of this incarnation.
};

class Membership {
 public:
  explicit Membership(CoreContext& context);

  void OnList(const std::vector<ListEntry>& entries);
  void OnHeartbeat(const HostName& from, const Heartbeat& heartbeat);
  void OnTick();

  // Discards all heartbeats received before a pause of this process.
  void OnPause();

  // The latest load report of a peer or of this host itself; null if there is none.
  const Heartbeat* LoadOf(const HostName& host) const;
  // The lease count of a host that was known here at `time`; 0 if none was.
  uint64_t LeaseCountKnownAt(const HostName& host, TimePoint time) const;
  // Arrival time of a peer's latest heartbeat; the clock's origin if there is none.
  TimePoint LastHeartbeatAt(const HostName& host) const;

 private:
  // A lease count that a host reported, and when this host first observed it.
  struct LeaseCountSample {
    TimePoint observed_at;
    uint64_t count = 0;
  };

  void RecordLeaseCount(const HostName& host, uint64_t count);
  void RecomputeLive();
  void SendHeartbeats();

  CoreContext& context_;
  std::map<HostName, PeerState> peers_;
  std::map<HostName, std::vector<LeaseCountSample>> lease_counts_;  // Changes of each host's count, oldest first.
  uint64_t incarnation_;
  TimePoint next_heartbeat_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_
