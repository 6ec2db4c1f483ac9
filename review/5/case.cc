// A job whose tasks last; one minion is cut off and runs on, and one of its tasks ends meanwhile.
#include <algorithm>
#include <atomic>
#include <iostream>
#include <set>

#include "../standin/world.h"

namespace {

using review::Verdict;
using Json = nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr int kTasks = 6;
constexpr int kCutMs = 5500;        // Of the site file's node_cut of workers.
constexpr int kEndsAfterMs = 1000;  // From the cut to the end of the task by itself.
constexpr int kObserveMs = 12'000;

// Tasks that run at work on some minion.
size_t CountRunning(review::World& world) {
  size_t running = 0;
  for (const auto& minion : world.minions()) {
    running += minion->running();
  }
  return running;
}

Verdict Run(const review::WorldSettings& settings) {
  review::World world(settings, [](const std::string&, int) { return review::RunPlan{}; });
  if (!world.Start()) {
    return Verdict::kNotRun;
  }
  const Json job{
      {"TaskSpec", "serve"},
      {"Steps", {{{"Count", kTasks}, {"Cpu", 9000}, {"MemMb", 256}, {"EstimateMs", 1000}, {"LongRunning", true}}}}};
  if (!world.Submit(kJob, job) || !world.WaitFor(10'000, [&] { return CountRunning(world) == kTasks; })) {
    return Verdict::kNotRun;
  }
  world.Sleep(3000);
  const auto found = std::find_if(world.minions().begin(), world.minions().end(),
                                  [](const auto& minion) { return minion->running() > 0; });
  review::Minion& minion = **found;
  const auto set_cut = [&](bool cut) {
    world.record().Line((cut ? "cut off " : "healed ") + minion.id());
    for (size_t host = 0; host < world.hosts(); ++host) {
      minion.SetCut(host, cut);
    }
    minion.SetCutFromStore(cut);
  };
  if (settings.trouble) {
    set_cut(true);
  }
  world.Sleep(kEndsAfterMs);
  minion.EndRuns("done");
  world.Sleep(kCutMs - kEndsAfterMs);
  if (settings.trouble) {
    set_cut(false);
  }
  world.Sleep(kObserveMs);
  world.State(kJob);
  world.record().Line("tasks at work at the end: " + std::to_string(CountRunning(world)) + " of " +
                      std::to_string(kTasks));
  return world.record().CountTwice(true) > 0 ? Verdict::kBroken : Verdict::kHeld;
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
