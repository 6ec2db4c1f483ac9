// A randomised course of a cell: load, and faults of every kind that the platform may show, drawn from a seed.
#ifndef HIBISCUSSTAND_TESTS_CELL_CHAOS_H_
#define HIBISCUSSTAND_TESTS_CELL_CHAOS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscus::cell {

struct CellChaosOptions {
  uint64_t seed = 1;
  bool log = false;
  bool relays = false;       // The owner's orders go through other hosts.
  bool tenants = false;      // Callers have API keys and quotas, and operators change both.
  bool dense = false;        // More faults at the same time, and longer tasks.
  bool routes = false;       // Operators add and drop queues in series, and callers ask for them.
  bool late_orders = false;  // Orders are late at all workers at the same time, and each worker starts again meanwhile.
  bool waiting_orders = false;   // Orders wait for connections to workers that start again and are back at once.
  bool unread_requests = false;  // Hosts stand still with requests whose callers leave and cancel them elsewhere.
  bool silent_hosts = false;     // All messages between hosts are lost for seconds, while the owner changes.
  bool releases = false;         // Workers drain, leave and are replaced; hosts join and are removed.
  bool same_id_at_once = false;  // With releases: a worker may join under the id of one that still runs.
  bool slow_stops = false;       // Stops take up to the platform's longest time.
  bool long_holds = false;       // Workers grant holds of 10 s instead of 6 s.
  bool new_ids = false;          // Workers that start again have another id at the same address.
  size_t fault_kinds = 0;        // Draws only from the first kinds of faults, as seeds found earlier did. 0: from all.

  friend bool operator==(const CellChaosOptions&, const CellChaosOptions&) = default;
};

struct CellChaosResult {
  std::vector<std::string> violations;  // What must always hold and did not.
  std::vector<std::string> lost;        // Accepted jobs that did not come to an end, or waited although they could run.
  std::vector<std::string> faults;      // What was done, in order.
  int accepted = 0;
  int starts = 0;
  int routes_refused = 0;  // Requests refused as for an unknown queue.
  int routes_judged = 0;   // Answers about queues of hosts in touch.

  bool ok() const { return violations.empty() && lost.empty(); }
  friend bool operator==(const CellChaosResult&, const CellChaosResult&) = default;
};

CellChaosResult RunCellChaos(const CellChaosOptions& options);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_CHAOS_H_
