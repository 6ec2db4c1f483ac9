// A job none of whose runs has ended failed is shown as failed after some crashes of its minions.
#include <algorithm>
#include <cstdlib>
#include <exception>

#include "../standin-2/deployment.h"

namespace {

using review::Deployment;
using Json = nlohmann::json;

constexpr int kDaemons = 3;
constexpr int kMinions = 8;      // One of them is a share of 0.125.
constexpr int kWorkMs = 16'000;  // The longest work of a kind of request on the small sites.
constexpr int kMaxCrashes = 6;
constexpr double kCrashAfterS = 3;  // Of the run's start.
constexpr double kDownS = 3;
constexpr double kDayS = 90;

Json LongJob() {
  const Json step{{"Count", 1}, {"Cpu", 2000}, {"MemMb", 1000}, {"EstimateMs", kWorkMs}};
  return Json{{"TaskSpec", "work_ms=" + std::to_string(kWorkMs)}, {"Steps", Json::array({step})}};
}

Json SmallJob() {
  const Json step{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 500}, {"EstimateMs", 600}};
  return Json{{"TaskSpec", "work_ms=600"}, {"Steps", Json::array({step})}};
}

review::Minion* MinionOf(Deployment& day, const std::string& job, double min_age) {
  for (const review::WorkingRun& run : day.Working()) {
    const double age = std::chrono::duration<double>(review::Clock::now() - run.since).count();
    if (run.task.starts_with(job) && age >= min_age) {
      for (const auto& minion : day.minions()) {
        if (minion->settings().id == run.minion) {
          return minion.get();
        }
      }
    }
  }
  return nullptr;
}

int Run(const std::string& folder) {
  Deployment day(folder, kDaemons);
  review::MinionSettings settings;
  settings.labels = {"a", "r1"};
  settings.cpu = 32'000;
  settings.memory_mb = 65'536;
  for (int i = 0; i < kMinions; ++i) {
    day.AddMinion(settings);
  }
  if (!day.Start()) {
    return 2;
  }
  const std::string job = day.NewId();
  if (day.Submit(job, LongJob(), review::Millis(10'000)) != 200) {
    return 2;
  }
  const double end = day.record().Seconds() + kDayS;
  review::Minion* down = nullptr;
  double down_until = 0;
  int crashes = 0;
  std::string state;
  while (day.record().Seconds() < end && state != "failed" && state != "completed") {
    day.Submit(day.NewId(), SmallJob(), review::Millis(3000));
    day.Wait(0.25);
    if (down != nullptr && day.record().Seconds() >= down_until) {
      down->Start();
      down = nullptr;
    }
    if (review::HasTrouble() && down == nullptr && crashes < kMaxCrashes) {
      down = MinionOf(day, job, kCrashAfterS);
      if (down != nullptr) {
        down->Crash();
        down_until = day.record().Seconds() + kDownS;
        ++crashes;
      }
    }
    state = day.StateOf(job, review::Millis(3000));
  }
  review::EndedCounts ends;
  for (const auto& minion : day.minions()) {
    const review::EndedCounts each = minion->EndsOf(job);
    ends.done += each.done;
    ends.failed += each.failed;
    ends.lost += each.lost;
  }
  day.record().Say("the job is shown as " + state + " after " + std::to_string(crashes) +
                   " crashes; its runs: " + std::to_string(ends.failed) + " failed, " + std::to_string(ends.done) +
                   " done, " + std::to_string(ends.lost) + " lost with their minion");
  const bool broken = state == "failed" && ends.failed < day.route().max_attempts;
  day.record().Say(broken ? "LOST is broken" : "LOST holds");
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return argc == 2 ? Run(argv[1]) : 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
