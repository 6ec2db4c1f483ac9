// Workers that accept no more connections, and orders that find none free at their own host.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kRefusing = 6s;
// Without backoff, holds come each 300 ms once the one in flight has ended, which waits up to a second. With it, the
// fourth and later ones come at least 600 ms after the one before.
constexpr double kMinHoldsWithoutBackoff = 16;
constexpr double kMaxHoldsWithBackoff = 12;

// Number of holds to the only worker of a cell, which answers none of them, within kRefusing.
double HoldsTo(bool FakeWorker::*fault) {
  CellWorld world(91, 3, 1);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  world.worker(0).*fault = true;
  const double before = world.CounterOf(owner, "worker_holds");
  world.RunFor(kRefusing);
  REQUIRE(world.OwnerIndex() == owner);
  return world.CounterOf(owner, "worker_holds") - before;
}

bool CompletedWithin(CellWorld& world, const JobSpec& job, Duration limit) {
  return world.RunUntil([&] { return world.StateOf(job.queue, job.id) == JobState::kCompleted; }, limit);
}

TEST_CASE("holds to a worker that refuses connections are tried again with backoff") {
  CHECK(HoldsTo(&FakeWorker::refuses) >= kMinHoldsWithoutBackoff);
  CHECK(HoldsTo(&FakeWorker::refuses_connections) <= kMaxHoldsWithBackoff);
}

TEST_CASE("new tasks pass over a worker that refuses connections, and those on it go on") {
  CellWorld world(92, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec lasting = JobOf(1, {StepOf(4, 14'000)});  // One task on each worker.
  world.SubmitWithRetries(lasting, TaskBehaviour{8s, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == 4; }, 2s));
  world.worker(0).refuses_connections = true;
  world.RunFor(1200ms);  // The hold in flight is answered.
  const JobSpec meanwhile = JobOf(2, {StepOf(4, 1000)});
  world.SubmitWithRetries(meanwhile, TaskBehaviour{200ms, 0});
  CHECK(CompletedWithin(world, meanwhile, 1s));
  CHECK(world.starts() == 8);
  world.worker(0).refuses_connections = false;
  const JobSpec on_all = JobOf(3, {StepOf(4, 2000)});  // Each worker has room for one.
  world.SubmitWithRetries(on_all, TaskBehaviour{200ms, 0});
  CHECK(CompletedWithin(world, on_all, 2200ms));
  CHECK(CompletedWithin(world, lasting, 10s));
  CHECK(world.starts() == 12);
  CHECK(world.violations().empty());
}

// Two starts find no connection free until they expire, with other starts to the worker beside them or without.
TEST_CASE("a worker whose starts find no connection free stays in use, and they are placed again") {
  for (const bool busy : {false, true}) {
    CellWorld world(93, 3, 1);
    AddQueues(world);
    REQUIRE(Settle(world));
    const size_t owner = *world.OwnerIndex();
    const double silences = world.CounterOf(owner, "worker_silences");
    const int others = busy ? 30 : 0;
    for (int i = 1; i <= others; ++i) {
      world.In(i * 100ms, [&world, i] {
        world.SubmitWithRetries(JobOf(i, {StepOf(1, 100)}), TaskBehaviour{200ms, 0});
      });
    }
    world.RunFor(350ms);
    world.worker(0).orders_not_sent = 2;
    const JobSpec job = JobOf(100, {StepOf(2, 1000)});
    world.SubmitWithRetries(job, TaskBehaviour{200ms, 0});
    INFO("other starts beside: " << busy);
    CHECK(CompletedWithin(world, job, 4s));
    world.RunFor(4s);
    CHECK(world.CounterOf(owner, "worker_starts{status=\"not_sent\"}") == 2);
    CHECK(world.CounterOf(owner, "worker_silences") == silences);
    // While others are answered, a start is waited for instead.
    CHECK((world.CounterOf(owner, "worker_looks_after_starts") == 0) == busy);
    CHECK(world.starts() == 2 + others);
    CHECK(world.violations().empty());
  }
}

}  // namespace
}  // namespace hibiscus::cell
