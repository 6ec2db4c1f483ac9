// Starts without an answer: what is stored of them, gangs, capacity, the time for which they count, and throughput.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "tests/cell_late_start_play.h"

namespace hibiscus::cell {
namespace {

// The second copy is sent after the record was written; it is answered, runs and is done.
TEST_CASE("a task that is done does not start again when a copy sent after its open start was stored ran it") {
  for (const Duration extra : {0ms, 30ms, 60ms}) {
    for (const Duration transit : {Duration(3s), Duration(5s), Duration(11s)}) {
      for (const Duration change_after : {350ms, 450ms, 600ms, 900ms, 1200ms}) {
        constexpr Duration kRestartBefore = 10ms;
        CellWorld world(501, 3, 3);
        AddQueues(world);
        REQUIRE(Settle(world));
        world.RunFor(kFirstLife);
        for (size_t i = 0; i < world.worker_count(); ++i) {
          world.worker(i).faults.extra_delay = extra;
        }
        DelayNextStarts(world, transit, 1);
        const JobSpec job = JobOf(1, {StepOf(1, 1000)});
        world.SubmitWithRetries(job, TaskBehaviour{300ms, 0});
        FakeWorker* worker = WorkerOfDelayedStart(world);
        REQUIRE(worker != nullptr);
        const size_t owner = *world.OwnerIndex();
        world.In(change_after, [&] { world.Kill(owner); });
        world.RunFor(transit - kRestartBefore);
        RestartUnnoticed(*worker);
        world.RunFor(25s);
        INFO("extra " << Millis(extra) << " transit " << Millis(transit) << " killed after " << Millis(change_after)
                      << ViolationsOf(world));
        CHECK(world.violations().empty());
        CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
      }
    }
  }
}

// Copies that are 3 s late: cell_red_courses_test.
TEST_CASE(
    "a gang that is done does not start again after a crash of its owner when a late copy of a member is carried out") {
  CHECK(CheckLateMemberOfDoneGang(5s) + CheckLateMemberOfDoneGang(11s) > 0);
}

// The last attempt of a gang fails; its failure is taken note of at another worker while a member's copy is open.
TEST_CASE("a gang that has failed for the last time does not start again when a late copy of a member is carried out") {
  int checked = 0;
  for (uint64_t seed = 801; seed <= 804; ++seed) {
    for (size_t delayed = 0; delayed < 3; ++delayed) {
      CellWorld world(seed, 3, 3);
      AddQueues(world);
      REQUIRE(Settle(world));
      world.RunFor(kFirstLife);
      StepSpec gang = OneOnEach(3);
      gang.gang = true;
      const JobSpec job = JobOf(1, {gang});
      world.SubmitWithRetries(job, TaskBehaviour{300ms, 5});
      REQUIRE(world.RunUntil([&] { return world.starts() >= 6; }, 20s));
      FakeWorker& worker = world.worker(delayed);
      worker.starts_in_transit = 1;
      worker.transit_time = 5s;
      REQUIRE(world.RunUntil([&] { return worker.starts_in_transit == 0; }, 20s));
      const TimePoint sent_at = world.Now();
      world.RunUntil([&] { return world.starts() >= 9; }, 4s);
      const int starts = world.starts();
      world.RunFor(5s - 30ms - (world.Now() - sent_at));
      RestartUnnoticed(worker);
      world.RunFor(20s);
      ++checked;
      INFO("seed " << seed << " member on " << delayed << " starts before " << starts << " after " << world.starts()
                   << ViolationsOf(world));
      CHECK(world.violations().empty());
      CHECK(world.StateOf(job.queue, job.id) == JobState::kFailed);
    }
  }
  CHECK(checked > 0);
}

// The open start has expired long ago and its task runs elsewhere; nothing was stored since.
TEST_CASE("a task that runs is not stopped by a new owner for an open start that is over") {
  CellWorld world(303, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  DelayNextStarts(world, 11s, 1);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{100s, 0});
  FakeWorker* worker = WorkerOfDelayedStart(world);
  REQUIRE(worker != nullptr);
  worker->entry.draining = true;
  world.WriteWorkerEntry(*worker);
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 20s));
  world.RunFor(10s);
  const int starts = world.starts();
  CHECK(world.RunningCount(TaskRef{job.id, 0, 0, 0}) == 1);
  const size_t owner = *world.OwnerIndex();
  world.Kill(owner);
  world.RunFor(25s);
  INFO(ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.starts() == starts);
  CHECK(world.RunningCount(TaskRef{job.id, 0, 0, 0}) == 1);
}

