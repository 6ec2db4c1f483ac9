// Faults that the randomised driver found, one each, against one host played by hand.
#include <catch2/catch.hpp>

#include <algorithm>

#include "core/records.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

const RunId kRun{TaskId{{"tenant", "id"}, 0}, 77};
const Resources kCapacity{1000, 1000, 0};
const Resources kSize{100, 100, 0};

std::vector<SendWorker> CallsOf(OneHost& host, WorkerOp op) {
  std::vector<SendWorker> calls = host.Take<SendWorker>();
  std::erase_if(calls, [&](const SendWorker& call) { return call.request.op != op; });
  return calls;
}

void Reply(OneHost& host, const SendWorker& call, const WorkerReply& reply) {
  host.Do(WorkerEvent{call.call, Delivery::kAnswered, reply});
}

// The host leases the only worker, which runs these.
void LeaseWorker(OneHost& host, uint64_t token, const std::vector<WorkerTask>& runs = {}) {
  host.Do(ListEvent{{ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}}});
  host.Pass(kTickInterval);
  const auto calls = CallsOf(host, WorkerOp::kAcquire);
  REQUIRE(calls.size() == 1);
  Reply(host, calls[0], WorkerReply{WorkerStatus::kOk, token, kCapacity, true, runs});
}

Request TaskRequest(const std::string& class_name, int members) {
  Request request;
  request.key = kRun.task.key;
  request.attempt = 1;
  request.class_name = class_name;
  request.size = kSize;
  request.members = members;
  return request;
}

}  // namespace

TEST_CASE("two processes of one name share no forward ids") {
  const auto first_id = [](uint64_t seed) {
    ManualClock clock;
    HostSettings settings;
    settings.name = "a1";
    CoreContext context(settings, clock, seed);
    return context.NextId();
  };
  REQUIRE(first_id(1) != first_id(2));
}

TEST_CASE("a request that an earlier home host may have started is never answered as not run") {
  OneHost host("a1");
  host.Configure({ClassSpec{"order", WorkKind::kCall, 5s, 20s, false}});
  host.Pass(2s, {"a2"});
  std::vector<std::pair<HostName, ForwardRequest>> sent;
  for (int i = 0; i < 50 && sent.empty(); ++i) {
    Request request;
    request.class_name = "order";
    request.attempt = 1;
    request.key = RequestKey{"tenant", std::to_string(i)};
    host.Do(CallerSubmit{1, request});
    sent = host.TakeSent<ForwardRequest>();
  }
  REQUIRE(sent.size() == 1);
  host.Pass(15s);  // Its home host is silent: this host has the request now, and cannot verify it.
  const auto answers = host.Take<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].answer.verdict == Verdict::kUnknown);
}

TEST_CASE("a host acknowledges only the ends of runs that it knows") {
  OneHost host("a1");
  host.Pass(2s);
  host.Do(PeerEvent{"a2", RunReport{kRun, "w1", 5, RunPhase::kDone, "body"}});
  REQUIRE(host.TakeSent<RunReportAck>().empty());
}

TEST_CASE("an end that nobody acknowledges is kept, and found by a claim") {
  OneHost host("a1");
  const WorkerTask ended{kRun, "once", "gone", kSize, RunState::kDone, "body"};
  LeaseWorker(host, 5, {ended});
  host.Pass(2s, {"a2"});
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a2", Claim{kRun.task.key, 0, 0, {}}});
  const auto answers = host.TakeSent<ClaimAnswer>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].second.runs.size() == 1);
  REQUIRE(answers[0].second.runs[0].body == "body");
}

TEST_CASE("a run whose start is on its way is not stopped, since 'no such run' would prove nothing") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  host.Do(PeerEvent{"a2", Reserve{kRun, "batch", WorkKind::kBatch, kSize, 1s, 1s, false}});
  host.Do(PeerEvent{"a2", Commit{kRun, "w1", 5, "batch", kSize, 1s, {}}});
  const auto starts = CallsOf(host, WorkerOp::kStart);
  REQUIRE(starts.size() == 1);
  host.Do(PeerEvent{"a2", StopRun{kRun, "w1"}});
  REQUIRE(CallsOf(host, WorkerOp::kStop).empty());
  Reply(host, starts[0], WorkerReply{WorkerStatus::kOk, 5, {}, false, {}});
  host.Do(PeerEvent{"a2", StopRun{kRun, "w1"}});
  REQUIRE(CallsOf(host, WorkerOp::kStop).size() == 1);
}

