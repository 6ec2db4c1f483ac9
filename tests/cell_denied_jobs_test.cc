// Answers that follow from not knowing a job or a state, given by owners that have been replaced.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr size_t kHosts = 4;
constexpr size_t kWorkers = 6;

// Two steps, the second after the first.
JobSpec TwoSteps(int number) {
  JobSpec job = JobOf(number, {StepOf(2, 2000), StepOf(2, 2000)});
  job.steps[1].after = {0};
  return job;
}

// Lets a host other than the `replaced` one accept the job.
bool AcceptElsewhere(CellWorld& world, const JobSpec& job, size_t replaced) {
  const size_t other = (replaced + 1) % kHosts;
  world.Submit(other, job, TaskBehaviour{4s, 0}, [](const CallerReply&) {});
  return world.RunUntil([&] { return world.Accepted(job.id); }, 4s);
}

// Incident of 2026-12-05: an owner that was cut off and replaced answered that an accepted job does not exist, which
// counts as an acknowledged cancel; its tasks started later.
TEST_CASE("an owner that is cut off and replaced does not deny a job that its successor has accepted") {
  for (const CallerKind kind : {CallerKind::kCancel, CallerKind::kState}) {
    for (const uint64_t seed : {1, 2, 3}) {
      CellWorld world(seed, kHosts, kWorkers);
      AddQueues(world);
      REQUIRE(Settle(world));
      const size_t owner = *world.OwnerIndex();
      world.CutOffWithWorkers(owner, {}, true);
      world.RunFor(4s);
      const JobSpec job = TwoSteps(1);
      REQUIRE(AcceptElsewhere(world, job, owner));
      std::optional<CallerReply> answer;
      world.Ask(owner, kind, job.queue, job.id, [&](const CallerReply& reply) { answer = reply; });
      world.RunFor(3s);
      world.CutOffWithWorkers(owner, {}, false);
      world.RunFor(15s);
      INFO("seed " << seed << ", " << NameOf(kind) << ", " << (answer ? NameOf(answer->outcome) : "no answer"));
      REQUIRE(answer);
      CHECK(answer->outcome == CallerOutcome::kUnavailable);
      CHECK(answer->retry_after > Duration(0));
      CHECK(world.StateOf("plain", job.id) == JobState::kCompleted);
      CHECK(world.violations().empty());
    }
  }
}

// A cancel that waits in the socket of an owner that stands still is the first thing that it handles when it continues.
TEST_CASE("an owner that continues after a pause does not deny a job that its successor has accepted") {
  for (const CallerKind kind : {CallerKind::kCancel, CallerKind::kState}) {
    for (const uint64_t seed : {1, 2, 3, 4}) {
      CellWorld world(seed, kHosts, kWorkers);
      AddQueues(world);
      REQUIRE(Settle(world));
      const size_t owner = *world.OwnerIndex();
      world.Freeze(owner, 5s);
      world.RunFor(3s);
      const JobSpec job = TwoSteps(1);
      REQUIRE(AcceptElsewhere(world, job, owner));
      std::optional<CallerReply> answer;
      world.Ask(owner, kind, job.queue, job.id, [&](const CallerReply& reply) { answer = reply; });
      world.RunFor(6s);
      INFO("seed " << seed << ", " << NameOf(kind) << ", " << (answer ? NameOf(answer->outcome) : "no answer"));
      REQUIRE(answer);
      CHECK(answer->outcome != CallerOutcome::kNoSuchJob);
      if (kind == CallerKind::kCancel && answer->outcome == CallerOutcome::kDone) {
        CHECK(world.StateOf("plain", job.id) == JobState::kCancelled);
      }
      world.RunFor(10s);
      CHECK(world.violations().empty());
    }
  }
}

