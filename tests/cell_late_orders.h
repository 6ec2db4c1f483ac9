// Workers that start again, and orders to them that are late.
#ifndef HIBISCUSSTAND_TESTS_CELL_LATE_ORDERS_H_
#define HIBISCUSSTAND_TESTS_CELL_LATE_ORDERS_H_

#include <string>

#include "tests/cell_jobs.h"

namespace hibiscus::cell {

// Puts the deadlines of the first life's orders far ahead on the clock of the next one.
inline constexpr Duration kFirstLife = 10s;

inline void RestartWorker(FakeWorker& worker) {
  worker.Crash();
  worker.Restart();
}

// The store does not tell of the new life.
inline void RestartUnnoticed(FakeWorker& worker) {
  worker.Crash();
  worker.Restart(/*write_entry=*/false);
}

// Each worker's next starts arrive after `transit_time`.
inline void DelayNextStarts(CellWorld& world, Duration transit_time, int count = 1) {
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).starts_in_transit = count;
    world.worker(i).transit_time = transit_time;
  }
}

// Waits until one worker's delayed starts were sent and delays no further ones.
inline FakeWorker* WorkerOfDelayedStart(CellWorld& world) {
  FakeWorker* worker = nullptr;
  world.RunUntil(
      [&] {
        for (size_t i = 0; i < world.worker_count(); ++i) {
          worker = world.worker(i).starts_in_transit == 0 ? &world.worker(i) : worker;
        }
        return worker != nullptr;
      },
      2s);
  for (size_t i = 0; i < world.worker_count(); ++i) {
    world.worker(i).starts_in_transit = 0;
  }
  return worker;
}

inline StepSpec OneOnEach(int count) {
  StepSpec step = StepOf(count, 1000);
  step.max_per_worker = 1;
  return step;
}

inline std::string ViolationsOf(const CellWorld& world) {
  return world.violations().empty() ? "" : ": " + world.violations().front();
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_LATE_ORDERS_H_
