// The operators' configuration: changed by compare-and-swap on the store, applied only when its version is greater, and
// passed on from peer to peer, so that a host cut off from the store still learns it.
#ifndef HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_

#include <map>

#include "core/context.h"

namespace hibiscus {

// Key of the configuration in the store.
inline constexpr char kConfigKey[] = "config";

class ConfigRole {
 public:
  explicit ConfigRole(CoreContext& context) : context_(context) {}

  void OnTick();
  void OnSet(const OperatorConfigSet& set);
  void OnPush(const ConfigPush& push) { Apply(push.configuration); }
  void OnHeartbeat(const HostName& from, const Heartbeat& heartbeat);
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

 private:
  struct PendingSet {
    ExchangeId exchange = 0;
    Configuration configuration;
    std::string standing;  // Change id that was seen in force under this version; empty: none was seen.
  };

  void Apply(const Configuration& configuration);
  void Watch();
  void Learn(const StoreReply& reply);
  void OnSetReply(const PendingSet& set, const StoreEvent& event);
  void NoteStanding(const Configuration& configuration);
  static ResultCode OutcomeOf(const PendingSet& set);
  void AnswerSet(const PendingSet& set, ResultCode code);

  CoreContext& context_;
  CallId watch_ = 0;  // 0: none is out.
  uint64_t watched_revision_ = 0;
  TimePoint next_watch_{};
  std::map<CallId, PendingSet> writes_;      // Compare-and-swap is out.
  std::map<CallId, PendingSet> read_backs_;  // The write's answer was lost: reading what stands.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONFIG_ROLE_H_
