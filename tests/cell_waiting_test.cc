// Which gate is named for steps that wait, and the gauges that count them.
#include <catch2/catch.hpp>

#include <set>

#include "cell/waiting_gate.h"
#include "cell/worker_table.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kTwoChecks = 2200ms;  // The gauges are set once a second.
constexpr int64_t kWholeWorkerCpuMillis = 16'000;
constexpr Duration kLong = 60s;  // Of a run: short enough that it shows progress and is not taken for stalled.

// The gauge of a gate at the owner; -1 without one.
int WaitingAt(const CellWorld& world, WaitingGate gate) {
  const std::optional<size_t> owner = world.OwnerIndex();
  const std::string name = std::string("waiting_steps{gate=\"") + NameOf(gate) + "\"}";
  return owner ? static_cast<int>(world.CounterOf(*owner, name)) : -1;
}

// The names of the gates that hold at least one step.
std::set<std::string> ClosedGates(const CellWorld& world) {
  std::set<std::string> closed;
  for (const WaitingGate gate : kWaitingGates) {
    if (WaitingAt(world, gate) > 0) {
      closed.insert(NameOf(gate));
    }
  }
  return closed;
}

int Overdue(const CellWorld& world) {
  return static_cast<int>(world.CounterOf(*world.OwnerIndex(), "waiting_steps_overdue"));
}

using Gates = std::set<std::string>;

void SubmitLong(CellWorld& world, const JobSpec& job) {
  world.SubmitWithRetries(job, TaskBehaviour{kLong, 0});
}

TEST_CASE("the gates stand in their order and have different names") {
  std::set<std::string> names;
  for (size_t i = 0; i < kWaitingGates.size(); ++i) {
    CHECK(static_cast<size_t>(kWaitingGates[i]) == i);
    names.insert(NameOf(kWaitingGates[i]));
  }
  CHECK(names.size() == kWaitingGates.size());
  CHECK_FALSE(names.contains("?"));
}

TEST_CASE("the first closed gate is named") {
  CHECK_FALSE(GateOf(PassGates{}).has_value());
  CHECK(GateOf(PassGates{.earlier_runs = true, .may_still_start = true}) == WaitingGate::kEarlierRuns);
  CHECK(GateOf(PassGates{.may_still_start = true, .owner_in_doubt = true}) == WaitingGate::kMayStillStart);
  CHECK(GateOf(PassGates{.unwanted_run = true, .owner_in_doubt = true}) == WaitingGate::kUnwantedRun);
  CHECK(GateOf(PassGates{.may_still_start = true, .unwanted_run = true}) == WaitingGate::kMayStillStart);
  CHECK(GateOf(PassGates{.authority = true, .gang_ending = true}) == WaitingGate::kAuthority);
  CHECK(GateOf(PassFindings{}) == WaitingGate::kNoCapacity);
  CHECK(GateOf(PassFindings{.quota_used = true, .tickets_missing = true}) == WaitingGate::kQuota);
  CHECK(GateOf(PassFindings{.advice_pending = true, .tickets_missing = true}) == WaitingGate::kAdvicePending);
  CHECK(GateOf(PassFindings{.tickets_missing = true, .reserved = true}) == WaitingGate::kNoTicket);
  CHECK(GateOf(PassFindings{.reserved = true, .quarantined = true}) == WaitingGate::kReserved);
}

TEST_CASE("a gate holds since the first of the consecutive observations") {
  GateHold hold;
  hold.Observe(WaitingGate::kQuota, TimePoint(1s));
  hold.Observe(WaitingGate::kQuota, TimePoint(2s));
  CHECK(hold.since == TimePoint(1s));
  hold.Observe(WaitingGate::kReserved, TimePoint(3s));
  CHECK(hold == GateHold{WaitingGate::kReserved, TimePoint(3s)});
}

TEST_CASE("a step whose tenant's maximum is in use waits for the quota while workers are free") {
  CellWorld world(501, 3, 6);
  AddQueues(world);
  world.configuration.needs_keys = true;
  world.configuration.tenants = {TenantSpec{"north", {"n1"}, 50, Resources{4000, 0, 0}}};
  world.Configure();
  REQUIRE(Settle(world));
  world.SetKey(JobId(1), "n1");
  SubmitLong(world, JobOf(1, {StepOf(1, 3000, kLong)}));
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 2s));
  world.SetKey(JobId(2), "n1");
  SubmitLong(world, JobOf(2, {StepOf(1, 3000)}));
  world.RunFor(5s);
  CHECK(world.starts() == 1);
  CHECK(ClosedGates(world) == Gates{"quota"});
  CHECK(Overdue(world) == 1);
}

