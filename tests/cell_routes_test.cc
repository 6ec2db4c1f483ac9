// Queues that operators add and drop: what callers hear of them, and when a host follows.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kConfigurationLimit = 2500ms;  // CellSettings::configuration_limit.
constexpr Duration kCallerTimeout = 2800ms;

void AddRoutes(CellWorld& world) {
  world.checks_routes = true;
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(5s);
}

void AddQueue(CellWorld& world, const std::string& name) {
  QueueSpec queue = *world.configuration.FindQueue("plain");
  queue.name = name;
  queue.prefix = "/" + name + "/";
  world.configuration.queues.push_back(queue);
  world.Configure();
}

struct Answer {
  std::optional<RouteOutcome> outcome;
  Duration took{};
};

Answer AskForRoute(CellWorld& world, size_t host, const std::string& path, Duration timeout = kCallerTimeout) {
  const TimePoint sent = world.Now();
  auto answer = std::make_shared<Answer>();
  world.host(host)->HandleUnknownRoute("a.example", path, sent + timeout, [&world, sent, answer](RouteOutcome outcome) {
    *answer = Answer{outcome, world.Now() - sent};
  });
  world.RunUntil([&] { return answer->outcome.has_value(); }, 4s);
  return *answer;
}

// Pending jobs of a queue, asked for as a caller does.
CallerOutcome AskForQueue(CellWorld& world, size_t host, const std::string& queue) {
  std::optional<CallerOutcome> outcome;
  world.Ask(host, CallerKind::kPending, queue, "", [&](const CallerReply& reply) { outcome = reply.outcome; });
  world.RunUntil([&] { return outcome.has_value(); }, 4s);
  return outcome.value_or(CallerOutcome::kOutcomeUnknown);
}

TEST_CASE("a request for a new queue is served although the watch of its host hears nothing") {
  CellWorld world(501, 3, 3);
  AddRoutes(world);
  world.LoseWatches(0, 4);
  world.RunFor(900ms);
  AddQueue(world, "new");
  world.RunFor(3200ms);  // Undisturbed for long enough by now.
  CHECK(AskForQueue(world, 0, "new") == CallerOutcome::kDone);
  CHECK(world.violations() == std::vector<std::string>());
}

TEST_CASE("a host follows the configuration in time although watches are lost one after the other") {
  for (const int later : {0, 1, 2, 6}) {
    for (const Duration after : {0ms, 300ms, 900ms, 1500ms}) {
      CellWorld world(502, 3, 3);
      AddRoutes(world);
      world.LoseWatches(0, later);
      world.RunFor(after);
      AddQueue(world, "new");
      world.RunFor(kConfigurationLimit);
      INFO("later losses " << later << ", published after " << Millis(after) << " ms");
      CHECK(world.host(0)->configuration().version == world.configuration.version);
    }
  }
}

TEST_CASE("a host stops serving a queue that was dropped while its watch hears nothing") {
  CellWorld world(503, 3, 3);
  AddRoutes(world);
  AddQueue(world, "old");
  world.RunFor(1s);
  world.LoseWatches(1, 4);
  world.configuration.queues.pop_back();
  world.Configure();
  world.RunFor(4100ms);
  CHECK(AskForQueue(world, 1, "old") == CallerOutcome::kUnavailable);
  CHECK(world.routes().refused() == 1);
  CHECK(world.violations() == std::vector<std::string>());
}

// A request for a new queue waits for the store; 400 ms later one for another queue is taken by the version before.
CallerOutcome AskBeforeTaken(CellWorld& world, const std::string& taken) {
  world.store().faults.silent = true;
  world.configuration.queues.pop_back();
  AddQueue(world, "new");
  std::optional<CallerOutcome> outcome;
  world.Ask(0, CallerKind::kPending, "new", "", [&](const CallerReply& reply) { outcome = reply.outcome; });
  world.RunFor(400ms);
  CHECK(AskForQueue(world, 0, taken) == CallerOutcome::kDone);
  world.store().faults.silent = false;
  REQUIRE(world.RunUntil([&] { return outcome.has_value(); }, 400ms));
  CHECK(world.host(0)->configuration().version == world.configuration.version);
  return *outcome;
}

TEST_CASE("a request is not served by a newer version than a later request on a dropped queue") {
  CellWorld world(509, 3, 3);
  AddRoutes(world);
  AddQueue(world, "old");
  world.RunFor(1s);
  CHECK(AskBeforeTaken(world, "old") == CallerOutcome::kUnavailable);
  CHECK(AskForQueue(world, 0, "new") == CallerOutcome::kDone);
  CHECK(world.violations() == std::vector<std::string>());
}

