// Runs randomised courses of a cell and prints those that went wrong.
//   hibiscus_cell_chaos --seeds=1..300
//   hibiscus_cell_chaos --seeds=1..300 --tenants
//   hibiscus_cell_chaos --seeds=1..300 --routes
//   hibiscus_cell_chaos --seeds=1..300 --late_orders
//   hibiscus_cell_chaos --seeds=1..300 --waiting_orders
//   hibiscus_cell_chaos --seeds=1..300 --unread_requests
//   hibiscus_cell_chaos --seeds=1..300 --silent_hosts
//   hibiscus_cell_chaos --seeds=1..300 --releases
//   hibiscus_cell_chaos --seeds=1..300 --slow_stops
//   hibiscus_cell_chaos --seeds=1..300 --long_holds --new_ids
//   hibiscus_cell_chaos --seeds=17..17 --log
#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>

#include "standins/seed_range.h"
#include "tests/cell_chaos.h"

DEFINE_string(seeds, "1..100", "first..last");
DEFINE_int32(jobs, 2, "courses at once");
DEFINE_bool(relays, false, "the owner's orders go through other hosts");
DEFINE_bool(tenants, false, "callers have API keys and quotas, and operators change both");
DEFINE_bool(dense, false, "more faults at the same time, and longer tasks");
DEFINE_bool(routes, false, "operators add and drop queues in series, and callers ask for them");
DEFINE_bool(late_orders, false, "orders are late at all workers at once, each of which starts again meanwhile");
DEFINE_bool(waiting_orders, false, "orders wait for connections to workers that start again and are back at once");
DEFINE_bool(unread_requests, false, "hosts stand still with requests whose callers leave and cancel them elsewhere");
DEFINE_bool(silent_hosts, false, "all messages between hosts are lost for seconds, while the owner changes");
DEFINE_bool(releases, false, "workers drain, leave and are replaced, and hosts join and are removed");
DEFINE_bool(same_id_at_once, false, "with --releases: a worker may join under the id of one that still runs");
DEFINE_bool(slow_stops, false, "stops take up to the platform's longest time");
DEFINE_bool(long_holds, false, "workers grant holds of 10 s");
DEFINE_bool(new_ids, false, "workers that start again have another id at the same address");
DEFINE_int32(fault_kinds, 0, "draws only from this many kinds of faults, the oldest first; 0: from all");
DEFINE_bool(log, false, "prints what the hosts log; for one seed");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const hibiscus::SeedRange seeds = hibiscus::ParseSeeds(FLAGS_seeds);
  std::atomic<uint64_t> next{seeds.first};
  std::atomic<int> failed{0};
  std::atomic<int> passed{0};
  std::mutex mutex;
  const auto work = [&] {
    for (uint64_t seed = next++; seed <= seeds.last; seed = next++) {
      const auto result = hibiscus::cell::RunCellChaos({.seed = seed,
                                                        .log = FLAGS_log,
                                                        .relays = FLAGS_relays,
                                                        .tenants = FLAGS_tenants,
                                                        .dense = FLAGS_dense,
                                                        .routes = FLAGS_routes,
                                                        .late_orders = FLAGS_late_orders,
                                                        .waiting_orders = FLAGS_waiting_orders,
                                                        .unread_requests = FLAGS_unread_requests,
                                                        .silent_hosts = FLAGS_silent_hosts,
                                                        .releases = FLAGS_releases,
                                                        .same_id_at_once = FLAGS_same_id_at_once,
                                                        .slow_stops = FLAGS_slow_stops,
                                                        .long_holds = FLAGS_long_holds,
                                                        .new_ids = FLAGS_new_ids,
                                                        .fault_kinds = static_cast<size_t>(FLAGS_fault_kinds)});
      (result.ok() ? passed : failed)++;
      if (result.ok()) {
        continue;
      }
      const std::lock_guard lock(mutex);
      std::printf("seed %llu: %d accepted, %d starts\n", static_cast<unsigned long long>(seed), result.accepted,
                  result.starts);
      for (const auto* list : {&result.violations, &result.lost}) {
        for (size_t i = 0; i < list->size() && i < 4; ++i) {
          std::printf("  %s\n", (*list)[i].c_str());
        }
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(FLAGS_jobs));
  for (int i = 0; i < FLAGS_jobs; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::printf("%d passed, %d failed\n", passed.load(), failed.load());
  return failed == 0 ? 0 : 1;
}
