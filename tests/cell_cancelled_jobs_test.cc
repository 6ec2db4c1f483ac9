// A job that was cancelled while it was not known does not run, although a request for it was still under way.
#include <catch2/catch.hpp>

#include "cell/cancelled_ids.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kFreeze = 4s;
constexpr Duration kCallerTimeout = 3s;
const TaskBehaviour kLong{8s, 0};

size_t OtherHost(const CellWorld& world, size_t distance) {
  return (*world.OwnerIndex() + distance) % world.host_count();
}

// Repeats a cancel until it is acknowledged, as callers do.
void CancelUntilAcknowledged(CellWorld& world, size_t host, const JobSpec& job, std::optional<CallerOutcome>& outcome) {
  world.Ask(host, CallerKind::kCancel, job.queue, job.id, [&world, host, job, &outcome](const CallerReply& reply) {
    if (reply.outcome == CallerOutcome::kDone || reply.outcome == CallerOutcome::kNoSuchJob) {
      outcome = reply.outcome;
    } else {
      world.In(200ms, [&world, host, job, &outcome] { CancelUntilAcknowledged(world, host, job, outcome); });
    }
  });
}

using ChangeOfOwner = void (CellWorld::*)(size_t);

// A host that does not own the cell stands still with a request unread. Its caller leaves at its timeout and cancels
// the job at another host; then the owner may change, and the host goes on.
void CheckCancelBesideFreeze(uint64_t seed, ChangeOfOwner change) {
  CellWorld world(seed, 4, 6);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t frozen = OtherHost(world, 1);
  const size_t other = OtherHost(world, 2);
  const JobSpec job = JobOf(1, {StepOf(2, 1000)});
  world.Freeze(frozen, kFreeze);
  std::optional<CallerOutcome> outcome;
  world.In(300ms, [&] { world.Submit(frozen, job, kLong, [](const CallerReply&) {}); });
  world.In(300ms + kCallerTimeout + 1ms, [&] { CancelUntilAcknowledged(world, other, job, outcome); });
  world.RunFor(300ms + kCallerTimeout + 100ms);
  CHECK(outcome == CallerOutcome::kNoSuchJob);
  if (change != nullptr) {
    (world.*change)(*world.OwnerIndex());
  }
  world.RunFor(12s);
  INFO((world.violations().empty() ? "" : world.violations().front()));
  CHECK(world.violations().empty());
  CHECK(world.starts() == 0);
  CHECK_FALSE(world.Accepted(job.id));
}

// UNASKED: the host passed the request on when it went on, and the owner accepted it.
TEST_CASE("a job whose cancel found nothing does not run when the host that has its request goes on") {
  CheckCancelBesideFreeze(1801, nullptr);
}

TEST_CASE("the next owner knows of a cancel that found nothing") {
  SECTION("the owner crashes") {
    CheckCancelBesideFreeze(1802, &CellWorld::Kill);
  }
  SECTION("the owner is stopped") {
    CheckCancelBesideFreeze(1803, &CellWorld::Leave);
  }
}

