// Limits retries to a share of first attempts, so that a widespread failure does not multiply the load: each first
// attempt adds a part of a token, each retry takes a whole one. A few tokens also refill with time, so that a rare
// failure of infrequent work can still be retried. Without a token the caller should answer at once with the result it
// has.
#ifndef HIBISCUSSTAND_RETRY_BUDGET_H_
#define HIBISCUSSTAND_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <compare>

#include "hibiscusstand/clock.h"

namespace hibiscus {

struct RetryBudget {
  static constexpr double kTokensPerFirstTry = 0.1;
  static constexpr double kRefillLimit = 10;     // Tokens up to which the budget refills with time.
  static constexpr double kRefillPerSecond = 1;  // Tokens.
  static constexpr double kMaxTokens = 50;       // Upper limit of saved tokens.

  double tokens = kRefillLimit;
  TimePoint refilled{};

  void OnFirstTry() { tokens = std::min(kMaxTokens, tokens + kTokensPerFirstTry); }

  // Takes a token and returns true if a retry is allowed now.
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
