// The owner's answer to a home host whose request another home host has taken over: it may have run and be forgotten
// here, so it must not be called "not started".
#include <catch2/catch.hpp>

#include "core/explain.h"
#include "tests/one_host.h"

namespace hibiscus {

TEST_CASE("a commit for an unknown run is in doubt") {
  OneHost host("a");
  host.Configure({ClassSpec{"once", WorkKind::kGang, 10min, 1h, false}});
  host.Pass(2s, {"b", "c"});
  std::string worker = "w";
  while (host.core.ExplainWorker(worker).owner != "a") {
    worker += "w";
  }
  host.Do(ListEvent{{ListEntry{ListKind::kWorker, worker, "dc", "r1", "127.0.0.1:1", false}}});
  host.Pass(100ms, {"b", "c"});
  const auto acquires = host.Take<SendWorker>();
  REQUIRE_FALSE(acquires.empty());
  host.Do(WorkerEvent{acquires[0].call, Delivery::kAnswered, {WorkerStatus::kOk, 1, {1000, 1000, 0}, true, {}}});
  const RequestKey key{"t", "1"};
  const Commit commit{RunId{TaskId{key, 0}, 5}, worker, 1, "once", {}, 1s, {}};
  host.actions.clear();

  SECTION("nobody is known to have claimed it: absence alone proves nothing") {
    host.Do(PeerEvent{"b", commit});
    const auto reports = host.TakeSent<RunReport>();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].second.phase == RunPhase::kGone);
  }
  SECTION("another home host has claimed it, and may have stopped and acknowledged the run") {
    host.Do(PeerEvent{"c", Claim{key, 1, 0, {}}});
    host.actions.clear();
    host.Do(PeerEvent{"b", commit});
    const auto reports = host.TakeSent<RunReport>();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].second.phase == RunPhase::kGone);
  }
}

}  // namespace hibiscus
