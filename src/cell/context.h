// Shared dependencies of the cell scheduler on one host: settings, clocks, timers, ports and counters.
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
  std::string peer_address;             // Address at which other hosts reach this one.
  uint64_t incarnation = 0;             // Random id of this process.
  int processor_millis = 0;             // Thousandths of a core of this host. 0: unknown.
  Duration max_hold = 6s;               // Longest hold that a worker grants; limit of the platform.
  Duration gang_timeout = 3s;           // How long a gang member waits for the others; limit of the platform.
  Duration ended_job_retention = 120s;  // How long the state of an ended job is reported; limit of the platform.
  Duration min_lease_ttl = 1s;          // Shortest lease that the store grants; limit of the platform.
  std::string advice_address;           // Empty: no advice service.
  // A withdrawn API key is refused by every host after this time. 0: as soon as its host has the configuration.
  Duration key_withdrawal_limit = 0us;
  // Up to this many workers, the owner contacts them directly; with more, through relays. With 350 workers and 750
  // starts per second, the calls alone saturated a host of half a core (docs/CAPACITY.md).
  size_t max_direct_workers = 100;
  // A new configuration is in force on every host that reaches the store after this time; limit of the platform.
  Duration configuration_limit = 2500ms;
  Policies policies;

  friend bool operator==(const CellSettings&, const CellSettings&) = default;
};

// Counters and gauges by name, for the metrics page. The name may include a label set: starts{queue="a"}.
class Counters {
 public:
  void Add(const std::string& name, double amount = 1) { values_[name] += amount; }
  void Set(const std::string& name, double value) { values_[name] = value; }
  const std::map<std::string, double>& values() const { return values_; }

  // Receives each measured duration with the name of its histogram and its label (a queue, a kind of call).
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
  const Clock& clock;  // Includes time during which the host was suspended.
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
  // Returns a uniformly distributed duration between 0 and `limit`.
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
