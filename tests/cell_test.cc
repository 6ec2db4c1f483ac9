// The cell scheduler on calm days: jobs of every kind go through, whichever host takes them.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

bool Completed(CellWorld& world, const JobSpec& job) {
  return world.StateOf(job.queue, job.id) == JobState::kCompleted;
}

TEST_CASE("one host becomes the owner and the others know it") {
  CellWorld world(1, 5, 6);
  AddQueues(world);
  REQUIRE(Settle(world));
  int owners = 0;
  int ready = 0;
  for (size_t i = 0; i < world.host_count(); ++i) {
    owners += world.host(i)->owner() != nullptr ? 1 : 0;
    ready += world.host(i)->ready() ? 1 : 0;
  }
  CHECK(owners == 1);
  CHECK(ready == 5);
}

TEST_CASE("a job handed in anywhere runs and is shown as completed everywhere") {
  CellWorld world(2, 4, 6);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(4, 2000), StepOf(3, 4000)});
  JobSpec chained = job;
  chained.steps[1].after = {0};
  for (size_t i = 0; i < world.host_count(); ++i) {
    JobSpec mine = chained;
    mine.id = JobId(static_cast<int>(i) + 1);
    world.Submit(i, mine, TaskBehaviour{300ms, 0}, [](const CallerReply&) {});
  }
  world.RunFor(3s);
  for (int i = 1; i <= 4; ++i) {
    CHECK(world.Accepted(JobId(i)));
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
  CHECK(world.starts() == 4 * 7);
  CHECK(world.violations().empty());
}

TEST_CASE("a repeat of a job is the same job") {
  CellWorld world(3, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(2, 1000)});
  int accepted = 0;
  for (size_t i = 0; i < 3; ++i) {
    world.Submit(i, job, TaskBehaviour{},
                 [&](const CallerReply& reply) { accepted += reply.outcome == CallerOutcome::kDone ? 1 : 0; });
  }
  world.RunFor(2s);
  world.Submit(0, job, TaskBehaviour{},
               [&](const CallerReply& reply) { accepted += reply.outcome == CallerOutcome::kDone ? 1 : 0; });
  world.RunFor(2s);
  CHECK(accepted == 4);
  CHECK(world.starts() == 2);
}

TEST_CASE("advised steps start with tickets; gangs start together") {
  CellWorld world(4, 3, 8);
  AddQueues(world);
  REQUIRE(Settle(world));
  StepSpec gang = StepOf(6, 5000);
  gang.gang = true;
  const JobSpec first = JobOf(1, {gang}, "advised");
  const JobSpec second = JobOf(2, {StepOf(5, 3000)}, "advised");
  world.SubmitWithRetries(first, TaskBehaviour{600ms, 0});
  world.SubmitWithRetries(second, TaskBehaviour{400ms, 0});
  world.RunFor(5s);
  CHECK(Completed(world, first));
  CHECK(Completed(world, second));
  CHECK(world.violations().empty());
}

