// Leases with fencing tokens: at most one holder at a time, without messages between competing holders and without a
// shared clock.
//
// The granter counts the duration from the grant, the holder from before its request, so the holder's lease always ends
// first. A holder that was paused and acts late is stopped by its token: each fresh grant has a greater token, and the
// granter refuses all older ones.
//
//   1. LeaseGranter   the guarded resource, for example a worker
//   2. LeaseHolder    the process that acts under the lease
#ifndef HIBISCUSSTAND_LEASE_H_
#define HIBISCUSSTAND_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "hibiscusstand/clock.h"

namespace hibiscus {

using FencingToken = uint64_t;  // 0: no lease.

// ---------------------------------------------------------------------------------------------------------------------
// 1. LeaseGranter
// ---------------------------------------------------------------------------------------------------------------------

enum class LeaseResult {
  kFresh,        // A new grant, with a new token.
  kRenewed,      // The existing grant was extended; the token stays.
  kHeldByOther,  // Another holder's lease has not expired.
  kStale,        // The token is not the current one, or its lease has expired.
};

class LeaseGranter {
 public:
  // `last_token` is the greatest token ever granted. A granter that does not store it must start above it.
  explicit LeaseGranter(FencingToken last_token = 0) : token_(last_token) {}

  // Token 0 requests a fresh grant; the current holder may request one at any time and gets a new token. Any other
  // token renews its lease. After kFresh, token() is the new token.
  LeaseResult Acquire(const std::string& holder, FencingToken token, Duration ttl, TimePoint now) {
    if (token != 0 && !IsCurrent(token, now)) {
      return LeaseResult::kStale;
    }
    if (now < expires_at_ && holder != holder_) {
      return LeaseResult::kHeldByOther;
    }
    holder_ = holder;
    expires_at_ = now + ttl;
    if (token != 0) {
      return LeaseResult::kRenewed;
    }
    ++token_;
    return LeaseResult::kFresh;
  }

  // Call before every guarded operation, and refuse the operation if it returns false.
  bool IsCurrent(FencingToken token, TimePoint now) const { return token == token_ && now < expires_at_; }

  // Ends the current lease, whoever holds it.
  void End(TimePoint now) {
    holder_.clear();
    expires_at_ = now;
  }

  FencingToken token() const { return token_; }
  const std::string& holder() const { return holder_; }

 private:
  FencingToken token_;
  std::string holder_;
  TimePoint expires_at_{};
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. LeaseHolder
// ---------------------------------------------------------------------------------------------------------------------

class LeaseHolder {
 public:
  // Call when a request or renewal is sent. At most one may be pending at a time.
  void BeginAcquire(TimePoint now) { requested_at_ = now; }

  // Call when the grant arrives. Returns true for a fresh grant: state read under an earlier lease must be read again.
  bool EndAcquire(FencingToken token, Duration ttl) {
    expires_at_ = requested_at_ + ttl;
    return std::exchange(token_, token) != token;
  }

  // Drops the lease. Call after a refusal, a pause of this process, or an operation with an unknown outcome.
  void Invalidate() { token_ = 0; }

  bool Holds(TimePoint now) const { return token_ != 0 && now < expires_at_; }
  bool HoldsFor(Duration margin, TimePoint now) const { return token_ != 0 && now + margin < expires_at_; }
  bool Expired(TimePoint now) const { return token_ != 0 && now >= expires_at_; }
  FencingToken token() const { return token_; }

 private:
  FencingToken token_ = 0;
  TimePoint requested_at_{};
  TimePoint expires_at_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_LEASE_H_