TEST_CASE("of requests that came during a pause none is served by a newer version than a later one") {
  CellWorld world(512, 3, 3);
  AddRoutes(world);
  AddQueue(world, "old");
  world.RunFor(1s);
  world.Freeze(0, 2500ms);
  world.configuration.queues.pop_back();
  AddQueue(world, "new");
  std::optional<CallerOutcome> first;
  std::optional<CallerOutcome> second;
  world.Ask(0, CallerKind::kPending, "new", "", [&](const CallerReply& reply) { first = reply.outcome; });
  world.RunFor(2300ms);
  world.Ask(0, CallerKind::kPending, "old", "", [&](const CallerReply& reply) { second = reply.outcome; });
  CHECK(world.RunUntil([&] { return first && second; }, 4s));
  CHECK(world.violations() == std::vector<std::string>());
}

TEST_CASE("a request that waited for a newer version is served by it although a later one was served by the older") {
  CellWorld world(510, 3, 3);
  AddRoutes(world);
  AddQueue(world, "old");
  world.RunFor(1s);
  CHECK(AskBeforeTaken(world, "plain") == CallerOutcome::kDone);
  CHECK(world.violations() == std::vector<std::string>());
}

TEST_CASE("a request is not served on a queue that was dropped after it was matched") {
  CellWorld world(511, 3, 3);
  AddRoutes(world);
  std::optional<CallerOutcome> outcome;
  CallerRequest request;
  request.kind = CallerKind::kPending;
  request.queue = "old";
  world.host(0)->Handle(request, world.Now() + kCallerTimeout,
                        [&](const CallerReply& reply) { outcome = reply.outcome; });
  CHECK(outcome == CallerOutcome::kUnavailable);
}

TEST_CASE("callers of a queue that does not exist hear so") {
  CellWorld world(504, 3, 3);
  AddRoutes(world);
  for (size_t host = 0; host < world.host_count(); ++host) {
    const Answer answer = AskForRoute(world, host, "/none/1");
    CHECK(answer.outcome == RouteOutcome::kNoSuchQueue);
    CHECK(answer.took < 200ms);
  }
}

TEST_CASE("while the store does not answer nobody hears that a queue does not exist") {
  for (const bool silent : {false, true}) {
    CellWorld world(505, 3, 3);
    AddRoutes(world);
    (silent ? world.store().faults.silent : world.store().faults.down) = true;
    AddQueue(world, "new");
    const Answer answer = AskForRoute(world, 0, "/new/1");
    CHECK(answer.outcome == RouteOutcome::kUnconfirmed);
    CHECK(answer.took <= 600ms);
    const Answer hurried = AskForRoute(world, 0, "/new/1", 300ms);
    CHECK(hurried.outcome == RouteOutcome::kUnconfirmed);
    CHECK(hurried.took <= 300ms);
    world.store().faults = CallFaults{};
    CHECK(AskForRoute(world, 0, "/new/1").outcome == RouteOutcome::kFound);
    CHECK(AskForRoute(world, 0, "/none/1").outcome == RouteOutcome::kNoSuchQueue);
  }
}

// The answer of a read that was sent before the version was published says what was before.
TEST_CASE("a read that is older than the request does not show that a queue does not exist") {
  CellWorld world(506, 3, 3);
  AddRoutes(world);
  world.LoseWatches(0, 4);
  world.store().faults.extra_delay = 60ms;
  std::optional<RouteOutcome> first;
  std::optional<RouteOutcome> second;
  const auto ask = [&](std::optional<RouteOutcome>& outcome) {
    world.host(0)->HandleUnknownRoute("a.example", "/new/1", world.Now() + kCallerTimeout,
                                      [&outcome](RouteOutcome heard) { outcome = heard; });
  };
  ask(first);
  world.RunFor(20ms);  // The store has read, and its answer is on the way.
  AddQueue(world, "new");
  ask(second);
  REQUIRE(world.RunUntil([&] { return first && second; }, 4s));
  CHECK(second == RouteOutcome::kFound);
}

TEST_CASE("requests for unknown queues share reads of the configuration") {
  CellWorld world(507, 3, 3);
  AddRoutes(world);
  const double before = world.CounterOf(0, "configuration_reads");
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    world.In(i * 1ms, [&] {
      world.host(0)->HandleUnknownRoute(
          "a.example", "/none/1", world.Now() + kCallerTimeout,
          [&](RouteOutcome outcome) { refused += outcome == RouteOutcome::kNoSuchQueue; });
    });
  }
  world.RunFor(2s);
  CHECK(refused == 1000);
  CHECK(world.CounterOf(0, "configuration_reads") - before <= 12);
}

TEST_CASE("an undisturbed host does not read the configuration beside its watch") {
  CellWorld world(508, 3, 3);
  AddRoutes(world);
  world.RunFor(20s);
  CHECK(world.CounterOf(0, "configuration_reads") == 0);
}

}  // namespace
}  // namespace hibiscus::cell
