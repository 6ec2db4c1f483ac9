#include <random>

#include <catch2/catch.hpp>

#include "ports/caller_api.h"
#include "ports/json_codec.h"
#include "ports/peer_codec.h"

namespace hibiscus {

TEST_CASE("peer messages survive their bytes") {
  const RunId run{TaskId{{"tenant", "id"}, 3}, 0xffff'ffff'ffff'ffffULL};
  const std::vector<PeerMessage> messages = {
      Heartbeat{"dc", 5, true, 6, Resources{1, 2, 3}, Resources{4, 5, 6}, -7},
      Reserve{run, "class", WorkKind::kGang, Resources{1, 2, 3}, 5s, 6s, false, 4},
      RunReport{run, "worker", 9, RunPhase::kDone, std::string("\0body", 5)},
      Digest{"dc", true, true, 7, Resources{1, 2, 3}, {}, {{"h1", 3}, {"h2", -4}}},
      CentreClaimAnswer{run.task.key, "dc", "h1"},
      ClaimRetract{run.task.key, 7, "h1", true},
      ClaimAnswer{run.task.key, 8, true, false, {RunReport{run, "worker", 9, RunPhase::kStarted, {}}}, {}},
  };
  for (const PeerMessage& message : messages) {
    const auto read = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(read);
    REQUIRE(*read == message);
  }
  REQUIRE_FALSE(DecodePeerMessage("no cbor"));
}

TEST_CASE("what was left at its default takes no bytes, and names are short") {
  REQUIRE(EncodePeerMessage(Heartbeat{}).size() <= 4);
  const Digest digest{"dc", false, false, 7, Resources{1, 2, 3}, Resources{4, 5, 6}, {{"h1", 3}, {"h2", 0}}};
  REQUIRE(EncodePeerMessage(digest).size() < 80);
}

TEST_CASE("calls to the platform leave out defaults and lose nothing by it") {
  const RunId run{TaskId{{"tenant", "id"}, 0}, 7};
  WorkerCall renewal{WorkerOp::kAcquire, "a1", 1'234'567, 4s, 20s, 1s, {}, {}, 0us, {}};
  REQUIRE(DecodeJson<WorkerCall>(EncodeCompactJson(renewal)) == renewal);
  REQUIRE(EncodeCompactJson(renewal).size() < EncodeJson(renewal).size() / 2);
  renewal.acks = {run, RunId{}};
  REQUIRE(DecodeJson<WorkerCall>(EncodeCompactJson(renewal)) == renewal);
  WorkerCall start{WorkerOp::kStart, "a1", 9, 0us, 20s, 0us, {}, {}, 5s, "p"};
  start.task.run = run;
  start.task.size = Resources{500, 0, 1};
  REQUIRE(DecodeJson<WorkerCall>(EncodeCompactJson(start)) == start);
  REQUIRE(DecodeJson<WorkerCall>(EncodeCompactJson(WorkerCall{})) == WorkerCall{});
  const ServerCall probe{ServerOp::kProbe, {}, {}, 0us};
  REQUIRE(DecodeJson<ServerCall>(EncodeCompactJson(probe)) == probe);
  const StoreCall put{StoreOp::kPut, "key", "value", 3, 0us};
  REQUIRE(DecodeJson<StoreCall>(EncodeCompactJson(put)) == put);
}

TEST_CASE("bytes that no peer wrote are refused and never crash") {
  REQUIRE_FALSE(DecodePeerMessage(std::string(1'000'000, '\x81')));  // Arrays in arrays.
  std::mt19937_64 random(1);
  const std::string whole = EncodePeerMessage(Digest{"dc", false, false, 7, {}, {}, {{"h1", 3}, {"h2", 0}}});
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = i % 2 == 0 ? whole : std::string(random() % 40, '\0');
    for (size_t change = 0; change < 1 + random() % 40; ++change) {
      if (!bytes.empty()) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
    }
    if (const auto read = DecodePeerMessage(bytes); read) {
      REQUIRE(DecodePeerMessage(EncodePeerMessage(*read)) == *read);
    }
  }
}

TEST_CASE("a submit is read as it was written, and bad ones say what is wrong") {
  Request request;
  request.key = {"abay", "17"};
  request.attempt = 1;
  request.class_name = "quick";
  request.run_time = 7ms;
  request.payload = "p";
  const auto ask = ParseApiCall(4, HttpRequest{"POST", "/v1/requests", RenderSubmitBody(request)});
  REQUIRE(ask);
  REQUIRE(std::get<CallerSubmit>(*ask).request == request);

  const auto bad =
      ParseApiCall(4, HttpRequest{"POST", "/v1/requests", R"({"tenant":"a","id":"b","class":"c","cpu_millis":-1})"});
  REQUIRE_FALSE(bad);
  REQUIRE(bad.error().detail == "'cpu_millis' is -1, it must be 0 to 1099511627776");
}

}  // namespace hibiscus
