// Starts that reach a life of their worker that the owner does not know yet.
#include <array>
#include <deque>

#include <catch2/catch.hpp>

#include "tests/cell_late_orders.h"

namespace hibiscus::cell {
namespace {

// Two tasks that leave no room for another one: a small one that runs on, and a large one that ends soon. The worker is
// the tightest fit from then on.
void FillWorkerFor(CellWorld& world, Duration time) {
  const int64_t capacity = world.worker(0).entry.capacity.cpu_millis;
  world.SubmitWithRetries(JobOf(91, {StepOf(1, 2000)}), TaskBehaviour{40s, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 2s));
  world.SubmitWithRetries(JobOf(92, {StepOf(1, capacity - 2500)}), TaskBehaviour{time, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 2s));
}

struct LateStart {
  uint64_t seed = 0;
  Duration transit_time{};
  Duration restart_before{};  // The worker starts again unnoticed, this long before the last late copy arrives.
  int late_copies = 1;
  bool drains = false;  // Its worker gets no copy.
  TaskBehaviour behaviour{6s, 0};
  Duration known_restart_before{};  // Before that, it starts again and the owner hears of it. 0: it does not.
};

// Of an order that is carried out late, at most.
constexpr std::array kTransitTimes = {Duration(1400ms), Duration(3s), Duration(5s), Duration(11s)};

void CheckLateStart(const LateStart& start) {
  CellWorld world(start.seed, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  FillWorkerFor(world, 200ms);
  DelayNextStarts(world, start.transit_time, start.late_copies);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, start.behaviour);
  FakeWorker* worker = WorkerOfDelayedStart(world);
  REQUIRE(worker != nullptr);
  if (start.drains) {
    worker->entry.draining = true;
    world.WriteWorkerEntry(*worker);
  }
  if (start.known_restart_before > Duration(0)) {
    world.In(start.transit_time - start.known_restart_before, [worker] { RestartWorker(*worker); });
  }
  world.RunFor(start.transit_time - start.restart_before);
  RestartUnnoticed(*worker);
  world.RunFor(20s + start.transit_time);
  INFO("start " << Millis(start.transit_time) << " ms in transit, restart " << Millis(start.restart_before)
                << " ms before, takes " << Millis(start.behaviour.takes) << " ms" << ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

TEST_CASE("a task does not run elsewhere when its late start reaches a life of its worker that is not known yet") {
  for (const Duration transit_time : kTransitTimes) {
    for (const Duration restart_before : {10ms, 30ms, 100ms, 200ms}) {
      CheckLateStart({.seed = 301, .transit_time = transit_time, .restart_before = restart_before});
    }
  }
}

struct WaitingStart {
  std::deque<Duration> waits;  // Of the copies, for a connection.
  Duration restart_after{};    // Of the first copy being sent; the worker is back at once.
  Duration entry_after{};      // Of the restart.
  Duration takes{};
  bool owner_leaves = false;  // Just after the restart.
  bool names_life = false;    // The answers to starts name the life.
};

// The lists of a worker's next life come after its task could be placed elsewhere.
constexpr Duration kSlowAnswer = 100ms;

void CheckWaitingStart(const WaitingStart& start) {
  CellWorld world(311, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).start_waits = start.waits;
    world.worker(i).faults.extra_delay = kSlowAnswer;
    world.worker(i).names_life = start.names_life;
  }
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{start.takes, 0});
  FakeWorker* worker = nullptr;
  REQUIRE(world.RunUntil(
      [&] {
        for (size_t i = 0; i < world.worker_count(); ++i) {
          worker = world.worker(i).start_waits.size() < start.waits.size() ? &world.worker(i) : worker;
        }
        return worker != nullptr;
      },
      2s));
  for (size_t i = 0; i < world.worker_count(); ++i) {
    if (&world.worker(i) != worker) {
      world.worker(i).start_waits.clear();
      world.worker(i).faults.extra_delay = Duration(0);
    }
  }
  world.RunFor(start.restart_after);
  RestartUnnoticed(*worker);
  world.In(start.entry_after, [&world, worker] { world.WriteWorkerEntry(*worker); });
  if (start.owner_leaves) {
    world.Leave(*world.OwnerIndex());
  }
  world.RunFor(20s);
  INFO("restart after " << Millis(start.restart_after) << " ms, entry after " << Millis(start.entry_after)
                        << " ms, takes " << Millis(start.takes) << " ms" << ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

// TWICE: the first copy was answered by the worker's life, and the second, which had waited for a connection, by its
// next one, which an answer does not tell. The run counted as ended with the earlier life.
TEST_CASE("a task does not run elsewhere when copies of its start are answered by two lives of its worker") {
  for (const Duration restart_after : {320ms, 360ms, 420ms, 520ms, 540ms}) {
    for (const Duration entry_after : {0ms, 60ms, 200ms, 500ms}) {
      for (const Duration takes : {100ms, 1000ms, 6000ms}) {
        for (const bool owner_leaves : {false, true}) {
          CheckWaitingStart({{300ms, 300ms}, restart_after, entry_after, takes, owner_leaves});
        }
        CheckWaitingStart({{300ms, 300ms}, restart_after, entry_after, takes, false, true});
      }
    }
  }
}

// The first copy is overtaken by the second one, and reaches the next life.
TEST_CASE("a task does not run elsewhere when the first copy of its start is answered after the second one") {
  for (const Duration restart_after : {270ms, 300ms, 400ms, 500ms, 560ms}) {
    for (const Duration entry_after : {0ms, 60ms, 200ms, 500ms}) {
      for (const Duration takes : {100ms, 6000ms}) {
        CheckWaitingStart({{600ms, 0ms}, restart_after, entry_after, takes});
      }
    }
  }
}

TEST_CASE("a task does not run elsewhere when only a life of its worker that is not known has answered its start") {
  for (const Duration restart_after : {20ms, 100ms, 240ms}) {
    for (const Duration entry_after : {0ms, 60ms, 200ms, 500ms}) {
      for (const Duration takes : {100ms, 6000ms}) {
        CheckWaitingStart({{245ms}, restart_after, entry_after, takes});
      }
    }
  }
}

TEST_CASE("a start without an answer does not make its worker silent that answers later calls") {
  CellWorld world(304, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  const auto silences = [&world] { return world.CounterOf(*world.OwnerIndex(), "worker_silences"); };
  const double silences_before = silences();
  DelayNextStarts(world, 20s);
  world.SubmitWithRetries(JobOf(1, {StepOf(1, 1000)}), TaskBehaviour{6s, 0});
  REQUIRE(WorkerOfDelayedStart(world) != nullptr);
  world.RunFor(3s);
  CHECK(silences() == silences_before);
}

TEST_CASE("a task does not run elsewhere when all copies of its start are late") {
  for (const Duration transit_time : kTransitTimes) {
    for (const Duration restart_before : {10ms, 30ms, 100ms}) {
      CheckLateStart({.seed = 303, .transit_time = transit_time, .restart_before = restart_before, .late_copies = 6});
    }
  }
}

// The second copy starts a run that is done; the first one arrives after its end was stored.
TEST_CASE("a task that is done does not start again when a late copy of its start reaches a next life of its worker") {
  for (const Duration transit_time : kTransitTimes) {
    for (const Duration restart_before : {10ms, 100ms, 400ms}) {
      CheckLateStart({.seed = 307,
                      .transit_time = transit_time,
                      .restart_before = restart_before,
                      .behaviour = TaskBehaviour{300ms, 0}});
    }
  }
}

// The worker is cut off and starts again behind the cut, where it runs what reaches it for as long as its lease lasts.
TEST_CASE("a task does not run elsewhere while a worker that is cut off may run its late start") {
  for (const Duration transit_time : kTransitTimes) {
    CellWorld world(309, 3, 3);
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(kFirstLife);
    DelayNextStarts(world, transit_time);
    const JobSpec job = JobOf(1, {StepOf(1, 1000)});
    world.SubmitWithRetries(job, TaskBehaviour{20s, 0});
    FakeWorker* worker = WorkerOfDelayedStart(world);
    REQUIRE(worker != nullptr);
    worker->faults.silent = true;
    world.RunFor(transit_time - 30ms);
    RestartUnnoticed(*worker);
    world.RunFor(45s);
    INFO("start " << Millis(transit_time) << " ms in transit" << ViolationsOf(world));
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
}

// The run that the second copy starts is lost with its worker, and the start is stopped in the life that follows.
TEST_CASE("a task whose worker starts again twice does not run elsewhere while a copy of its start is on its way") {
  for (const int late_copies : {1, 6}) {
    for (const Duration transit_time : {3s, 5s, 11s}) {
      for (const Duration known_restart_before : {500ms, 1500ms, 2500ms}) {
        CheckLateStart({.seed = 308,
                        .transit_time = transit_time,
                        .restart_before = 30ms,
                        .late_copies = late_copies,
                        .known_restart_before = known_restart_before});
      }
    }
  }
}

// The worker begins to drain, so the start is given up without a copy.
TEST_CASE("a task whose start was given up does not run elsewhere while it is on its way") {
  for (const Duration transit_time : kTransitTimes) {
    for (const Duration restart_before : {10ms, 30ms, 100ms}) {
      CheckLateStart({.seed = 303, .transit_time = transit_time, .restart_before = restart_before, .drains = true});
    }
  }
}

// A copy waits up to 0.9 s for a connection, and is carried out 12 s after it was sent.
TEST_CASE("a task does not run twice when a copy that waited for a connection is carried out 12 s later") {
  for (const Duration transit_time : {Duration(12s), Duration(12400ms), Duration(12900ms)}) {
    CheckLateStart({.seed = 303, .transit_time = transit_time, .restart_before = 30ms, .drains = true});
  }
}

TEST_CASE("a start without an answer is not sent again to a worker that its queue no longer uses") {
  CellWorld world(306, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  DelayNextStarts(world, 20s);
  world.SubmitWithRetries(JobOf(1, {StepOf(1, 1000)}), TaskBehaviour{});
  REQUIRE(WorkerOfDelayedStart(world) != nullptr);
  world.configuration.queues.front().service = "other";
  world.configuration.services.push_back(ServiceSpec{"other", false});
  world.Configure();
  world.RunFor(5s);
  CHECK(world.starts() == 0);
}

// The first copy is late; the second starts a run that fails, and the task starts again.
TEST_CASE("a task whose run has failed does not run elsewhere while a copy of its start is on its way") {
  for (const Duration transit_time : kTransitTimes) {
    for (const Duration takes : {100ms, 300ms, 600ms, 900ms}) {
      for (const Duration restart_before : {10ms, 30ms, 100ms}) {
        CheckLateStart({.seed = 305,
                        .transit_time = transit_time,
                        .restart_before = restart_before,
                        .behaviour = TaskBehaviour{takes, 1}});
      }
    }
  }
}

// Returns false if no member was placed on the worker.
bool CheckLateStartOfMember(size_t delayed, Duration transit_time, Duration takes) {
  CellWorld world(302, 3, 5);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  FillWorkerFor(world, 400ms);
  FakeWorker& worker = world.worker(delayed);
  worker.starts_in_transit = 1;
  worker.transit_time = transit_time;
  StepSpec gang = OneOnEach(3);
  gang.gang = true;
  const JobSpec job = JobOf(1, {gang});
  world.SubmitWithRetries(job, TaskBehaviour{takes, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() >= 4; }, 2s));
  if (worker.starts_in_transit > 0) {
    return false;
  }
  constexpr Duration kRestartBefore = 30ms;
  world.RunFor(transit_time - kRestartBefore);
  RestartUnnoticed(worker);
  world.RunFor(20s + transit_time);
  INFO("member on worker " << delayed << ", start " << Millis(transit_time) << " ms in transit, takes " << Millis(takes)
                           << " ms" << ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  return true;
}

TEST_CASE("a gang does not run twice when a member's late start reaches a life of its worker that is not known yet") {
  int checked = 0;
  for (const Duration transit_time : kTransitTimes) {
    for (size_t delayed = 0; delayed < 5; ++delayed) {
      checked += CheckLateStartOfMember(delayed, transit_time, 5s) ? 1 : 0;
    }
  }
  CHECK(checked > 0);
}

// The other members' workers may not forget the end of the gang either.
TEST_CASE("a gang that is done does not start again when a late copy reaches a next life of a member's worker") {
  int checked = 0;
  for (const Duration transit_time : kTransitTimes) {
    for (size_t delayed = 0; delayed < 5; ++delayed) {
      checked += CheckLateStartOfMember(delayed, transit_time, 300ms) ? 1 : 0;
    }
  }
  CHECK(checked > 0);
}

}  // namespace
}  // namespace hibiscus::cell
