// What every part of the cell scheduler on one host works with: settings, clocks, timers, ports and counters.
#ifndef HIBISCUSSTAND_SRC_CELL_CONTEXT_H_
#define HIBISCUSSTAND_SRC_CELL_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include <fmt/core.h>

#include "cell/policies.h"
#include "cell/ports.h"
#include "cell/timers.h"

namespace hibiscus::cell {

struct CellSettings {
  HostName name;
  DataCentre data_centre;
  std::string peer_address;             // Where other hosts reach this one.
  uint64_t incarnation = 0;             // Of this process, random.
  int processor_millis = 0;             // Thousandths of a core that this host has. 0: not known.
  Duration max_hold = 6s;               // Longest hold that a worker grants; platform's bound.
  Duration gang_timeout = 3s;           // A member waits this long for the others; platform's bound.
  Duration ended_job_retention = 120s;  // How long the state of an ended job is told; platform's bound.
  Duration min_lease_ttl = 1s;          // Of the store; platform's bound.
  std::string advice_address;           // Empty: there is no advice service.
  // The owner speaks itself to so many workers; with more, through relays. With 350 workers and 750 starts a second the
  // calls alone filled a host of half a core (docs/CAPACITY.md).
  size_t max_direct_workers = 100;
  Policies policies;

  friend bool operator==(const CellSettings&, const CellSettings&) = default;
};

// Counters by name, for the metrics page. A label set may stand in the name: starts{queue="a"}.
class Counters {
 public:
  void Add(const std::string& name, double amount = 1) { values_[name] += amount; }
  void Set(const std::string& name, double value) { values_[name] = value; }
  const std::map<std::string, double>& values() const { return values_; }

  // Takes each duration that was measured, with the name of its histogram and its class (a queue, a kind of call).
  std::function<void(const char* name, const std::string& label, Duration value)> on_duration;
  void RecordDuration(const char* name, const std::string& label, Duration value) const {
    if (on_duration) {
      on_duration(name, label, value);
    }
  }

 private:
  std::map<std::string, double> values_;
};

struct Context {
  CellSettings settings;
  const Clock& clock;  // Includes the time in which the host was suspended.
  const WallClock& wall;
  Timers& timers;
  StorePort& store;
  WorkerPort& workers;
  AdvicePort& advice;
  PeerPort& peers;
  const DirectoryPort& directory;
  EventLog& log;
  Counters& counters;
  std::mt19937_64 random;

  TimePoint Now() const { return clock.Now(); }
  // A uniform draw below `limit`.
  Duration Jitter(Duration limit) {
    return Duration(static_cast<int64_t>(random() % static_cast<uint64_t>(limit.count() + 1)));
  }

  template <class... Args>
  void Log(const char* component, fmt::format_string<Args...> format, Args&&... args) {
    if (log.Accepts(component)) {
      log.Write(component, fmt::format(format, std::forward<Args>(args)...));
    }
  }
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_CONTEXT_H_