TEST_CASE("a task is tried until it succeeds, and no more often than the queue allows") {
  CellWorld world(5, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec hard = JobOf(1, {StepOf(2, 1000)});
  const JobSpec hopeless = JobOf(2, {StepOf(1, 1000)});
  world.SubmitWithRetries(hard, TaskBehaviour{100ms, 2});
  world.SubmitWithRetries(hopeless, TaskBehaviour{100ms, 99});
  world.RunFor(4s);
  CHECK(Completed(world, hard));
  CHECK(world.StateOf("plain", hopeless.id) == JobState::kFailed);
  CHECK(world.starts() == 2 * 3 + 3);
  CHECK(world.violations().empty());
}

TEST_CASE("a cancelled job stops and stays cancelled") {
  CellWorld world(6, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(3, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{30s, 0});
  world.RunFor(1s);
  REQUIRE(world.StateOf("plain", job.id) == JobState::kRunning);
  bool cancelled = false;
  world.Ask(1, CallerKind::kCancel, "plain", job.id,
            [&](const CallerReply& reply) { cancelled = reply.outcome == CallerOutcome::kDone; });
  world.RunFor(1s);
  CHECK(cancelled);
  CHECK(world.StateOf("plain", job.id) == JobState::kCancelled);
  bool runs = false;
  for (size_t i = 0; i < world.worker_count(); ++i) {
    for (int task = 0; task < 3; ++task) {
      runs = runs || world.worker(i).IsRunning(RunRef{TaskRef{job.id, 0, 0, task}, 1});
    }
  }
  CHECK_FALSE(runs);
}

TEST_CASE("a job that nobody handed in is not known") {
  CellWorld world(7, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  CHECK_FALSE(world.StateOf("plain", JobId(77)).has_value());
}

TEST_CASE("occurrences run when they are due") {
  CellWorld world(8, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  JobSpec job = JobOf(1, {StepOf(1, 1000)});
  job.occurrences = 3;
  job.interval = 1s;
  job.first_due_ms = 1'700'000'000'000 + Millis(world.Now().time_since_epoch()) + 1000;
  world.SubmitWithRetries(job, TaskBehaviour{200ms, 0});
  world.RunFor(700ms);
  CHECK(world.starts() == 0);
  world.RunFor(800ms);
  CHECK(world.starts() == 1);
  world.RunFor(3s);
  CHECK(world.starts() == 3);
  CHECK(Completed(world, job));
}

TEST_CASE("a long-running task is started again however it ends") {
  CellWorld world(9, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  StepSpec step = StepOf(2, 1000);
  step.long_running = true;
  const JobSpec job = JobOf(1, {step});
  world.SubmitWithRetries(job, TaskBehaviour{});
  world.RunFor(1s);
  REQUIRE(world.starts() == 2);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).Crash();
    world.worker(i).Restart();
  }
  world.RunFor(3s);
  CHECK(world.starts() == 4);
  CHECK(world.StateOf("plain", job.id) == JobState::kRunning);
  CHECK(world.violations().empty());
}

TEST_CASE("the count of waiting jobs is of those that have not begun") {
  CellWorld world(10, 3, 1);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (int i = 1; i <= 5; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(1, 16'000)}), TaskBehaviour{20s, 0});
  }
  world.RunFor(2s);
  int64_t pending = -1;
  world.Ask(2, CallerKind::kPending, "plain", "", [&](const CallerReply& reply) { pending = reply.pending; });
  world.RunFor(200ms);
  CHECK(pending == 4);
}

// While tickets are asked for, rooms come free that would serve as well or better.
TEST_CASE("a gang starts where its tickets are, whatever else has come free meanwhile") {
  CellWorld world(22, 3, 12);
  AddQueues(world);
  world.configuration.queues[1].advice = AdviceSpec{300ms, 0us, 900ms};
  world.Configure();
  REQUIRE(Settle(world));
  for (int i = 0; i < 12; ++i) {  // One on each worker; the last in the order of names ends first.
    world.SubmitWithRetries(JobOf(i + 1, {StepOf(1, 9000)}), TaskBehaviour{1s + (12 - i) * 250ms, 0});
    world.RunFor(50ms);
  }
  REQUIRE(world.starts() == 12);
  StepSpec gang = StepOf(4, 9000);
  gang.gang = true;
  world.SubmitWithRetries(JobOf(20, {gang}, "advised"), TaskBehaviour{500ms, 0});
  CHECK(world.RunUntil([&] { return world.starts() > 12; }, 3s));
  world.RunFor(3s);
  CHECK(world.StateOf("advised", JobId(20)) == JobState::kCompleted);
  CHECK(world.violations().empty());
}

// Room is kept for a gang that waits for one last worker; meanwhile most of the cell is idle.
TEST_CASE("a gang with room for it twice over does not wait for one that waits") {
  CellWorld world(21, 3, 12);
  AddQueues(world);
  REQUIRE(Settle(world));
  StepSpec spread = StepOf(7, 2000, 30s);
  spread.max_per_worker = 1;
  world.SubmitWithRetries(JobOf(1, {spread}), TaskBehaviour{30s, 0});
  world.RunFor(500ms);
  StepSpec wide = StepOf(6, 15'000, 5s);  // Due before the other gang.
  wide.gang = true;
  world.SubmitWithRetries(JobOf(2, {wide}), TaskBehaviour{1s, 0});
  world.RunFor(500ms);
  StepSpec narrow = StepOf(2, 15'000, 10s);
  narrow.gang = true;
  world.SubmitWithRetries(JobOf(3, {narrow}), TaskBehaviour{1s, 0});
  world.RunFor(3s);
  CHECK(world.StateOf("plain", JobId(3)) == JobState::kCompleted);
  world.RunFor(35s);
  CHECK(world.StateOf("plain", JobId(2)) == JobState::kCompleted);
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace hibiscus::cell
