// Callers are told that a job was not accepted only where no copy of their request can still be accepted.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

size_t AnyOtherHost(const CellWorld& world) {
  return (*world.OwnerIndex() + 1) % world.host_count();
}

// REFUSED: requests outlived the planned stop of their host, and the process answered them on its way out.
TEST_CASE("a host at the end of its planned stop answers all open requests with what it knows") {
  CellWorld world(1701, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t leaving = AnyOtherHost(world);
  world.Leave(leaving);
  world.RunFor(500ms);
  world.store().faults.silent = true;
  std::optional<CallerOutcome> passed_on;
  std::optional<CallerOutcome> late;
  world.Submit(leaving, JobOf(1, {StepOf(1, 500)}), TaskBehaviour{},
               [&](const CallerReply& reply) { passed_on = reply.outcome; });
  world.RunFor(200ms);
  CHECK_FALSE(passed_on);
  world.host(leaving)->AnswerBy(world.Now() + 100ms);
  world.RunFor(200ms);
  CHECK(passed_on == CallerOutcome::kOutcomeUnknown);
  world.Submit(leaving, JobOf(2, {StepOf(1, 500)}), TaskBehaviour{},
               [&](const CallerReply& reply) { late = reply.outcome; });
  world.RunFor(1ms);
  CHECK(late == CallerOutcome::kUnavailable);
  world.Kill(leaving);
  world.store().faults.silent = false;
  world.RunFor(8s);
  CHECK(world.CompletionCount(TaskRef{JobId(1), 0, 0, 0}) == 1);
  CHECK(world.CompletionCount(TaskRef{JobId(2), 0, 0, 0}) == 0);
  CHECK(world.violations().empty());
}

// REFUSED: a request that was passed on before the stop began keeps to the bound, too.
TEST_CASE("a planned stop bounds the deadlines of requests that came before it") {
  CellWorld world(1702, 3, 4);
  AddQueues(world);
  REQUIRE(Settle(world));
  const size_t leaving = AnyOtherHost(world);
  world.store().faults.silent = true;
  int answered = 0;
  for (int i = 1; i <= 3; ++i) {
    world.Submit(leaving, JobOf(i, {StepOf(1, 500)}), TaskBehaviour{}, [&](const CallerReply&) { ++answered; });
  }
  world.RunFor(100ms);
  world.host(leaving)->AnswerBy(world.Now() + 50ms);
  world.RunFor(60ms);
  CHECK(answered == 3);
  world.store().faults.silent = false;
  world.RunFor(8s);
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace hibiscus::cell
