// A repeated job; the leading host is killed while tasks of an occurrence are at work.
#include <algorithm>
#include <chrono>
#include <iostream>

#include "../standin/world.h"

namespace {

using review::Verdict;
using Json = nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr size_t kOccurrences = 8;
constexpr size_t kTasks = 6;
constexpr int kIntervalMs = 2500;
constexpr int kTaskMs = 800;
constexpr int kDownMs = 3500;  // The largest of the site file for node_kill with one machine.

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

size_t CountDone(const review::Record& record) {
  const auto runs = record.runs();
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [](const review::RunEvent& run) { return run.how == "done"; }));
}

bool AnyAtWork(review::World& world) {
  return std::any_of(world.minions().begin(), world.minions().end(),
                     [](const auto& minion) { return minion->running() > 0; });
}

Verdict Run(const review::WorldSettings& settings) {
  review::World world(settings, [](const std::string&, int) { return review::RunPlan{kTaskMs, "done"}; });
  if (!world.Start()) {
    return Verdict::kNotRun;
  }
  const Json job{{"TaskSpec", "nightly"},
                 {"Steps", {{{"Count", kTasks}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", kTaskMs}}}},
                 {"RepeatCount", kOccurrences},
                 {"StartAtMs", UnixMs() + 1500},
                 {"IntervalMs", kIntervalMs}};
  if (!world.Submit(kJob, job) || !world.WaitFor(10'000, [&] { return CountDone(world.record()) >= kTasks; }) ||
      !world.WaitFor(10'000, [&] { return AnyAtWork(world); })) {
    return Verdict::kNotRun;
  }
  world.Sleep(200);
  if (settings.trouble) {
    const size_t leader = world.leader();
    world.record().Line("kill " + world.host(leader).name());
    world.host(leader).Kill();
    world.Sleep(kDownMs);
    world.record().Line("start " + world.host(leader).name());
    world.host(leader).Start();
  }
  const bool all = world.WaitFor(static_cast<int>(kOccurrences) * kIntervalMs + 10'000,
                                 [&] { return CountDone(world.record()) >= kOccurrences * kTasks; });
  world.Sleep(2000);
  world.State(kJob);
  world.record().Line(all ? "all occurrences done" : "not all occurrences done");
  return world.record().CountTwice(false) > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return static_cast<int>(Run(review::ReadSettings(argc, argv)));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return static_cast<int>(Verdict::kNotRun);
  }
}
