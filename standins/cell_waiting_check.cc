#include "standins/cell_waiting_check.h"

#include <algorithm>
#include <cstdio>
#include <limits>

#include <fmt/core.h>

#include "cell/tenant_quota.h"
#include "standins/cell_fake_host.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kCheckInterval = 100ms;
constexpr Duration kMaxWait = 3s;              // Limit of the platform, for what could run.
constexpr Duration kRecoveryTime = 14s;        // Limit of the platform, after the end of a disruption.
constexpr Duration kLastingRestartTime = 6s;   // Limit of the platform, after the last run of a task that lasts.
constexpr Duration kConfigurationDelay = 15s;  // A configuration is in force by then, however long the store was out.
constexpr int kGivingUpCrashes = 2;            // Of one task; from then on its job may end as failed.

// How many tasks of this size the free resources hold.
int64_t CountThatFits(const Resources& size, const Resources& free) {
  int64_t count = std::numeric_limits<int>::max();
  const auto limit = [&count](int64_t need, int64_t available) {
    count = need > 0 ? std::min(count, std::max<int64_t>(0, available) / need) : count;
  };
  limit(size.cpu_millis, free.cpu_millis);
  limit(size.memory_mb, free.memory_mb);
  limit(size.accelerators, free.accelerators);
  return count;
}

// True if twice `used` is below `whole`, in each component of `whole` that is not 0.
bool IsUnderHalf(const Resources& used, const Resources& whole) {
  const auto under = [](int64_t part, int64_t all) { return all == 0 || 2 * part < all; };
  return under(used.cpu_millis, whole.cpu_millis) && under(used.memory_mb, whole.memory_mb) &&
         under(used.accelerators, whole.accelerators);
}

// The lower of two limits of which 0 is none.
int64_t LowerLimit(int64_t a, int64_t b) {
  return a == 0 || b == 0 ? std::max(a, b) : std::min(a, b);
}

}  // namespace

void WaitingCheck::RunDue() {
  if (world_.Now() < next_check_) {
    return;
  }
  next_check_ = world_.Now() + kCheckInterval;
  Observe();
  if (world_.Now() - disturbed_at_ <= kRecoveryTime) {
    waiting_since_.clear();
    return;
  }
  const Usage usage = MeasureUsage();
  still_waiting_.clear();
  for (const auto& [job, accepted_at] : world_.accepted_) {
    if (!closed_.contains(job) && !found_jobs_.contains(job)) {
      CheckJob(world_.submitted_.at(job), usage);
    }
  }
  std::erase_if(waiting_since_, [this](const auto& each) { return !still_waiting_.contains(each.first); });
}

void WaitingCheck::Observe() {
  if (IsDisturbed()) {
    NoteDisruption();
  }
}

void WaitingCheck::NoteDisruption() {
  disturbed_at_ = world_.Now();
}

void WaitingCheck::NoteRunEnded(const RunRef& run, EndKind how) {
  last_ends_[run.task] = world_.Now();
  const JobSpec* job = world_.SpecOf(run.task.job);
  if (how == EndKind::kFailed && job != nullptr) {
    TaskRef counted = run.task;
    counted.index = job->steps[static_cast<size_t>(counted.step)].gang ? 0 : counted.index;
    failed_runs_[counted].insert(run.run);
  }
}

bool WaitingCheck::IsDisturbed() const {
  const FakeStore& store = world_.store_;
  const bool store_faults = store.faults != CallFaults{} || !store.silent_watches.empty() ||
                            std::any_of(store.host_faults.begin(), store.host_faults.end(),
                                        [](const auto& each) { return each.second != CallFaults{}; });
  return store_faults || world_.late_message_share > 0 ||
         std::any_of(world_.hosts_.begin(), world_.hosts_.end(),
                     [](const auto& host) { return !host->removed && host->IsDisturbed(); }) ||
         std::any_of(world_.workers_.begin(), world_.workers_.end(), [](const auto& worker) {
           return !worker->departed && (!worker->up || worker->faults != CallFaults{});
         });
}

