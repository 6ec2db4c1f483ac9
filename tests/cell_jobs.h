// Jobs and queues for tests of the cell scheduler.
#ifndef HIBISCUSSTAND_TESTS_CELL_JOBS_H_
#define HIBISCUSSTAND_TESTS_CELL_JOBS_H_

#include <string>

#include <fmt/core.h>

#include "standins/cell_world.h"

namespace hibiscus::cell {

inline std::string JobId(int number) {
  return fmt::format("{:016x}", number);
}

// A queue without advice ("plain") and one with ("advised"), both on the workers of the world.
inline void AddQueues(CellWorld& world) {
  QueueSpec plain;
  plain.name = "plain";
  plain.host = "a.example";
  plain.prefix = "/plain/";
  plain.service = "pool";
  plain.target_latency = 400ms;
  plain.max_attempts = 3;
  plain.stretch = 2;
  QueueSpec advised = plain;
  advised.name = "advised";
  advised.prefix = "/advised/";
  advised.priority = 1;
  advised.advice = AdviceSpec{20ms, 1ms, 1500ms};
  world.configuration.queues = {plain, advised};
  world.configuration.services = {ServiceSpec{"pool", false}};
  world.Configure();
}

inline StepSpec StepOf(int count, int64_t cpu_millis, Duration estimate = 500ms) {
  StepSpec step;
  step.count = count;
  step.size = Resources{cpu_millis, 1000, 0};
  step.estimate = estimate;
  return step;
}

inline JobSpec JobOf(int number, std::vector<StepSpec> steps, const std::string& queue = "plain") {
  JobSpec job;
  job.id = JobId(number);
  job.queue = queue;
  job.payload = "work " + job.id;
  job.steps = std::move(steps);
  return job;
}

// A job whose steps run `occurrences` times, first after `delay`.
inline JobSpec RepeatedJobOf(const CellWorld& world,
                             int number,
                             std::vector<StepSpec> steps,
                             int occurrences,
                             Duration interval,
                             Duration delay = 500ms) {
  JobSpec job = JobOf(number, std::move(steps));
  job.first_due_ms = CellWorld::WallMsAt(world.Now() + delay);
  job.interval = interval;
  job.occurrences = occurrences;
  return job;
}

inline bool HasOwner(const CellWorld& world) {
  return world.OwnerIndex().has_value();
}

// An owner is there and its workers are held.
inline bool Settle(CellWorld& world) {
  const bool owned = world.RunUntil([&] { return HasOwner(world); }, 5s);
  world.RunFor(300ms);
  return owned;
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_JOBS_H_
