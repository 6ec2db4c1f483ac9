// A cell in virtual time under a deployment's load: unlike classes of jobs, advice that answers one call at a time for
// each host, bursts, and hosts whose processors are slow. Tells how each class was served; the same seed gives the same
// course.
#ifndef HIBISCUSSTAND_BENCH_CELL_LOAD_H_
#define HIBISCUSSTAND_BENCH_CELL_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell/policies.h"
#include "cell/values.h"

namespace hibiscus::cell {

// One class of jobs, drawn around these means.
struct LoadClass {
  QueueSpec queue;
  double jobs_a_second = 1;  // In the whole cell.
  double steps = 1;          // Mean, each after the one before.
  double width = 1;          // Mean tasks of a step.
  int most_width = 1;
  Resources size;            // Mean of a task.
  Duration takes = 1s;       // Mean of a task; estimates are off by up to half.
  double gang_share = 0;     // Steps whose tasks work only together.
  int allowed_percent = 85;  // Of the workers, by the advice service.

  friend bool operator==(const LoadClass&, const LoadClass&) = default;
};

// Many jobs of one class come at once.
struct LoadBurst {
  std::string queue;
  double factor = 2;
  Duration at{};
  Duration length{};

  friend bool operator==(const LoadBurst&, const LoadBurst&) = default;
};

struct LoadOptions {
  uint64_t seed = 1;
  int hosts = 7;
  int workers = 48;
  Resources room;         // Of each worker.
  Duration length = 20s;  // Of the traffic.
  Duration after = 15s;   // In which what was accepted may still end.
  Duration event_cost{};  // Processor time of a host for each message, answer or timer.
  std::vector<LoadClass> classes;
  std::vector<LoadBurst> bursts;
  Policies policies;  // Of the hosts.
  bool log = false;   // Prints what the hosts log.

  friend bool operator==(const LoadOptions&, const LoadOptions&) = default;
};

// How the jobs of one class fared. A job is in time if it ends within its queue's objective, counted from its caller's
// first try; late up to three times that.
struct ClassOutcome {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;     // Told that they were not accepted, by all tries.
  int unanswered = 0;  // No answer in time to any try.
  int too_late = 0;    // Accepted, and ended later than that or not at all.
  double work = 0;     // Core-seconds in time, as a share of those asked for.
  double served = 0;   // Core-seconds in time.
  Duration median{};   // From first try to end, of those that ended.
  Duration p99{};

  friend bool operator==(const ClassOutcome&, const ClassOutcome&) = default;
};

struct LoadOutcome {
  std::map<std::string, ClassOutcome> classes;  // By queue.
  std::vector<std::string> violations;          // Rules that the workers saw broken.
  int starts = 0;
  double advice_seconds = 0;  // Of the service, over all hosts.

  friend bool operator==(const LoadOutcome&, const LoadOutcome&) = default;
};

LoadOutcome RunLoad(const LoadOptions& options);

// Deployments that the program and the tests use: a few dozen workers of one kind with three unlike classes, one seven
// times as large, and a fleet of over a thousand workers on which the owner's processor is what binds.
LoadOptions SmallDeployment();
LoadOptions LargeDeployment();
LoadOptions FleetDeployment();

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_BENCH_CELL_LOAD_H_
