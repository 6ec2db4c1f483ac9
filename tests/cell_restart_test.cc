// Workers that start again under their id: what an order to an earlier life may do in the next one, which has seen no
// token, knows of no stop and has a clock of its own.
#include <catch2/catch.hpp>

#include "tests/cell_late_orders.h"

namespace hibiscus::cell {
namespace {

// Two tasks that run on different workers.
StepSpec OneOnEachOfTwo() {
  StepSpec step = StepOf(2, 1000);
  step.max_per_worker = 1;
  return step;
}

FakeWorker* WorkerThatRuns(CellWorld& world, const RunRef& run) {
  for (size_t i = 0; i < world.worker_count(); ++i) {
    if (world.worker(i).IsRunning(run)) {
      return &world.worker(i);
    }
  }
  return nullptr;
}

// The start is in transit when the owner dies and the workers start again; the stored roster names their earlier lives.
TEST_CASE("a task that an earlier owner's start runs in a worker's new life is not started elsewhere") {
  CellWorld world(81, 4, 6);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).starts_in_transit = 1;
    world.worker(i).transit_time = 700ms;
  }
  const JobSpec job = JobOf(1, {StepOf(1, 2000)});
  const size_t owner = *world.OwnerIndex();
  world.Submit(owner, job, TaskBehaviour{4s, 0}, [](const CallerReply&) {});
  world.RunFor(100ms);
  REQUIRE(world.Accepted(job.id));
  world.Kill(owner);
  world.RunFor(200ms);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    RestartWorker(world.worker(i));
    world.worker(i).starts_in_transit = 0;
  }
  world.RunFor(500ms);
  FakeWorker* worker = WorkerThatRuns(world, RunRef{TaskRef{job.id, 0, 0, 0}, 1});
  REQUIRE(worker != nullptr);
  worker->faults.extra_delay = 300ms;
  world.RunFor(8s);
  CHECK(world.violations().empty());
  CHECK(world.starts() == 1);
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

constexpr Duration kMaxRecovery = 14s;  // Limit of the platform: accepted work runs by then.