TEST_CASE("a step that fits on no worker waits for capacity and is not overdue while little is free") {
  CellWorld world(502, 3, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  SubmitLong(world, JobOf(1, {StepOf(2, kWholeWorkerCpuMillis, kLong)}));
  REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 2s));
  SubmitLong(world, JobOf(2, {StepOf(1, 1000)}));
  world.RunFor(5s);
  CHECK(world.starts() == 2);
  CHECK(ClosedGates(world) == Gates{"no_capacity"});
  CHECK(Overdue(world) == 0);
}

TEST_CASE("a step waits for the answer of the advice service, or is allowed nowhere") {
  for (const bool answers : {false, true}) {
    CellWorld world(503, 3, 6);
    AddQueues(world);
    world.allowed_percent["advised"] = 0;
    if (!answers) {
      world.configuration.queues[1].advice->base = 60s;
      world.Configure();
    }
    REQUIRE(Settle(world));
    SubmitLong(world, JobOf(1, {StepOf(1, 1000)}, "advised"));
    world.RunFor(5s);
    CHECK(world.starts() == 0);
    CHECK(ClosedGates(world) == Gates{answers ? "not_allowed" : "advice_pending"});
    CHECK(Overdue(world) == 1);
  }
}

// Job 1 takes the whole of both workers; job 2 has not started when the owner dies and one worker falls silent.
TEST_CASE("after a takeover a step waits for the runs of the earlier owner until the silent worker is settled") {
  CellWorld world(504, 3, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  SubmitLong(world, JobOf(1, {StepOf(2, kWholeWorkerCpuMillis, kLong)}));
  REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 2s));
  SubmitLong(world, JobOf(2, {StepOf(1, 1000)}));
  world.RunFor(1s);
  REQUIRE(world.Accepted(JobId(2)));
  world.worker(0).faults.silent = true;
  world.Kill(*world.OwnerIndex());
  REQUIRE(world.RunUntil([&] { return HasOwner(world); }, 4s));
  world.RunFor(kTwoChecks);
  CHECK(WaitingAt(world, WaitingGate::kEarlierRuns) >= 1);
  CHECK(ClosedGates(world) == Gates{"earlier_runs"});
  world.RunFor(20s);
  CHECK(WaitingAt(world, WaitingGate::kEarlierRuns) == 0);
  CHECK(ClosedGates(world) == Gates{"no_capacity"});
}

// The start of job 1 got no answer, and its worker's next life answers no stop.
TEST_CASE("a step waits while an unanswered start may arrive in the next life of its worker") {
  CellWorld world(505, 3, 1);
  AddQueues(world);
  REQUIRE(Settle(world));
  FakeWorker& worker = world.worker(0);
  worker.faults.silent = true;
  SubmitLong(world, JobOf(1, {StepOf(1, 1000)}));
  world.RunFor(8s);  // Its lease is over, and the run is given up.
  worker.Crash();
  worker.Restart();
  world.RunFor(kTwoChecks);
  CHECK(ClosedGates(world) == Gates{"may_still_start"});
  worker.faults.silent = false;
  REQUIRE(world.RunUntil([&] { return world.starts() == 1; }, 20s));
  world.RunFor(kTwoChecks);
  CHECK(ClosedGates(world).empty());
  CHECK(world.violations().empty());
}

TEST_CASE("a step waits for the owner's authority while the store is silent for longer than the owner may doubt") {
  CellWorld world(506, 3, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  SubmitLong(world, JobOf(1, {StepOf(3, kWholeWorkerCpuMillis, kLong)}));
  REQUIRE(world.RunUntil([&] { return world.starts() == 2; }, 2s));
  const size_t owner = *world.OwnerIndex();
  world.store().faults.silent = true;
  world.RunFor(kMaxDoubt + 5s);
  const std::string gauge = "waiting_steps{gate=\"authority\"}";
  CHECK(world.CounterOf(owner, gauge) >= 1);
}

}  // namespace
}  // namespace hibiscus::cell
