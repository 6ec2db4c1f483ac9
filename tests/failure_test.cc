// One failure each, against one host played by hand.
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/home_and_peer.h"

namespace hibiscus {

namespace {

const RunId kRun{TaskId{{"tenant", "id"}, 0}, 77};
const ClassSpec kOnceTask{"once-task", WorkKind::kBatch, 5s, 60s, false};

// The host leases the only worker under this token; the worker says that it runs nothing.
void LeaseWorker(OneHost& host, uint64_t token) {
  host.Do(ListEvent{{ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}}});
  host.Pass(kTickInterval);
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

// The host holds the only worker and has sent the start of a never-twice task, whose reply is still to come.
void LetOnceTaskStart(OneHost& host) {
  host.Configure({kOnceTask});
  LeaseWorker(host, 5);
  host.Pass(1s);
  host.Do(CallerSubmit{9, OnceRequest()});
  host.Pass(600ms);  // No store answers here: the request goes ahead without its record.
}

}  // namespace

TEST_CASE("only a run whose hold lapsed under the same token is 'not started'; any other absent run is 'gone'") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  REQUIRE(host.core.leases() == 1);
  const auto ask = [&](uint64_t token) {
    host.Do(PeerEvent{"a2", Commit{kRun, "w1", token, "once-task", Resources{1, 1, 0}, 1s, {}}});
    const auto reports = host.TakeSent<RunReport>();
    REQUIRE(reports.size() == 1);
    return reports[0].second.phase;
  };
  REQUIRE(ask(5) == RunPhase::kGone);
  host.Do(PeerEvent{"a2", Reserve{kRun, "once-task", WorkKind::kBatch, Resources{1, 1, 0}, 1s, 1s, false}});
  host.Pass(2500ms);
  REQUIRE(host.core.leases() == 1);
  host.Take<SendPeer>();
  REQUIRE(ask(5) == RunPhase::kNotStarted);
  REQUIRE(ask(4) == RunPhase::kGone);
}

TEST_CASE("a never-twice task whose run is gone is answered unknown and not run again") {
  OneHost host("a1");
  LetOnceTaskStart(host);
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
  host.Do(PeerEvent{"a2", ClaimAnswer{kRun.task.key, 0, true, true, {}, {}}});
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

TEST_CASE("a host of another data centre is no peer, even if its heartbeat comes here") {
  OneHost host("a1");
  host.Pass(1s);
  for (int i = 0; i < 10; ++i) {
    host.Do(PeerEvent{"b1", Heartbeat{"elsewhere", 7, false, 1, {}, {}, 0}});
    host.Pass(100ms);
  }
  REQUIRE(host.core.live() == std::vector<HostName>{"a1"});
}

TEST_CASE("runs on a worker that cannot be reached count as ended once their lease has surely lapsed, not before") {
  OneHost host("a1");
  LetOnceTaskStart(host);
  for (const SendWorker& call : host.Take<SendWorker>()) {
    const bool start = call.request.op == WorkerOp::kStart;
    const Delivery delivery = start ? Delivery::kAnswered : Delivery::kUnknown;
    host.Do(WorkerEvent{call.call, delivery, WorkerReply{WorkerStatus::kOk, 5, {}, false, {}}});
  }
  // From here on the worker answers nothing. Renewals go on for as long as the lease is believed, 4 s at the most.
  const auto silence = [&](Duration duration) {
    std::vector<AnswerCaller> answers;
    for (const TimePoint end = host.clock.Now() + duration; host.clock.Now() < end;) {
      host.Pass(kTickInterval);
      for (const Action& action : std::exchange(host.actions, {})) {
        if (const auto* call = std::get_if<SendWorker>(&action)) {
          host.Do(WorkerEvent{call->call, Delivery::kUnknown, {}});
        } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
          answers.push_back(*answer);
        }
      }
    }
    return answers;
  };
  REQUIRE(silence(20s).empty());
  const auto answers = silence(12s);
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].answer.verdict == Verdict::kFailed);
}

