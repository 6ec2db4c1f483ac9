// What a run of the bench says: figures by class, for the calls' slots and for the workers' volume, and the real time
// that the control thread spent.
#ifndef HIBISCUSSTAND_BENCH_BENCH_REPORT_H_
#define HIBISCUSSTAND_BENCH_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "bench/bench_world.h"

namespace hibiscus {

struct ClassFigures {
  std::string name;
  size_t offered = 0;
  double started_in_target = 0;   // Share of the offered.
  double finished_in_target = 0;  // Share of the offered.
  double refused = 0;             // Share of the offered, as "not run".
  double other = 0;               // Neither done nor refused: failed, unknown, unanswered.
  double wait_p50_ms = 0;         // From arrival to the start of the last member.
  double wait_p99_ms = 0;
  double refusal_p50_ms = 0;  // From arrival to the refusal.
  double refusal_p99_ms = 0;
};

struct RunFigures {
  std::string workload;
  std::string day;
  std::string policy;
  double load = 0;
  std::vector<ClassFigures> classes;
  double call_goodput = 0;         // Work answered in target, over what capacity and arrivals allow.
  double slots_used = 0;           // Share of slots.
  double packing = 0;              // Share of the scarcest resource's volume that is booked.
  double worst_class = 0;          // Smallest share of a class's requests that finished in target.
  double worst_tenant = 0;         // The same by class and tenant, over all but the first tenant.
  double placements_a_second = 0;  // Starts over the real time spent in Handle.
  double handle_p50_us = 0;
  double handle_p99_us = 0;
  size_t starts = 0;
  size_t broken = 0;
};

RunFigures Summarise(const Workload& workload,
                     const BenchOptions& options,
                     const std::string& policy,
                     const BenchWorld& world);
std::string TableOf(const RunFigures& figures);
std::string SpeedLineOf(const std::string& what, const RunFigures& figures);
std::string JsonOf(const std::vector<RunFigures>& runs);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_BENCH_BENCH_REPORT_H_
