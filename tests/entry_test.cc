// The entry host's part when messages to or from the home host are lost.
#include <catch2/catch.hpp>

#include "core/explain.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

// A request of the host under test whose home is the other host.
Request RequestAwayFrom(const OneHost& host, const HostName& home) {
  Request request;
  request.key.tenant = "t";
  request.attempt = 1;
  request.class_name = "slow";
  for (int i = 0;; ++i) {
    request.key.id = std::to_string(i);
    if (host.core.ExplainRequest(request.key).home == home) {
      return request;
    }
  }
}

}  // namespace

TEST_CASE("an answer that was lost on the way is asked for, and a lost request is sent again as a repeat") {
  OneHost host("a");
  host.Configure({ClassSpec{"slow", WorkKind::kBatch, 10min, 1h, true}});
  host.Pass(2s, {"b"});
  const Request request = RequestAwayFrom(host, "b");
  host.Do(CallerSubmit{7, request});
  const auto forwards = host.TakeSent<ForwardRequest>();
  REQUIRE(forwards.size() == 1);
  const uint64_t forward_id = forwards[0].second.forward_id;
  host.Pass(1500ms, {"b"});
  const auto questions = host.TakeSent<ForwardQuery>();
  REQUIRE(questions.size() == 1);
  CHECK(questions[0].first == "b");
  CHECK(questions[0].second == ForwardQuery{forward_id, request.key});

  SECTION("the home host works on it: the caller goes on waiting") {
    host.Do(PeerEvent{
        "b", ForwardAnswer{forward_id, Answer{request.key, ResultCode::kAccepted, Verdict::kUnknown, {}, 1s}}});
    CHECK(host.Take<AnswerCaller>().empty());
  }
  SECTION("the home host has no such request: it gets it as one that may have been acted on") {
    host.Do(PeerEvent{
        "b", ForwardAnswer{forward_id, Answer{request.key, ResultCode::kNotFound, Verdict::kUnknown, {}, 0us}}});
    const auto again = host.TakeSent<ForwardRequest>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].second.resubmit);
  }
  SECTION("the home host has the answer: it reaches the caller, once") {
    const Answer answer{request.key, ResultCode::kOk, Verdict::kDone, "whole", 0us};
    host.Do(PeerEvent{"b", ForwardAnswer{forward_id, answer}});
    host.Do(PeerEvent{"b", ForwardAnswer{forward_id, answer}});
    const auto answers = host.Take<AnswerCaller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer == answer);
    host.Pass(10s, {"b"});
    CHECK(host.TakeSent<ForwardQuery>().empty());
  }
}

}  // namespace hibiscus
