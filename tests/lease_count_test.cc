// A worker that was leased after its request was surely nowhere else: another home host may have claimed the request
// and started it there before. Both sides, each played by hand: the owner who refuses the room, and the home host that
// says since when it is sure.
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/one_host.h"

namespace hibiscus {

namespace {

const RunId kRun{TaskId{{"tenant", "id"}, 0}, 77};
const Resources kSize{100, 100, 0};
const Resources kRoom{1000, 1000, 0};

// The home host "a1", and "a2", which owns the room.
class HomeAndOwner {
 public:
  HomeAndOwner() : home("a1") {
    home.Configure({ClassSpec{"batch", WorkKind::kBatch, 30s, 60s, true}});
    home.Do(ListEvent{{ListEntry{ListKind::kEntryHost, "a2", "dc", {}, {}, false}}});
    Pass(2s);
  }

  // Lets time pass; the owner's heartbeats tell its count of leases.
  void Pass(Duration duration) {
    for (Duration passed = 0us; passed < duration; passed += kTickEvery) {
      home.Do(PeerEvent{"a2", Heartbeat{"dc", incarnation, false, 1, kRoom, kRoom, 0, lease_count}});
      home.Pass(kTickEvery);
    }
  }

  void Submit() {
    Request request;
    request.key = kRun.task.key;
    request.attempt = 1;
    request.class_name = "batch";
    request.size = kSize;
    home.Do(PeerEvent{"a2", ForwardRequest{3, request, false}});
    Pass(kTickEvery);
  }

  Reserve AwaitReserve() { return Await<Reserve>(); }
  Claim AwaitClaim() { return Await<Claim>(); }

  // The room is held, so that the home host commits; while the commit is under way the owner's heartbeats change. But
  // the run never starts, and the home host asks for room again.
  void FailToStart(const RunId& run, uint64_t next_incarnation, uint64_t next_lease_count) {
    home.Do(PeerEvent{"a2", Reserved{run, ResultCode::kOk, "w1", 5, 0us}});
    incarnation = next_incarnation;
    lease_count = next_lease_count;
    Pass(1s);
    home.Do(PeerEvent{"a2", RunReport{run, "w1", 5, RunPhase::kNotStarted, {}}});
  }

  OneHost home;
  uint64_t incarnation = 7;
  uint64_t lease_count = 3;

 private:
  // The next message of this kind to the owner.
  template <class Message>
  Message Await() {
    for (Duration passed = 0us; passed < 5s; passed += kTickEvery) {
      const auto sent = home.TakeSent<Message>();
      const auto to_owner = std::find_if(sent.begin(), sent.end(), [](const auto& each) { return each.first == "a2"; });
      if (to_owner != sent.end()) {
        return to_owner->second;
      }
      Pass(kTickEvery);
    }
    FAIL("the home host does not send it");
    return {};
  }
};

}  // namespace

TEST_CASE("an owner gives no room on a worker that it leased later than the request was verified") {
  OneHost owner("a1");
  owner.Do(ListEvent{{ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}}});
  owner.Pass(kTickEvery);
  const auto calls = owner.Take<SendWorker>();
  REQUIRE(calls.size() == 1);
  owner.Do(WorkerEvent{calls[0].call, Delivery::kAnswered, WorkerReply{WorkerStatus::kOk, 5, kRoom, true, {}}});
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
  HomeAndOwner both;
  both.Submit();
  const Reserve first = both.AwaitReserve();
  REQUIRE(first.lease_count == 3);
  both.FailToStart(first.run, 7, 4);
  REQUIRE(both.AwaitReserve().lease_count == 3);
}

TEST_CASE("the lease count of an owner's former process vouches for none of the new one's leases") {
  HomeAndOwner both;
  both.Submit();
  const Reserve first = both.AwaitReserve();
  both.FailToStart(first.run, 8, 1);
  REQUIRE(both.AwaitReserve().lease_count == 0);
}

TEST_CASE("room refused as unverified is asked for again only after a claim, with the leases known when it began") {
  HomeAndOwner both;
  both.Submit();
  const Reserve first = both.AwaitReserve();
  both.lease_count = 4;
  both.Pass(100ms);
  both.home.Do(PeerEvent{"a2", Reserved{first.run, ResultCode::kRepeatUnverified, {}, 0, 1s}});
  const Claim claim = both.AwaitClaim();
  both.lease_count = 5;
  both.Pass(100ms);
  REQUIRE(both.home.TakeSent<Reserve>().empty());
  both.home.Do(PeerEvent{"a2", ClaimAnswer{claim.key, claim.view, true, false, {}, {}}});
  REQUIRE(both.AwaitReserve().lease_count == 4);
}

}  // namespace hibiscus
