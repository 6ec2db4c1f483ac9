// Changes of the owner while a start of the one before is still on its way to a worker.
#include <vector>

#include <catch2/catch.hpp>

#include "tests/cell_late_start_play.h"

namespace hibiscus::cell {
namespace {

constexpr int kCopies = 4;  // Of a start, that its owner sends at most.

struct LateStarts {
  ChangeOfOwner change = nullptr;
  std::vector<Duration> transit_times;
  int copies = 1;
  std::vector<Duration> change_after = {1ms, 50ms, 150ms, 240ms};
  Duration takes = 6s;
};

void CheckLateStarts(const LateStarts& starts) {
  for (const Duration transit_time : starts.transit_times) {
    for (const Duration change_after : starts.change_after) {
      const LateStartOutcome outcome =
          PlayLateStart(starts.change, transit_time, change_after, starts.copies, starts.takes);
      INFO("start " << Millis(transit_time) << " ms in transit, owner goes after " << Millis(change_after)
                    << " ms: " << (outcome.violations.empty() ? "" : outcome.violations.front()));
      CHECK(outcome.owner_changed);
      CHECK(outcome.violations.empty());
      CHECK(outcome.state == JobState::kCompleted);
    }
  }
}

TEST_CASE("a task does not run twice when its owner is stopped as planned and its start reaches an unknown life") {
  CheckLateStarts({&CellWorld::Leave, {300ms, 500ms, 700ms, 900ms, 1100ms, 1400ms, 3s, 5s, 11s}});
}

TEST_CASE("a task does not run twice when its owner is stopped as planned and copies reach an unknown life") {
  CheckLateStarts({&CellWorld::Leave, {700ms, 1100ms, 1400ms, 3s, 5s, 11s}, kCopies});
}

// The owner's lease has to run out first. Starts that are longer on their way: cell_red_courses_test.
TEST_CASE("a task does not run twice when its owner crashes and its start reaches an unknown life") {
  CheckLateStarts({&CellWorld::Kill, {300ms, 500ms, 700ms, 900ms, 1100ms}});
}

// The owner has stored that the start has no answer.
TEST_CASE("a task does not run twice when its owner crashes while a late start is known to have no answer") {
  for (const int copies : {1, kCopies}) {
    CheckLateStarts({&CellWorld::Kill, {3s, 5s, 11s}, copies, {300ms, 600ms, 1200ms, 2500ms}});
  }
}

TEST_CASE("a task that is done does not start again after a change of the owner when a late copy is carried out") {
  for (const ChangeOfOwner change : {ChangeOfOwner(&CellWorld::Kill), ChangeOfOwner(&CellWorld::Leave)}) {
    CheckLateStarts({change, {3s, 5s, 11s}, 1, {600ms, 1200ms, 2500ms}, 300ms});
  }
}

// Measured in a cell under load: from the order to stop until another host owns the cell.
Duration TimeOfPlannedStop(uint64_t seed, bool late_starts) {
  CellWorld world(seed, 4, 8);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (int i = 1; i <= 200; ++i) {
    world.In(i * 15ms, [&world, i] { world.SubmitWithRetries(JobOf(i, {StepOf(2, 500)}), TaskBehaviour{200ms, 0}); });
  }
  world.RunFor(1500ms);
  if (late_starts) {
    DelayNextStarts(world, 1400ms);
    world.RunFor(20ms);
  }
  const size_t owner = *world.OwnerIndex();
  const TimePoint begun_at = world.Now();
  world.Leave(owner);
  REQUIRE(world.RunUntil([&] { return HasOwner(world) && *world.OwnerIndex() != owner; }, 5s));
  const Duration time = world.Now() - begun_at;
  world.RunFor(10s);
  CHECK(world.violations().empty());
  return time;
}

TEST_CASE("a planned stop waits for late starts only") {
  for (uint64_t seed = 511; seed <= 520; ++seed) {
    const Duration usual = TimeOfPlannedStop(seed, false);
    const Duration late = TimeOfPlannedStop(seed, true);
    CHECK(usual < 300ms);
    CHECK(late < 2s);
  }
}

}  // namespace
}  // namespace hibiscus::cell