// The answer to a read that was sent before the cell was lost arrives after it.
TEST_CASE("a late answer of the store does not prove that a later request meets the sole owner") {
  CellWorld world(8, kHosts, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  world.StoreFaultsOf(owner).extra_delay = 4s;
  world.Ask(owner, CallerKind::kState, "plain", JobId(77), [](const CallerReply&) {});
  world.RunFor(5ms);
  world.CutOffWithWorkers(owner, {}, true);
  world.RunFor(3s);
  const JobSpec job = TwoSteps(1);
  REQUIRE(AcceptElsewhere(world, job, owner));
  world.RunFor(800ms);
  std::optional<CallerReply> answer;
  world.Ask(owner, CallerKind::kCancel, job.queue, job.id, [&](const CallerReply& reply) { answer = reply; });
  world.RunFor(2500ms);
  REQUIRE(answer);
  CHECK(answer->outcome == CallerOutcome::kUnavailable);
  CHECK(world.violations().empty());
}

// The cancel is not stored yet when a request for the job arrives.
TEST_CASE("a job does not run whose cancel arrives before it, and its caller hears so") {
  CellWorld world(9, kHosts, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  const JobSpec job = TwoSteps(1);
  std::optional<CallerReply> answer;
  std::optional<CallerReply> submitted;
  world.StoreFaultsOf(owner).silent = true;
  world.Ask(owner, CallerKind::kCancel, job.queue, job.id, [&](const CallerReply& reply) { answer = reply; });
  world.RunFor(30ms);
  world.StoreFaultsOf(owner) = CallFaults{};
  world.Submit(owner, job, TaskBehaviour{1s, 0}, [&](const CallerReply& reply) { submitted = reply; });
  world.RunFor(200ms);
  REQUIRE(submitted);
  CHECK(submitted->outcome == CallerOutcome::kRejected);
  REQUIRE(answer);
  CHECK(answer->outcome == CallerOutcome::kNoSuchJob);
  world.RunFor(10s);
  CHECK_FALSE(world.Accepted(job.id));
  CHECK(world.starts() == 0);
  CHECK(world.StateOf("plain", job.id) == std::nullopt);
  CHECK(world.violations().empty());
}

// Ended jobs are stored in batches that are merged and expire together.
TEST_CASE("the state of an ended job is told for as long as the platform asks") {
  constexpr Duration kRetention = 120s;  // CellSettings::ended_job_retention.
  CellWorld world(10, 1, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  int unknown = 0;
  for (int number = 1; number <= 20; ++number) {
    const JobSpec job = JobOf(number, {StepOf(1, 1000)});
    world.SubmitWithRetries(job, TaskBehaviour{500ms, 0});
    world.In(kRetention, [&world, &unknown, job] {
      world.Ask(0, CallerKind::kState, job.queue, job.id, [&unknown](const CallerReply& reply) {
        unknown += reply.outcome == CallerOutcome::kNoSuchJob ? 1 : 0;
      });
    });
    world.RunFor(18s);
  }
  world.RunFor(kRetention + 1s);
  CHECK(unknown == 0);
}

// The number of waiting jobs may be 2 s old.
TEST_CASE("an owner that is cut off and replaced does not count the jobs of its successor as none") {
  CellWorld world(5, kHosts, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  world.CutOffWithWorkers(owner, {}, true);
  world.RunFor(4s);
  for (int number = 1; number <= 4; ++number) {
    JobSpec job = JobOf(number, {StepOf(1, 1'000'000)});  // Larger than any worker.
    REQUIRE(AcceptElsewhere(world, job, owner));
  }
  world.RunFor(2s);
  std::optional<CallerReply> answer;
  world.Ask(owner, CallerKind::kPending, "plain", "", [&](const CallerReply& reply) { answer = reply; });
  world.RunFor(3s);
  CHECK((!answer || answer->outcome != CallerOutcome::kDone || answer->pending == 4));
}

TEST_CASE("a host of a calm cell says that an unknown job does not exist") {
  CellWorld world(6, kHosts, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  for (size_t host = 0; host < kHosts; ++host) {
    for (const CallerKind kind : {CallerKind::kCancel, CallerKind::kState}) {
      std::optional<CallerReply> answer;
      world.Ask(host, kind, "plain", JobId(77), [&](const CallerReply& reply) { answer = reply; });
      world.RunFor(100ms);
      REQUIRE(answer);
      CHECK(answer->outcome == CallerOutcome::kNoSuchJob);
    }
  }
}

// Without the store nobody can tell whether another owner has accepted the job.
TEST_CASE("an owner that cannot reach the store asks callers of an unknown job to come back") {
  CellWorld world(7, kHosts, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.store().faults.silent = true;
  world.RunFor(2s);
  for (size_t host = 0; host < kHosts; ++host) {
    std::optional<CallerReply> answer;
    world.Ask(host, CallerKind::kState, "plain", JobId(77), [&](const CallerReply& reply) { answer = reply; });
    world.RunFor(3s);
    REQUIRE(answer);
    CHECK(answer->outcome == CallerOutcome::kUnavailable);
    CHECK(answer->retry_after > Duration(0));
  }
}

}  // namespace
}  // namespace hibiscus::cell
