#include <catch2/catch.hpp>

#include "hibiscusstand/lease.h"

namespace hibiscus {

namespace {
constexpr Duration kTtl = 4s;
}  // namespace

TEST_CASE("one holder at a time, and tokens only grow") {
  ManualClock clock;
  LeaseGranter worker;
  REQUIRE(worker.Acquire("a", 0, kTtl, clock.Now()) == LeaseResult::kFresh);
  REQUIRE(worker.Acquire("b", 0, kTtl, clock.Now()) == LeaseResult::kHeldByOther);
  clock.Advance(3s);
  REQUIRE(worker.Acquire("a", 1, kTtl, clock.Now()) == LeaseResult::kRenewed);
  clock.Advance(3s);
  REQUIRE(worker.IsCurrent(1, clock.Now()));
  clock.Advance(1s);
  REQUIRE_FALSE(worker.IsCurrent(1, clock.Now()));
  REQUIRE(worker.Acquire("b", 0, kTtl, clock.Now()) == LeaseResult::kFresh);
  REQUIRE(worker.token() == 2);
  REQUIRE(worker.Acquire("a", 1, kTtl, clock.Now()) == LeaseResult::kStale);
}

TEST_CASE("the holder's view ends before the granter's, however long the messages travel") {
  for (Duration to = 0ms; to <= 5s; to += 500ms) {
    for (Duration back = 0ms; back <= 5s; back += 500ms) {
      ManualClock clock;
      LeaseGranter worker;
      LeaseHolder host;
      host.BeginAcquire(clock.Now());
      clock.Advance(to);
      REQUIRE(worker.Acquire("a", 0, kTtl, clock.Now()) == LeaseResult::kFresh);
      clock.Advance(back);
      REQUIRE(host.EndAcquire(worker.token(), kTtl));
      for (int i = 0; i < 100; ++i, clock.Advance(50ms)) {
        REQUIRE((!host.Holds(clock.Now()) || worker.IsCurrent(host.token(), clock.Now())));
      }
    }
  }
}

TEST_CASE("a lease that was lost is not held until a fresh grant, which says so") {
  ManualClock clock;
  LeaseHolder host;
  host.BeginAcquire(clock.Now());
  REQUIRE(host.EndAcquire(1, kTtl));
  host.Invalidate();
  REQUIRE_FALSE(host.Holds(clock.Now()));
  host.BeginAcquire(clock.Now());
  REQUIRE(host.EndAcquire(2, kTtl));
  host.BeginAcquire(clock.Now());
  REQUIRE_FALSE(host.EndAcquire(2, kTtl));
}

}  // namespace hibiscus
