// Three data centres: digests, configuration past a cut store, and repeats through another data centre.
#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/reach_net.h"

namespace hibiscus {

namespace {

const Resources kWorkerSize{8000, 8000, 0};
constexpr size_t kHeartbeatKind = 0;
constexpr size_t kDigestKind = 18;
constexpr size_t kCentreClaimKind = 19;

ClassSpec Class(const std::string& name, WorkKind kind, bool may_run_twice) {
  return ClassSpec{name, kind, 5s, 60s, may_run_twice};
}

Configuration Classes() {
  Configuration configuration;
  configuration.change_id = "first";
  configuration.classes = {Class("batch", WorkKind::kBatch, true), Class("once", WorkKind::kCall, false),
                           Class("once-batch", WorkKind::kBatch, false)};
  return configuration;
}

Request Task(const std::string& id, const std::string& class_name, int attempt) {
  Request request;
  request.key = {"tenant", id};
  request.attempt = attempt;
  request.class_name = class_name;
  request.size = Resources{1000, 1000, 0};
  request.run_time = 6s;
  return request;
}

// Data centres a, b and c with the hosts a1, a2, b1, ... each, one worker and one backend server.
void Build(ReachNet& net) {
  for (const char* centre : {"a", "b", "c"}) {
    const std::string name = centre;
    net.AddHost(name + "1", name);
    net.AddHost(name + "2", name);
    net.AddWorker("worker-" + name, name, kWorkerSize);
    net.AddServer("server-" + name, name, 4, 6s);
  }
  net.ShareList();
  net.Run(3s);
  net.SetConfiguration("a1", Classes(), 0);
  net.Run(3s);
  REQUIRE(net.host("c2").configuration().version == 1);
}

bool HasAnswer(const ReachNet& net, ExchangeId exchange) {
  return net.AnswerTo(exchange) != nullptr;
}

}  // namespace

TEST_CASE("heartbeats stay inside the data centre and digests make the others known") {
  ReachNet net;
  Build(net);
  REQUIRE(net.host("a1").remote() == std::vector<HostName>{"b1", "b2", "c1", "c2"});
  REQUIRE(net.host("b2").remote() == std::vector<HostName>{"a1", "a2", "c1", "c2"});
  REQUIRE(net.kinds[{"a", kHeartbeatKind}].messages == 0);

  net.links.clear();
  net.Run(60s);
  for (const auto& [link, count] : net.links) {
    REQUIRE(count.messages <= 60);  // At most one digest a second.
  }
  REQUIRE(net.kinds[{"a", kDigestKind}].messages > 0);
}

TEST_CASE("a dead host leaves the digests, and a cut data centre becomes known again when it heals") {
  ReachNet net;
  Build(net);
  net.Kill("b1");
  const auto knows = [&](const HostName& host, const std::vector<HostName>& remote) {
    return net.RunUntil([&] { return net.host(host).remote() == remote; }, 20s);
  };
  REQUIRE(knows("a2", {"b2", "c1", "c2"}));
  net.Cut("a", "b");
  REQUIRE(knows("a1", {"c1", "c2"}));
  net.HealAll();
  REQUIRE(knows("a1", {"b2", "c1", "c2"}));
}

TEST_CASE("a data centre cut off from the store learns the configuration from any peer that it reaches") {
  ReachNet net;
  Build(net);
  net.CutStore("c");
  net.Cut("a", "c");
  Configuration second = Classes();
  second.change_id = "second";
  net.SetConfiguration("a2", second, 1);
  const auto in_force = [&] {
    return net.host("c1").configuration().version == 2 && net.host("c2").configuration().version == 2;
  };
  REQUIRE(net.RunUntil(in_force, 5s));
  net.HealAll();
  net.HealStore();
  net.Run(30s);
  REQUIRE(in_force());
}

TEST_CASE("a configuration made during a full cut is known everywhere soon after it heals, and never reverts") {
  ReachNet net;
  Build(net);
  net.CutAll();
  net.CutStore("b");
  net.CutStore("c");
  Configuration second = Classes();
  second.change_id = "second";
  net.SetConfiguration("a1", second, 1);
  net.Run(30s);
  REQUIRE(net.host("c1").configuration().version == 1);
  net.HealAll();
  const auto in_force = [&] {
    return net.host("b1").configuration().version == 2 && net.host("b2").configuration().version == 2 &&
           net.host("c1").configuration().version == 2 && net.host("c2").configuration().version == 2;
  };
  REQUIRE(net.RunUntil(in_force, 5s));
  net.HealStore();
  net.Run(30s);
  REQUIRE(in_force());
}

TEST_CASE("a repeat through another data centre joins the first attempt there and gets its whole answer") {
  const std::string class_name = GENERATE("batch", "once", "once-batch");
  const HostName entry = GENERATE("b1", "b2");
  ReachNet net;
  Build(net);
  const ExchangeId first = net.Submit("a1", Task("job", class_name, 1));
  net.Run(1s);
  const ExchangeId repeat = net.Submit(entry, Task("job", class_name, 2));
  net.kinds.clear();
  const ExchangeId unmarked = net.Submit("c1", Task("job", class_name, 0));
  REQUIRE(
      net.RunUntil([&] { return HasAnswer(net, first) && HasAnswer(net, repeat) && HasAnswer(net, unmarked); }, 30s));
  for (const ExchangeId exchange : {first, repeat, unmarked}) {
    REQUIRE(net.AnswerTo(exchange)->code == ResultCode::kOk);
    REQUIRE(net.AnswerTo(exchange)->body == ExpectedBody(TaskId{{"tenant", "job"}, 0}));
  }
  REQUIRE(net.kinds[{"c", kCentreClaimKind}].messages == 2);  // It asked once, then stayed where it was sent.
  const ExchangeId late = net.Submit(entry, Task("job", class_name, 3));
  REQUIRE(net.RunUntil([&] { return HasAnswer(net, late); }, 5s));
  REQUIRE(net.AnswerTo(late)->body == ExpectedBody(TaskId{{"tenant", "job"}, 0}));
  REQUIRE(net.log().StartsOf(TaskId{{"tenant", "job"}, 0}) == 1);
  REQUIRE(net.log().broken().empty());
}

TEST_CASE("repeats that enter two data centres at once run once") {
  ReachNet net;
  Build(net);
  std::vector<ExchangeId> exchanges;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "race" + std::to_string(i);
    for (const char* entry : {"a1", "b2", "c1"}) {
      Request request = Task(id, "batch", 2);
      request.size = Resources{100, 100, 0};
      exchanges.push_back(net.Submit(entry, request));
    }
    net.Run(Duration(i * 700));
  }
  const auto all = [&] {
    return std::all_of(exchanges.begin(), exchanges.end(),
                       [&](ExchangeId exchange) { return HasAnswer(net, exchange); });
  };
  REQUIRE(net.RunUntil(all, 60s));
  REQUIRE(net.log().broken().empty());
  for (int i = 0; i < 20; ++i) {
    REQUIRE(net.log().StartsOf(TaskId{{"tenant", "race" + std::to_string(i)}, 0}) == 1);
  }
}