bool WaitingCheck::IsSound(const FakeWorker& worker) const {
  const StoreAnswer listed = world_.store_.Read("workers/" + worker.entry.id);
  return worker.up && !worker.entry.draining && !worker.hangs && !worker.fails_every_run && !listed.items.empty() &&
         listed.items.front().value == EncodeWorkerEntry(worker.entry);
}

WaitingCheck::Usage WaitingCheck::MeasureUsage() const {
  Usage usage;
  for (const auto& worker : world_.workers_) {
    if (!worker->up) {
      continue;
    }
    Resources free = worker->entry.capacity;
    usage.capacity += free;
    for (const auto& [run, state] : worker->runs_) {
      free -= state.size;
      usage.used += state.size;
      usage.used_by_tenant[world_.TenantOfJob(run.task.job)] += state.size;
      usage.running_jobs.insert(run.task.job);
    }
    usage.free[worker.get()] = free;
    if (IsSound(*worker)) {
      usage.eligible.push_back(worker.get());
    }
  }
  return usage;
}

void WaitingCheck::CheckJob(const JobSpec& job, const Usage& usage) {
  if (IsOver(job)) {
    Close(job.id);
    return;
  }
  if (!IsUnderHalf(usage.used, usage.capacity)) {
    return;
  }
  for (int occurrence = 0; occurrence < std::max(1, job.occurrences) && IsDue(job, occurrence); ++occurrence) {
    for (int step = 0; step < static_cast<int>(job.steps.size()); ++step) {
      CheckStep(job, TaskRef{job.id, occurrence, step, 0}, usage);
    }
  }
}

void WaitingCheck::CheckStep(const JobSpec& job, const TaskRef& step, const Usage& usage) {
  const StepSpec& spec = job.steps[static_cast<size_t>(step.step)];
  const bool turn_has_come = std::all_of(spec.after.begin(), spec.after.end(), [&](int before) {
    return IsStepDone(job, TaskRef{job.id, step.occurrence, before, 0});
  });
  if (!turn_has_come || IsStepDone(job, step) || (!spec.long_running && usage.running_jobs.contains(job.id)) ||
      !IsWithinHalfOfMaximum(job, spec, usage) || !HasRoomTwice(job, step, usage)) {
    return;
  }
  if (!spec.long_running) {
    NoteCouldRun(job, step);
    return;
  }
  for (TaskRef task = step; task.index < spec.count; ++task.index) {
    const auto ended = last_ends_.find(task);
    const bool ended_lately = ended != last_ends_.end() && world_.Now() - ended->second < kLastingRestartTime;
    if (world_.RunningCount(task) == 0 && !ended_lately) {
      NoteCouldRun(job, task);
    }
  }
}

void WaitingCheck::NoteCouldRun(const JobSpec& job, const TaskRef& task) {
  still_waiting_.insert(task);
  const TimePoint since = waiting_since_.emplace(task, world_.Now()).first->second;
  if (world_.Now() - since < kMaxWait || !found_jobs_.insert(job.id).second) {
    return;
  }
  const StepSpec& step = job.steps[static_cast<size_t>(task.step)];
  LostWork lost{
      job.id, MayBeGivenUp(job),
      fmt::format("{} ms: LOST: {}.{}.{}.{} could run and does not, since {} ms; {} in its step, {} cpu each{}{}",
                  Millis(world_.Now().time_since_epoch()) - 3'600'000, job.id, task.occurrence, task.step, task.index,
                  Millis(since.time_since_epoch()) - 3'600'000, step.count, step.size.cpu_millis,
                  step.gang ? ", gang" : "", step.long_running ? ", lasts" : "")};
  if (world_.log_to_stdout) {
    std::printf("%s\n", lost.text.c_str());
  }
  found_.push_back(std::move(lost));
}

