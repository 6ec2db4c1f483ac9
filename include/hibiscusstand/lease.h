// Leases with fencing tokens: at most one holder at a time, by the clocks of both sides, without any message between
// rivals and without a shared clock.
//
// The granter counts from when it granted, the holder from before it asked. So the holder's view always ends first, and
// a holder that was paused and acts late is stopped by its token: each fresh grant has a greater one, and the granter
// refuses every older.
//
//   1. LeaseGranter   the side that is guarded, for example a worker
//   2. LeaseHolder    the side that acts under the lease
#ifndef HIBISCUSSTAND_LEASE_H_
#define HIBISCUSSTAND_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "hibiscusstand/clock.h"

namespace hibiscus {

using FencingToken = uint64_t;  // 0 stands for no lease.

// ---------------------------------------------------------------------------------------------------------------------
// 1. LeaseGranter
// ---------------------------------------------------------------------------------------------------------------------

enum class LeaseResult {
  kFresh,        // A new grant, with a new token.
  kRenewed,      // The same grant goes on.
  kHeldByOther,  // Another holder's lease has not ended.
  kStale,        // The token is not the present one, or its lease has ended.
};

class LeaseGranter {
 public:
  // `last_token` is the greatest token ever granted; a granter that forgets it must start above it.
  explicit LeaseGranter(FencingToken last_token = 0) : token_(last_token) {}

  // Token 0 asks for a fresh grant; a holder may ask again at any time and gets a new token. Any other renews.
  LeaseResult Acquire(const std::string& holder, FencingToken token, Duration ttl, TimePoint now) {
    if (token != 0 && !IsCurrent(token, now)) {
      return LeaseResult::kStale;
    }
    if (now < until_ && holder != holder_) {
      return LeaseResult::kHeldByOther;
    }
    holder_ = holder;
    until_ = now + ttl;
    if (token != 0) {
      return LeaseResult::kRenewed;
    }
    ++token_;
    return LeaseResult::kFresh;
  }

  // Ask before every guarded act: false means that the act must be refused.
  bool IsCurrent(FencingToken token, TimePoint now) const { return token == token_ && now < until_; }

  // Ends the present lease, whoever holds it.
  void End(TimePoint now) {
    holder_.clear();
    until_ = now;
  }

  FencingToken token() const { return token_; }
  const std::string& holder() const { return holder_; }

 private:
  FencingToken token_;
  std::string holder_;
  TimePoint until_{};
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. LeaseHolder
// ---------------------------------------------------------------------------------------------------------------------

class LeaseHolder {
 public:
  // Call when a request or renewal is sent. One may be out at a time.
  void BeginAcquire(TimePoint now) { asked_ = now; }

  // Call when its grant has come. Returns true for a fresh grant: what was believed before must be read anew.
  bool EndAcquire(FencingToken token, Duration ttl) {
    until_ = asked_ + ttl;
    return std::exchange(token_, token) != token;
  }

  // The lease counts as ended: after a refusal, a pause of this process, or an act whose outcome is unknown.
  void Lose() { token_ = 0; }

  bool Holds(TimePoint now) const { return token_ != 0 && now < until_; }
  bool HoldsFor(Duration margin, TimePoint now) const { return token_ != 0 && now + margin < until_; }
  bool Lapsed(TimePoint now) const { return token_ != 0 && now >= until_; }
  FencingToken token() const { return token_; }

 private:
  FencingToken token_ = 0;
  TimePoint asked_{};
  TimePoint until_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_LEASE_H_
