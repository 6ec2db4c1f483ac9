#include "standins/cell_late_run_check.h"

#include <algorithm>

#include <fmt/core.h>

#include "standins/cell_world.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kContactTime = 4s;          // Limits of the platform.
constexpr Duration kMaxStartAfterCancel = 3s;  // After the cancelling was acknowledged.

}  // namespace

void LateRunCheck::NoteStarted(const FakeWorker& worker, const RunRef& run) {
  runs_.push_back(LateRun{&worker, run, world_.Now()});
}

TimePoint LateRunCheck::LastTimeOf(const LateRun& late) const {
  const auto cancelled = world_.acknowledged_cancels_.find(late.run.task.job);
  if (cancelled == world_.acknowledged_cancels_.end()) {
    return TimePoint::max();
  }
  const TimePoint in_calm = world_.waiting_.disturbed_at() + kContactTime + kMaxStartAfterCancel;
  return std::max({late.started_at + kContactTime, cancelled->second + kMaxStartAfterCancel, in_calm}) +
         world_.max_stop_time();
}

void LateRunCheck::Check() {
  if (runs_.empty()) {
    return;
  }
  world_.waiting_.Observe();
  std::erase_if(runs_, [this](const LateRun& late) {
    if (!late.worker->IsRunning(late.run)) {
      return true;
    }
    if (world_.Now() <= LastTimeOf(late)) {
      return false;
    }
    const TaskRef& task = late.run.task;
    world_.ReportViolation(
        fmt::format("runs on {} ms after its late start though its job is cancelled: {}.{}.{}.{} run "
                    "{} on {}",
                    Millis(world_.Now() - late.started_at), task.job, task.occurrence, task.step, task.index,
                    late.run.run, late.worker->entry.id));
    return true;
  });
}

}  // namespace hibiscus::cell
