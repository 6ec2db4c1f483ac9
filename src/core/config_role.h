// Distribution of the operators' configuration. A host applies a configuration only if its version is greater than the
// current one. In each data centre one host, selected by rendezvous hashing, watches the store and pushes new versions
// to its peers; if it fails, the next host in rendezvous order takes over. A host that cannot reach the store still
// receives the configuration from its peers.
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
  bool OnStore(const StoreEvent& event);  // Returns false if neither this role nor its changes made the call.

 private:
  bool IsWatcher() const;
  void Apply(const Configuration& configuration);
  void Watch();
  void OnWatchReply(const StoreReply& reply);

  CoreContext& context_;
  ConfigChanges changes_;
  CallId watch_call_ = 0;  // The pending watch call; 0 if there is none.
  uint64_t watched_revision_ = 0;
  TimePoint next_watch_{};
  std::map<HostName, TimePoint> outdated_since_;  // Peers with an older version, and since when.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_
