// One failure each, against one host played by hand.
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/one_host.h"

namespace hibiscus {

namespace {

const RunId kRun{TaskId{{"tenant", "id"}, 0}, 77};
const ClassSpec kOnceTask{"once-task", WorkKind::kBatch, 5s, 60s, false};

// The host leases the only worker under this token; the worker says that it runs nothing.
void LeaseWorker(OneHost& host, uint64_t token) {
  host.Do(ListEvent{{ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}}});
  host.Pass(kTickEvery);
  const auto calls = host.Take<SendWorker>();
  REQUIRE(calls.size() == 1);
  host.Do(WorkerEvent{calls[0].call, Delivery::kAnswered,
                      WorkerReply{WorkerStatus::kOk, token, Resources{1000, 1000, 0}, true, {}}});
}

Request OnceRequest() {
  Request request;
  request.key = kRun.task.key;
  request.attempt = 1;
  request.class_name = kOnceTask.name;
  request.size = Resources{100, 100, 0};
  return request;
}

}  // namespace

TEST_CASE("an absent run is 'not started' under the same token, and only 'gone' under a newer one") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  const auto ask = [&](uint64_t token) {
    host.Do(PeerEvent{"a2", Commit{kRun, "w1", token, "once-task", Resources{1, 1, 0}, 1s, {}}});
    const auto reports = host.TakeSent<RunReport>();
    REQUIRE(reports.size() == 1);
    return reports[0].second.phase;
  };
  REQUIRE(ask(5) == RunPhase::kNotStarted);
  REQUIRE(ask(4) == RunPhase::kGone);
}

TEST_CASE("a never-twice task whose run is gone is answered unknown and not run again") {
  OneHost host("a1");
  host.Configure({kOnceTask});
  LeaseWorker(host, 5);
  host.Pass(1s);
  host.Do(CallerSubmit{9, OnceRequest()});
  host.Pass(600ms);  // No store answers here: the request goes ahead without its record.
  const auto calls = host.Take<SendWorker>();
  const auto start = std::find_if(calls.begin(), calls.end(),
                                  [](const SendWorker& call) { return call.request.op == WorkerOp::kStart; });
  REQUIRE(start != calls.end());
  host.Do(PeerEvent{"a2", RunReport{kRun, "w1", 6, RunPhase::kGone, {}}});
  REQUIRE(host.Take<AnswerCaller>().empty());  // Another run's report changes nothing.
  host.Do(PeerEvent{"a2", RunReport{start->request.task.run, "w1", 6, RunPhase::kGone, {}}});
  const auto answers = host.Take<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].answer.verdict == Verdict::kUnknown);
  host.Pass(2s);
  for (const SendWorker& call : host.Take<SendWorker>()) {
    REQUIRE(call.request.op != WorkerOp::kStart);
  }
}

TEST_CASE("an answer counts only from the present home host") {
  OneHost host("a1");
  host.Configure({ClassSpec{"quick", WorkKind::kCall, 1s, 5s, false}});
  host.Pass(2s, {"a2", "a3"});
  Request request;
  request.class_name = "quick";
  request.attempt = 1;
  // Find a request whose home host is a2.
  std::vector<std::pair<HostName, ForwardRequest>> sent;
  for (int i = 0; i < 50 && (sent.empty() || sent[0].first != "a2"); ++i) {
    request.key = RequestKey{"tenant", std::to_string(i)};
    host.Take<SendPeer>();
    host.Do(CallerSubmit{1, request});
    sent = host.TakeSent<ForwardRequest>();
  }
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].first == "a2");
  const Answer refusal{request.key, ResultCode::kHostRecovering, Verdict::kNotRun, {}, 1s};
  host.Do(PeerEvent{"a3", ForwardAnswer{sent[0].second.forward_id, refusal}});
  REQUIRE(host.Take<AnswerCaller>().empty());
  host.Do(PeerEvent{"a2", ForwardAnswer{sent[0].second.forward_id, refusal}});
  REQUIRE(host.Take<AnswerCaller>().size() == 1);
}

TEST_CASE("a home host that wakes from a pause asks the others before it goes on") {
  OneHost host("a1");
  host.Configure({ClassSpec{kOnceTask.name, WorkKind::kBatch, 60s, 120s, false}});
  host.Pass(2s, {"a2"});
  host.Do(PeerEvent{"a2", ForwardRequest{3, OnceRequest(), false}});
  host.clock.Advance(10s);
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a2", Heartbeat{"dc", 7, false, 1, {}, {}, 0}});
  host.Pass(1s, {"a2"});
  const auto claims = host.TakeSent<Claim>();
  REQUIRE_FALSE(claims.empty());
  host.Do(PeerEvent{"a2", ClaimAnswer{kRun.task.key, 0, true, true, {}}});
  const auto moved = host.TakeSent<ForwardMoved>();
  REQUIRE(moved.size() == 1);
  REQUIRE(moved[0].second.home == "a2");
}

TEST_CASE("a new incarnation of a peer is not live before the old one was noticed to be gone") {
  OneHost host("a1");
  host.Pass(2s, {"a2"});
  REQUIRE(host.core.live() == std::vector<HostName>{"a1", "a2"});
  host.Do(PeerEvent{"a2", Heartbeat{"dc", 8, false, 1, {}, {}, 0}});
  REQUIRE(host.core.live() == std::vector<HostName>{"a1"});
}

}  // namespace hibiscus
