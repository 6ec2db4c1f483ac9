// Workers that are replaced one after the other while two hosts may own the cell: the roster changes with each batch.
#include <catch2/catch.hpp>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr size_t kWorkers = 12;
constexpr Duration kDrainTime = 2500ms;
constexpr Duration kAddressReuse = 2s;
constexpr int kJobs = 6;
constexpr int kTasksPerJob = 2;
constexpr size_t kJoiningHost = 4;

// The worker drains, leaves, and another one starts at its address under another id. Without a path to the store
// neither its entry nor that of the other one changes.
void Replace(CellWorld& world, size_t number, const std::set<size_t>& cut_off) {
  FakeWorker& worker = world.worker(number);
  const bool reaches_store = !cut_off.contains(number);
  worker.entry.draining = true;
  if (reaches_store) {
    world.WriteWorkerEntry(worker);
  }
  world.In(kDrainTime, [&world, &worker, reaches_store] {
    worker.EndAllRuns(EndKind::kHoldExpired);  // As in a crash, but no task of them counts as its cause.
    worker.Crash();
    worker.refuses = true;
    if (reaches_store) {
      world.store().Erase("workers/" + worker.entry.id);
    }
    world.In(kAddressReuse, [&worker, reaches_store] {
      worker.entry.id += "n";
      worker.entry.draining = false;
      worker.Restart(reaches_store);
    });
  });
}

struct ReleaseCourse {
  size_t kept = 0;   // Workers that the owner still reaches.
  size_t first = 0;  // Of those that are replaced.
  size_t replaced = 0;
  Duration release_after{};  // Since the cut; negative: before it.
  Duration cut{};
  bool successor_dies = false;  // Shortly after its takeover.
};

// The host that takes over next dies 300 ms later.
void KillSuccessor(CellWorld& world, size_t earlier_owner) {
  world.In(100ms, [&world, earlier_owner] {
    const auto successor = world.OwnerIndex();
    if (!successor || *successor == earlier_owner) {
      KillSuccessor(world, earlier_owner);
      return;
    }
    world.In(300ms, [&world, host = *successor] {
      world.Kill(host);
      world.In(4s, [&world, host] { world.Boot(host); });
    });
  });
}

std::vector<std::string> Play(const ReleaseCourse& course) {
  CellWorld world(87, 5, kWorkers);
  AddQueues(world);
  world.Kill(kJoiningHost);
  REQUIRE(Settle(world));
  for (int i = 1; i <= kJobs; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(3, 5000)}), TaskBehaviour{20s, 0});
  }
  world.RunFor(6s);
  const size_t owner = *world.OwnerIndex();
  std::set<size_t> kept;
  for (size_t i = 0; i < course.kept; ++i) {
    kept.insert(i);
  }
  bool cut_off = false;
  for (size_t i = 0; i < course.replaced; ++i) {
    world.In(3s + course.release_after + i * 500ms, [&world, &kept, &cut_off, number = (course.first + i) % kWorkers] {
      Replace(world, number, cut_off ? kept : std::set<size_t>{});
    });
  }
  world.RunFor(3s);
  cut_off = true;
  world.CutOffWithWorkers(owner, kept, true);
  world.In(500ms, [&world] { world.Boot(kJoiningHost); });
  if (course.successor_dies) {
    KillSuccessor(world, owner);
  }
  world.RunFor(course.cut);
  cut_off = false;
  world.CutOffWithWorkers(owner, kept, false);
  for (size_t i = 0; i < kWorkers; ++i) {
    if (world.worker(i).up) {
      world.WriteWorkerEntry(world.worker(i));
    }
  }
  world.RunFor(60s);
  return world.violations();
}

