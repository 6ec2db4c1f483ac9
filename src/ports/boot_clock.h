// Clocks of the operating system: a monotonic clock that includes suspension, and the time of day.
#ifndef HIBISCUSSTAND_SRC_PORTS_BOOT_CLOCK_H_
#define HIBISCUSSTAND_SRC_PORTS_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

#include "cell/ports.h"
#include "hibiscusstand/clock.h"

namespace hibiscus {

// Monotonic, and includes the time in which the machine is suspended, since leases expire meanwhile.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
  }
};

// The time of day, as Unix time.
class SystemWallClock final : public cell::WallClock {
 public:
  int64_t NowMs() const override {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  }
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_BOOT_CLOCK_H_
