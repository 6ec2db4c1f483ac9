// A start that is on its way while the owner changes, and reaches a next life of its worker.
#ifndef HIBISCUSSTAND_TESTS_CELL_LATE_START_PLAY_H_
#define HIBISCUSSTAND_TESTS_CELL_LATE_START_PLAY_H_

#include <optional>
#include <string>
#include <vector>

#include "tests/cell_late_orders.h"

namespace hibiscus::cell {

using ChangeOfOwner = void (CellWorld::*)(size_t);  // What happens to the owner, for instance CellWorld::Kill.

struct LateStartOutcome {
  bool owner_changed = false;
  std::vector<std::string> violations;
  std::optional<JobState> state;
};

// The owner goes `change_after` it has sent a start. The start and its next copies, `copies` in all, reach a life of
// their worker that its successor does not know.
inline LateStartOutcome PlayLateStart(ChangeOfOwner change,
                                      Duration transit_time,
                                      Duration change_after,
                                      int copies,
                                      Duration takes = 6s) {
  constexpr Duration kRestartBefore = 10ms;  // Before the first copy arrives.
  CellWorld world(501, 3, 3);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kFirstLife);
  DelayNextStarts(world, transit_time, copies);
  const JobSpec job = JobOf(1, {StepOf(1, 1000)});
  world.SubmitWithRetries(job, TaskBehaviour{takes, 0});
  FakeWorker* worker = nullptr;
  REQUIRE(world.RunUntil(
      [&] {
        for (size_t i = 0; i < world.worker_count(); ++i) {
          worker = world.worker(i).starts_in_transit < copies ? &world.worker(i) : worker;
        }
        return worker != nullptr;
      },
      2s));
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).starts_in_transit = &world.worker(i) == worker ? copies - 1 : 0;
  }
  const size_t owner = *world.OwnerIndex();
  world.In(change_after, [&] { (world.*change)(owner); });
  world.RunFor(transit_time - kRestartBefore);
  RestartUnnoticed(*worker);
  world.RunFor(25s + transit_time);
  return LateStartOutcome{world.OwnerIndex() != owner, world.violations(), world.StateOf(job.queue, job.id)};
}

// A gang is done, its owner crashes, a member's late copy reaches a next life. Returns the number of plays.
inline int CheckLateMemberOfDoneGang(Duration transit) {
  int checked = 0;
  for (const Duration change_after : {350ms, 600ms, 900ms, 1200ms}) {
    for (size_t delayed = 0; delayed < 5; ++delayed) {
      CellWorld world(302, 3, 5);
      AddQueues(world);
      REQUIRE(Settle(world));
      world.RunFor(kFirstLife);
      FakeWorker& worker = world.worker(delayed);
      worker.starts_in_transit = 1;
      worker.transit_time = transit;
      StepSpec gang = OneOnEach(3);
      gang.gang = true;
      const JobSpec job = JobOf(1, {gang});
      world.SubmitWithRetries(job, TaskBehaviour{300ms, 0});
      REQUIRE(world.RunUntil([&] { return world.starts() >= 2; }, 2s));
      if (worker.starts_in_transit > 0) {
        continue;
      }
      ++checked;
      const size_t owner = *world.OwnerIndex();
      world.In(change_after, [&] { world.Kill(owner); });
      world.RunFor(transit - 30ms);
      RestartUnnoticed(worker);
      world.RunFor(25s);
      INFO("member on " << delayed << " transit " << Millis(transit) << " killed after " << Millis(change_after)
                        << ViolationsOf(world));
      CHECK(world.violations().empty());
      CHECK(world.StateOf(job.queue, job.id) == JobState::kCompleted);
    }
  }
  return checked;
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_LATE_START_PLAY_H_