TEST_CASE("a repeat is refused while a data centre that may have run it is out of reach") {
  ReachNet net;
  Build(net);
  const ExchangeId first = net.Submit("a1", Task("job", "batch", 1));
  const ExchangeId first_once = net.Submit("a1", Task("once", "once", 1));
  net.Run(500ms);
  net.CutAll();
  const ExchangeId repeat = net.Submit("b1", Task("job", "batch", 2));
  const ExchangeId repeat_once = net.Submit("b1", Task("once", "once", 2));
  net.Run(20s);
  REQUIRE(net.AnswerTo(first)->code == ResultCode::kOk);
  REQUIRE(net.AnswerTo(first_once)->code == ResultCode::kOk);
  REQUIRE(net.AnswerTo(repeat)->code == ResultCode::kRepeatUnverified);
  REQUIRE(net.AnswerTo(repeat)->retry_after > 0us);
  REQUIRE(net.AnswerTo(repeat_once)->code == ResultCode::kRepeatOfUnknown);
  REQUIRE(net.AnswerTo(repeat_once)->verdict == Verdict::kUnknown);

  net.HealAll();
  net.Run(10s);
  const ExchangeId later = net.Submit("b1", Task("job", "batch", 3));
  REQUIRE(net.RunUntil([&] { return HasAnswer(net, later); }, 10s));
  REQUIRE(net.AnswerTo(later)->code == ResultCode::kOk);
  REQUIRE(net.log().StartsOf(TaskId{{"tenant", "job"}, 0}) == 1);
  REQUIRE(net.log().StartsOf(TaskId{{"tenant", "once"}, 0}) == 1);
}

TEST_CASE("a repeat abroad is taken up where the first attempt still runs after its home host died") {
  ReachNet net;
  Build(net);
  for (int i = 0; i < 8; ++i) {
    net.Submit("a1", Task("job" + std::to_string(i), "batch", 1));
  }
  net.Run(1s);
  net.Kill("a1");
  std::vector<ExchangeId> repeats;
  repeats.reserve(8);
  for (int i = 0; i < 8; ++i) {
    repeats.push_back(net.Submit("b1", Task("job" + std::to_string(i), "batch", 2)));
  }
  const auto all = [&] {
    return std::all_of(repeats.begin(), repeats.end(), [&](ExchangeId exchange) { return HasAnswer(net, exchange); });
  };
  REQUIRE(net.RunUntil(all, 60s));
  REQUIRE(net.log().broken().empty());
  for (const ExchangeId repeat : repeats) {
    REQUIRE(net.AnswerTo(repeat)->code == ResultCode::kOk);
  }
}

TEST_CASE("a data centre on its own serves its first attempts") {
  ReachNet net;
  Build(net);
  net.CutAll();
  net.CutStore("a");
  net.CutStore("b");
  net.CutStore("c");
  net.Run(10s);
  for (const char* entry : {"a1", "b1", "c2"}) {
    const ExchangeId first = net.Submit(entry, Task(entry, "once-batch", 1));
    REQUIRE(net.RunUntil([&] { return HasAnswer(net, first); }, 20s));
    REQUIRE(net.AnswerTo(first)->code == ResultCode::kOk);
  }
}

}  // namespace hibiscus
