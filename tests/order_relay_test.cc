// Orders that reach workers through other hosts.
#include <catch2/catch.hpp>

#include "cell/messages.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr size_t kHosts = 5;

// All hosts with `processor_millis` thousandths of a core, by index; 0: not known.
void RebootWith(CellWorld& world, size_t max_direct_workers, const std::vector<int>& processor_millis) {
  world.max_direct_workers = max_direct_workers;
  for (size_t i = 0; i < world.host_count(); ++i) {
    world.Kill(i);
    world.SetProcessorMillis(i, i < processor_millis.size() ? processor_millis[i] : 0);
  }
  for (size_t i = 0; i < world.host_count(); ++i) {
    world.Boot(i);
  }
}

bool CompletedWithin(CellWorld& world, const JobSpec& job, Duration limit) {
  return world.RunUntil([&] { return world.StateOf(job.queue, job.id) == JobState::kCompleted; }, limit);
}

TEST_CASE("with many workers the owner leaves the calls to relays") {
  for (const bool relays : {false, true}) {
    CellWorld world(51, kHosts, 12);
    RebootWith(world, relays ? 11 : 12, {});
    AddQueues(world);
    REQUIRE(Settle(world));
    world.RunFor(2s);  // All hosts are listed.
    world.CutWorkers(*world.OwnerIndex(), true);
    const JobSpec job = JobOf(1, {StepOf(12, 4000)});
    world.SubmitWithRetries(job, TaskBehaviour{300ms, 0});
    CHECK(CompletedWithin(world, job, 4s) == relays);
    CHECK(world.violations().empty());
  }
}

TEST_CASE("weak hosts are no relays") {
  CellWorld world(52, kHosts, 12);
  RebootWith(world, 0, {500, 500, 100, 100, 100});
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(4s);
  for (size_t i = 2; i < kHosts; ++i) {
    world.CutWorkers(i, true);
  }
  world.CutWorkers(*world.OwnerIndex(), true);
  const JobSpec job = JobOf(1, {StepOf(12, 4000)});
  world.SubmitWithRetries(job, TaskBehaviour{300ms, 0});
  CHECK(CompletedWithin(world, job, 3s));
  CHECK(world.violations().empty());
}

// Holds last 4.5 s; what runs must outlive the time in which the relay's silence is noticed.
TEST_CASE("when a relay dies its workers keep what they run, and get new work through others") {
  CellWorld world(53, kHosts, 12);
  RebootWith(world, 0, {});
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(2s);
  const JobSpec running = JobOf(1, {StepOf(12, 4000)});
  world.SubmitWithRetries(running, TaskBehaviour{6s, 0});
  REQUIRE(world.RunUntil([&] { return world.starts() == 12; }, 3s));
  const size_t owner = *world.OwnerIndex();
  for (size_t i = 0; i + 2 < kHosts; ++i) {
    world.Kill((owner + 1 + i) % kHosts);  // One relay is left.
  }
  world.RunFor(4s);
  const JobSpec later = JobOf(2, {StepOf(12, 4000)});
  world.Submit(owner, later, TaskBehaviour{300ms, 0}, [](const CallerReply&) {});
  CHECK(CompletedWithin(world, later, 4s));
  CHECK(CompletedWithin(world, running, 5s));
  CHECK(world.starts() == 24);
  CHECK(world.violations().empty());
}

// Paused for longer than the owner's lease, and awake again with orders that it was given before.
TEST_CASE("a relay that wakes up passes no order of a replaced owner on") {
  CellWorld world(54, kHosts, 4);
  RebootWith(world, 0, {});
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(2s);
  const size_t first = *world.OwnerIndex();
  world.Kill(first);
  REQUIRE(world.RunUntil([&] { return HasOwner(world); }, 5s));
  world.RunFor(500ms);
  const size_t relay = (*world.OwnerIndex() + 1) % kHosts == first ? (*world.OwnerIndex() + 2) % kHosts
                                                                   : (*world.OwnerIndex() + 1) % kHosts;
  const WorkerEntry& worker = world.worker(0).entry;
  StartRequest late;
  late.call = 1;
  late.reply_to = "nobody";
  late.term = 1;
  late.worker = WorkerTarget{worker.id, worker.address, worker.data_centre};
  late.order = StartOrder{RunRef{TaskRef{JobId(9), 0, 0, 0}, 1}, "work", 1h, 1'000'000, "", ""};
  late.valid_until = 1000h;
  world.host(relay)->OnPeerMessage(EncodeMessage(late));
  world.RunFor(1s);
  CHECK(world.starts() == 0);
}

// The relay was paused with the start in its hands; the worker's next life has a clock on which nothing is late.
TEST_CASE("a relay passes no start on that it takes in too late") {
  CellWorld world(56, kHosts, 4);
  RebootWith(world, 0, {});
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t relay = (*world.OwnerIndex() + 1) % kHosts;
  const WorkerEntry& worker = world.worker(0).entry;
  StartRequest late;
  late.reply_to = "nobody";
  late.term = 1'000'000;
  late.worker = WorkerTarget{worker.id, worker.address, worker.data_centre};
  late.order = StartOrder{RunRef{TaskRef{JobId(9), 0, 0, 0}, 1}, "work", 1h, 1'000'000, "", ""};
  late.valid_until = world.Now().time_since_epoch() - 1ms;
  world.host(relay)->OnPeerMessage(EncodeMessage(late));
  world.RunFor(1s);
  CHECK(world.starts() == 0);
  CHECK(world.CounterOf(relay, "orders_too_late_to_pass_on") == 1);
}

// In the worker's next life the hold would take ends as acknowledged that the owner has not received.
TEST_CASE("a relay passes no hold on that it takes in too late") {
  for (const bool late : {true, false}) {
    CellWorld world(57, kHosts, 4);
    RebootWith(world, 0, {});
    AddQueues(world);
    REQUIRE(Settle(world));
    const size_t owner = *world.OwnerIndex();
    const size_t relay = (owner + 1) % kHosts;
    const WorkerEntry& worker = world.worker(0).entry;
    HoldRequest hold;
    hold.reply_to = "nobody";
    hold.term = 1'000'000;
    hold.worker = WorkerTarget{worker.id, worker.address, worker.data_centre};
    hold.order = HoldOrder{1'000'000, 99, 1h, 0us};
    hold.valid_until = late ? world.Now().time_since_epoch() - 1ms : 0us;  // 0: from a host without the field.
    world.host(relay)->OnPeerMessage(EncodeMessage(hold));
    world.RunFor(1500ms);
    CHECK(world.CounterOf(relay, "orders_too_late_to_pass_on") == (late ? 1 : 0));
    // A hold that was passed on has fenced the owner.
    CHECK((world.CounterOf(owner, "owner_deposed") == 0) == late);
  }
}

TEST_CASE("a malformed message between hosts is dropped") {
  CellWorld world(55, 2, 2);
  AddQueues(world);
  REQUIRE(Settle(world));
  const std::string good = EncodeMessage(HoldRequest{});
  for (size_t length = 0; length < good.size(); ++length) {
    world.host(0)->OnPeerMessage(good.substr(0, length));
  }
  std::string changed = good;
  for (size_t i = 0; i < good.size(); ++i) {
    changed[i] = static_cast<char>(changed[i] ^ 0x5a);
    world.host(0)->OnPeerMessage(changed);
    changed[i] = good[i];
  }
  world.RunFor(1s);
  CHECK(HasOwner(world));
}

}  // namespace
}  // namespace hibiscus::cell
