// Bounds retries to a share of first tries, so that a wide failure does not multiply the load: each first try earns a
// part of a token, each retry takes a whole one. A small floor comes back with time, so that a rare failure of rare
// work can still be tried again. Without a token the work is answered at once as it stands.
#ifndef HIBISCUSSTAND_RETRY_BUDGET_H_
#define HIBISCUSSTAND_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <compare>

#include "hibiscusstand/clock.h"

namespace hibiscus {

struct RetryBudget {
  static constexpr double kTokensPerFirstTry = 0.1;
  static constexpr double kRefillLimit = 10;     // Tokens that come back without first tries.
  static constexpr double kRefillPerSecond = 1;  // How fast they do.
  static constexpr double kMost = 50;            // Tokens that can be saved up.

  double tokens = kRefillLimit;
  TimePoint refilled{};

  void OnFirstTry() { tokens = std::min(kMost, tokens + kTokensPerFirstTry); }

  // True if one more try may go out now; takes its token.
  bool TakeRetry(TimePoint now) {
    Refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  friend auto operator<=>(const RetryBudget&, const RetryBudget&) = default;

 private:
  void Refill(TimePoint now) {
    const double seconds = std::chrono::duration<double>(now - refilled).count();
    refilled = now;
    if (tokens < kRefillLimit) {
      tokens = std::min(kRefillLimit, tokens + seconds * kRefillPerSecond);
    }
  }
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_RETRY_BUDGET_H_
