#include "cell/advice_policy.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

constexpr size_t kEnoughWorkers = 6;   // Are asked about at once, however many tasks wait.
constexpr Duration kLongestWait = 1s;  // For more workers with room.

}  // namespace

bool IsWorthAsking(size_t workers, int waiting, bool lines_busy, Duration since_last) {
  const size_t enough = std::min(static_cast<size_t>(std::max(waiting, 0)), kEnoughWorkers);
  return workers > 0 && (!lines_busy || workers >= enough || since_last >= kLongestWait);
}

}  // namespace hibiscus::cell
