// The world of the randomised driver without its random faults: a test turns the weather itself and reads the answers.
#ifndef HIBISCUSSTAND_TESTS_KEPT_WORLD_H_
#define HIBISCUSSTAND_TESTS_KEPT_WORLD_H_

#include <functional>
#include <map>
#include <string>

#include "tests/chaos_world.h"

namespace hibiscus {

class KeptWorld final : public ChaosWorld::Listener {
 public:
  explicit KeptWorld(uint64_t seed = 1) : world(seed, false) {
    world.add_listener(this);
    Run(4s);
  }

  void Run(Duration duration) { world.RunUntil(world.Now() + duration); }

  // Runs until the condition holds; false if it does not within the limit.
  bool RunTo(const std::function<bool()>& condition, Duration limit = 30s) {
    for (const TimePoint end = world.Now() + limit; world.Now() < end && !condition();) {
      Run(5ms);
    }
    return condition();
  }

  ExchangeId Submit(Node& host,
                    const std::string& class_name,
                    const std::string& id,
                    int attempt,
                    bool deferred,
                    const Resources& size = {100, 100, 0}) {
    Request request;
    request.key = RequestKey{"t", id};
    request.class_name = class_name;
    request.attempt = attempt;
    request.deferred = deferred;
    request.size = size;
    request.run_time = 500ms;
    world.Deliver(host, CallerSubmit{++exchange, request});
    return exchange;
  }

  // The answer to an exchange, once it is there.
  const Answer* AnswerTo(ExchangeId id) const {
    const auto answer = answers.find(id);
    return answer == answers.end() ? nullptr : &answer->second;
  }
  Answer Await(ExchangeId id) {
    RunTo([&] { return AnswerTo(id) != nullptr; });
    return AnswerTo(id) == nullptr ? Answer{} : *AnswerTo(id);
  }

  // Asks a host until the request has its final answer.
  Answer AwaitResult(Node& host, const std::string& id, Duration limit = 40s) {
    Answer answer;
    for (const TimePoint end = world.Now() + limit; world.Now() < end;) {
      world.Deliver(host, CallerQuery{++exchange, RequestKey{"t", id}});
      answer = Await(exchange);
      if (answer.code != ResultCode::kAccepted && answer.code != ResultCode::kStoreUnavailable) {
        break;
      }
      Run(200ms);
    }
    return answer;
  }

  // The host that has the only open request; null if none has it.
  Node* Home() {
    for (Node& node : world.nodes()) {
      if (node.up && node.core->active_requests() > 0) {
        return &node;
      }
    }
    return nullptr;
  }
  // Another live host of the same data centre.
  Node& OtherThan(const Node& host) {
    for (Node* node : world.UpHosts(host.data_centre)) {
      if (node != &host) {
        return *node;
      }
    }
    return world.nodes().front();
  }

  int StartsOf(const std::string& id) const { return world.log().StartsOf(TaskId{RequestKey{"t", id}, 0}); }

  void OnAnswer(const Node&, const AnswerCaller& answer) override { answers[answer.exchange] = answer.answer; }
  void OnOperatorAnswer(const Node&, const AnswerOperator& answer) override {
    operator_answers[answer.exchange] = answer;
  }
  void OnExit(const Node&) override {}
  void OnConfiguration(const Node&) override {}

  mutable ChaosWorld world;
  ExchangeId exchange = 0;
  std::map<ExchangeId, Answer> answers;
  std::map<ExchangeId, AnswerOperator> operator_answers;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_KEPT_WORLD_H_
