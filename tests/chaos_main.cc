// The randomised driver as a program. A failing seed is replayed by `hibiscus_chaos --seeds=N..N --trace`.
#include <csignal>
#include <cstdio>
#include <map>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "standins/seed_range.h"
#include "tests/chaos_faults.h"

DEFINE_string(seeds, "1..300", "first and last seed");
DEFINE_bool(trace, false, "print every event");
DEFINE_bool(matrix, false, "print the fault matrix as a page");
DEFINE_bool(stop_at_first, false, "end at the first failing seed");

namespace hibiscus {

namespace {

volatile uint64_t present_seed = 0;

void OnAbort(int) {
  fmt::print(stderr, "seed {} stopped the process\n", present_seed);
  std::fflush(stdout);
}

int RunAll(uint64_t first, uint64_t last) {
  ChaosReport sum;
  uint64_t failed = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    present_seed = seed;
    const ChaosReport report = ChaosRun(seed, FLAGS_trace).Run();
    sum.events += report.events;
    sum.requests += report.requests;
    sum.starts += report.starts;
    sum.done += report.done;
    sum.not_run += report.not_run;
    sum.unknown += report.unknown;
    sum.accepted += report.accepted;
    sum.batches += report.batches;
    sum.trims += report.trims;
    sum.matrix.Add(report.matrix);
    if (report.broken.empty()) {
      continue;
    }
    ++failed;
    std::string faults;
    for (const Fault fault : report.faults) {
      faults += fmt::format(" [{}]", NameOf(fault));
    }
    fmt::print("seed {}:{}\n", seed, faults);
    for (const std::string& what : report.broken) {
      fmt::print("  {}\n", what);
    }
    if (FLAGS_stop_at_first) {
      break;
    }
  }
  if (FLAGS_matrix) {
    fmt::print("{}", sum.matrix.ToMarkdown(first, last));
  }
  fmt::print(stderr,
             "seeds {}..{}: {} failed; {} events, {} requests, {} starts; answers: {} done, {} not run, {} unknown\n",
             first, last, failed, sum.events, sum.requests, sum.starts, sum.done, sum.not_run, sum.unknown);
  fmt::print(stderr, "deferred: {} accepted; log: {} batches, {} trims\n", sum.accepted, sum.batches, sum.trims);
  return failed == 0 ? 0 : 1;
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGABRT, hibiscus::OnAbort);
  const auto [first, last] = hibiscus::ParseSeeds(FLAGS_seeds);
  return hibiscus::RunAll(first, last);
}
