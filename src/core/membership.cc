#include "core/membership.h"

#include <algorithm>

#include <fmt/core.h>
#include <fmt/ranges.h>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

namespace {
constexpr size_t kMaxLeaseCountSamples = 64;  // Per host; older samples are dropped.
}  // namespace

Membership::Membership(CoreContext& context)
    : context_(context), incarnation_(context.RandomNumber()), next_heartbeat_(context.Now()) {}

void Membership::OnList(const std::vector<ListEntry>& entries) {
  context_.list = entries;
}

void Membership::OnHeartbeat(const HostName& from, const Heartbeat& heartbeat) {
  if (heartbeat.data_centre != context_.settings.data_centre) {
    return;
  }
  const auto known = peers_.find(from);
  const bool same = known != peers_.end() && known->second.heartbeat.incarnation == heartbeat.incarnation;
  const TimePoint first_heartbeat = same ? known->second.first_heartbeat : context_.Now();
  peers_[from] = PeerState{heartbeat, context_.Now(), first_heartbeat};
  if (!same) {
    lease_counts_.erase(from);  // A restarted process counts from zero.
  }
  RecordLeaseCount(from, heartbeat.lease_count);
  RecomputeLive();
}

void Membership::OnTick() {
  RecordLeaseCount(context_.settings.name, context_.own_load.lease_count);
  RecomputeLive();
  if (context_.Now() < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = context_.Now() + context_.settings.heartbeat_interval;
  SendHeartbeats();
}

void Membership::OnPause() {
  peers_.clear();
  RecomputeLive();
}

const Heartbeat* Membership::LoadOf(const HostName& host) const {
  if (host == context_.settings.name) {
    return &context_.own_load;
  }
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? nullptr : &peer->second.heartbeat;
}

void Membership::RecordLeaseCount(const HostName& host, uint64_t count) {
  std::vector<LeaseCountSample>& known = lease_counts_[host];
  if (!known.empty() && known.back().count == count) {
    return;
  }
  known.push_back(LeaseCountSample{context_.Now(), count});
  if (known.size() > kMaxLeaseCountSamples) {
    known.erase(known.begin());
  }
}

uint64_t Membership::LeaseCountKnownAt(const HostName& host, TimePoint time) const {
  const auto known = lease_counts_.find(host);
  if (known == lease_counts_.end()) {
    return 0;
  }
  const auto later = std::find_if(known->second.rbegin(), known->second.rend(),
                                  [&](const LeaseCountSample& count) { return count.observed_at <= time; });
  return later == known->second.rend() ? 0 : later->count;
}

TimePoint Membership::LastHeartbeatAt(const HostName& host) const {
  const auto peer = peers_.find(host);
  return peer == peers_.end() ? TimePoint{} : peer->second.last_heartbeat;
}

void Membership::RecomputeLive() {
  std::vector<HostName> live;
  context_.reachable = {context_.settings.name};
  if (!context_.leaving) {
    live.push_back(context_.settings.name);
  }
  for (const auto& [name, peer] : peers_) {
    const bool silent = context_.Now() - peer.last_heartbeat >= context_.settings.suspect_timeout;
    const bool fresh = context_.Now() - peer.first_heartbeat < context_.settings.settle_time;
    if (silent || fresh) {
      continue;
    }
    context_.reachable.push_back(name);
    if (!peer.heartbeat.leaving) {
      live.push_back(name);
    }
  }
  std::sort(context_.reachable.begin(), context_.reachable.end());
  std::sort(live.begin(), live.end());
  if (live == context_.live) {
    return;
  }
  context_.live = live;
  context_.ReportStep(Step::kViewChanged);
  context_.view = RendezvousScore(fmt::format("{}", fmt::join(live, ",")), "view");
  context_.Log("membership", fmt::format("live hosts: {}", fmt::join(live, ", ")));
}

void Membership::SendHeartbeats() {
  Heartbeat heartbeat = context_.own_load;
  heartbeat.data_centre = context_.settings.data_centre;
  heartbeat.incarnation = incarnation_;
  heartbeat.leaving = context_.leaving;
  heartbeat.config_version = context_.configuration.version;
  for (const ListEntry& entry : context_.list) {
    const bool peer = entry.kind == ListKind::kEntryHost && entry.name != context_.settings.name &&
                      entry.data_centre == context_.settings.data_centre;
    if (peer) {
      context_.Send(entry.name, heartbeat);
    }
  }
}

}  // namespace hibiscus
