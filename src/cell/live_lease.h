// Keeps one key in the store while this process runs: binds it to a lease, renews the lease, and writes the key again
// whenever it has disappeared.
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
  void OnKeyGone();  // Called when a watch reports that the key was removed.
  void End();        // Ends the lease, which removes the key.

 private:
  void WriteKey();
  void Renew();
  void CallIn(Duration delay, void (LiveLease::*method)());

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