// The start of one member is in transit, given up and stopped; then the worker starts again and has forgotten the stop.
TEST_CASE("a gang is not started again while a start of its last run may arrive in a worker's new life") {
  for (Duration restart = 260ms; restart < 600ms; restart += 10ms) {
    CellWorld world(82, 2, 2);
    AddQueues(world);
    REQUIRE(Settle(world));
    // Its ends make both workers report, so that the owner learns that the given-up start is not running.
    const StepSpec spread = OneOnEachOfTwo();
    const JobSpec other = JobOf(2, {spread});
    world.SubmitWithRetries(other, TaskBehaviour{330ms, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 1s));
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).starts_in_transit = 1;
      world.worker(i).transit_time = 600ms;
      world.worker(i).min_stop_time = 300ms;
    }
    StepSpec step = StepOf(2, 1000);
    step.gang = true;
    const JobSpec job = JobOf(1, {step});
    world.SubmitWithRetries(job, TaskBehaviour{2s, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == 3; }, 1s));  // The other member's start is in transit.
    FakeWorker* worker = WorkerThatRuns(world, RunRef{TaskRef{job.id, 0, 0, 1}, 1});
    REQUIRE(worker != nullptr);
    world.RunFor(restart);
    RestartWorker(*worker);
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).starts_in_transit = 0;
    }
    world.RunFor(kMaxRecovery);
    const TaskRef member{job.id, 0, 0, 0};
    CHECK(world.RunningCount(member) + world.CompletionCount(member) > 0);
    world.RunFor(3s);
    INFO("restart after " << Millis(restart) << " ms"
                          << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// The answer of the store that lets the job start reaches the owner after the pause. The workers that start again have
// not heard of the new owner yet.
TEST_CASE("an owner that wakes from a pause starts nothing on workers that have started again meanwhile") {
  for (uint64_t seed = 83; seed < 99; ++seed) {
    CellWorld world(seed, 4, 6);
    AddQueues(world);
    REQUIRE(Settle(world));
    const size_t owner = *world.OwnerIndex();
    const JobSpec job = JobOf(1, {StepOf(4, 9000)});
    world.Submit(owner, job, TaskBehaviour{9s, 0}, [](const CallerReply&) {});
    world.RunFor(23ms);
    constexpr Duration kPause = 4s;
    world.CutPeers(owner, true);
    world.StoreFaultsOf(owner).silent = true;
    world.Freeze(owner, kPause);
    const Duration before_wake = 5ms + 10ms * static_cast<int64_t>(seed % 16);
    world.RunFor(kPause - before_wake);
    REQUIRE(world.starts() == 4);  // By the new owner.
    for (size_t i = 0; i < world.worker_count(); ++i) {
      if (!world.worker(i).IsIdle()) {
        RestartWorker(world.worker(i));
      }
    }
    world.RunFor(16s);
    INFO("seed " << seed << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// Starts of the earlier owner that were never recorded may have numbers above that of the run that was found.
TEST_CASE("after a run was adopted the next start has a run number of the new owner's range") {
  CellWorld world(84, 4, 6);
  AddQueues(world);
  REQUIRE(Settle(world));
  StepSpec gang = StepOf(2, 1000);
  gang.gang = true;
  for (const StepSpec& step : {StepOf(2, 1000), gang}) {
    const JobSpec job = JobOf(step.gang ? 2 : 1, {step});
    const int starts_before = world.starts();
    world.SubmitWithRetries(job, TaskBehaviour{5s, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == starts_before + 2; }, 1s));
    world.RunFor(500ms);
    const size_t owner = *world.OwnerIndex();
    world.Kill(owner);
    REQUIRE(world.RunUntil([&] { return HasOwner(world); }, 3s));
    world.RunFor(300ms);
    FakeWorker* worker = WorkerThatRuns(world, RunRef{TaskRef{job.id, 0, 0, 0}, 1});
    REQUIRE(worker != nullptr);
    RestartWorker(*worker);
    const RunRef next{TaskRef{job.id, 0, 0, 0}, 1001};
    CHECK(world.RunUntil([&] { return WorkerThatRuns(world, next) != nullptr; }, 3s));
    world.Boot(owner);
    world.RunFor(7s);
  }
  CHECK(world.violations().empty());
}

// The owner has not noticed the restart when it sends the start, whose answer does not say which life gave it.
TEST_CASE("a run that a worker's new life has confirmed is not taken for one that was lost with the earlier life") {
  for (Duration restart = 0ms; restart < 650ms; restart += 50ms) {
    CellWorld world(85, 3, 2);
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(restart);  // Anywhere between two holds.
    FakeWorker& worker = world.worker(0);
    RestartUnnoticed(worker);
    const JobSpec job = JobOf(1, {StepOf(4, 2000)});
    world.SubmitWithRetries(job, TaskBehaviour{3s, 0});
    world.RunFor(100ms);
    REQUIRE(!worker.IsIdle());
    world.RunFor(3s);
    world.WriteWorkerEntry(worker);
    world.RunFor(6s);
    INFO("restart at " << Millis(restart) << " ms"
                       << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// The clock from which a worker takes its time of birth went back before it started again.
TEST_CASE("the tasks of a worker whose next life has an earlier time of birth are started elsewhere") {
  CellWorld world(86, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(1, 9000)});
  world.SubmitWithRetries(job, TaskBehaviour{2s, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 1s));
  world.RunFor(500ms);
  FakeWorker* worker = WorkerThatRuns(world, RunRef{TaskRef{job.id, 0, 0, 0}, 1});
  REQUIRE(worker != nullptr);
  RestartWorker(*worker);
  worker->entry.born_ms -= 5000;
  world.WriteWorkerEntry(*worker);
  world.RunFor(12s);
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

// A hold that named ends of the earlier life gets no answer and is repeated.
TEST_CASE("a task that ended in a worker's new life before its owner knew of that life is not started again") {
  for (Duration restart = 10ms; restart < 600ms; restart += 50ms) {
    CellWorld world(87, 3, 2);
    AddQueues(world);
    REQUIRE(Settle(world));
    const StepSpec spread = OneOnEachOfTwo();
    const JobSpec earlier = JobOf(1, {spread});
    world.SubmitWithRetries(earlier, TaskBehaviour{100ms, 0});
    REQUIRE(world.RunUntil([&] { return world.StateOf(earlier.queue, earlier.id) == JobState::kCompleted; }, 2s));
    world.RunFor(restart);
    FakeWorker& worker = world.worker(0);
    RestartUnnoticed(worker);
    const JobSpec job = JobOf(2, {spread});
    world.SubmitWithRetries(job, TaskBehaviour{200ms, 0});
    world.RunFor(8s);
    INFO("restart after " << Millis(restart) << " ms"
                          << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.starts() == 4);
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// Times from the sending of a hold that names an end of the worker's first life.
struct HoldInTransit {
  Duration arrives_after{};
  Duration crash_after{};  // The worker starts again at once.
  Duration submit_after{};
  Duration run_time{};  // Of the job that is submitted then.
};

// The start reaches the worker's next life, and its run ends there, before the hold arrives.
void CheckHoldInTransit(const HoldInTransit& times) {
  CellWorld world(88, 3, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  const StepSpec spread = OneOnEachOfTwo();
  const JobSpec earlier = JobOf(1, {spread});
  world.SubmitWithRetries(earlier, TaskBehaviour{100ms, 0});
  FakeWorker& worker = world.worker(0);
  worker.acknowledgements_in_transit = 1;
  worker.transit_time = times.arrives_after;
  REQUIRE(world.RunUntil([&] { return worker.acknowledgements_in_transit == 0; }, 2s));
  const JobSpec job = JobOf(2, {spread});
  world.In(times.submit_after, [&] { world.SubmitWithRetries(job, TaskBehaviour{times.run_time, 0}); });
  world.In(times.crash_after, [&] { RestartUnnoticed(worker); });
  world.RunFor(8s);
  INFO("crash after " << Millis(times.crash_after) << " ms, submission after " << Millis(times.submit_after) << " ms"
                      << (world.violations().empty() ? "" : ": " + world.violations().front()));
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

TEST_CASE("a hold in transit to a worker's earlier life does not acknowledge the end of a task started meanwhile") {
  for (Duration crash_after = 0ms; crash_after <= 300ms; crash_after += 50ms) {
    for (Duration submit_after = 0ms; submit_after <= 300ms; submit_after += 50ms) {
      CheckHoldInTransit({800ms, crash_after, submit_after, 200ms});
    }
  }
}

// The worker has answered another hold meanwhile, and gets starts again.
TEST_CASE("a hold that was given up does not acknowledge the end of a task started in a worker's next life") {
  for (Duration crash_after = 1300ms; crash_after <= 1360ms; crash_after += 10ms) {
    for (Duration submit_after = 1280ms; submit_after <= 1340ms; submit_after += 10ms) {
      CheckHoldInTransit({1500ms, crash_after, submit_after, 50ms});
    }
  }
}

// The start goes out when an end frees the worker, and the hold that names this end once the end is stored.
TEST_CASE("a hold does not acknowledge the end of a task whose start is in transit to a worker's next life") {
  for (Duration crash_after = 0ms; crash_after <= 16ms; crash_after += 2ms) {
    CellWorld world(89, 3, 2);
    AddQueues(world);
    REQUIRE(Settle(world));
    FakeWorker& worker = world.worker(0);
    StepSpec whole = StepOf(2, worker.entry.capacity.cpu_millis);
    const JobSpec earlier = JobOf(1, {whole});
    const JobSpec job = JobOf(2, {whole});
    world.SubmitWithRetries(earlier, TaskBehaviour{100ms, 0});
    world.SubmitWithRetries(job, TaskBehaviour{50ms, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 1s));
    worker.starts_in_transit = 1;
    worker.transit_time = 20ms;
    REQUIRE(world.RunUntil([&] { return worker.starts_in_transit == 0; }, 2s));
    worker.acknowledgements_in_transit = 1;
    worker.transit_time = 100ms;
    world.In(crash_after, [&] { RestartUnnoticed(worker); });
    world.RunFor(8s);
    INFO("crash after " << Millis(crash_after) << " ms"
                        << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// The answer to a hold leaves the worker before its crash and reaches the owner after the next life's answer to a
// start.
TEST_CASE("a list of a worker's earlier life does not show that a run confirmed by its next life is over") {
  for (Duration submit_after = 0ms; submit_after <= 60ms; submit_after += 10ms) {
    CellWorld world(90, 3, 2);
    AddQueues(world);
    REQUIRE(Settle(world));
    const StepSpec spread = OneOnEachOfTwo();
    world.SubmitWithRetries(JobOf(1, {spread}), TaskBehaviour{100ms, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 1s));
    FakeWorker& worker = world.worker(0);
    REQUIRE(world.RunUntil([&] { return worker.IsIdle(); }, 1s));
    worker.faults.extra_delay = 150ms;
    world.RunFor(3ms);
    worker.faults.extra_delay = 0ms;
    RestartUnnoticed(worker);
    world.RunFor(submit_after);
    const JobSpec job = JobOf(2, {spread});
    world.SubmitWithRetries(job, TaskBehaviour{1s, 0});
    world.RunFor(6s);
    INFO("submission after " << Millis(submit_after) << " ms"
                             << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// The worker starts again unnoticed, takes a start and is cut off. Its new clock is far from the deadlines that it is
// given.
TEST_CASE("a task is not started elsewhere while the next life of a worker that was cut off may hold its run") {
  for (Duration cut_after = 20ms; cut_after <= 100ms; cut_after += 20ms) {
    CellWorld world(203, 3, 4);
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(10s);
    FakeWorker& worker = world.worker(0);
    RestartUnnoticed(worker);
    StepSpec spread = StepOf(4, 1000);
    spread.max_per_worker = 1;
    const JobSpec job = JobOf(1, {spread});
    world.SubmitWithRetries(job, TaskBehaviour{20s, 0});
    REQUIRE(world.RunUntil([&] { return !worker.IsIdle(); }, 300ms));
    world.RunFor(cut_after);
    worker.faults.silent = true;
    world.RunFor(1s);
    for (size_t i = 1; i < world.worker_count(); ++i) {
      world.worker(i).EndAllRuns(EndKind::kDone);
    }
    world.RunFor(9s);
    worker.faults.silent = false;
    world.RunFor(25s);
    INFO("cut after " << Millis(cut_after) << " ms"
                      << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
  }
}

// The worker has seen a token that was raised after a hold that got no answer.
TEST_CASE("a worker that was dropped while its entry was missing does not depose its owner when it is listed again") {
  CellWorld world(91, 3, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  const StepSpec spread = OneOnEachOfTwo();
  FakeWorker& worker = world.worker(0);
  worker.acknowledgements_in_transit = 1;
  worker.transit_time = 5s;
  world.SubmitWithRetries(JobOf(1, {spread}), TaskBehaviour{100ms, 0});
  REQUIRE(world.RunUntil([&] { return worker.acknowledgements_in_transit == 0; }, 2s));
  const size_t owner = *world.OwnerIndex();
  world.RunFor(3s);
  REQUIRE(world.CounterOf(owner, "worker_tokens_raised") == 1);
  world.store().Erase("workers/" + worker.entry.id);
  world.RunFor(20s);
  world.WriteWorkerEntry(worker);
  world.RunFor(3s);
  double takeovers = 0;
  for (size_t i = 0; i < world.host_count(); ++i) {
    takeovers += world.CounterOf(i, "owner_takeovers");
  }
  CHECK(takeovers == 1);
  CHECK(world.OwnerIndex() == owner);
}

// The start is on its way while its worker starts again twice.
TEST_CASE("a task is not started elsewhere while its start may arrive in the life of its worker after the next") {
  for (Duration first_restart = 50ms; first_restart <= 1050ms; first_restart += 250ms) {
    CellWorld world(202, 3, 3);
    AddQueues(world);
    REQUIRE(Settle(world));
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).starts_in_transit = 1;
      world.worker(i).transit_time = 4s;
    }
    world.SubmitWithRetries(JobOf(1, {StepOf(1, 1000)}), TaskBehaviour{9s, 0});
    FakeWorker* worker = nullptr;
    REQUIRE(world.RunUntil(
        [&] {
          for (size_t i = 0; i < world.worker_count(); ++i) {
            worker = world.worker(i).starts_in_transit == 0 ? &world.worker(i) : worker;
          }
          return worker != nullptr;
        },
        2s));
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).starts_in_transit = 0;
    }
    world.RunFor(first_restart);
    RestartWorker(*worker);
    world.RunFor(2500ms - first_restart);
    RestartWorker(*worker);
    world.RunFor(14s);
    INFO("first restart after " << Millis(first_restart) << " ms"
                                << (world.violations().empty() ? "" : ": " + world.violations().front()));
    CHECK(world.violations().empty());
  }
}

}  // namespace
}  // namespace hibiscus::cell
