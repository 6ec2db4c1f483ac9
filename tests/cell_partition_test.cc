// Owners that cannot renew their lease: cut off with some of the workers, or in an outage of the store.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr size_t kWorkers = 12;

std::set<size_t> FirstWorkers(size_t count) {
  std::set<size_t> workers;
  for (size_t i = 0; i < count; ++i) {
    workers.insert(i);
  }
  return workers;
}

// Review case 4: an owner that was cut off with a few workers went on starting and holding tasks there that its
// successor ran elsewhere.
TEST_CASE("an owner that is cut off with some workers and its successor never run a task at the same time") {
  for (const size_t kept : {1, 2, 5, 6, 7, 11}) {
    for (const Duration cut : {5s, 12s, 25s}) {
      CellWorld world(85, 4, kWorkers);
      AddQueues(world);
      REQUIRE(Settle(world));
      for (int i = 1; i <= 6; ++i) {
        world.SubmitWithRetries(JobOf(i, {StepOf(3, 5000)}), TaskBehaviour{20s, 0});
      }
      world.RunFor(2s);
      const size_t owner = *world.OwnerIndex();
      world.CutOffWithWorkers(owner, FirstWorkers(kept), true);
      world.RunFor(cut);
      world.CutOffWithWorkers(owner, FirstWorkers(kept), false);
      world.RunFor(60s);
      INFO(kept << " workers kept, cut for " << Millis(cut)
                << " ms, first violation: " << (world.violations().empty() ? "none" : world.violations().front()));
      CHECK(world.violations().empty());
      for (int i = 1; i <= 6; ++i) {
        CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
      }
    }
  }
}

// The successor has taken over, run tasks and died before the cut ended, so that no owner record is left.
TEST_CASE("an owner that was cut off does not return to a cell that another owner has had meanwhile") {
  CellWorld world(94, 4, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (int i = 1; i <= 6; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(3, 5000)}), TaskBehaviour{20s, 0});
  }
  world.RunFor(2s);
  const size_t owner = *world.OwnerIndex();
  world.CutOffWithWorkers(owner, FirstWorkers(5), true);
  world.RunFor(12s);
  for (size_t host = 0; host < world.host_count(); ++host) {
    if (host != owner) {
      world.Kill(host);
      world.In(3s, [&world, host] { world.Boot(host); });
    }
  }
  world.RunFor(1200ms);  // The successor's lease ends.
  world.CutOffWithWorkers(owner, FirstWorkers(5), false);
  world.RunFor(60s);
  INFO("first violation: " << (world.violations().empty() ? "none" : world.violations().front()));
  CHECK(world.violations().empty());
  for (int i = 1; i <= 6; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
}

// An owner that only cannot reach the store goes on: no run lapses and accepted tasks start.
TEST_CASE("accepted tasks go on and start through an outage of the store that outlasts leases of workers") {
  for (const bool silent : {false, true}) {
    CellWorld world(86, 4, kWorkers);
    AddQueues(world);
    REQUIRE(Settle(world));
    JobSpec job = JobOf(1, {StepOf(6, 5000), StepOf(6, 5000)});
    job.steps[1].after = {0};
    world.SubmitWithRetries(job, TaskBehaviour{4s, 0});
    world.RunFor(1s);
    (silent ? world.store().faults.silent : world.store().faults.down) = true;
    world.RunFor(9s);
    CHECK(world.starts() == 12);
    world.store().faults = CallFaults{};
    world.RunFor(3s);
    CHECK(world.StateOf("plain", job.id) == JobState::kCompleted);
    CHECK(world.starts() == 12);
    CHECK(world.violations().empty());
  }
}

// Some hosts take an offer late, when the store answers its owner again.
TEST_CASE("an offer of the cell that is taken after the owner has reached the store again changes nothing") {
  CellWorld world(87, 4, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  world.SubmitWithRetries(JobOf(1, {StepOf(6, 5000)}), TaskBehaviour{12s, 0});
  world.RunFor(1s);
  for (size_t host = 0; host < world.host_count(); ++host) {
    if (host != owner) {
      world.Freeze(host, 4s);  // The offers wait for them.
    }
  }
  world.store().leases_paused = true;
  world.StoreFaultsOf(owner).silent = true;
  world.SubmitWithRetries(JobOf(2, {StepOf(1, 5000)}), TaskBehaviour{1s, 0});
  world.RunFor(2s);
  world.StoreFaultsOf(owner) = CallFaults{};
  world.store().leases_paused = false;
  world.RunFor(6s);
  CHECK(world.OwnerIndex() == owner);
  world.RunFor(20s);
  CHECK(world.StateOf("plain", JobId(1)) == JobState::kCompleted);
  CHECK(world.violations().empty());
}

// More than half of the workers are gone for good, so that no majority can be fenced.
TEST_CASE("tasks of an earlier owner are started again although most workers died with it") {
  CellWorld world(88, 4, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (int i = 1; i <= 4; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(4, 2000)}), TaskBehaviour{20s, 0});
  }
  world.RunFor(2s);
  for (size_t i = 0; i < 8; ++i) {
    world.worker(i).Crash();
    world.store().Erase("workers/" + world.worker(i).entry.id);
  }
  world.Kill(*world.OwnerIndex());
  world.RunFor(60s);
  for (int i = 1; i <= 4; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace hibiscus::cell
