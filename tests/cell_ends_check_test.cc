// The test stand-in's own checks of starts after an end done: what they report, and what the platform's rules allow.
#include <string>

#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kRunTime = 200ms;
constexpr Duration kLease = 1s;
constexpr Duration kShortLease = 250ms;  // Lapses 50 ms after a run that started with it.

// Orders go to the workers directly; the only host is down.
struct Orders {
  CellWorld world{1, 1, 3};
  JobSpec job;

  explicit Orders(const StepSpec& step = StepOf(1, 1000)) : job(JobOf(1, {step})) {
    AddQueues(world);
    world.Kill(0);
    world.Submit(0, job, TaskBehaviour{.takes = kRunTime, .ends_by_itself = true}, [](const CallerReply&) {});
  }

  OrderAnswer Hold(size_t worker, int64_t acknowledged, Duration lease = 0ms) {
    FakeWorker& target = world.worker(worker);
    HoldOrder order{1, acknowledged, 0us, 0us};
    if (lease > 0ms) {
      order.deadline = Clock(worker) + lease;
    }
    return target.Hold(order);
  }

  void Start(size_t worker, int run, int index = 0, Duration lease = kLease) {
    StartOrder order;
    order.run = RunRef{TaskRef{job.id, 0, 0, index}, run};
    order.payload = job.payload;
    order.deadline = Clock(worker) + lease;
    order.token = 1;
    REQUIRE(world.worker(worker).Start(order).status == OrderStatus::kOk);
  }

  // Run 1 of the first task is done on the first worker.
  void RunOnce(Duration lease = kLease) {
    Start(0, 1, 0, lease);
    world.RunFor(kRunTime);
    REQUIRE(world.CompletionCount(TaskRef{job.id, 0, 0, 0}) == 1);
  }

  // The same with a gang of two on the first two workers.
  void RunGangOnce() {
    Start(0, 1, 0);
    Start(1, 1, 1);
    world.RunFor(kRunTime);
    REQUIRE(world.CompletionCount(TaskRef{job.id, 0, 0, 1}) > 0);
  }

  void CheckReported(const std::string& text) const {
    CAPTURE(world.violations());
    REQUIRE(world.violations().size() == 1);
    CHECK_THAT(world.violations().front(), Catch::Contains(text));
  }

 private:
  // Of all orders, a stop of a run that is not there neither lists ends nor extends the lease.
  Duration Clock(size_t worker) {
    return world.worker(worker).Stop(RunRef{TaskRef{"none", 0, 0, 0}, 1}, 1).worker_clock;
  }
};

StepSpec GangOfTwo() {
  StepSpec step = StepOf(2, 1000);
  step.gang = true;
  return step;
}

const std::string kAcknowledgedLater = "started after its end, which is acknowledged now";
const std::string kListedBefore = "after its end was listed";

// --- Ends that are acknowledged after the start ---

TEST_CASE("a start after an end that is acknowledged later is reported") {
  Orders orders;
  orders.RunOnce();
  orders.Start(1, 2);
  CHECK(orders.world.violations().empty());
  orders.Hold(0, 1);
  orders.CheckReported(kAcknowledgedLater);
}

TEST_CASE("a start after an end that was acknowledged before is reported once") {
  Orders orders;
  orders.RunOnce();
  orders.Hold(0, 1);
  CHECK(orders.world.violations().empty());
  orders.Start(1, 2);
  orders.Hold(0, 1);
  orders.CheckReported("started after its end was acknowledged");
}

TEST_CASE("the end of any member of a gang stands for all of them when it is acknowledged") {
  for (const size_t acknowledged : {0, 1}) {
    for (const int started : {0, 1}) {
      INFO("end of member " << acknowledged << ", start of member " << started);
      Orders orders(GangOfTwo());
      orders.RunGangOnce();
      orders.Start(2, 2, started);
      CHECK(orders.world.violations().empty());
      orders.Hold(acknowledged, 1);
      orders.CheckReported(kAcknowledgedLater);
    }
  }
}

TEST_CASE("a start after the end of another task of its step is not reported") {
  Orders orders(StepOf(2, 1000));
  orders.world.judges_listed_ends = true;
  orders.RunOnce();
  orders.Hold(0, 0);
  orders.world.RunFor(150ms);
  orders.Start(1, 1, 1);
  orders.Hold(0, 1);
  CHECK(orders.world.violations().empty());
}

TEST_CASE("a start after an end is not reported when the lease has lapsed before the end is acknowledged") {
  for (const bool renewed : {false, true}) {
    INFO("renewed " << renewed);
    Orders orders;
    orders.RunOnce(kShortLease);
    orders.world.RunFor(100ms);
    orders.Start(1, 2);
    if (renewed) {
      orders.Hold(0, 0, kLease);
    }
    orders.Hold(0, 1);
    CHECK(orders.world.violations().empty());
  }
}

TEST_CASE("an end that is acknowledged after the lease has lapsed does not forbid later starts") {
  for (const bool renewed : {false, true}) {
    INFO("renewed " << renewed);
    Orders orders;
    orders.RunOnce(kShortLease);
    orders.world.RunFor(100ms);
    orders.Hold(0, 1, renewed ? kLease : 0ms);
    orders.Start(1, 2);
    CHECK(orders.world.violations().empty());
  }
}

