#include "core/context.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

void InvariantFailed(const char* condition, const std::string& ids, const char* hint) {
  std::fprintf(stderr, "invariant: %s does not hold for %s. %s\n", condition, ids.c_str(), hint);
  std::abort();
}

CoreContext::CoreContext(HostSettings host_settings, const Clock& host_clock, uint64_t seed)
    : settings(std::move(host_settings)), clock(host_clock), random(seed), live({settings.name}) {
  recovering_until = Now() + settings.recovery_period;
  next_id = RandomNumber() >> 1;
}

void CoreContext::Send(const HostName& to, PeerMessage message) {
  if (to == settings.name) {
    self_messages.push_back(std::move(message));
    return;
  }
  AddAction(SendPeer{to, std::move(message)});
}

CallId CoreContext::CallStore(StoreCall call) {
  const CallId id = NextId();
  const Duration timeout = call.wait + settings.store_timeout;
  AddAction(SendStore{id, std::move(call), timeout});
  return id;
}

CallId CoreContext::ReadStore(std::string key) {
  return CallStore(StoreCall{StoreOp::kGet, std::move(key), {}, 0, 0us});
}

HostName CoreContext::HomeOf(const RequestKey& key) const {
  return RendezvousPick(key.ToString(), live);
}

HostName CoreContext::OwnerOf(const std::string& worker_or_server) const {
  return RendezvousPick(worker_or_server, live);
}

bool CoreContext::IsLive(const HostName& host) const {
  return std::binary_search(live.begin(), live.end(), host);
}

bool CoreContext::IsReachable(const HostName& host) const {
  return host == settings.name || std::binary_search(reachable.begin(), reachable.end(), host) || IsRemote(host);
}

bool CoreContext::IsRemote(const HostName& host) const {
  return std::binary_search(remote.begin(), remote.end(), host);
}

}  // namespace hibiscus
