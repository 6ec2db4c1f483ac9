// The operators' configuration as this host knows it: applied only when its version is greater, and passed on from peer
// to peer. One host of each data centre, picked by rendezvous, watches the store for all of them; when it dies the next
// one takes over, and a host cut off from the store learns the configuration from its peers all the same.
#ifndef HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_

#include <map>

#include "core/config_changes.h"
#include "core/context.h"

namespace hibiscus {

class ConfigRole {
 public:
  explicit ConfigRole(CoreContext& context);

  void OnTick();
  void OnSet(const OperatorConfigSet& set) { changes_.OnSet(set); }
  void OnHistory(const OperatorHistory& history) { changes_.OnHistory(history); }
  void OnPush(const ConfigPush& push) { Apply(push.configuration); }
  void OnHeartbeat(const HostName& from, const Heartbeat& heartbeat);
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

 private:
  bool IsWatcher() const;
  void Apply(const Configuration& configuration);
  void Watch();
  void OnWatchReply(const StoreReply& reply);

  CoreContext& context_;
  ConfigChanges changes_;
  CallId watch_call_ = 0;  // 0: none is out.
  uint64_t watched_revision_ = 0;
  TimePoint next_watch_{};
  std::map<HostName, TimePoint> outdated_since_;  // Peers that know less.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_
