// The planned stop of one host: its time limit answers what is still open, then the host exits.
#include <catch2/catch.hpp>

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

}  // namespace hibiscus
