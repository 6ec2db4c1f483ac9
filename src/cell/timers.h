// Timers of the control thread, which calls RunDue and then sleeps until the next timer is due.
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

  // Runs `work` once after `delay`.
  void In(Duration delay, std::function<void()> work) {
    due_.emplace(std::pair(clock_.Now() + delay, ++last_sequence_), std::move(work));
  }
  // When the next timer is due, if there is one.
  std::optional<TimePoint> next() const {
    return due_.empty() ? std::nullopt : std::optional<TimePoint>(due_.begin()->first.first);
  }
  // How far the thread is behind: the lateness of the first timer in the last RunDue that ran any, or the queue delay,
  // whichever is greater.
  Duration lateness() const { return std::max(lateness_, queue_delay_); }
  // Sets how long the oldest work posted by other threads has been waiting.
  void SetQueueDelay(Duration delay) { queue_delay_ = delay; }
  // Runs all timers that are due, in order. Timers added meanwhile wait for the next call.
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
  uint64_t last_sequence_ = 0;  // Keeps timers of the same due time in the order of their creation.
  Duration lateness_{};
  Duration queue_delay_{};
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> due_;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_TIMERS_H_
