#include "standins/cell_end_check.h"

#include <algorithm>

#include <fmt/core.h>

#include "standins/cell_world.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kNotedAfterListed = 100ms;  // Limit of the platform.

}  // namespace

EndCheck::Life EndCheck::LifeOf(const FakeWorker& worker) {
  return Life{&worker, worker.entry.born_ms};
}

TaskRef EndCheck::KeyOf(const TaskRef& task, const StepSpec& step) {
  return TaskRef{task.job, task.occurrence, task.step, step.gang ? 0 : task.index};
}

bool EndCheck::HadLapsedBy(const DoneEnd& end, TimePoint time) const {
  if (const auto of_life = lapses_.find(end.life); of_life != lapses_.end()) {
    for (const Lapse& lapse : of_life->second) {
      if (lapse.last_end >= end.number) {
        return lapse.time <= time;
      }
    }
  }
  const FakeWorker& worker = *end.life.worker;
  return LifeOf(worker) == end.life && worker.LeaseEnd() <= time;
}

void EndCheck::CheckListed(const DoneEnd& end, const std::string& name) const {
  if (!end.listed_at || world_.Now() <= *end.listed_at + kNotedAfterListed ||
      HadLapsedBy(end, *end.listed_at + kNotedAfterListed)) {
    return;
  }
  world_.ReportViolation(fmt::format("started {} ms after its end was listed: {} (done as run {} on {})",
                                     Millis(world_.Now() - *end.listed_at), name, end.run.run,
                                     end.life.worker->entry.id));
}

void EndCheck::OnStarted(const TaskRef& task, const StepSpec& step, const std::string& name) {
  const auto found = ends_.find(KeyOf(task, step));
  if (found == ends_.end() || step.speculative || step.long_running) {
    return;
  }
  for (DoneEnd& end : found->second) {
    if (end.first_start_since.empty()) {
      end.first_start_since = fmt::format("{} at {} ms", name, Millis(world_.Now().time_since_epoch()) - 3'600'000);
    }
    if (world_.judges_listed_ends) {
      CheckListed(end, name);
    }
  }
}

void EndCheck::OnDone(const FakeWorker& worker, int64_t number, const RunRef& run, const StepSpec& step) {
  ends_[KeyOf(run.task, step)].push_back(DoneEnd{LifeOf(worker), number, run, std::nullopt, ""});
}

void EndCheck::OnListed(const FakeWorker& worker, const std::vector<EndedRun>& ends) {
  for (const EndedRun& row : ends) {
    const JobSpec* spec = world_.SpecOf(row.run.task.job);
    if (row.how != EndKind::kDone || spec == nullptr) {
      continue;
    }
    const StepSpec& step = spec->steps[static_cast<size_t>(row.run.task.step)];
    for (DoneEnd& end : ends_[KeyOf(row.run.task, step)]) {
      if (end.life == LifeOf(worker) && end.number == row.number && !end.listed_at) {
        end.listed_at = world_.Now();
      }
    }
  }
}

void EndCheck::OnAcknowledged(const FakeWorker& worker, const EndedRun& end, const StepSpec& step) {
  for (const DoneEnd& done : ends_[KeyOf(end.run.task, step)]) {
    if (done.life == LifeOf(worker) && done.number == end.number && !done.first_start_since.empty()) {
      world_.ReportViolation(fmt::format("started after its end, which is acknowledged now: {} (done as run {} on {})",
                                         done.first_start_since, done.run.run, worker.entry.id));
    }
  }
}

void EndCheck::OnLapsed(const FakeWorker& worker, int64_t last_end, TimePoint time) {
  lapses_[LifeOf(worker)].push_back(Lapse{last_end, time});
}

}  // namespace hibiscus::cell
