// The home host and the log: what must stand there before the next step is taken.
#include <catch2/catch.hpp>

#include "tests/home_and_peer.h"

namespace hibiscus {

namespace {

// Deferred work whose accepted record stands in the log.
void Accept(HomeAndPeer& both, const std::string& class_name) {
  both.Submit(class_name, 1, true);
  both.Settle(both.NextAppend(LogRecordKind::kAccepted), LogOutcome::kRecorded);
  REQUIRE(both.Next<ForwardAnswer>().answer.code == ResultCode::kAccepted);
}

// Room is held and the work runs.
RunId LetRun(HomeAndPeer& both) {
  RunId run = both.Next<Reserve>().run;
  both.Tell(Reserved{run, ResultCode::kOk, "w1", 5, 0us});
  both.Next<Commit>();
  both.Tell(RunReport{run, "w1", 5, RunPhase::kStarted, {}});
  return run;
}

}  // namespace

TEST_CASE("deferred work that may not run twice asks for room only when its started record stands") {
  HomeAndPeer both;
  Accept(both, "once");
  const LogAppend started = both.NextAppend(LogRecordKind::kStarted);
  both.Pass(1s);
  REQUIRE_FALSE(both.Sent<Reserve>());
  both.Settle(started, LogOutcome::kRecorded);
  both.Next<Reserve>();
}

TEST_CASE("resumed work is claimed first; if it may not run twice and was started, it is answered as unknown") {
  const bool started = GENERATE(false, true);
  HomeAndPeer both;
  both.Tell(LogResume{HomeAndPeer::MakeRequest("once", 1, true), 0us, started});
  const auto claim = both.Next<Claim>();
  both.Pass(100ms);
  REQUIRE_FALSE(both.Sent<LogAppend>());
  REQUIRE_FALSE(both.Sent<Reserve>());
  both.ClearClaim(claim);
  if (started) {
    REQUIRE(both.NextAppend(LogRecordKind::kDone).record.answer.verdict == Verdict::kUnknown);
    both.Pass(1s);
    REQUIRE_FALSE(both.Sent<Reserve>());
  } else {
    both.Settle(both.NextAppend(LogRecordKind::kStarted), LogOutcome::kRecorded);
    both.Next<Reserve>();
  }
}

TEST_CASE("a refusal of one forward is no answer to a question, as another forward may be on its way") {
  HomeAndPeer both;
  both.Submit("once", 0, false);
  both.Settle(both.NextAppend(LogRecordKind::kIntent), LogOutcome::kNotRecorded);
  const RequestKey key = HomeAndPeer::MakeRequest("once", 0, false).key;
  both.Tell(ForwardQuery{4, key});
  both.Tell(ForwardCancel{5, key});
  REQUIRE(both.Next<ForwardAnswer>().answer.verdict == Verdict::kNotRun);
  for (const uint64_t question : {4, 5}) {
    const auto lookup = both.Next<LogLookup>();
    both.Tell(LogFound{lookup.reference, lookup.key, true, {}});
    const auto reply = both.Next<ForwardAnswer>();
    REQUIRE(reply.forward_id == question);
    REQUIRE(reply.answer.code == ResultCode::kNotFound);
    REQUIRE(reply.answer.verdict == Verdict::kUnknown);
  }
}

TEST_CASE("deferred work whose record may come to stand is not refused, and goes on when it does") {
  HomeAndPeer both;
  both.Submit("batch", 1, true);
  const LogAppend accepted = both.NextAppend(LogRecordKind::kAccepted);
  both.Settle(accepted, LogOutcome::kUnknown);
  REQUIRE(both.Next<ForwardAnswer>().answer.verdict == Verdict::kUnknown);
  both.Pass(1s);
  REQUIRE_FALSE(both.Sent<Reserve>());
  both.Settle(accepted, LogOutcome::kRecorded);
  both.Next<Reserve>();
}

TEST_CASE("the end of accepted work is neither told nor acknowledged before its answer stands in the log") {
  HomeAndPeer both;
  Accept(both, "batch");
  const RunReport done{LetRun(both), "w1", 5, RunPhase::kDone, "body"};
  const auto ask = [&] {
    both.Tell(ForwardQuery{9, done.run.task.key});
    if (both.Sent<LogLookup>()) {
      const auto lookup = both.Next<LogLookup>();
      both.Tell(LogFound{lookup.reference, lookup.key, true, LogEntry{LogEntry::State::kOpen, "a1", {}}});
    }
    return both.Next<ForwardAnswer>().answer;
  };
  both.Tell(done);
  const LogAppend answer = both.NextAppend(LogRecordKind::kDone);
  both.Tell(done);
  REQUIRE_FALSE(both.Sent<RunReportAck>());
  REQUIRE(ask().code == ResultCode::kAccepted);
  both.Settle(answer, LogOutcome::kRecorded);
  REQUIRE(ask().body == "body");
  both.Tell(done);
  REQUIRE(both.Sent<RunReportAck>());
}

TEST_CASE("an answer that is not recorded is written again until it is") {
  HomeAndPeer both;
  Accept(both, "batch");
  both.Tell(RunReport{LetRun(both), "w1", 5, RunPhase::kDone, "body"});
  for (const auto outcome : {LogOutcome::kNotRecorded, LogOutcome::kUnknown, LogOutcome::kNotRecorded}) {
    both.Settle(both.NextAppend(LogRecordKind::kDone), outcome);
  }
  both.Pass(5s);
  both.Settle(both.NextAppend(LogRecordKind::kDone), LogOutcome::kRecorded);
  both.Tell(ForwardQuery{9, RequestKey{"tenant", "id"}});
  REQUIRE(both.Next<ForwardAnswer>().answer.body == "body");
}

TEST_CASE("the end of a run that nobody has is acknowledged only if the log has its answer") {
  const auto state =
      GENERATE(LogEntry::State::kNone, LogEntry::State::kIntent, LogEntry::State::kOpen, LogEntry::State::kDone);
  HomeAndPeer both;
  both.Tell(RunReport{RunId{TaskId{{"tenant", "id"}, 0}, 77}, "w1", 5, RunPhase::kDone, "body"});
  const auto lookup = both.Next<LogLookup>();
  both.Tell(LogFound{lookup.reference, lookup.key, true, LogEntry{state, "a3", {}}});
  REQUIRE(both.Sent<RunReportAck>() == (state == LogEntry::State::kDone));
}

TEST_CASE("the intent of a refused request is withdrawn, also if it only may stand in the log") {
  const auto outcome = GENERATE(LogOutcome::kRecorded, LogOutcome::kUnknown);
  HomeAndPeer both;
  both.Submit("once", 1, false);
  const LogAppend intent = both.NextAppend(LogRecordKind::kIntent);
  both.Settle(intent, outcome);
  both.Tell(Reserved{both.Next<Reserve>().run, ResultCode::kOverloaded, {}, 0, 1s});
  REQUIRE(both.Next<ForwardAnswer>().answer.verdict == Verdict::kNotRun);
  REQUIRE(both.NextAppend(LogRecordKind::kWithdrawn).record.nonce == intent.record.nonce);
}

TEST_CASE("an intent that is not recorded stops an unmarked request and no marked one") {
  const int attempt = GENERATE(0, 1);
  HomeAndPeer both;
  both.Submit("once", attempt, false);
  both.Settle(both.NextAppend(LogRecordKind::kIntent), LogOutcome::kNotRecorded);
  both.Pass(100ms);
  REQUIRE(both.Sent<Reserve>() == (attempt == 1));
  REQUIRE(both.Sent<ForwardAnswer>() == (attempt == 0));
}

TEST_CASE("a request that has another intent in the log is a repeat, whatever it says") {
  HomeAndPeer both;
  both.Submit("once", 1, false);
  both.Settle(both.NextAppend(LogRecordKind::kIntent), LogOutcome::kDuplicate, {LogEntry::State::kIntent, {}, {}});
  both.ClearClaim(both.Next<Claim>());
  const auto lookup = both.Next<LogLookup>();
  both.Tell(LogFound{lookup.reference, lookup.key, true, LogEntry{LogEntry::State::kIntent, {}, {}}});
  REQUIRE(both.Next<ForwardAnswer>().answer.verdict == Verdict::kUnknown);
  both.Pass(1s);
  REQUIRE_FALSE(both.Sent<Reserve>());
}

TEST_CASE("the writer's word counts for the attempt that it names") {
  HomeAndPeer both;
  both.Submit("once", 0, false);
  LogAppend intent = both.NextAppend(LogRecordKind::kIntent);
  ++intent.record.nonce;
  both.Settle(intent, LogOutcome::kRecorded);
  both.Pass(100ms);
  REQUIRE_FALSE(both.Sent<Reserve>());
}

TEST_CASE("a pause while the intent is in the air makes the request one that is claimed") {
  HomeAndPeer both;
  both.Submit("once", 1, false);
  const LogAppend intent = both.NextAppend(LogRecordKind::kIntent);
  WorkerName worker = "w";  // Without one there is nothing that could run anything, and the claim would hold at once.
  while (RendezvousPick(worker, {"a1", both.peer}) != both.peer) {
    worker += "w";
  }
  both.home.Do(ListEvent{{ListEntry{ListKind::kEntryHost, both.peer, "dc", {}, {}, false},
                          ListEntry{ListKind::kWorker, worker, "dc", "r1", "127.0.0.1:1", false}}});
  both.home.clock.Advance(3s);
  both.Settle(intent, LogOutcome::kRecorded);
  both.Next<Claim>();
  both.Pass(100ms);
  REQUIRE_FALSE(both.Sent<Reserve>());
}

TEST_CASE("a cancellation follows the accepted record that is in the air") {
  HomeAndPeer both;
  both.Submit("batch", 1, true);
  const LogAppend accepted = both.NextAppend(LogRecordKind::kAccepted);
  both.Tell(ForwardCancel{9, accepted.record.key});
  both.Settle(accepted, LogOutcome::kRecorded);
  REQUIRE(both.NextAppend(LogRecordKind::kDone).record.answer.code == ResultCode::kCancelled);
  REQUIRE_FALSE(both.Sent<Reserve>());
}

TEST_CASE("a host that leaves hands its accepted work over at once") {
  HomeAndPeer both;
  Accept(both, "batch");
  LetRun(both);
  both.home.Do(LeaveEvent{});
  both.Pass(100ms);
  REQUIRE(both.Next<LogResumed>().home.empty());
}

}  // namespace hibiscus