TEST_CASE("an owner whose lease is older than the commit's token says nothing") {
  OneHost host("a1");
  LeaseWorker(host, 5);
  host.Do(PeerEvent{"a2", Commit{kRun, "w1", 6, "batch", kSize, 1s, {}}});
  REQUIRE(host.TakeSent<RunReport>().empty());
  REQUIRE(host.core.leases() == 0);
}

TEST_CASE("a host that leaves stays until every peer has heard of it") {
  OneHost host("a1");
  host.Pass(2s, {"a2"});
  host.Do(LeaveEvent{});
  host.Pass(500ms, {"a2"});
  REQUIRE(host.Take<Exit>().empty());
  host.Pass(1s, {"a2"});
  REQUIRE(host.Take<Exit>().size() == 1);
}

TEST_CASE("only a full list replaces what is believed of a worker") {
  OneHost host("a1");
  LeaseWorker(host, 5, {WorkerTask{kRun, "batch", "a2", kCapacity, RunState::kRunning, {}}});
  host.Pass(kTickInterval);
  const auto renewals = CallsOf(host, WorkerOp::kAcquire);
  REQUIRE(renewals.size() == 1);
  Reply(host, renewals[0], WorkerReply{WorkerStatus::kOk, 6, kCapacity, false, {}});
  REQUIRE(host.core.leases() == 0);  // Under a token between the two another host may have started something.
  RunId other = kRun;
  other.task.key.id = "other";
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a2", Reserve{other, "batch", WorkKind::kBatch, kSize, 1s, 1s, false}});
  const auto reserved = host.TakeSent<Reserved>();
  REQUIRE(reserved.size() == 1);
  REQUIRE(reserved[0].second.code == ResultCode::kNoCapacity);
}

TEST_CASE("a task that ran and failed is not answered as not run when it finds no room again") {
  OneHost host("a1");
  host.Configure({ClassSpec{"batch", WorkKind::kBatch, 1500ms, 20s, true}});
  LeaseWorker(host, 5);
  host.Pass(1s);
  host.Take<SendPeer>();
  host.Do(CallerSubmit{9, TaskRequest("batch", 1)});
  host.Pass(100ms);
  const auto starts = CallsOf(host, WorkerOp::kStart);
  REQUIRE(starts.size() == 1);
  host.Do(PeerEvent{"a2", RunReport{starts[0].request.task.run, "w1", 5, RunPhase::kFailed, {}}});
  host.Do(WorkerEvent{starts[0].call, Delivery::kUnknown, {}});  // The lease is lost, and with it all room.
  host.Pass(19s);
  const auto answers = host.Take<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].answer.verdict == Verdict::kFailed);
}

TEST_CASE("a claim asks the hosts that leave too") {
  OneHost host("a1");
  host.Configure({ClassSpec{"once", WorkKind::kBatch, 5s, 20s, false}});
  host.Pass(2s, {"a2"});
  host.Do(PeerEvent{"a2", Heartbeat{"dc", 7, true, 1, {}, {}, 0}});
  REQUIRE(host.core.live() == std::vector<HostName>{"a1"});
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a3", ForwardRequest{3, TaskRequest("once", 1), true}});
  const auto claims = host.TakeSent<Claim>();
  REQUIRE(claims.size() == 1);
  REQUIRE(claims[0].first == "a2");
}

