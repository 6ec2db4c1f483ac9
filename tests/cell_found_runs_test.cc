// Runs that a new owner finds on the workers beside open starts that its predecessor stored.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "cell/records.h"
#include "tests/cell_late_orders.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kStopTime = 900ms;  // Of index 0, the longest that the platform allows. Index 1 takes twice as long.

void SlowDownStops(CellWorld& world) {
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).min_stop_time = kStopTime;
  }
}

FakeWorker* WorkerThatRuns(CellWorld& world, const TaskRef& task) {
  for (size_t i = 0; i < world.worker_count(); ++i) {
    if (world.worker(i).RunsTask(task)) {
      return &world.worker(i);
    }
  }
  return nullptr;
}

// The record names a later run than the one that is found, so the found one is stopped.
TEST_CASE("a task does not start again while a run of it that a new owner found is being stopped") {
  for (const bool gang : {false, true}) {
    for (const Duration open_for : {50ms, 300ms, 600ms, 850ms}) {
      CellWorld world(801, 3, 4);
      AddQueues(world);
      REQUIRE(Settle(world));
      SlowDownStops(world);
      StepSpec step = OneOnEach(2);
      step.gang = gang;
      const JobSpec job = JobOf(1, {step});
      world.SubmitWithRetries(job, TaskBehaviour{5s, 0});
      REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 3s));
      world.RunFor(500ms);
      constexpr int kLaterRun = 500;
      std::vector<OpenStartRecord> open;
      for (int index = 0; index < 2; ++index) {
        const TaskRef task{job.id, 0, 0, index};
        REQUIRE(WorkerThatRuns(world, task) != nullptr);
        const bool on_first = WorkerThatRuns(world, task) == &world.worker(0);
        open.push_back(OpenStartRecord{RunRef{task, kLaterRun}, world.worker(on_first ? 1 : 0).entry.id, open_for});
      }
      world.store().Commit(StoreTransaction{{}, {StoreWrite{kOpenStartsKey, EncodeRecord(open), 0}}, {}});
      world.Kill(*world.OwnerIndex());
      world.RunFor(20s);
      INFO("gang " << gang << " open for " << Millis(open_for) << " ms" << ViolationsOf(world));
      CHECK(world.violations().empty());
      CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
    }
  }
}

// The member of the earlier run may still begin after that of the later one cannot any more.
TEST_CASE("a gang does not start again while a stored start of an earlier run of it is open") {
  constexpr Duration kOpenFor = 4s;
  CellWorld world(803, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  DelayNextStarts(world, 11s, 6);
  StepSpec gang = OneOnEach(2);
  gang.gang = true;
  const JobSpec job = JobOf(1, {gang});
  world.SubmitWithRetries(job, TaskBehaviour{1s, 0});
  world.RunFor(150ms);
  const std::vector<OpenStartRecord> open{{RunRef{TaskRef{job.id, 0, 0, 0}, 500}, world.worker(0).entry.id, 300ms},
                                          {RunRef{TaskRef{job.id, 0, 0, 1}, 400}, world.worker(1).entry.id, kOpenFor}};
  world.store().Commit(StoreTransaction{{}, {StoreWrite{kOpenStartsKey, EncodeRecord(open), 0}}, {}});
  const size_t owner = *world.OwnerIndex();
  world.Kill(owner);
  DelayNextStarts(world, Duration(0), 0);
  REQUIRE(world.RunUntil([&] { return HasOwner(world) && *world.OwnerIndex() != owner; }, 5s));
  world.RunFor(kOpenFor);
  CHECK(world.starts() == 0);
  world.RunFor(10s);
  INFO(ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

// When the other job's start is sent, after the first one.
constexpr Duration kSecondStarts[] = {300ms, 600ms, 900ms, 1100ms};

struct StaleRecordOutcome {
  int starts_before = 0;  // Before the owner changed.
  int starts = 0;
  std::vector<std::string> violations;
  std::optional<JobState> state;
};

// A start of a task, or of a gang of two, has no answer and is stored as open. Once its ticket has expired the task is
// started on another worker, while the store is away, and then the owner restarts. The record is written again for
// another job's start, so that its time is nearly over.
StaleRecordOutcome PlayStaleRecord(bool gang, Duration second_start_after) {
  constexpr Duration kOutageAfter = 1500ms;           // Both starts are stored by then, and the ticket is valid.
  const Duration restart_after = gang ? 4s : 2100ms;  // The task, or the gang, was started again by then.
  StepSpec step = OneOnEach(gang ? 2 : 1);
  step.gang = gang;
  const JobSpec job = JobOf(1, {step}, "advised");
  CellWorld world(802, 3, 4);
  AddQueues(world);
  world.allowed_percent["advised"] = 100;
  REQUIRE(Settle(world));
  SlowDownStops(world);
  const auto delay_one = [&world](const JobSpec& delayed) {
    DelayNextStarts(world, 11s, 1);
    world.SubmitWithRetries(delayed, TaskBehaviour{5s, 0});
    FakeWorker* worker = WorkerOfDelayedStart(world);
    REQUIRE(worker != nullptr);
    worker->entry.draining = true;  // Gets no further copies.
    world.WriteWorkerEntry(*worker);
  };
  delay_one(job);
  const TimePoint sent_at = world.Now();
  world.RunFor(second_start_after);
  delay_one(JobOf(2, {StepOf(1, 1000)}, "advised"));
  world.RunFor(sent_at + kOutageAfter - world.Now());
  world.store().leases_paused = true;
  world.store().faults.down = true;
  world.RunFor(sent_at + restart_after - world.Now());
  StaleRecordOutcome outcome;
  outcome.starts_before = world.starts();
  const size_t owner = *world.OwnerIndex();
  world.Kill(owner);
  world.Boot(owner);
  world.store().leases_paused = false;
  world.store().faults = CallFaults{};
  world.RunFor(20s);
  outcome.starts = world.starts();
  outcome.violations = world.violations();
  outcome.state = world.StateOf(job.queue, job.id);
  return outcome;
}

TEST_CASE("a task that was started again does not run twice when its owner restarts after an outage of the store") {
  for (const bool gang : {false, true}) {
    for (const Duration second_start_after : kSecondStarts) {
      const StaleRecordOutcome outcome = PlayStaleRecord(gang, second_start_after);
      INFO("gang " << gang << " second start after " << Millis(second_start_after) << " ms, starts "
                   << outcome.starts_before << " and " << outcome.starts
                   << (outcome.violations.empty() ? "" : ": " + outcome.violations.front()));
      CHECK(outcome.starts_before == (gang ? 4 : 1));  // The other job is started again, too, beside the gang.
      CHECK(outcome.violations.empty());
      CHECK(outcome.state == JobState::kCompleted);
    }
  }
}

TEST_CASE("a run is not stopped by a new owner for an open start of an earlier run") {
  for (const bool gang : {false, true}) {
    for (const Duration second_start_after : kSecondStarts) {
      const StaleRecordOutcome outcome = PlayStaleRecord(gang, second_start_after);
      INFO("gang " << gang << " second start after " << Millis(second_start_after) << " ms");
      CHECK(outcome.starts == (gang ? 4 : 2));  // The other job starts once, the member that had an answer twice.
      CHECK(outcome.violations.empty());
    }
  }
}

}  // namespace
}  // namespace hibiscus::cell
