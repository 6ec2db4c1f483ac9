// hibiscus_bench: the policy under load, in virtual time, beside its baselines. Prints tables; writes JSON with --json.
//   hibiscus_bench --workloads=abay,formularios --days=plain,burst --loads=60,90,120,200 --seed=1
//   hibiscus_bench --mode=speed --workers=2000 --queue=10000
//   hibiscus_bench --mode=failing --workers=8 --hosts=1 --loads=30,60,90
//   hibiscus_bench --mode=retries --loads=60,90,120
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "bench/bench_report.h"
#include "bench/bench_world.h"
#include "bench/workload.h"
#include "core/split.h"

DEFINE_string(mode,
              "days",
              "days: the policy under load; speed: real time of decisions; failing: workers that fail all; retries: "
              "backend servers that do");
DEFINE_string(workload_directory, "workloads", "where the workloads are described");
DEFINE_string(workloads, "abay,formularios", "which of them");
DEFINE_string(days, "plain,burst,slow,misdeclared,flood", "what goes wrong");
DEFINE_string(loads, "60,90,120,200", "percent of capacity");
DEFINE_string(policies, "policy,fcfs,random,two-random,no-admission", "the policy and its baselines");
DEFINE_string(json, "", "file for the figures as JSON");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_int32(hosts, 3, "hosts of the system");
DEFINE_int32(workers, 50, "workers");
DEFINE_int32(servers, 50, "backend servers");
DEFINE_int32(seconds, 30, "virtual time that counts");
DEFINE_bool(calls, true, "offer calls");
DEFINE_bool(tasks, true, "offer tasks");
DEFINE_double(rate, 10000, "speed: tasks a second");
DEFINE_int32(queue, 0, "speed: tasks that wait for room throughout");