// The owner cannot reach the store while it sends a start that is late.
TEST_CASE("a task does not run twice when its owner cannot store that a late start has no answer") {
  int elsewhere = 0;
  for (uint64_t seed = 601; seed <= 606; ++seed) {
    for (const Duration transit : {Duration(3s), Duration(5s), Duration(8s), Duration(11s)}) {
      CellWorld world(seed, 3, 3);
      AddQueues(world);
      REQUIRE(Settle(world));
      world.RunFor(kFirstLife);
      StepSpec second = StepOf(1, 1000);
      second.after = {0};
      const JobSpec job = JobOf(1, {StepOf(1, 1000), second});
      world.SubmitWithRetries(job, TaskBehaviour{1s, 0});
      REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 2s));
      const size_t owner = *world.OwnerIndex();
      world.RunFor(100ms);
      world.StoreFaultsOf(owner).silent = true;
      DelayNextStarts(world, transit, 6);
      FakeWorker* worker = nullptr;
      world.RunUntil(
          [&] {
            for (size_t i = 0; i < world.worker_count(); ++i) {
              worker = world.worker(i).starts_in_transit < 6 ? &world.worker(i) : worker;
            }
            return worker != nullptr;
          },
          3s);
      REQUIRE(worker != nullptr);
      for (size_t i = 0; i < world.worker_count(); ++i) {
        world.worker(i).starts_in_transit = &world.worker(i) == worker ? 5 : 0;
      }
      world.In(1500ms, [&] { worker->starts_in_transit = 0; });
      world.In(15s, [&] { world.StoreFaultsOf(owner).silent = false; });
      world.RunFor(transit - 10ms);
      elsewhere += world.OwnerIndex() != owner ? 1 : 0;
      RestartUnnoticed(*worker);
      world.RunFor(30s);
      INFO("seed " << seed << " transit " << Millis(transit) << ViolationsOf(world));
      CHECK(world.violations().empty());
    }
  }
  INFO("owner changed before the copy arrived: " << elsewhere);
  CHECK(elsewhere > 0);
}

// Late copies of two runs, one after the other on one worker, that both reach its next life.
TEST_CASE("late copies of two runs that reach one next life do not exceed the capacity of their worker") {
  CellWorld world(604, 3, 1);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  FakeWorker& worker = world.worker(0);
  const int64_t capacity = worker.entry.capacity.cpu_millis;
  worker.starts_in_transit = 1;
  worker.transit_time = 8s;
  world.SubmitWithRetries(JobOf(1, {StepOf(1, capacity)}), TaskBehaviour{400ms, 0});
  REQUIRE(world.RunUntil([&] { return worker.starts_in_transit == 0; }, 2s));
  const TimePoint sent_at = world.Now();
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 2s));
  world.RunFor(600ms);
  worker.starts_in_transit = 1;
  worker.transit_time = 8s - (world.Now() - sent_at);
  const JobSpec second = JobOf(2, {StepOf(1, capacity)});
  world.SubmitWithRetries(second, TaskBehaviour{20s, 0});
  REQUIRE(world.RunUntil([&] { return worker.starts_in_transit == 0; }, 2s));
  CHECK(world.RunUntil([&] { return world.starts() == 2; }, 3s));
  world.RunFor(8s - 40ms - (world.Now() - sent_at));
  RestartUnnoticed(worker);
  world.RunFor(3s);
  INFO("starts " << world.starts() << ViolationsOf(world));
  CHECK(world.violations().empty());
  CHECK(world.starts() == 2);
}

