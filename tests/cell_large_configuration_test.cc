// A configuration of many queues, whose transfer takes a good part of the time in which it has to be in force: hosts of
// one region read it over narrow links of their own and one that they share.
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kConfigurationLimit = 2500ms;  // CellSettings::configuration_limit.
constexpr Duration kCallerTimeout = 2800ms;
constexpr size_t kHosts = 15;
constexpr size_t kWideHosts = 6;
constexpr double kBytesPerMbit = 125'000;
constexpr size_t kConfigurationBytes = 380'000;
constexpr size_t kAnswerBytes = kConfigurationBytes * 4 / 3;  // In base64.

// The links of a region, once every host has its first configuration.
void LimitLinks(CellWorld& world) {
  for (size_t host = 0; host < kHosts; ++host) {
    world.links.host_bandwidth[host] = (host < kWideHosts ? 200 : 10) * kBytesPerMbit;
  }
  world.links.shared_bandwidth = 60 * kBytesPerMbit;
}

void PublishQueue(CellWorld& world, const std::string& name) {
  QueueSpec queue = *world.configuration.FindQueue("plain");
  queue.name = name;
  queue.prefix = "/" + name + "/";
  world.configuration.queues.push_back(queue);
  world.Configure();
}

std::unique_ptr<CellWorld> WorldWithLinks(uint64_t seed) {
  auto world = std::make_unique<CellWorld>(seed, kHosts, 3);
  AddQueues(*world);
  REQUIRE(Settle(*world));
  world->RunFor(5s);
  LimitLinks(*world);
  world->configuration_bytes = kConfigurationBytes;
  return world;
}

// What callers of a path that no version has heard.
struct UnknownPathAnswers {
  int refused = 0;      // As for a queue that does not exist.
  int unconfirmed = 0;  // As to come back.
};

// Callers ask every host for an unknown path at this interval from now on.
std::shared_ptr<UnknownPathAnswers> AskForUnknownPaths(CellWorld& world, Duration interval, Duration time) {
  auto answers = std::make_shared<UnknownPathAnswers>();
  for (Duration after = 0us; after < time; after += interval) {
    for (size_t host = 0; host < kHosts; ++host) {
      const Duration offset = interval * static_cast<int64_t>(host) / static_cast<int64_t>(kHosts);
      world.In(after + offset, [&world, host, answers] {
        world.host(host)->HandleUnknownRoute("a.example", "/none/1", world.Now() + kCallerTimeout,
                                             [answers](RouteOutcome outcome) {
                                               answers->refused += outcome == RouteOutcome::kNoSuchQueue;
                                               answers->unconfirmed += outcome == RouteOutcome::kUnconfirmed;
                                             });
      });
    }
  }
  return answers;
}

size_t HostsWithVersion(CellWorld& world, uint64_t version) {
  size_t count = 0;
  for (size_t host = 0; host < kHosts; ++host) {
    count += world.host(host)->configuration().version == version;
  }
  return count;
}

// The bytes that were sent since `before`, in times of what every host needs once.
double TimesSent(CellWorld& world, size_t before) {
  return static_cast<double>(world.links.bytes_sent() - before) / static_cast<double>(kAnswerBytes * kHosts);
}

TEST_CASE("a large configuration is in force in time while callers ask for paths that do not exist") {
  for (const Duration interval : {5000ms, 1000ms, 200ms, 50ms}) {
    const auto world = WorldWithLinks(601);
    const auto answers = AskForUnknownPaths(*world, interval, 12s);
    world->RunFor(2s);
    const size_t before = world->links.bytes_sent();
    PublishQueue(*world, "new");
    world->RunFor(kConfigurationLimit);
    INFO("asked every " << Millis(interval) << " ms");
    CHECK(HostsWithVersion(*world, world->configuration.version) == kHosts);
    CHECK(TimesSent(*world, before) < 1.5);
    world->RunFor(12s);
    CHECK(answers->refused > 0);
    CHECK(answers->unconfirmed == 0);
  }
}

TEST_CASE("callers of paths that do not exist cost next to nothing whatever the size of the configuration") {
  const auto world = WorldWithLinks(602);
  PublishQueue(*world, "new");
  world->RunFor(5s);
  const size_t before = world->links.bytes_sent();
  const auto answers = AskForUnknownPaths(*world, 20ms, 10s);
  world->RunFor(12s);
  CHECK(answers->unconfirmed == 0);
  CHECK(answers->refused == 500 * static_cast<int>(kHosts));
  CHECK(TimesSent(*world, before) < 0.2);
}

TEST_CASE("of large versions in quick succession the last is in force in time") {
  const auto world = WorldWithLinks(603);
  AskForUnknownPaths(*world, 1s, 15s);
  for (int i = 0; i < 12; ++i) {
    PublishQueue(*world, fmt::format("new{}", i));
    world->RunFor(330ms);
  }
  world->RunFor(kConfigurationLimit - 330ms);
  CHECK(HostsWithVersion(*world, world->configuration.version) == kHosts);
}

TEST_CASE("a large configuration that is published while the store is silent is in force in time after it") {
  for (const Duration silence : {3s, 4s, 5s, 6s}) {
    const auto world = WorldWithLinks(604);
    AskForUnknownPaths(*world, 1s, 15s);
    world->store().faults.silent = true;
    world->RunFor(silence - 600ms);
    PublishQueue(*world, "new");
    world->RunFor(600ms);
    world->store().faults.silent = false;
    world->RunFor(4s);  // Since then a host is in touch.
    INFO("silent for " << Millis(silence) << " ms");
    CHECK(HostsWithVersion(*world, world->configuration.version) == kHosts);
  }
}

TEST_CASE("a large configuration that has not changed is not read again when the store's history is lost") {
  const auto world = WorldWithLinks(605);
  PublishQueue(*world, "new");
  world->RunFor(5s);
  const size_t before = world->links.bytes_sent();
  world->store().ForgetHistory();
  world->RunFor(5s);
  CHECK(TimesSent(*world, before) < 0.2);
  PublishQueue(*world, "newer");
  world->RunFor(kConfigurationLimit);
  CHECK(HostsWithVersion(*world, world->configuration.version) == kHosts);
}

TEST_CASE("a large configuration is in force in time although a connection dies during its transfer") {
  for (const Duration after : {50ms, 200ms, 600ms}) {
    const auto world = WorldWithLinks(606);
    AskForUnknownPaths(*world, 1s, 15s);
    PublishQueue(*world, "new");
    world->RunFor(after);
    for (size_t host = 0; host < kHosts; host += 2) {
      world->LoseTransfers(host);
    }
    world->RunFor(4s);  // Since then a host is in touch.
    INFO("lost after " << Millis(after) << " ms");
    CHECK(HostsWithVersion(*world, world->configuration.version) == kHosts);
  }
}

}  // namespace
}  // namespace hibiscus::cell
