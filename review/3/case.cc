// Minions crash twice under a task that could be done, and under one that lasts.
#include <algorithm>
#include <iostream>

#include "../standin/world.h"

namespace {

using review::Verdict;
using Json = nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr char kLastingJob[] = "6d1f8b32ea5c4709";
constexpr int kTaskMs = 15'000;
constexpr int kCrashes = 2;         // Fewer than MaxAttempts.
constexpr int kCrashAfterMs = 400;  // From the start of the task.
constexpr int kDownMs = 2000;       // The site file allows 4500 for srv_crash.

review::Minion* MinionOf(review::World& world, const std::string& job) {
  for (const auto& minion : world.minions()) {
    if (minion->Runs(job + ".0.0.0")) {
      return minion.get();
    }
  }
  return nullptr;
}

// Crashes the minion of each job at the same time. False if one of them isn't started again in time.
bool CrashBoth(review::World& world) {
  review::Minion* first = nullptr;
  review::Minion* second = nullptr;
  const bool run = world.WaitFor(12'000, [&] {
    first = MinionOf(world, kJob);
    second = MinionOf(world, kLastingJob);
    return first != nullptr && second != nullptr;
  });
  if (!run || first == second) {
    return false;
  }
  world.Sleep(kCrashAfterMs);
  first->Crash();
  second->Crash();
  world.Sleep(kDownMs);
  first->Restart();
  second->Restart();
  return true;
}

// Rule LOST: shown as failed, though no run of it has ended `failed`.
bool IsLost(review::World& world, const std::string& job) {
  const auto runs = world.record().runs();
  const bool failed = std::any_of(runs.begin(), runs.end(), [&](const review::RunEvent& run) {
    return run.task.starts_with(job) && run.how == "failed";
  });
  const bool lost = world.State(job) == "failed" && !failed;
  if (lost) {
    world.record().Line("BREAK LOST shown as failed without cause: " + job);
  }
  return lost;
}

Json JobOf(bool lasts) {
  Json step{{"Count", 1}, {"Cpu", 9000}, {"MemMb", 256}, {"EstimateMs", kTaskMs}};
  if (lasts) {
    step["LongRunning"] = true;
  }
  return Json{{"TaskSpec", "report"}, {"Steps", {step}}};
}

Verdict Run(const review::WorldSettings& settings) {
  review::World world(settings, [](const std::string& task, int) {
    return task.starts_with(kLastingJob) ? review::RunPlan{} : review::RunPlan{kTaskMs, "done"};
  });
  if (!world.Start() || !world.Submit(kJob, JobOf(false)) || !world.Submit(kLastingJob, JobOf(true))) {
    return Verdict::kNotRun;
  }
  for (int i = 0; settings.trouble && i < kCrashes; ++i) {
    if (!CrashBoth(world)) {
      return Verdict::kNotRun;
    }
  }
  world.Sleep(kTaskMs + 5000);
  const bool lost = IsLost(world, kJob);
  const bool lasting_lost = IsLost(world, kLastingJob);
  return lost || lasting_lost ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    review::WorldSettings settings = review::ReadSettings(argc, argv);
    settings.minions = 16;
    return static_cast<int>(Run(settings));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return static_cast<int>(Verdict::kNotRun);
  }
}
