// Why steps whose turn has come wait: gauges by gate, and a log line for work that waits although workers are free.
#include <algorithm>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kCheckInterval = 1s;
constexpr size_t kMaxLinesPerCheck = 20;
// Steps that have waited longer than their job's objective while at least half of the usable capacity is free.
constexpr const char* kOverdueGauge = "waiting_steps_overdue";

bool IsHalfFree(const PlacementLoad& load) {
  return load.workers > 0 && 2 * load.free.cpu_millis >= load.capacity.cpu_millis &&
         2 * load.free.memory_mb >= load.capacity.memory_mb;
}

}  // namespace

void Owner::CheckWaitingSteps() {
  const TimePoint now = context_.Now();
  if (now - waiting_checked_at_ < kCheckInterval) {
    return;
  }
  waiting_checked_at_ = now;
  std::vector<StepRun*> overdue = ObserveWaitingSteps();
  const PlacementLoad load = placement_.load();
  if (!IsHalfFree(load)) {
    overdue.clear();
  }
  context_.counters.Set(kOverdueGauge, static_cast<double>(overdue.size()));
  const size_t lines = std::min(overdue.size(), kMaxLinesPerCheck);
  const auto waits_longer = [this](const StepRun* a, const StepRun* b) { return WaitingSince(*a) < WaitingSince(*b); };
  std::partial_sort(overdue.begin(), overdue.begin() + static_cast<std::ptrdiff_t>(lines), overdue.end(), waits_longer);
  overdue.resize(lines);
  for (const StepRun* step : overdue) {
    LogWaitingStep(*step, load);
  }
}

std::vector<StepRun*> Owner::ObserveWaitingSteps() {
  const TimePoint now = context_.Now();
  std::vector<StepRun*> overdue;
  WaitingCounts counts{};
  for (const auto& [id, job] : jobs_) {
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        const std::optional<WaitingGate> gate = HoldingGate(occurrence, *step);
        if (!gate) {
          continue;
        }
        step->hold.Observe(*gate, now);
        ++counts[static_cast<size_t>(*gate)];
        if (now - WaitingSince(*step) > job->objective) {
          overdue.push_back(step.get());
        }
      }
    }
  }
  SetWaitingGauges(counts);
  return overdue;
}

void Owner::SetWaitingGauges(const WaitingCounts& counts) {
  context_.counters.Set(kOverdueGauge, 0);  // CheckWaitingSteps sets it; an owner that ends leaves none.
  for (const WaitingGate gate : kWaitingGates) {
    context_.counters.Set(fmt::format("waiting_steps{{gate=\"{}\"}}", NameOf(gate)), counts[static_cast<size_t>(gate)]);
  }
}

std::optional<WaitingGate> Owner::HoldingGate(const Occurrence& occurrence, const StepRun& step) {
  const Job& job = *step.job;
  const bool may_open = !job.spec_stored && occurrence.due && DependenciesFinished(occurrence, step);
  const bool may_start_again = workers_.MayStartAgain(step.RefOf(0));
  if (job.final || (step.waiting == 0 && !may_start_again) || !(step.open || may_open)) {
    return std::nullopt;
  }
  PassGates gates;
  gates.authority = !workers_.MayAct() || closing_ || is_deposed_;
  gates.not_stored = !job.spec_stored;
  gates.earlier_runs = job.record.epoch != ownership_.epoch && workers_.AnyUnsettled();
  gates.gang_ending = step.gang_ending;
  gates.gang_partly_started = step.spec->gang && step.waiting < step.spec->count;
  gates.may_still_start = step.waiting == 0;
  gates.unwanted_run = workers_.HasUnwantedRun(step.RefOf(0));
  gates.owner_in_doubt = steps_on_hold_.contains(step.RefOf(0));
  if (const std::optional<WaitingGate> gate = GateOf(gates); gate) {
    return gate;
  }
  const bool refused = step.left_by == WaitingGate::kNoCapacity && HasRoomWhereRefused(step);
  return refused ? WaitingGate::kNotAllowed : step.left_by;
}

bool Owner::HasRoomWhereRefused(const StepRun& step) {
  const TimePoint now = context_.Now();
  return std::any_of(step.advice.permits.begin(), step.advice.permits.end(), [&](const auto& entry) {
    const Worker* worker =
        entry.second.verdict == StepAdvice::Verdict::kRefused ? workers_.FindByNumber(entry.first) : nullptr;
    return worker != nullptr && worker->UsableAt(now) && step.task_size().FitsIn(worker->free());
  });
}

std::optional<TimePoint> Owner::OpensAt(const StepRun& step, WaitingGate gate) const {
  switch (gate) {
    case WaitingGate::kEarlierRuns:
      return workers_.InheritedRunsOverAt();
    case WaitingGate::kMayStillStart:
      return workers_.StartsOverAt(step.RefOf(0));
    case WaitingGate::kOwnerInDoubt:
      return workers_.DoubtOverAt();
    default:
      return std::nullopt;
  }
}

void Owner::LogWaitingStep(const StepRun& step, const PlacementLoad& load) {
  const TimePoint now = context_.Now();
  const std::optional<TimePoint> opens_at = OpensAt(step, step.hold.gate);
  const bool known = opens_at && *opens_at >= now;  // A worker that begins another life in that time prolongs it.
  context_.Log("placement",
               "event=step_waits job={} step={} gate={} waited_ms={} since_ms={} until_ms={} workers_usable={} "
               "free_percent={}",
               step.job->id(), step.step, NameOf(step.hold.gate), Millis(now - WaitingSince(step)),
               Millis(now - step.hold.since), known ? Millis(*opens_at - now) : -1, load.workers,
               load.capacity.cpu_millis == 0 ? 0 : 100 * load.free.cpu_millis / load.capacity.cpu_millis);
}

}  // namespace hibiscus::cell
