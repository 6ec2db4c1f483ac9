// Ends of runs that an owner received and could not store, of workers that leave before they list them to the next
// owner.
#include <vector>

#include <catch2/catch.hpp>

#include "cell/messages.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kRunTime = 2s;
constexpr Duration kAnswerTime = 10ms;  // From the end of a run until its owner knows of it.

struct Play {
  CellWorld world;
  JobSpec job;
  size_t owner = 0;
  std::vector<FakeWorker*> workers;  // Those that run the job's only step.

  Play(uint64_t seed, bool gang) : world(seed, 4, 4) {
    AddQueues(world);
    REQUIRE(Settle(world));
    StepSpec step = StepOf(gang ? 2 : 1, 1000);
    step.gang = gang;
    step.max_per_worker = 1;
    job = JobOf(1, {step});
    world.SubmitWithRetries(job, TaskBehaviour{kRunTime, 0});
    REQUIRE(world.RunUntil([&] { return world.starts() == step.count; }, 3s));
    owner = *world.OwnerIndex();
    for (size_t i = 0; i < world.worker_count(); ++i) {
      for (int index = 0; index < step.count; ++index) {
        if (world.worker(i).RunsTask(TaskRef{job.id, 0, 0, index})) {
          workers.push_back(&world.worker(i));
        }
      }
    }
  }

  bool Done() const { return world.CompletionCount(TaskRef{job.id, 0, 0, 0}) > 0; }

  void DepartOnceDone() {
    REQUIRE(world.RunUntil([&] { return Done(); }, 4s));
    world.RunFor(kAnswerTime);
    for (FakeWorker* worker : workers) {
      worker->Depart();
    }
  }

  void CheckNotStartedAgain() {
    world.RunFor(20s);
    CHECK(world.OwnerIndex() != owner);
    CHECK(world.starts() == job.steps.front().count);
    CHECK(world.violations().empty());
    CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
  }
};

TEST_CASE(
    "a task does not start again when its owner is stopped as planned and its worker leaves after listing the end") {
  for (const bool gang : {false, true}) {
    for (Duration before = 0ms; before <= 100ms; before += 10ms) {
      INFO("gang " << gang << ", stopped " << Millis(before) << " ms before the end");
      Play play(901, gang);
      play.world.judges_listed_ends = true;
      play.world.RunFor(kRunTime - before - 20ms);
      REQUIRE(!play.Done());
      play.world.Leave(play.owner);
      play.DepartOnceDone();
      play.CheckNotStartedAgain();
    }
  }
}

TEST_CASE(
    "a task does not start again when the store turns its owner away and its worker leaves after listing the end") {
  for (const bool gang : {false, true}) {
    for (const Duration before : {50ms, 300ms, 800ms}) {
      INFO("gang " << gang << ", turned away " << Millis(before) << " ms before the end");
      Play play(902, gang);
      play.world.RunFor(kRunTime - before - 50ms);
      REQUIRE(!play.Done());
      play.world.StoreFaultsOf(play.owner).silent = true;
      play.DepartOnceDone();
      play.CheckNotStartedAgain();
    }
  }
}

// The successor does not reach the worker, which lists the end in answer to a hold of the earlier owner.
TEST_CASE("a task does not start again when its worker lists the end to an owner that was replaced meanwhile") {
  Play play(903, false);
  play.world.RunFor(kRunTime - 270ms);
  for (size_t i = 0; i < 4; ++i) {
    play.world.CutPath(i, *play.workers.front(), i != play.owner);
  }
  play.world.Leave(play.owner);
  REQUIRE(play.world.RunUntil([&] { return HasOwner(play.world) && play.world.OwnerIndex() != play.owner; }, 250ms));
  REQUIRE(!play.Done());
  play.DepartOnceDone();
  play.CheckNotStartedAgain();
}

// Each host that learns of the end is stopped in turn; those that start later hear of it from those that leave.
TEST_CASE("a task does not start again when several owners in a row are stopped before one can store its end") {
  Play play(904, false);
  play.world.RunFor(kRunTime - 300ms);
  for (size_t i = 0; i < 4; ++i) {
    play.world.StoreFaultsOf(i).silent = true;
  }
  play.DepartOnceDone();
  for (size_t i = 0; i < 4; ++i) {
    const size_t host = (play.owner + i) % 4;
    play.world.Leave(host);
    play.world.RunFor(2500ms);
    play.world.Kill(host);
    play.world.Boot(host);
    play.world.RunFor(500ms);
  }
  for (size_t i = 0; i < 4; ++i) {
    play.world.StoreFaultsOf(i).silent = false;
  }
  play.world.RunFor(20s);
  CHECK(play.world.starts() == 1);
  CHECK(play.world.violations().empty());
  CHECK(play.world.StateOf(play.job.queue, play.job.id) == JobState::kCompleted);
}

// No other host is there when the end is listed.
TEST_CASE("ends are reported to hosts that start after their owner was stopped") {
  for (const Duration after : {100ms, 600ms, 1500ms}) {
    Play play(906, false);
    for (size_t i = 0; i < 4; ++i) {
      if (i != play.owner) {
        play.world.Leave(i);
        play.world.In(500ms, [&play, i] { play.world.Kill(i); });
      }
    }
    play.world.RunFor(kRunTime - 50ms);
    play.world.Leave(play.owner);
    play.DepartOnceDone();
    play.world.RunFor(after);
    for (size_t i = 0; i < 4; ++i) {
      if (i != play.owner) {
        play.world.Boot(i);
      }
    }
    INFO("others start after " << Millis(after) << " ms");
    play.CheckNotStartedAgain();
  }
}

TEST_CASE("a report of ends that is lost is sent again") {
  Play play(905, false);
  play.world.RunFor(kRunTime - 50ms);
  play.world.Leave(play.owner);
  play.world.CutPeers(play.owner, true);
  play.DepartOnceDone();
  play.world.RunFor(2s);
  play.world.CutPeers(play.owner, false);
  play.CheckNotStartedAgain();
}

TEST_CASE("reports of ends survive their encoding, and hosts that do not know the message ignore it") {
  const EndedRun end{7, RunRef{TaskRef{JobId(1), 2, 3, 4}, 1005}, EndKind::kFailed, "saved"};
  const Message report = EndReport{11, "10.0.0.1:7000", {end}};
  CHECK(*DecodeMessage(EncodeMessage(report)) == report);
  const Message reply = EndReportReply{11, "10.0.0.2:7000", 5};
  CHECK(*DecodeMessage(EncodeMessage(reply)) == reply);
  std::string unknown = EncodeMessage(report);
  unknown[1] = 120;  // The kind, the first element of the array.
  CHECK(!DecodeMessage(unknown).has_value());
}

}  // namespace
}  // namespace hibiscus::cell
