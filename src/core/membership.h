// Who is live: heartbeats inside the data centre, with the platform's list as a hint only. Nothing rests on two hosts
// agreeing here: leases at the workers decide who may start what.
#ifndef HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_
#define HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_

#include <map>
#include <vector>

#include "core/context.h"

namespace hibiscus {

// The last word of a peer.
struct PeerState {
  Heartbeat heartbeat;
  TimePoint last_heartbeat;  // When it arrived here.
  TimePoint since;           // When this incarnation was first heard.
};

class Membership {
 public:
  explicit Membership(CoreContext& context);

  void OnList(const std::vector<ListEntry>& entries);
  void OnHeartbeat(const HostName& from, const Heartbeat& heartbeat);
  void OnTick();

  // Forgets when peers were last heard, after a pause of this process.
  void OnPause();

  // What a live peer, or this host itself, last said of its load; null if nothing is known.
  const Heartbeat* LoadOf(const HostName& host) const;
  // The lease count of a host as far as it was known here at that time; 0 if nothing was.
  uint64_t LeaseCountKnownAt(const HostName& host, TimePoint time) const;
  // When a peer was last heard; the clock's origin if never.
  TimePoint LastHeartbeatAt(const HostName& host) const;

 private:
  // A lease count and since when it is known here.
  struct LeaseCountSample {
    TimePoint since;
    uint64_t count = 0;
  };

  void RecordLeaseCount(const HostName& host, uint64_t count);
  void RecomputeLive();
  void SendHeartbeats();

  CoreContext& context_;
  std::map<HostName, PeerState> peers_;
  std::map<HostName, std::vector<LeaseCountSample>> lease_counts_;  // Changes, oldest first.
  uint64_t incarnation_;
  TimePoint next_heartbeat_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_MEMBERSHIP_H_
