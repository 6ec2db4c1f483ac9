// The operators' configuration: races, lost answers, history, the watcher's death, and a host that starts while the
// store is out.
#include <catch2/catch.hpp>

#include <algorithm>

#include "hibiscusstand/rendezvous.h"
#include "tests/kept_world.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

Configuration Changed(const std::string& change_id) {
  Configuration configuration = FirstConfiguration();
  configuration.change_id = change_id;
  return configuration;
}

ResultCode SetAndWait(KeptWorld& kept, Node& host, uint64_t expected, const std::string& change_id) {
  const ExchangeId exchange = ++kept.exchange;
  kept.world.Deliver(host, OperatorConfigSet{exchange, expected, Changed(change_id)});
  REQUIRE(kept.RunTo([&] { return kept.operator_answers.contains(exchange); }));
  return kept.operator_answers[exchange].code;
}

bool EveryoneHas(KeptWorld& kept, uint64_t version) {
  return std::all_of(kept.world.nodes().begin(), kept.world.nodes().end(),
                     [&](const Node& node) { return !node.up || node.core->configuration().version >= version; });
}

// One host with a store behind it.
class OneHostAndStore {
 public:
  OneHostAndStore() : host("a1"), store(host.clock) {}

  // Carries the host's store calls; while `deaf`, answers to writes are lost.
  std::vector<Action> Run(Duration duration) {
    std::vector<Action> others;
    for (const TimePoint end = host.clock.Now() + duration; host.clock.Now() < end;) {
      host.Pass(kTickInterval);
      Carry(others);
      store.Tick();
    }
    return others;
  }

  void Carry(std::vector<Action>& others) {
    while (!host.actions.empty()) {
      for (const Action& action : std::exchange(host.actions, {})) {
        if (const auto* send = std::get_if<SendStore>(&action)) {
          const bool lost = deaf && send->request.op == StoreOp::kPut && send->request.key == kConfigKey;
          store.Handle(send->request, [&, call = send->call, lost](const StoreReply& reply) {
            host.Do(StoreEvent{call, lost ? Delivery::kUnknown : Delivery::kAnswered, reply});
          });
          if (lost && meanwhile) {
            std::exchange(meanwhile, nullptr)();
          }
        } else {
          others.push_back(action);
        }
      }
    }
  }

  ResultCode Set(uint64_t expected, const std::string& change_id) {
    host.Do(OperatorConfigSet{++exchange, expected, Changed(change_id)});
    for (const Action& action : Run(5s)) {
      if (const auto* answer = std::get_if<AnswerOperator>(&action);
          answer != nullptr && answer->exchange == exchange) {
        return answer->code;
      }
    }
    return ResultCode::kNotFound;
  }

  OneHost host;
  FakeStore store;
  bool deaf = false;
  std::function<void()> meanwhile;  // Happens once, after a write whose answer is lost.
  ExchangeId exchange = 0;
};

}  // namespace

TEST_CASE("of two racing operators one wins and the other is told") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    KeptWorld kept(seed);
    Node& first = kept.world.nodes().front();
    Node& second = kept.world.nodes().back();
    kept.world.Deliver(first, OperatorConfigSet{1, 1, Changed("one")});
    kept.world.Deliver(second, OperatorConfigSet{2, 1, Changed("two")});
    REQUIRE(kept.RunTo([&] { return kept.operator_answers.size() == 2; }));
    std::vector<ResultCode> codes = {kept.operator_answers[1].code, kept.operator_answers[2].code};
    std::sort(codes.begin(), codes.end());
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk, ResultCode::kConflict});
    REQUIRE(kept.RunTo([&] { return EveryoneHas(kept, 2); }, 5s));
    const std::string winner = kept.operator_answers[1].code == ResultCode::kOk ? "one" : "two";
    REQUIRE(first.core->configuration().change_id == winner);
  }
}

TEST_CASE("a change whose answer is lost is resolved by reading back, and a repeat of it is no conflict") {
  OneHostAndStore one;
  one.Run(1s);
  one.deaf = true;
  REQUIRE(one.Set(0, "a") == ResultCode::kOk);
  REQUIRE(one.Set(0, "a") == ResultCode::kOk);
  REQUIRE(one.Set(0, "b") == ResultCode::kConflict);
}

