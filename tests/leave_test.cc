// The planned stop of one host: its time limit answers what is still open, then the host exits.
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/one_host.h"

namespace hibiscus {

TEST_CASE("a planned stop answers what is open at its limit as unknown, then exits, once") {
  OneHost host("a");
  host.Configure({ClassSpec{"slow", WorkKind::kBatch, 10min, 1h, true}});
  host.Pass(2s);
  Request request;
  request.key = RequestKey{"t", "1"};
  request.attempt = 1;
  request.class_name = "slow";
  host.Do(CallerSubmit{7, request});
  host.Do(LeaveEvent{});
  host.Pass(29s);
  CHECK(host.Take<AnswerCaller>().empty());
  host.Do(LeaveEvent{});  // A second question does not begin the limit anew.
  host.Pass(2s);
  std::vector<Action> actions = std::exchange(host.actions, {});
  int answers = 0;
  int exits = 0;
  for (const Action& action : actions) {
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      CHECK(answer->exchange == 7);
      CHECK(answer->answer.verdict == Verdict::kUnknown);
      CHECK(exits == 0);
      ++answers;
    }
    exits += std::holds_alternative<Exit>(action) ? 1 : 0;
  }
  CHECK(answers == 1);
  CHECK(exits == 1);
}

TEST_CASE("a request that reaches a leaving host after the announcement is sent on to the next home host") {
  const HostName peer = "a2";
  OneHost host("a1");
  host.Configure({ClassSpec{"batch", WorkKind::kBatch, 20s, 60s, true}});
  host.Pass(2s, {peer});
  Request request;
  request.key = RequestKey{"t", "early"};
  request.attempt = 1;
  request.class_name = "batch";
  host.Do(PeerEvent{peer, ForwardRequest{3, request, false}});
  host.Do(LeaveEvent{});
  host.Pass(1500ms, {peer});
  REQUIRE(host.Take<Exit>().empty());  // The early request is still open here.
  request.key.id = "late";
  request.attempt = 3;
  for (const bool resubmit : {false, true}) {
    host.Take<SendPeer>();
    host.Do(PeerEvent{peer, ForwardRequest{4, request, resubmit}});
    host.Pass(100ms, {peer});
    const std::vector<SendPeer> sent = host.Take<SendPeer>();
    const auto moved = std::find_if(sent.begin(), sent.end(), [](const SendPeer& send) {
      return std::holds_alternative<ForwardMoved>(send.message);
    });
    REQUIRE(moved != sent.end());
    CHECK(moved->to == peer);
    CHECK(std::get<ForwardMoved>(moved->message).forward_id == 4);
    CHECK(std::get<ForwardMoved>(moved->message).home == peer);
    CHECK(std::none_of(sent.begin(), sent.end(),
                       [](const SendPeer& send) { return std::holds_alternative<Claim>(send.message); }));
  }
  request.key.id = "early";
  host.Do(PeerEvent{peer, ForwardRequest{5, request, true}});
  CHECK(host.TakeSent<ForwardMoved>().empty());  // A repeat of an open request joins it.
}

}  // namespace hibiscus