bool WaitingCheck::IsOver(const JobSpec& job) const {
  for (int occurrence = 0; occurrence < std::max(1, job.occurrences); ++occurrence) {
    for (int step = 0; step < static_cast<int>(job.steps.size()); ++step) {
      if (!IsStepDone(job, TaskRef{job.id, occurrence, step, 0})) {
        return false;
      }
    }
  }
  return true;
}

// By the time of day of the host whose clock is the latest.
bool WaitingCheck::IsDue(const JobSpec& job, int occurrence) const {
  if (job.occurrences == 0) {
    return true;
  }
  Duration latest = Duration(0);
  for (const auto& host : world_.hosts_) {
    latest = std::min(latest, host->wall_offset);
  }
  return CellWorld::WallMsAt(world_.Now() + latest) >= job.first_due_ms + occurrence * Millis(job.interval);
}

bool WaitingCheck::IsStepDone(const JobSpec& job, const TaskRef& step) const {
  const StepSpec& spec = job.steps[static_cast<size_t>(step.step)];
  if (spec.long_running) {
    return false;
  }
  for (TaskRef task = step; task.index < spec.count; ++task.index) {
    if (world_.CompletionCount(task) == 0) {
      return false;
    }
  }
  return true;
}

// Counts what workers have ended: the owner may know of an end whose acknowledgement a crash of the worker forestalls.
bool WaitingCheck::MayBeGivenUp(const JobSpec& job) const {
  const QueueSpec* queue = world_.QueueOf(job.id);
  const bool failed = std::any_of(failed_runs_.begin(), failed_runs_.end(), [&](const auto& each) {
    return each.first.job == job.id && queue != nullptr && static_cast<int>(each.second.size()) >= queue->max_attempts;
  });
  return failed || world_.CrashCount(job.id) >= kGivingUpCrashes;
}

bool WaitingCheck::HasRoomTwice(const JobSpec& job, const TaskRef& step, const Usage& usage) const {
  const StepSpec& spec = job.steps[static_cast<size_t>(step.step)];
  const QueueSpec* queue = world_.QueueOf(job.id);
  int64_t room = 0;
  for (const FakeWorker* worker : usage.eligible) {
    const WorkerEntry& entry = worker->entry;
    const bool has_label = spec.required_label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                                                    spec.required_label) != entry.labels.end();
    if (queue == nullptr || entry.service != queue->service || !has_label ||
        (queue->advice && !world_.AdviceAllows(*queue, step, entry.id))) {
      continue;
    }
    const int64_t fitting = CountThatFits(spec.size, usage.free.at(worker));
    room += spec.max_per_worker > 0 ? std::min<int64_t>(fitting, spec.max_per_worker) : fitting;
  }
  const int64_t starting = spec.gang ? spec.count : 1;
  return room >= 2 * starting;
}

bool WaitingCheck::IsWithinHalfOfMaximum(const JobSpec& job, const StepSpec& step, const Usage& usage) const {
  const std::string tenant = world_.TenantOfJob(job.id);
  const Resources maximum = MaximumOf(tenant);
  const auto found = usage.used_by_tenant.find(tenant);
  const Resources used = found == usage.used_by_tenant.end() ? Resources{} : found->second;
  // A gang that the maximum cannot hold must not start.
  return IsUnderHalf(used, maximum) && FitsMaximum(maximum, step.size, step.gang ? step.count : 1, used);
}

Resources WaitingCheck::MaximumOf(const std::string& tenant) const {
  Resources lowest;
  for (auto each = world_.published_.rbegin(); each != world_.published_.rend() && !tenant.empty(); ++each) {
    if (const TenantSpec* spec = each->second.FindTenant(tenant); spec != nullptr) {
      lowest = Resources{LowerLimit(lowest.cpu_millis, spec->maximum.cpu_millis),
                         LowerLimit(lowest.memory_mb, spec->maximum.memory_mb),
                         LowerLimit(lowest.accelerators, spec->maximum.accelerators)};
    }
    if (each->first + kConfigurationDelay < world_.Now()) {
      break;  // It has replaced all older ones.
    }
  }
  return lowest;
}

}  // namespace hibiscus::cell
