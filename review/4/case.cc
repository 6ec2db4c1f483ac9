// The leading host and a few minions are cut off together from all others and from the platform.
#include <iostream>

#include "../standin/world.h"

namespace {

using review::Verdict;
using Json = nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr size_t kTasks = 6;
constexpr int kTaskMs = 20'000;
constexpr int kCutMs = 5000;        // The length that the bench gives to a cut without one.
constexpr int kEntryLostMs = 4500;  // Three heartbeat intervals.

size_t CountRunning(review::World& world) {
  size_t running = 0;
  for (const auto& minion : world.minions()) {
    running += minion->running();
  }
  return running;
}

Verdict Run(const review::WorldSettings& settings) {
  review::World world(settings, [](const std::string&, int) { return review::RunPlan{kTaskMs, "done"}; });
  if (!world.Start()) {
    return Verdict::kNotRun;
  }
  const Json job{{"TaskSpec", "report"},
                 {"Steps", {{{"Count", kTasks}, {"Cpu", 5000}, {"MemMb", 256}, {"EstimateMs", kTaskMs}}}}};
  if (!world.Submit(kJob, job) || !world.WaitFor(10'000, [&] { return CountRunning(world) == kTasks; }) ||
      (settings.trouble && world.leader() != 0)) {
    world.record().Line("not run: leading is " + world.host(world.leader()).name());
    return Verdict::kNotRun;
  }
  world.Sleep(2000);
  if (settings.trouble) {
    world.CutOffFirstZone(true);
  }
  world.Sleep(kEntryLostMs);
  for (size_t i = 0; settings.trouble && i < world.minions().size(); i += settings.minion_zones) {
    world.store().Remove("servers/" + world.minions()[i]->id());
  }
  world.Sleep(kCutMs - kEntryLostMs);
  if (settings.trouble) {
    world.record().Line("now leading: " + world.host(world.leader()).name());
    world.CutOffFirstZone(false);
  }
  world.WaitFor(kTaskMs + 15'000, [&] {
    world.Sleep(500);
    return world.State(kJob) == "completed";
  });
  return world.record().CountTwice(false) > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    review::WorldSettings settings = review::ReadSettings(argc, argv);
    settings.hosts = 4;
    settings.zones = 4;
    settings.minions = 12;
    settings.minion_zones = 6;
    settings.divisible = true;
    return static_cast<int>(Run(settings));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return static_cast<int>(Verdict::kNotRun);
  }
}
