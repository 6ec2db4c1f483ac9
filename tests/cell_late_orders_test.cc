// Orders that are seconds late and reach a next life of their worker: the same id, but no token seen, no stop known and
// a clock on which their deadlines lie far ahead.
#include <catch2/catch.hpp>

#include "tests/cell_late_orders.h"

namespace hibiscus::cell {
namespace {

// The worker's next life is known, runs a task and is cut off.
void CheckLateLease(CellWorld& world, FakeWorker& worker, Duration cut_after) {
  RestartWorker(worker);
  world.RunFor(1s);
  const JobSpec job = JobOf(2, {OneOnEach(static_cast<int>(world.worker_count()))});
  world.SubmitWithRetries(job, TaskBehaviour{30s, 0});
  REQUIRE(world.RunUntil([&] { return !worker.IsIdle(); }, 5s));
  world.RunFor(cut_after);
  worker.faults.silent = true;
  world.RunFor(1s);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    if (&world.worker(i) != &worker) {
      world.worker(i).EndAllRuns(EndKind::kDone);
    }
  }
  world.RunFor(14s);
}

TEST_CASE("a late hold for a worker's earlier life does not keep runs of the next one beyond its counted lease") {
  for (Duration cut_after = 500ms; cut_after <= 3500ms; cut_after += 1s) {
    CellWorld world(303, 3, 4);
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(kFirstLife);
    FakeWorker& worker = world.worker(0);
    worker.holds_in_transit = 1;
    worker.transit_time = 7500ms;
    REQUIRE(world.RunUntil([&] { return worker.holds_in_transit == 0; }, 3s));
    CheckLateLease(world, worker, cut_after);
    INFO("cut after " << Millis(cut_after) << " ms" << ViolationsOf(world));
    CHECK(world.violations().empty());
  }
}

TEST_CASE("a late start for a worker's earlier life does not keep runs of the next one beyond its counted lease") {
  for (Duration cut_after = 500ms; cut_after <= 3500ms; cut_after += 1s) {
    CellWorld world(304, 3, 4);
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(kFirstLife);
    DelayNextStarts(world, 7500ms);
    world.SubmitWithRetries(JobOf(1, {StepOf(1, 1000)}), TaskBehaviour{100ms, 0});
    FakeWorker* worker = WorkerOfDelayedStart(world);
    REQUIRE(worker != nullptr);
    CheckLateLease(world, *worker, cut_after);
    INFO("cut after " << Millis(cut_after) << " ms" << ViolationsOf(world));
    CHECK(world.violations().empty());
  }
}

}  // namespace
}  // namespace hibiscus::cell