namespace hibiscus {
namespace {

BenchOptions OptionsFromFlags() {
  BenchOptions options;
  options.seed = FLAGS_seed;
  options.hosts = FLAGS_hosts;
  options.workers = FLAGS_workers;
  options.servers = FLAGS_servers;
  options.length = std::chrono::seconds(FLAGS_seconds);
  options.calls = FLAGS_calls;
  options.tasks = FLAGS_tasks;
  return options;
}

double LoadFrom(const std::string& percent) {
  return std::stod(percent) / 100;
}

RunFigures RunOne(const Workload& workload, const BenchOptions& options, const std::string& policy) {
  BenchWorld world(workload, options);
  world.Run();
  return Summarise(workload, options, policy, world);
}

// The policy as it is by default, and the baselines that it is measured against.
Policy PolicyNamed(const std::string& name) {
  Policy policy;
  policy.admission = name == "policy";
  if (name == "policy" || name == "no-admission") {
    return policy;
  }
  policy.queue = QueueOrder::kArrival;
  policy.best_fit = false;
  policy.avoid_slow = false;
  policy.choice = name == "random"       ? ChoiceRule::kRandom
                  : name == "two-random" ? ChoiceRule::kTwoRandom
                                         : ChoiceRule::kFirst;
  return policy;
}

void Report(const RunFigures& figures, std::vector<RunFigures>& runs) {
  std::fputs(TableOf(figures).c_str(), stdout);
  std::fflush(stdout);
  runs.push_back(figures);
}

void RunPolicies(const Workload& workload, BenchOptions options, std::vector<RunFigures>& runs) {
  for (const std::string& policy : Split(FLAGS_policies)) {
    options.settings.policy = PolicyNamed(policy);
    Report(RunOne(workload, options, policy), runs);
  }
}

std::vector<RunFigures> RunDays() {
  std::vector<RunFigures> runs;
  for (const std::string& name : Split(FLAGS_workloads)) {
    const Workload workload = ReadWorkload(FLAGS_workload_directory, name);
    for (const Day& day : Days()) {
      if (("," + FLAGS_days + ",").find("," + day.name + ",") == std::string::npos) {
        continue;
      }
      for (const std::string& load : Split(FLAGS_loads)) {
        BenchOptions options = OptionsFromFlags();
        options.day = day;
        options.load = LoadFrom(load);
        RunPolicies(workload, options, runs);
      }
    }
  }
  return runs;
}

// One host, small tasks at a steady rate at 60% of the workers, and a queue of tasks for accelerators that are taken.
std::vector<RunFigures> RunSpeed() {
  constexpr double kShare = 0.6;
  Workload workload;
  workload.name = "speed";
  workload.worker = Resources{64'000, 262'144, 1};
  workload.configuration.version = 1;
  workload.configuration.classes = {ClassSpec{"small", WorkKind::kBatch, 10s, 60s, true},
                                    ClassSpec{"large", WorkKind::kBatch, 1h, 2h, true}};
  BenchOptions options = OptionsFromFlags();
  options.hosts = 1;
  options.servers = 0;
  options.ramp = 2s;
  options.load = kShare;
  options.settings.policy.admission = false;
  options.waiting = FLAGS_queue == 0 ? 0 : FLAGS_queue + FLAGS_workers;  // Each worker takes one.
  const double cores = 64.0 * FLAGS_workers * kShare / FLAGS_rate;       // Core seconds of each task.
  const Duration run_time(static_cast<int64_t>(std::max(0.02, cores) * 1e6));
  workload.streams = {LoadStream{"small", "t", WorkKind::kBatch, 1.0, run_time, Resources{1000, 1024, 0}, 1, 1},
                      LoadStream{"large", "u", WorkKind::kBatch, 0, 1h, Resources{1000, 1024, 1}, 1, 1}};
  const RunFigures figures = RunOne(workload, options, "policy");
  const std::string what = fmt::format("{} workers, {}/s, queue {}", FLAGS_workers, FLAGS_rate, FLAGS_queue);
  std::fputs(SpeedLineOf(what, figures).c_str(), stdout);
  return {figures};
}

// One worker in eight fails at once all that it starts, with quarantine and without.
std::vector<RunFigures> RunFailing() {
  Workload workload;
  workload.name = "failing";
  workload.worker = Resources{64'000, 262'144, 1};
  workload.configuration.version = 1;
  workload.configuration.classes = {ClassSpec{"twice", WorkKind::kBatch, 5s, 30s, true},
                                    ClassSpec{"once", WorkKind::kBatch, 5s, 30s, false}};
  workload.streams = {LoadStream{"twice", "t", WorkKind::kBatch, 0.8, 1s, Resources{4000, 1024, 0}, 1, 1},
                      LoadStream{"once", "t", WorkKind::kBatch, 0.2, 1s, Resources{4000, 1024, 0}, 1, 1}};
  std::vector<RunFigures> runs;
  for (const std::string& load : Split(FLAGS_loads)) {
    BenchOptions options = OptionsFromFlags();
    options.servers = 0;
    options.ramp = 0s;  // The time until it is noticed counts.
    options.day = Day{.name = "failing", .failing = true};
    options.load = LoadFrom(load);
    for (const bool quarantine : {false, true}) {
      options.settings.policy.quarantine = quarantine;
      Report(RunOne(workload, options, quarantine ? "quarantine" : "without"), runs);
    }
  }
  return runs;
}

// Half of the backend servers fail all calls, with the retry budget and without. The load is a share of the others.
std::vector<RunFigures> RunRetries() {
  Workload workload;
  workload.name = "retries";
  workload.configuration.version = 1;
  workload.configuration.classes = {ClassSpec{"twice", WorkKind::kCall, 1s, 5s, true},
                                    ClassSpec{"once", WorkKind::kCall, 1s, 5s, false}};
  workload.streams = {LoadStream{"twice", "t", WorkKind::kCall, 0.8, 200ms, Resources{}, 1, 1},
                      LoadStream{"once", "t", WorkKind::kCall, 0.2, 200ms, Resources{}, 1, 1}};
  std::vector<RunFigures> runs;
  for (const Day& day : {Day{.name = "refusing", .refusing = true}, Day{.name = "breaking", .breaking = true}}) {
    for (const std::string& load : Split(FLAGS_loads)) {
      BenchOptions options = OptionsFromFlags();
      options.workers = 0;
      options.ramp = 0s;
      options.day = day;
      options.load = LoadFrom(load);
      for (const bool budget : {false, true}) {
        options.settings.policy.retry_budget = budget;
        BenchWorld world(workload, options);
        world.Run();
        Report(Summarise(workload, options, budget ? "budget" : "without", world), runs);
        const double sent = static_cast<double>(world.calls_sent()) / static_cast<double>(world.requests_sent());
        fmt::print("  {} calls sent for {} requests: {:.3f} each\n", world.calls_sent(), world.requests_sent(), sent);
        std::fflush(stdout);
      }
    }
  }
  return runs;
}

std::vector<RunFigures> RunMode() {
  if (FLAGS_mode == "retries") {
    return RunRetries();
  }
  return FLAGS_mode == "speed" ? RunSpeed() : FLAGS_mode == "failing" ? RunFailing() : RunDays();
}

}  // namespace
}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto runs = hibiscus::RunMode();
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << hibiscus::JsonOf(runs) << "\n";
  }
  return 0;
}