TEST_CASE("a never-twice gang of which a claim finds only a part is not completed by new runs") {
  OneHost host("a1");
  host.Configure({ClassSpec{"crew", WorkKind::kGang, 5s, 20s, false}});
  LeaseWorker(host, 5, {WorkerTask{kRun, "crew", "gone", kSize, RunState::kRunning, {}}});
  host.Pass(2s);
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a3", ForwardRequest{3, TaskRequest("crew", 2), true}});
  const auto answers = host.TakeSent<ForwardAnswer>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].second.answer.verdict == Verdict::kUnknown);
  host.Pass(3s);
  REQUIRE(CallsOf(host, WorkerOp::kStart).empty());
}

TEST_CASE("a repeat finds the run of a never-twice request whose first claim was not whole in time") {
  OneHost host("a1");
  host.Configure({ClassSpec{"once", WorkKind::kBatch, 5s, 60s, false}});
  host.Pass(2s);
  host.Take<SendPeer>();
  host.Do(PeerEvent{"a3", ForwardRequest{3, TaskRequest("once", 1), true}});
  host.Pass(6s);  // No worker and no other data centre is known yet.
  const auto first = host.TakeSent<ForwardAnswer>();
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].second.answer.verdict == Verdict::kUnknown);
  LeaseWorker(host, 5, {WorkerTask{kRun, "once", "gone", kSize, RunState::kDone, "body"}});
  host.Pass(1s);
  for (const SendWorker& call : CallsOf(host, WorkerOp::kAcquire)) {
    REQUIRE(call.request.acks.empty());  // Nobody has its answer yet.
  }
  Request repeat = TaskRequest("once", 1);  // Even if its caller forgets to raise the attempt.
  host.Do(PeerEvent{"a3", ForwardRequest{4, repeat, false}});
  host.Pass(kTickInterval);
  const auto second = host.TakeSent<ForwardAnswer>();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].second.answer.code == ResultCode::kOk);
  REQUIRE(second[0].second.answer.body == "body");
  REQUIRE(CallsOf(host, WorkerOp::kStart).empty());
}

TEST_CASE("a change whose answer was lost is a conflict only if another one stands under its version") {
  const auto outcome = [](const Configuration& read_back) {
    OneHost host("a1");
    host.Configure({ClassSpec{"quick", WorkKind::kCall, 1s, 5s, true}});
    host.Pass(kTickInterval);
    host.Take<SendStore>();
    Configuration change = host.core.configuration();
    const Configuration before = change;
    change.change_id = "mine";
    host.Do(OperatorConfigSet{4, 1, change});
    // The one store call of the change since the last look; the answers to all writes of the record are lost.
    const auto answer = [&](const Configuration& standing) {
      for (const SendStore& call : host.Take<SendStore>()) {
        const StoreReply there{StoreStatus::kOk, EncodeConfiguration(standing), 9};
        if (call.request.op == StoreOp::kGet && call.request.key == kConfigKey) {
          host.Do(StoreEvent{call.call, Delivery::kAnswered, there});
        } else if (call.request.op == StoreOp::kPut) {
          const bool record = call.request.key == kConfigKey;
          host.Do(StoreEvent{call.call, record ? Delivery::kUnknown : Delivery::kAnswered, {}});
        }
      }
    };
    answer(before);  // What is in force.
    answer(before);  // The version to be replaced goes to the history.
    answer(before);  // The write.
    for (int i = 0; i < 100; ++i) {
      for (const Action& action : host.actions) {
        if (const auto* told = std::get_if<AnswerOperator>(&action)) {
          return told->code;
        }
      }
      answer(read_back);
      if (std::none_of(host.actions.begin(), host.actions.end(),
                       [](const Action& action) { return std::holds_alternative<AnswerOperator>(action); })) {
        host.Pass(kTickInterval);
      }
    }
    return ResultCode::kNotFound;
  };
  REQUIRE(outcome(Configuration{2, "mine", {}, {}}) == ResultCode::kOk);
  REQUIRE(outcome(Configuration{2, "other", {}, {}}) == ResultCode::kConflict);
  REQUIRE(outcome(Configuration{1, "c", {}, {}}) == ResultCode::kUnknownOutcome);
  REQUIRE(outcome(Configuration{3, "other", {}, {}}) == ResultCode::kUnknownOutcome);
}

}  // namespace hibiscus
