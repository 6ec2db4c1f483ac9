// Confirms from time to time that the configuration in force is the newest one. A withdrawn API key must not be
// accepted for longer than a limit after the withdrawal, by any host, even one that is cut off or was paused; so keys
// are accepted only while the last confirmation is younger than that limit.
//
// A confirmation holds as of the time at which the read was sent, because a newer configuration may be stored at any
// time after that. Only linearizable reads confirm: a watch may be silent although there are changes. The clock
// includes time during which the host was suspended. Nothing of a confirmation survives a restart.
#ifndef HIBISCUSSTAND_SRC_CELL_CONFIGURATION_PROOF_H_
#define HIBISCUSSTAND_SRC_CELL_CONFIGURATION_PROOF_H_

#include <functional>
#include <memory>
#include <optional>

#include "cell/context.h"

namespace hibiscus::cell {

class ConfigurationProof {
 public:
  // Puts the configuration that was read in force unless a newer one already is. Returns false if it is unreadable.
  using Apply = std::function<bool(const StoreItem&)>;

  ConfigurationProof(Context& context, Apply apply) : context_(context), apply_(std::move(apply)) {}
  ~ConfigurationProof() { *alive_ = false; }
  ConfigurationProof(const ConfigurationProof&) = delete;
  ConfigurationProof& operator=(const ConfigurationProof&) = delete;

  // Starts the periodic reads. Has no effect if they have been started.
  void Begin();

  // Time since the configuration in force was certainly the newest. Empty: never confirmed.
  std::optional<Duration> age() const;
  // True if a request that has arrived by now may be judged by the configuration in force although keys have to be
  // refused `limit` after their withdrawal.
  bool IsFresh(Duration limit) const;

 private:
  void ReadPeriodically();
  void Confirm(const StoreItem& item, TimePoint sent_at);

  Context& context_;
  const Apply apply_;
  bool begun_ = false;
  uint64_t applied_revision_ = 0;  // Revision of the last item that was read and applied.
  std::optional<TimePoint> confirmed_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_CONFIGURATION_PROOF_H_
