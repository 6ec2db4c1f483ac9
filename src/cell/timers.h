// Work that is due at a time. The control thread runs what is due and sleeps until the next.
#ifndef HIBISCUSSTAND_SRC_CELL_TIMERS_H_
#define HIBISCUSSTAND_SRC_CELL_TIMERS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class Timers {
 public:
  explicit Timers(const Clock& clock) : clock_(clock) {}

  void In(Duration delay, std::function<void()> work) {
    due_.emplace(std::pair(clock_.Now() + delay, ++last_sequence_), std::move(work));
  }
  std::optional<TimePoint> next() const {
    return due_.empty() ? std::nullopt : std::optional<TimePoint>(due_.begin()->first.first);
  }
  // What the thread is behind with its work: how late the first timer of the last round was run, or for how long what
  // other threads have posted has waited, whichever is more.
  Duration lateness() const { return std::max(lateness_, queue_delay_); }
  void SetQueueDelay(Duration delay) { queue_delay_ = delay; }
  // Runs what is due by now, in order; work that is added meanwhile waits for the next call.
  void RunDue() {
    const std::pair<TimePoint, uint64_t> until(clock_.Now(), last_sequence_);
    if (!due_.empty() && due_.begin()->first <= until) {
      lateness_ = until.first - due_.begin()->first.first;
    }
    while (!due_.empty() && due_.begin()->first <= until) {
      const std::function<void()> work = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      work();
    }
  }

 private:
  const Clock& clock_;
  uint64_t last_sequence_ = 0;
  Duration lateness_{};
  Duration queue_delay_{};
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> due_;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_TIMERS_H_
