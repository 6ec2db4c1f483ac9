// Minions crash one after the other, each under another member of a gang that could be done.
#include <algorithm>
#include <iostream>

#include "../standin/world.h"

namespace {

using review::Verdict;
using Json = nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kMembers = 3;
constexpr int kTaskMs = 15'000;
constexpr int kCrashes = 3;         // Each under another member; fewer than MaxAttempts.
constexpr int kCrashAfterMs = 400;  // From the start of the member.
constexpr int kDownMs = 2000;       // The site file allows 4500 for srv_crash.

std::string MemberName(int index) {
  return std::string(kJob) + ".0.0." + std::to_string(index);
}

review::Minion* MinionOf(review::World& world, int member) {
  for (const auto& minion : world.minions()) {
    if (minion->Runs(MemberName(member))) {
      return minion.get();
    }
  }
  return nullptr;
}

bool AllAtWork(review::World& world) {
  for (int member = 0; member < kMembers; ++member) {
    if (MinionOf(world, member) == nullptr) {
      return false;
    }
  }
  return true;
}

// Crashes the minion of one member; the other members end as `broken`. False if the gang isn't started in time.
bool CrashUnder(review::World& world, int member) {
  if (!world.WaitFor(12'000, [&] { return AllAtWork(world); })) {
    return false;
  }
  world.Sleep(kCrashAfterMs);
  review::Minion* crashing = MinionOf(world, member);
  if (crashing == nullptr) {
    return false;
  }
  crashing->Crash();
  for (int other = 0; other < kMembers; ++other) {
    if (review::Minion* minion = MinionOf(world, other); minion != nullptr) {
      minion->EndRuns("broken");
    }
  }
  world.Sleep(kDownMs);
  crashing->Restart();
  return true;
}

// Rule LOST: shown as failed, though no run has ended `failed` and no task had two minions crash under it.
bool IsLost(review::World& world) {
  if (world.State(kJob) != "failed") {
    return false;
  }
  const auto runs = world.record().runs();
  for (int member = 0; member < kMembers; ++member) {
    const auto count = [&](const char* how) {
      return std::count_if(runs.begin(), runs.end(), [&](const review::RunEvent& run) {
        return run.task == MemberName(member) && run.how == how;
      });
    };
    if (count("failed") > 0 || count("crashed") > 1) {
      return false;
    }
  }
  world.record().Line("BREAK LOST shown as failed without cause: " + std::string(kJob));
  return true;
}

Verdict Run(const review::WorldSettings& settings) {
  review::World world(settings, [](const std::string&, int) { return review::RunPlan{kTaskMs, "done"}; });
  const Json step{{"Count", kMembers}, {"Cpu", 9000}, {"MemMb", 256}, {"EstimateMs", kTaskMs}, {"Gang", true}};
  if (!world.Start() || !world.Submit(kJob, Json{{"TaskSpec", "report"}, {"Steps", {step}}})) {
    return Verdict::kNotRun;
  }
  for (int i = 0; settings.trouble && i < kCrashes; ++i) {
    if (!CrashUnder(world, i)) {
      if (i == 0) {
        return Verdict::kNotRun;
      }
      break;  // The gang isn't started any more.
    }
  }
  world.Sleep(kTaskMs + 5000);
  return IsLost(world) ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    review::WorldSettings settings = review::ReadSettings(argc, argv);
    settings.minions = 8;
    return static_cast<int>(Run(settings));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return static_cast<int>(Verdict::kNotRun);
  }
}
