#include "standins/cell_links.h"

#include <algorithm>
#include <utility>

#include "standins/cell_world.h"

namespace hibiscus::cell {

namespace {

constexpr size_t kPartBytes = 16384;    // As much of one answer is sent before the next answer has its turn.
constexpr size_t kWindowBytes = 65536;  // On their way at a time, of one answer; TCP's window without scaling.

// Time at which a link that is free at `free_at` has passed the bytes on.
TimePoint PassOn(TimePoint free_at, TimePoint now, size_t bytes, double bandwidth) {
  const std::chrono::duration<double> taken(bandwidth > 0 ? static_cast<double>(bytes) / bandwidth : 0);
  return std::max(free_at, now) + std::chrono::duration_cast<Duration>(taken);
}

}  // namespace

StoreLinks::Transmission StoreLinks::Send(size_t host,
                                          size_t bytes,
                                          std::function<void()> on_part,
                                          std::function<void()> on_end) {
  const Transmission number = ++last_number_;
  transmissions_[number] = Progress{host, bytes, std::move(on_part), std::move(on_end)};
  SendPart(number);
  return number;
}

TimePoint StoreLinks::Occupy(size_t host, size_t bytes) {
  const auto own = host_bandwidth.find(host);
  TimePoint& host_free_at = host_free_at_[host];
  host_free_at = PassOn(host_free_at, world_.Now(), bytes, own == host_bandwidth.end() ? 0 : own->second);
  shared_free_at_ = PassOn(shared_free_at_, world_.Now(), bytes, shared_bandwidth);
  bytes_sent_ += bytes;
  return std::max(host_free_at, shared_free_at_);
}

void StoreLinks::Cancel(Transmission number) {
  if (const auto cancelled = transmissions_.extract(number); !cancelled.empty()) {
    const size_t left = cancelled.mapped().bytes_left;
    Occupy(cancelled.mapped().host, std::min(kWindowBytes, left) - std::min(kPartBytes, left));
  }
}

void StoreLinks::SendPart(Transmission number) {
  Progress& progress = transmissions_.at(number);
  const size_t bytes = std::min(kPartBytes, progress.bytes_left);
  const TimePoint arrives_at = Occupy(progress.host, bytes);
  world_.In(arrives_at - world_.Now(), [this, number, bytes] {
    const auto found = transmissions_.find(number);
    if (found == transmissions_.end()) {
      return;
    }
    found->second.bytes_left -= bytes;
    if (found->second.bytes_left > 0) {
      const std::function<void()> on_part = found->second.on_part;
      SendPart(number);
      on_part();
      return;
    }
    const std::function<void()> on_end = std::move(found->second.on_end);
    transmissions_.erase(found);
    on_end();
  });
}

}  // namespace hibiscus::cell
