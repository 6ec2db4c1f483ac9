// How the cell serves its callers at the worst loads, in virtual time. The users' bound: no class is served less than
// half as well as all work together.
#include <catch2/catch.hpp>

#include "bench/cell_load.h"
#include "cell/advice_policy.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr double kHalfAsWell = 0.5;

struct Served {
  int asked = 0;
  int in_time = 0;

  double share() const { return asked == 0 ? 1 : static_cast<double>(in_time) / asked; }
};

// Adds up several seeds: a class of few large jobs says little in one.
std::map<std::string, Served> Play(LoadOptions options, uint64_t seeds) {
  std::map<std::string, Served> served;
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    const LoadOutcome outcome = RunLoad(options);
    CHECK(outcome.violations.empty());
    for (const auto& [name, of] : outcome.classes) {
      served[name].asked += of.asked;
      served[name].in_time += of.in_time;
      served[""].asked += of.asked;
      served[""].in_time += of.in_time;
    }
  }
  return served;
}

void CheckNoneLeftBehind(const std::map<std::string, Served>& served) {
  for (const auto& [name, of] : served) {
    INFO(name << ": " << of.in_time << " of " << of.asked);
    CHECK(of.share() >= kHalfAsWell * served.at("").share());
  }
}

LoadOptions Small(double load) {
  LoadOptions options = SmallDeployment();
  options.length = 15s;
  for (LoadClass& of : options.classes) {
    of.jobs_a_second *= load;
  }
  return options;
}

TEST_CASE("at the usual load no class is left behind") {
  CheckNoneLeftBehind(Play(Small(1), 3));
}

// A third more work than usual: more than the workers hold. Jobs that cannot be in time any more must not make those
// late that still can.
TEST_CASE("with more work than the workers hold, gangs are not left behind") {
  CheckNoneLeftBehind(Play(Small(1.3), 4));
}

TEST_CASE("a burst of quick jobs leaves no class behind") {
  LoadOptions options = Small(1);
  options.bursts = {LoadBurst{"quick", 2.3, 4s, 4s}};
  CheckNoneLeftBehind(Play(options, 3));
}

TEST_CASE("a burst of gangs leaves no class behind") {
  LoadOptions options = Small(1);
  options.bursts = {LoadBurst{"gangs", 1.9, 4s, 4s}};
  CheckNoneLeftBehind(Play(options, 4));
}

// Seven times as many workers, wide gangs and wide batch, more than they hold: the advice service is what work waits
// for.
TEST_CASE("in a large full cell questions for advice leave no class behind") {
  LoadOptions options = LargeDeployment();
  options.length = 12s;
  for (LoadClass& of : options.classes) {
    of.jobs_a_second *= 1.2;
  }
  options.bursts = {LoadBurst{"gangs", 1.9, 4s, 4s}};
  CheckNoneLeftBehind(Play(options, 2));
}

TEST_CASE("while others stand in line, a question waits for more workers to ask about, but not for long") {
  CHECK(ShouldAskForTickets(1, 20, false, 0us));
  CHECK_FALSE(ShouldAskForTickets(1, 20, true, 0us));
  CHECK(ShouldAskForTickets(6, 20, true, 0us));
  CHECK(ShouldAskForTickets(1, 1, true, 0us));  // All that the step needs.
  CHECK(ShouldAskForTickets(1, 20, true, 1s));
  CHECK_FALSE(ShouldAskForTickets(0, 20, false, 5s));
}

// Many wide steps wait in a full cell of several hundred workers: the worst load of a large fleet. Only the workers
// that the advice service was asked about are of use to a step, however many there are.
TEST_CASE("a pass looks at no more workers for a step than the advice service was asked about") {
  constexpr int kWorkers = 300;
  constexpr int kWaiting = 40;
  CellWorld world(61, 3, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.SubmitWithRetries(JobOf(1, {StepOf(kWorkers, 14'000)}), TaskBehaviour{20s, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == kWorkers; }, 5s));
  for (int i = 2; i < 2 + kWaiting; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(20, 4000)}, "advised"), TaskBehaviour{300ms, 0});
  }
  world.RunFor(8s);
  const size_t owner = *world.OwnerIndex();
  const double passes = world.CounterOf(owner, "placement_passes");
  const double viewed = world.CounterOf(owner, "placement_workers_viewed");
  world.RunFor(2s);
  const double passes_since = world.CounterOf(owner, "placement_passes") - passes;
  const double viewed_since = world.CounterOf(owner, "placement_workers_viewed") - viewed;
  REQUIRE(passes_since > 0);
  REQUIRE(viewed_since > 0);
  CHECK(viewed_since <= passes_since * kWaiting * static_cast<double>(kMaxWorkersPerQuestion));
}

}  // namespace
}  // namespace hibiscus::cell
