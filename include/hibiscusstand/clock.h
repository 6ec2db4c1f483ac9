// Time types and clocks. The library never reads a wall clock: the time is passed in, so that the same code runs in a
// daemon and, in virtual time, in tests.
#ifndef HIBISCUSSTAND_CLOCK_H_
#define HIBISCUSSTAND_CLOCK_H_

#include <chrono>

namespace hibiscus {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

// A monotonic clock. Clocks of different hosts have different origins: send only durations over the network.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// The steady clock of this machine.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
};

// A clock that advances only on explicit calls, for tests and benchmarks.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration by) { now_ += by; }
  void Set(TimePoint now) { now_ = now; }

 private:
  TimePoint now_ = TimePoint(1h);
};

// Whole milliseconds of a duration, for messages and logs.
inline long long Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_CLOCK_H_