TEST_CASE("a job that was cancelled before it was known can be submitted later") {
  CellWorld world(1804, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  std::optional<CallerOutcome> cancelled;
  CancelUntilAcknowledged(world, 0, job, cancelled);
  world.RunFor(200ms);
  REQUIRE(cancelled == CallerOutcome::kNoSuchJob);
  std::optional<CallerReply> refused;
  world.Submit(1, job, TaskBehaviour{}, [&](const CallerReply& reply) { refused = reply; });
  world.RunFor(200ms);
  REQUIRE(refused);
  CHECK(refused->outcome == CallerOutcome::kRejected);
  CHECK(refused->retry_after > CancelledIds::kRetention - 1s);
  CHECK(world.StateOf(job.queue, job.id) == std::nullopt);
  world.RunFor(refused->retry_after);
  world.SubmitWithRetries(job, TaskBehaviour{});
  world.RunFor(3s);
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

TEST_CASE("a cancel of an unknown job concerns its queue alone") {
  CellWorld world(1805, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  std::optional<CallerOutcome> cancelled;
  JobSpec of_other_queue = job;
  of_other_queue.queue = "advised";
  CancelUntilAcknowledged(world, 0, of_other_queue, cancelled);
  world.RunFor(200ms);
  REQUIRE(cancelled == CallerOutcome::kNoSuchJob);
  world.SubmitWithRetries(job, TaskBehaviour{});
  world.RunFor(3s);
  CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
}

// A cheap request must not cost a call to the store each.
TEST_CASE("thousands of cancels of unknown jobs share a few writes") {
  CellWorld world(1806, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t owner = *world.OwnerIndex();
  const double before = world.CounterOf(owner, "store_commits");
  constexpr int kCancels = 3000;
  int answered = 0;
  for (int i = 0; i < kCancels; ++i) {
    world.In(i * 300us, [&world, &answered, i] {
      world.Ask(
          static_cast<size_t>(i) % 3, CallerKind::kCancel, "plain", JobId(i + 1000),
          [&answered](const CallerReply& reply) { answered += reply.outcome == CallerOutcome::kNoSuchJob ? 1 : 0; });
    });
  }
  world.RunFor(2s);
  CHECK(answered == kCancels);
  CHECK(world.CounterOf(owner, "store_commits") - before <= 60);  // Batches of 20 ms in 0.9 s, and some of the owner's.
}

CancelledId IdOf(int number) {
  return CancelledId{JobId(number), "plain", ""};
}

TEST_CASE("cancelled ids are refused for a while, and forgotten with their keys") {
  CancelledIds ids;
  const TimePoint begin(1h);
  int stored = 0;
  REQUIRE(ids.Add(IdOf(1), begin, [&] { ++stored; }));
  CHECK(ids.RefusedFor(IdOf(1), begin) == CancelledIds::kRetention);
  CHECK(ids.RefusedFor(IdOf(2), begin) == Duration(0));
  CHECK(ids.RefusedFor(CancelledId{JobId(1), "plain", "other"}, begin) == Duration(0));
  Batch first;
  ids.Fill(first, 1, 7, begin);
  REQUIRE(first.writes.size() == 1);
  for (const auto& done : ids.TakeStored()) {
    done();
  }
  CHECK(stored == 1);
  REQUIRE(ids.Add(IdOf(2), begin + 1s, [] {}));
  Batch second;
  ids.Fill(second, 1, 8, begin + 1s);
  REQUIRE(second.writes.size() == 1);
  CHECK(second.writes[0].key == first.writes[0].key);
  const auto record = DecodeRecord<std::vector<CancelledId>>(second.writes[0].value);
  REQUIRE(record);
  CHECK(*record == std::vector<CancelledId>{IdOf(1), IdOf(2)});
  CancelledIds next;
  next.Load(second.writes[0].key, *record, begin + 2s);
  CHECK(next.RefusedFor(IdOf(1), begin + 3s) == CancelledIds::kRetention - 1s);
  CHECK_FALSE(ids.HasExpired(begin + CancelledIds::kRetention));
  CHECK(ids.HasExpired(begin + 1s + CancelledIds::kRetention));
  Batch last;
  ids.Fill(last, 1, 9, begin + 1s + CancelledIds::kRetention);
  CHECK(last.removals == std::vector<std::string>{first.writes[0].key});
  CHECK(ids.size() == 0);
}

TEST_CASE("no more cancelled ids are taken than can be remembered") {
  CancelledIds ids;
  const TimePoint now(1h);
  for (int i = 0; i < static_cast<int>(CancelledIds::kMaxIds); ++i) {
    REQUIRE(ids.Add(IdOf(i), now, [] {}));
  }
  CHECK_FALSE(ids.Add(IdOf(-1), now, [] {}));
  CHECK(ids.RefusedFor(IdOf(-1), now) == Duration(0));
}

}  // namespace
}  // namespace hibiscus::cell
