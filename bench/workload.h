// A day of a customer, as the bench plays it: the classes of the configuration, and for each stream of requests its
// share of the load, sizes and run times. Read from workloads/*.json.
#ifndef HIBISCUSSTAND_BENCH_WORKLOAD_H_
#define HIBISCUSSTAND_BENCH_WORKLOAD_H_

#include <string>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus {

// One stream of like requests of one tenant.
struct LoadStream {
  std::string class_name;
  std::string tenant;
  WorkKind kind = WorkKind::kCall;
  double share = 0;        // Of the calls' work, of the tasks' work, or of a service's worker volume.
  Duration run_time = 1s;  // Mean; services run on.
  Resources size;          // Per member.
  int least_members = 1;
  int most_members = 1;

  double MeanMembers() const { return (least_members + most_members) / 2.0; }
};

struct Workload {
  std::string name;
  Configuration configuration;
  Resources worker;  // Capacity of each worker.
  std::vector<LoadStream> streams;
};

// Throws std::runtime_error with the reason if the file is missing or wrong.
Workload ReadWorkload(const std::string& directory, const std::string& name);

// What goes wrong in a day.
struct Day {
  std::string name;
  bool burst = false;        // Three times the load for a tenth of the day.
  bool slow = false;         // A tenth of the workers and backend servers takes four times as long.
  bool misdeclared = false;  // Declared run times are off by a factor of up to four, either way.
  bool flood = false;        // The first tenant sends five times its share of calls and tasks.
  bool failing = false;      // One worker in eight fails all that it starts, at once.
  bool refusing = false;     // Every other backend server refuses all calls, though its probes are good.
  bool breaking = false;     // Every other backend server breaks off all calls, though its probes are good.
};

const std::vector<Day>& Days();

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_BENCH_WORKLOAD_H_
