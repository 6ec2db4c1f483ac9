// Keeps one key in the store for as long as this process lives: on a lease that is renewed, and written again whenever
// it has gone.
#ifndef HIBISCUSSTAND_SRC_CELL_LIVE_LEASE_H_
#define HIBISCUSSTAND_SRC_CELL_LIVE_LEASE_H_

#include <memory>
#include <string>

#include "cell/context.h"

namespace hibiscus::cell {

class LiveLease {
 public:
  LiveLease(Context& context, std::string key, std::string value);
  ~LiveLease() { *alive_ = false; }
  LiveLease(const LiveLease&) = delete;
  LiveLease& operator=(const LiveLease&) = delete;

  void Begin();
  void OnKeyGone();  // A watch has seen it go.
  void End();        // The key goes now.

 private:
  void WriteKey();
  void Renew();
  void In(Duration delay, void (LiveLease::*method)());

  Context& context_;
  const std::string key_;
  const std::string value_;
  uint64_t lease_ = 0;  // 0: none.
  bool writing_ = false;
  bool ended_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_LIVE_LEASE_H_
