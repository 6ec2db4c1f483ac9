// Links of limited bandwidth that carry the store's answers to the hosts of a simulated cell: one of each host, and one
// that all hosts share, as between two regions. Answers that are on their way at the same time share the bandwidth.
#ifndef HIBISCUSSTAND_STANDINS_CELL_LINKS_H_
#define HIBISCUSSTAND_STANDINS_CELL_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CellWorld;

class StoreLinks {
 public:
  using Transmission = uint64_t;  // Its number; never 0.

  explicit StoreLinks(CellWorld& world) : world_(world) {}

  // Bandwidth in bytes a second. 0: unlimited; answers then arrive at once.
  double shared_bandwidth = 0;
  std::map<size_t, double> host_bandwidth;  // By host; unlimited without an entry.

  bool IsLimited(size_t host) const { return shared_bandwidth > 0 || host_bandwidth.contains(host); }
  // Sends an answer of this size to a host. Calls `on_part` for each part that arrives, and `on_end` after the last.
  Transmission Send(size_t host, size_t bytes, std::function<void()> on_part, std::function<void()> on_end);
  // What is not on its way yet is not sent any more, and the callbacks are not called.
  void Cancel(Transmission number);

  // Bytes sent so far, to all hosts.
  size_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Progress {
    size_t host = 0;
    size_t bytes_left = 0;
    std::function<void()> on_part;
    std::function<void()> on_end;
  };

  void SendPart(Transmission number);
  // Occupies the links of the host with these bytes; returns when they have arrived.
  TimePoint Occupy(size_t host, size_t bytes);

  CellWorld& world_;
  std::map<Transmission, Progress> transmissions_;
  std::map<size_t, TimePoint> host_free_at_;
  TimePoint shared_free_at_{};
  Transmission last_number_ = 0;
  size_t bytes_sent_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_LINKS_H_
