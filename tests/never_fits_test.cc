// A job that can never run is refused at once, also by a host to which no worker falls.
#include <catch2/catch.hpp>

#include "core/explain.h"
#include "tests/one_host.h"

namespace hibiscus {

TEST_CASE("a host to which no worker falls does not keep a task waiting for room that it will never have") {
  OneHost host("a");
  host.Configure({ClassSpec{"slow", WorkKind::kBatch, 10min, 1h, true}});
  host.Pass(2s, {"b"});
  std::string worker = "w";
  while (host.core.ExplainWorker(worker).owner != "b") {
    worker += "w";
  }
  host.Do(ListEvent{{ListEntry{ListKind::kWorker, worker, "dc", "r1", "127.0.0.1:1", false}}});
  host.Pass(100ms, {"b"});
  host.actions.clear();
  Reserve reserve;
  reserve.run = RunId{TaskId{RequestKey{"t", "1"}, 0}, 5};
  reserve.class_name = "slow";
  reserve.size = Resources{1000, 0, 0};
  reserve.start_within = 10min;
  host.Do(PeerEvent{"b", reserve});
  const auto replies = host.TakeSent<Reserved>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].second.code == ResultCode::kNeverFits);
}

}  // namespace hibiscus