TEST_CASE("an owner that is cut off and its successor never run a task at the same time while workers are replaced") {
  const auto [kept, first, replaced] = GENERATE(table<size_t, size_t, size_t>({{1, 0, 6},
                                                                               {1, 6, 12},
                                                                               {5, 0, 6},
                                                                               {5, 0, 12},
                                                                               {5, 6, 6},
                                                                               {6, 0, 6},
                                                                               {6, 6, 6},
                                                                               {6, 6, 12},
                                                                               {11, 0, 12},
                                                                               {11, 6, 6}}));
  for (const Duration release_after : {-500ms, 4000ms}) {
    for (const Duration cut : {5s, 12s}) {
      for (const bool successor_dies : {false, true}) {
        const auto violations = Play(ReleaseCourse{kept, first, replaced, release_after, cut, successor_dies});
        INFO(kept << " workers kept, " << replaced << " replaced from number " << first << ", " << Millis(release_after)
                  << " ms after the cut of " << Millis(cut) << " ms, successor dies " << successor_dies
                  << ", first violation: " << (violations.empty() ? "none" : violations.front()));
        CHECK(violations.empty());
      }
    }
  }
}

// The worker leaves as in a scale-in: no other one takes its address.
void RemoveFromCell(CellWorld& world, size_t number) {
  FakeWorker& worker = world.worker(number);
  worker.entry.draining = true;
  world.WriteWorkerEntry(worker);
  world.In(kDrainTime, [&world, &worker] {
    worker.EndAllRuns(EndKind::kHoldExpired);
    worker.Crash();
    worker.refuses = true;
    world.store().Erase("workers/" + worker.entry.id);
  });
}

struct OwnersInTurn {
  size_t leaving_workers = 0;
  int owners = 1;  // That are stopped as planned, one after the other.
  Duration gap{};  // Between them.
};

// How many tasks of the jobs neither run nor are done.
int TasksAway(const CellWorld& world, int jobs) {
  int away = 0;
  for (int i = 1; i <= jobs; ++i) {
    for (int index = 0; index < kTasksPerJob; ++index) {
      const TaskRef task{JobId(i), 0, 0, index};
      away += world.RunningCount(task) == 0 && world.CompletionCount(task) == 0 ? 1 : 0;
    }
  }
  return away;
}

// Returns how long after the last takeover all tasks run again, and `limit` if they do not.
Duration PlayOwnersInTurn(const OwnersInTurn& course, uint64_t seed, Duration limit) {
  CellWorld world(seed, 5, kWorkers);
  AddQueues(world);
  REQUIRE(Settle(world));
  world.RunFor(kMaxDoubt);  // Until then the first owner cannot exclude that there is an earlier one.
  for (int i = 1; i <= kJobs; ++i) {
    world.SubmitWithRetries(JobOf(i, {StepOf(kTasksPerJob, 2000)}), TaskBehaviour{25s, 0});
  }
  world.RunFor(2s);
  REQUIRE(TasksAway(world, kJobs) == 0);
  for (size_t i = 0; i < course.leaving_workers; ++i) {
    RemoveFromCell(world, i);
  }
  world.RunFor(kDrainTime - 50ms);
  for (int i = 0; i < course.owners; ++i) {
    const size_t owner = *world.OwnerIndex();
    world.Leave(owner);
    REQUIRE(world.RunUntil([&] { return HasOwner(world) && *world.OwnerIndex() != owner; }, 5s));
    if (i + 1 < course.owners) {
      world.RunFor(course.gap);
    }
  }
  world.RunFor(100ms);  // The workers have left.
  const TimePoint begun_at = world.Now();
  REQUIRE(TasksAway(world, kJobs) > 0);
  const bool all_run = world.RunUntil([&] { return TasksAway(world, kJobs) == 0; }, limit);
  const Duration time = all_run ? world.Now() - begun_at : limit;
  world.RunFor(60s);
  INFO("first violation: " << (world.violations().empty() ? "none" : world.violations().front()));
  CHECK(world.violations().empty());
  return time;
}

// Most workers of the roster have left, so that no new owner can fence half of it.
TEST_CASE("the tasks of workers that have left start again soon although the owners are stopped in turn") {
  for (const int owners : {1, 2, 3}) {
    for (const Duration gap : {0s, 1s}) {
      for (uint64_t seed = 7501; seed <= 7503; ++seed) {
        const Duration time = PlayOwnersInTurn({.leaving_workers = 8, .owners = owners, .gap = gap}, seed, 30s);
        INFO(owners << " owners stopped, " << Millis(gap) << " ms between them, seed " << seed << ": " << Millis(time)
                    << " ms");
        // The longest lease is 6.2 s.
        CHECK(time < 8s);
      }
    }
  }
}

}  // namespace
}  // namespace hibiscus::cell
