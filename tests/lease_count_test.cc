// A worker that was leased after its request was surely nowhere else: another home host may have claimed the request
// and started it there before. Both sides, each played by hand: the owner who refuses the room, and the home host that
// says since when it is sure.
#include <catch2/catch.hpp>

#include "tests/home_and_peer.h"

namespace hibiscus {

namespace {

const RunId kRun{TaskId{{"tenant", "id"}, 0}, 77};
const Resources kSize{100, 100, 0};

// The room is held, so that the home host commits; while the commit is under way the owner's heartbeats change. But the
// run never starts, and the home host asks for room again.
void FailToStart(HomeAndPeer& both, const RunId& run, uint64_t next_incarnation, uint64_t next_lease_count) {
  both.Tell(Reserved{run, ResultCode::kOk, "w1", 5, 0us});
  both.incarnation = next_incarnation;
  both.lease_count = next_lease_count;
  both.Pass(1s);
  both.Tell(RunReport{run, "w1", 5, RunPhase::kNotStarted, {}});
}

}  // namespace

TEST_CASE("an owner gives no room on a worker that it leased later than the request was verified") {
  OneHost owner("a1");
  owner.Do(ListEvent{{ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}}});
  owner.Pass(kTickInterval);
  const auto calls = owner.Take<SendWorker>();
  REQUIRE(calls.size() == 1);
  owner.Do(WorkerEvent{calls[0].call, Delivery::kAnswered, WorkerReply{WorkerStatus::kOk, 5, kPeersRoom, true, {}}});
  const auto ask = [&](uint64_t lease_count) {
    owner.Take<SendPeer>();
    owner.Do(PeerEvent{"a2", Reserve{kRun, "batch", WorkKind::kBatch, kSize, 1s, 1s, false, 1, lease_count}});
    const auto reserved = owner.TakeSent<Reserved>();
    REQUIRE(reserved.size() == 1);
    return reserved[0].second.code;
  };
  REQUIRE(ask(0) == ResultCode::kRepeatUnverified);
  REQUIRE(ask(1) == ResultCode::kOk);
}

TEST_CASE("a home host names the leases known when the request was accepted, not those known when it asks") {
  HomeAndPeer both;
  both.Submit("batch", 1, false);
  const auto first = both.Next<Reserve>();
  REQUIRE(first.lease_count == 3);
  FailToStart(both, first.run, 7, 4);
  REQUIRE(both.Next<Reserve>().lease_count == 3);
}

TEST_CASE("the lease count of an owner's former process vouches for none of the new one's leases") {
  HomeAndPeer both;
  both.Submit("batch", 1, false);
  FailToStart(both, both.Next<Reserve>().run, 8, 1);
  REQUIRE(both.Next<Reserve>().lease_count == 0);
}

TEST_CASE("room refused as unverified is asked for again only after a claim, with the leases known when it began") {
  HomeAndPeer both;
  both.Submit("batch", 1, false);
  const auto first = both.Next<Reserve>();
  both.lease_count = 4;
  both.Pass(100ms);
  both.Tell(Reserved{first.run, ResultCode::kRepeatUnverified, {}, 0, 1s});
  const auto claim = both.Next<Claim>();
  both.lease_count = 5;
  both.Pass(100ms);
  REQUIRE_FALSE(both.Sent<Reserve>());
  both.ClearClaim(claim);
  REQUIRE(both.Next<Reserve>().lease_count == 4);
}

}  // namespace hibiscus
