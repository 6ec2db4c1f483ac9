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

// A start that reaches a next life of its worker, which has seen no token and no stop, after its job was cancelled.
struct LateStartOfCancelledJob {
  Duration min_stop_time = 50ms;
  Duration disruption_after{};  // Of the late start. 0: none.
};

std::vector<std::string> PlayLateStart(const LateStartOfCancelledJob& play) {
  CellWorld world(307, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  constexpr Duration kTransitTime = 6s;
  constexpr Duration kRestartBefore = 30ms;
  constexpr Duration kWatched = 9s;  // Longer than the allowed time after the restart.
  DelayNextStarts(world, kTransitTime);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{60s, 0});
  FakeWorker* worker = WorkerOfDelayedStart(world);
  REQUIRE(worker != nullptr);
  worker->min_stop_time = play.min_stop_time;
  bool cancelled = false;
  world.Ask(*world.OwnerIndex(), CallerKind::kCancel, job.queue, job.id,
            [&](const CallerReply& reply) { cancelled = reply.outcome == CallerOutcome::kDone; });
  world.RunFor(kTransitTime - kRestartBefore);
  REQUIRE(cancelled);
  RestartUnnoticed(*worker);
  REQUIRE(world.RunUntil([&] { return !worker->IsIdle(); }, kRestartBefore));
  if (play.disruption_after > Duration(0)) {
    world.RunFor(play.disruption_after);
    RestartWorker(world.worker(worker == &world.worker(0) ? 1 : 0));
  }
  world.RunFor(kWatched - play.disruption_after);
  return world.violations();
}

TEST_CASE("a task of a cancelled job that is started late is gone again in time") {
  CHECK(PlayLateStart({}).empty());
}

TEST_CASE("a task of a cancelled job that is started late and runs on is reported") {
  const std::vector<std::string> violations = PlayLateStart({.min_stop_time = 30s});
  REQUIRE(violations.size() == 1);
  CHECK(violations.front().find("after its late start though its job is cancelled") != std::string::npos);
}

TEST_CASE("a task of a cancelled job that is started late may run on near a disruption") {
  CHECK(PlayLateStart({.min_stop_time = 30s, .disruption_after = 3s}).empty());
}

TEST_CASE("a task of a cancelled job that is started in time is reported at once") {
  CellWorld world(308, 3, 1);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(1, 20'000)});  // Fits no worker.
  world.SubmitWithRetries(job, TaskBehaviour{1s, 0});
  world.RunFor(500ms);
  world.Ask(*world.OwnerIndex(), CallerKind::kCancel, job.queue, job.id, [](const CallerReply&) {});
  world.RunFor(4s);
  REQUIRE(world.violations().empty());
  StartOrder order;
  order.run = RunRef{TaskRef{job.id, 0, 0, 0}, 1};
  order.payload = job.payload;
  order.deadline = 30s;
  order.token = 1'000'000;
  world.worker(0).Start(order);
  REQUIRE(!world.violations().empty());
  CHECK(world.violations().front().find("after its cancelling was acknowledged") != std::string::npos);
}

}  // namespace
}  // namespace hibiscus::cell