// The next owner knows of the start, and not that anything has begun.
TEST_CASE("a job whose start has no answer counts as waiting after a crash of its owner") {
  CellWorld world(310, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  DelayNextStarts(world, 11s, 6);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{});
  world.RunFor(600ms);
  const size_t owner = *world.OwnerIndex();
  world.Kill(owner);
  REQUIRE(world.RunUntil([&] { return HasOwner(world) && *world.OwnerIndex() != owner; }, 5s));
  world.RunFor(2s);
  CHECK(world.StateOf(job.queue, job.id) == JobState::kQueued);
  int64_t pending = 0;
  world.Ask(*world.OwnerIndex(), CallerKind::kPending, job.queue, "",
            [&](const CallerReply& reply) { pending = reply.pending; });
  world.RunFor(1s);
  CHECK(pending == 1);
}

TEST_CASE("the time for which a start is open does not begin anew with each owner") {
  constexpr Duration kOpenFor = 13'500ms;  // An order is carried out within this time, or never.
  constexpr Duration kOwnerEvery = 6s;
  constexpr Duration kWithoutOwner = 2500ms;  // Lease, claim and loading.
  constexpr int kChanges = 3;
  CellWorld world(311, 4, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  DelayNextStarts(world, 11s, 6);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{});
  world.RunFor(600ms);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).starts_in_transit = 0;
  }
  const int starts = world.starts();
  for (int i = 0; i < kChanges; ++i) {
    const size_t owner = *world.OwnerIndex();
    world.Kill(owner);
    world.RunFor(kWithoutOwner);
    REQUIRE(HasOwner(world));
    world.Boot(owner);
    CHECK(world.starts() == starts);
    world.RunFor(i + 1 < kChanges ? kOwnerEvery - kWithoutOwner : Duration(0));
  }
  const Duration elapsed = 600ms + (kChanges - 1) * kOwnerEvery + kWithoutOwner;
  const Duration over_after = kOpenFor + kChanges * kWithoutOwner + 1s;
  CHECK(world.RunUntil([&] { return world.starts() > starts; }, over_after - elapsed));
  CHECK(world.violations().empty());
}

// Throughput while a share of the orders is late.
TEST_CASE("work goes on while a share of the orders is late") {
  for (const double share : {0.0, 0.02, 0.1}) {
    CellWorld world(701, 3, 3);
    AddQueues(world);
    REQUIRE(Settle(world));
    for (size_t i = 0; i < world.worker_count(); ++i) {
      world.worker(i).faults.late_execution_share = share;
    }
    constexpr int kJobs = 150;
    for (int i = 1; i <= kJobs; ++i) {
      world.In(i * 100ms, [&world, i] {
        world.SubmitWithRetries(JobOf(i, {StepOf(20, 300)}), TaskBehaviour{20ms, 0});
      });
    }
    const TimePoint begun = world.Now();
    const auto done = [&] {
      int n = 0;
      for (int i = 1; i <= kJobs; ++i) {
        for (int k = 0; k < 20; ++k) {
          n += world.CompletionCount(TaskRef{JobId(i), 0, 0, k}) > 0 ? 1 : 0;
        }
      }
      return n;
    };
    std::string line;
    int done_after_25_s = 0;
    for (int s = 0; s < 16; ++s) {
      world.RunFor(5s);
      done_after_25_s = s == 4 ? done() : done_after_25_s;
      line += " " + std::to_string(done());
    }
    int completed = 0;
    for (int i = 1; i <= kJobs; ++i) {
      completed += world.StateOf("plain", JobId(i)) == JobState::kCompleted ? 1 : 0;
    }
    INFO("share " << share << " tasks done each 5 s:" << line << " jobs completed after " << Millis(world.Now() - begun)
                  << " ms: " << completed << ViolationsOf(world));
    CHECK(world.violations().empty());
    CHECK(done_after_25_s == kJobs * 20);
  }
}

}  // namespace
}  // namespace hibiscus::cell