TEST_CASE("a lease that lapsed before a run began or lapses after its end was acknowledged excuses no start") {
  Orders orders;
  orders.Hold(0, 0, 50ms);
  orders.world.RunFor(100ms);
  orders.RunOnce(kShortLease);
  SECTION("before") {
    orders.Start(1, 2);
    orders.Hold(0, 1);
    orders.CheckReported(kAcknowledgedLater);
  }
  SECTION("after") {
    orders.Hold(0, 1);
    orders.world.RunFor(100ms);
    orders.Start(1, 2);
    orders.CheckReported("started after its end was acknowledged");
  }
}

TEST_CASE("the number of an end that another life of the worker hears acknowledges nothing") {
  Orders orders;
  orders.RunOnce();
  orders.world.worker(0).Crash();
  orders.world.worker(0).Restart();
  orders.Start(1, 2);
  orders.Hold(0, 1);
  CHECK(orders.world.violations().empty());
}

// --- Ends that were listed before the start ---

TEST_CASE("a start over 100 ms after its end was listed is reported if the world judges that") {
  for (const bool judges : {false, true}) {
    for (const Duration after : {100ms, 101ms}) {
      INFO("judges " << judges << ", started after " << Millis(after) << " ms");
      Orders orders;
      orders.world.judges_listed_ends = judges;
      orders.RunOnce();
      REQUIRE(orders.Hold(0, 0).ended.size() == 1);
      orders.world.RunFor(after);
      orders.Start(1, 2);
      if (judges && after > 100ms) {
        orders.CheckReported(kListedBefore);
      } else {
        CHECK(orders.world.violations().empty());
      }
    }
  }
}

TEST_CASE("an end that is listed again counts from the first time") {
  Orders orders;
  orders.world.judges_listed_ends = true;
  orders.RunOnce();
  orders.Hold(0, 0);
  orders.world.RunFor(90ms);
  orders.Hold(0, 0);
  orders.world.RunFor(20ms);
  orders.Start(1, 2);
  orders.CheckReported(kListedBefore);
}

TEST_CASE("a start after an end that was not listed is not reported") {
  Orders orders;
  orders.world.judges_listed_ends = true;
  orders.RunOnce();
  orders.world.RunFor(300ms);
  orders.Start(1, 2);
  CHECK(orders.world.violations().empty());
}

TEST_CASE("a listed end of any member of a gang stands for all of them") {
  for (const int started : {0, 1}) {
    INFO("start of member " << started);
    Orders orders(GangOfTwo());
    orders.world.judges_listed_ends = true;
    orders.RunGangOnce();
    orders.Hold(1, 0);
    orders.world.RunFor(150ms);
    orders.Start(2, 2, started);
    orders.CheckReported(kListedBefore);
  }
}

TEST_CASE("a start after a listed end is not reported when the lease has lapsed within 100 ms") {
  for (const bool renewed : {false, true}) {
    INFO("renewed " << renewed);
    Orders orders;
    orders.world.judges_listed_ends = true;
    orders.RunOnce(kShortLease);
    orders.Hold(0, 0);
    orders.world.RunFor(70ms);
    if (renewed) {
      orders.Hold(0, 0, kLease);
    }
    orders.world.RunFor(100ms);
    orders.Start(1, 2);
    CHECK(orders.world.violations().empty());
  }
}

TEST_CASE("a lease that lapses over 100 ms after an end was listed excuses no start") {
  for (const bool renewed : {false, true}) {
    INFO("renewed " << renewed);
    Orders orders;
    orders.world.judges_listed_ends = true;
    orders.RunOnce(kShortLease + 100ms);
    orders.Hold(0, 0);
    orders.world.RunFor(200ms);
    if (renewed) {
      orders.Hold(0, 0, kLease);
    }
    orders.Start(1, 2);
    orders.CheckReported(kListedBefore);
  }
}

TEST_CASE("an end that was listed stands when its worker leaves or starts again") {
  Orders orders;
  orders.world.judges_listed_ends = true;
  orders.RunOnce();
  orders.Hold(0, 0);
  orders.world.RunFor(10ms);
  SECTION("leaves") {
    orders.world.worker(0).Depart();
  }
  SECTION("starts again") {
    orders.world.worker(0).Crash();
    orders.world.worker(0).Restart();
  }
  SECTION("starts again under a new id") {
    orders.world.worker(0).Crash();
    orders.world.worker(0).RestartUnderNewId();
  }
  orders.world.RunFor(2s);
  orders.Start(1, 2);
  orders.CheckReported(kListedBefore);
}

TEST_CASE("a listed end whose worker left shortly before its lease lapsed forbids no start") {
  for (const bool again : {false, true}) {
    INFO("starts again " << again);
    Orders orders;
    orders.world.judges_listed_ends = true;
    orders.RunOnce(kShortLease);
    orders.Hold(0, 0);
    orders.world.RunFor(10ms);
    orders.world.worker(0).Crash();
    if (again) {
      orders.world.worker(0).Restart();
    }
    orders.world.RunFor(2s);
    orders.Start(1, 2);
    CHECK(orders.world.violations().empty());
  }
}

// --- Steps that are exempt ---

TEST_CASE("speculative and long-running steps may start again after an end") {
  StepSpec step = StepOf(1, 1000);
  SECTION("speculative") {
    step.speculative = true;
  }
  SECTION("long-running") {
    step.long_running = true;
  }
  Orders orders(step);
  orders.world.judges_listed_ends = true;
  orders.RunOnce();
  orders.Hold(0, 0);
  orders.world.RunFor(150ms);
  orders.Start(1, 2);
  orders.Hold(0, 1);
  CHECK(orders.world.violations().empty());
}

}  // namespace
}  // namespace hibiscus::cell