TEST_CASE("a home host whose request was claimed by another cannot stop the run that the other took over") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  host.Do(PeerEvent{"a2", Reserve{kRun, "once-task", WorkKind::kBatch, Resources{1, 1, 0}, 1s, 5s, true}});
  host.Do(PeerEvent{"a2", Commit{kRun, "w1", 5, "once-task", Resources{1, 1, 0}, 1s, {}}});
  for (const SendWorker& call : host.Take<SendWorker>()) {
    if (call.request.op == WorkerOp::kStart) {
      host.Do(WorkerEvent{call.call, Delivery::kAnswered, WorkerReply{WorkerStatus::kOk, 5, {}, false, {}}});
    }
  }
  host.Do(PeerEvent{"a3", Claim{kRun.task.key, 0, 0, {}}});
  const auto claimed = host.TakeSent<ClaimAnswer>();
  REQUIRE(claimed.size() == 1);
  REQUIRE(claimed[0].second.runs.size() == 1);
  const auto stop = [&](const HostName& from) {
    host.Take<SendWorker>();
    host.Do(PeerEvent{from, StopRun{kRun, "w1"}});
    return host.Take<SendWorker>().size();
  };
  REQUIRE(stop("a2") == 0);
  REQUIRE(stop("a3") == 1);
}

TEST_CASE("a lease counts by the clock, not by the last tick") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  host.Pass(3900ms);  // The renewal is not answered.
  const auto covered = [&] {
    host.Take<SendPeer>();
    host.Do(PeerEvent{"a2", Claim{kRun.task.key, 0, 0, {}}});
    const auto answers = host.TakeSent<ClaimAnswer>();
    REQUIRE(answers.size() == 1);
    return answers[0].second.covered;
  };
  REQUIRE(covered());
  host.clock.Advance(200ms);  // The process stands still for less than what counts as a pause.
  REQUIRE_FALSE(covered());   // Another host may hold the worker now, and the run may be there.
}

TEST_CASE("a task whose run is gone may have run: that there is no room for another run is no 'not run'") {
  HomeAndPeer both;
  both.Submit("batch", 1, false);
  const RunId first = both.Next<Reserve>().run;
  both.Tell(Reserved{first, ResultCode::kOk, "w1", 5, 0us});
  both.Next<Commit>();
  both.Tell(RunReport{first, "w1", 6, RunPhase::kGone, {}});
  both.Tell(Reserved{both.Next<Reserve>().run, ResultCode::kOverloaded, {}, 0, 1s});
  REQUIRE(both.Next<ForwardAnswer>().answer.verdict == Verdict::kUnknown);
}

TEST_CASE("after its start and after a pause a host takes no request of unknown age, from a caller or from a peer") {
  const bool paused = GENERATE(false, true);
  OneHost host("a1");
  host.Configure({kOnceTask});
  if (paused) {
    host.Pass(10s);
    host.clock.Advance(3s);
  }
  host.Do(CallerSubmit{9, OnceRequest()});
  const auto to_caller = host.Take<AnswerCaller>();
  REQUIRE(to_caller.size() == 1);
  REQUIRE(to_caller[0].answer.code == ResultCode::kHostRecovering);
  REQUIRE(to_caller[0].answer.verdict == Verdict::kNotRun);
  host.Do(PeerEvent{"a2", ForwardRequest{3, OnceRequest(), false}});
  const auto to_peer = host.TakeSent<ForwardAnswer>();
  REQUIRE(to_peer.size() == 1);
  REQUIRE(to_peer[0].second.answer.code == ResultCode::kHostRecovering);
  REQUIRE(to_peer[0].second.answer.verdict == Verdict::kNotRun);
  host.Pass(10s);
  host.Do(CallerSubmit{10, OnceRequest()});
  REQUIRE(host.Take<AnswerCaller>().empty());  // Taken.
}

}  // namespace hibiscus
