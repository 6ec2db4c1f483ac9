// Work that waits although it could run: the world's check reports it, and reports nothing that may wait.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr int kWorkers = 4;
constexpr Duration kCalmBefore = 15s;  // Longer than the allowed time after the boot of the hosts.
constexpr Duration kStall = 60s;
constexpr Duration kWatched = 20s;

void Prepare(CellWorld& world) {
  AddQueues(world);
  world.checks_waiting = true;
  REQUIRE(Settle(world));
  world.RunFor(kCalmBefore);
}

void SubmitAccepted(CellWorld& world, const JobSpec& job, const TaskBehaviour& behaviour) {
  world.SubmitWithRetries(job, behaviour);
  REQUIRE(world.RunUntil([&] { return world.Accepted(job.id); }, 5s));
}

// The hosts handle what they have, and then nothing for a long time.
void StallScheduler(CellWorld& world) {
  world.event_cost = kStall;
}

JobSpec TwoStepJob(int number, const StepSpec& second) {
  JobSpec job = JobOf(number, {StepOf(1, 1000), second});
  job.steps[1].after = {0};
  return job;
}

TEST_CASE("a step whose turn has come and that waits while workers are free is reported") {
  CellWorld world(901, 3, kWorkers);
  Prepare(world);
  SubmitAccepted(world, TwoStepJob(1, StepOf(2, 1000)), TaskBehaviour{1s, 0});
  StallScheduler(world);
  world.RunFor(kWatched);
  REQUIRE(world.lost().size() == 1);
  CHECK(world.lost().front().job == JobId(1));
  CHECK(!world.lost().front().may_be_given_up);
  CHECK(world.lost().front().text.find("LOST: " + JobId(1) + ".0.1.0 ") != std::string::npos);
}

TEST_CASE("a gang that waits is reported only if there is room for twice its members") {
  for (const int members : {2 * kWorkers, 2 * kWorkers + 1}) {
    CellWorld world(902, 3, kWorkers);
    Prepare(world);
    StepSpec gang = StepOf(members, 4000);  // Four of them fit on a worker.
    gang.gang = true;
    SubmitAccepted(world, TwoStepJob(1, gang), TaskBehaviour{1s, 0});
    StallScheduler(world);
    world.RunFor(kWatched);
    CHECK(world.lost().size() == (members == 2 * kWorkers ? 1 : 0));
  }
}

TEST_CASE("each task that lasts and does not run is reported from six seconds after its last run") {
  for (const Duration watched : {8s, 12s}) {
    CellWorld world(903, 3, kWorkers);
    Prepare(world);
    StepSpec step = StepOf(2, 1000);
    step.long_running = true;
    SubmitAccepted(world, JobOf(1, {step}), TaskBehaviour{});
    REQUIRE(world.RunUntil([&] { return world.RunningCount(TaskRef{JobId(1), 0, 0, 1}) == 1; }, 5s));
    world.RunFor(500ms);
    StallScheduler(world);
    world.RunFor(10ms);
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).EndAllRuns(EndKind::kFailed);
    }
    world.RunFor(watched);
    CHECK(world.lost().size() == (watched > 9s ? 1 : 0));
  }
}

TEST_CASE("a repeated job waits for its time, a step for the one before, and a cancelled job for nothing") {
  CellWorld world(904, 3, kWorkers);
  Prepare(world);
  SubmitAccepted(world, RepeatedJobOf(world, 1, {StepOf(1, 500)}, 2, 10s, 30s), TaskBehaviour{});
  SubmitAccepted(world, TwoStepJob(2, StepOf(2, 1000)), TaskBehaviour{30s, 0});
  SubmitAccepted(world, TwoStepJob(3, StepOf(2, 1000)), TaskBehaviour{1s, 0});
  world.Ask(0, CallerKind::kCancel, "plain", JobId(3), [](const CallerReply&) {});
  world.RunFor(kWatched);
  CHECK(world.lost().empty());
}

TEST_CASE("work that waits soon after a disruption is not reported yet") {
  CellWorld world(905, 3, kWorkers);
  Prepare(world);
  SubmitAccepted(world, TwoStepJob(1, StepOf(2, 1000)), TaskBehaviour{1s, 0});
  StallScheduler(world);
  world.store().RevokeLeases();
  world.RunFor(16s);
  CHECK(world.lost().empty());
  world.RunFor(2s);
  CHECK(world.lost().size() == 1);
}

// Whether a step is reported that waits beside one task of its tenant.
bool IsReportedBeside(int64_t cpu_millis) {
  CellWorld world(906, 3, kWorkers);
  Prepare(world);
  world.configuration.tenants = {TenantSpec{"north", {"n1"}, 50, Resources{4000, 0, 0}}};
  world.Configure();
  world.RunFor(kCalmBefore);
  world.SetKey(JobId(1), "n1");
  world.SetKey(JobId(2), "n1");
  SubmitAccepted(world, JobOf(1, {StepOf(1, cpu_millis)}), TaskBehaviour{120s, 0});
  SubmitAccepted(world, TwoStepJob(2, StepOf(2, 1000)), TaskBehaviour{1s, 0});
  world.RunFor(500ms);
  StallScheduler(world);
  world.RunFor(5s);  // Shorter than the workers' hold, so that what runs goes on.
  return !world.lost().empty();
}

TEST_CASE("a step whose tenant has half of its maximum running is not reported") {
  CHECK(IsReportedBeside(1500));
  CHECK(!IsReportedBeside(2000));
}

TEST_CASE("a step is not reported while half of the capacity is in use") {
  CellWorld world(907, 3, kWorkers);
  Prepare(world);
  SubmitAccepted(world, JobOf(1, {StepOf(2, 16'000)}), TaskBehaviour{120s, 0});
  SubmitAccepted(world, TwoStepJob(2, StepOf(2, 1000)), TaskBehaviour{1s, 0});
  world.RunFor(500ms);
  StallScheduler(world);
  world.RunFor(5s);
  CHECK(world.lost().empty());
}

TEST_CASE("a task that was on hold while its owner was in doubt starts when the doubt is over") {
  CellWorld world(908, 3, kWorkers);
  Prepare(world);
  SubmitAccepted(world, JobOf(1, {StepOf(1, 1000)}), TaskBehaviour{20s, 0});
  const TaskRef task{JobId(1), 0, 0, 0};
  REQUIRE(world.RunUntil([&] { return world.RunningCount(task) == 1; }, 5s));
  world.store().faults.down = true;
  world.RunFor(5s);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    if (world.worker(i).RunsTask(task)) {
      world.worker(i).Crash();
      world.worker(i).Restart();
    }
  }
  world.RunFor(2s);
  CHECK(world.RunningCount(task) == 0);
  world.store().faults = CallFaults{};
  world.RunFor(kWatched);
  CHECK(world.lost().empty());
  CHECK(world.RunUntil([&] { return world.CompletionCount(task) == 1; }, 30s));
}

}  // namespace
}  // namespace hibiscus::cell