TEST_CASE("a change whose answer is lost is found under a newer version") {
  OneHostAndStore one;
  one.Run(1s);
  REQUIRE(one.Set(0, "a") == ResultCode::kOk);
  one.deaf = true;
  OneHost other("a2");
  one.meanwhile = [&] {
    // Another host's operator changes the configuration before the answer is missed.
    std::vector<Action> work = other.core.Handle(OperatorConfigSet{9, 2, Changed("c")});
    while (!work.empty()) {
      std::vector<Action> next;
      for (const Action& action : work) {
        if (const auto* send = std::get_if<SendStore>(&action)) {
          one.store.Handle(send->request, [&](const StoreReply& reply) {
            for (Action& more : other.core.Handle(StoreEvent{send->call, Delivery::kAnswered, reply})) {
              next.push_back(std::move(more));
            }
          });
        }
      }
      work = std::move(next);
    }
  };
  REQUIRE(one.Set(1, "b") == ResultCode::kOk);
  REQUIRE(one.host.core.configuration().change_id == "c");
}

TEST_CASE("the history has every version, the latest first") {
  OneHostAndStore one;
  one.Run(1s);
  for (uint64_t version = 0; version < 5; ++version) {
    REQUIRE(one.Set(version, fmt::format("change{}", version + 1)) == ResultCode::kOk);
  }
  one.host.Do(OperatorHistory{77, 3});
  std::vector<std::string> seen;
  for (const Action& action : one.Run(1s)) {
    if (const auto* history = std::get_if<AnswerHistory>(&action)) {
      REQUIRE(history->code == ResultCode::kOk);
      for (const Configuration& version : history->versions) {
        seen.push_back(version.change_id);
      }
    }
  }
  REQUIRE(seen == std::vector<std::string>{"change5", "change4", "change3"});
}

TEST_CASE("a bad configuration is refused before the store is asked") {
  OneHostAndStore one;
  one.Run(1s);
  const size_t calls = one.store.calls();
  Configuration bad = Changed("bad");
  bad.classes.push_back(bad.classes.front());
  one.host.Do(OperatorConfigSet{5, 0, bad});
  const auto answers = one.host.Take<AnswerOperator>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].code == ResultCode::kBadRequest);
  REQUIRE(one.store.calls() == calls);
}

TEST_CASE("a host that starts while the store is out learns the configuration from its peers") {
  KeptWorld kept;
  Node& host = kept.world.nodes().front();
  kept.world.weather().store_down = true;
  kept.world.Kill(host);
  kept.Run(2s);
  kept.world.Boot(host);
  REQUIRE(kept.RunTo([&] { return host.core->configuration().version == 1; }, 5s));
}

TEST_CASE("one host of each data centre watches, and the next takes over in silence") {
  KeptWorld kept;
  for (const DataCentre& data_centre : kept.world.data_centres()) {
    std::vector<HostName> names;
    for (const Node* node : kept.world.UpHosts(data_centre)) {
      names.push_back(node->name);
    }
    std::sort(names.begin(), names.end());
    const HostName watcher = RendezvousPick(kConfigKey, names);
    for (Node& node : kept.world.nodes()) {
      if (node.name == watcher) {
        kept.world.Kill(node);
      }
    }
  }
  kept.Run(2s);
  Node* setter = kept.world.UpHosts(kept.world.data_centres().front()).front();
  REQUIRE(SetAndWait(kept, *setter, 1, "after") == ResultCode::kOk);
  REQUIRE(kept.RunTo([&] { return EveryoneHas(kept, 2); }, 5s));
}

TEST_CASE("a peer that stays behind is told by any host, not by the watcher alone") {
  OneHost host("a1");
  HostName watcher = "a2";
  while (RendezvousPick(kConfigKey, {"a1", watcher}) != watcher) {
    watcher += "2";
  }
  host.Configure(FirstConfiguration().classes);
  host.Pass(2s, {watcher});
  const auto pushes_to_one_behind = [&] {
    host.Take<SendPeer>();
    host.Do(PeerEvent{"b", Heartbeat{"dc", 7, false, 0, {}, {}, 0}});
    return !host.TakeSent<ConfigPush>().empty();
  };
  REQUIRE_FALSE(pushes_to_one_behind());
  host.Pass(1s, {watcher});
  REQUIRE(pushes_to_one_behind());
}

}  // namespace hibiscus
