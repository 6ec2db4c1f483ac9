#include "cell/job_table.h"

#include <algorithm>
#include <iterator>

#include <fmt/core.h>

namespace hibiscus::cell {

namespace {

constexpr size_t kMaxPayloadBytes = 4000;  // Limit set by the platform.
constexpr int kMaxTasksPerStep = 20'000;   // Tasks per step: more would not fit a cell of the target size.
constexpr size_t kMaxSteps = 200;          // Steps per job.
constexpr size_t kIdLength = 16;           // Hexadecimal digits, as the platform requires.
constexpr int64_t kMaxAmount = 1'000'000'000;

bool IsHex(const std::string& text) {
  return text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::string ProblemOf(const StepSpec& step, int number) {
  if (step.count < 1 || step.count > kMaxTasksPerStep) {
    return fmt::format("step {} has {} tasks; it must have 1 to {}", number, step.count, kMaxTasksPerStep);
  }
  const Resources limit{kMaxAmount, kMaxAmount, kMaxAmount};
  if (!step.size.IsValid() || !step.size.FitsIn(limit)) {
    return fmt::format("step {} asks for an amount out of range; each must be 0 to {}", number, kMaxAmount);
  }
  for (const int dependency : step.after) {
    if (dependency < 0 || dependency >= number) {
      return fmt::format("step {} waits for step {}; it must be an earlier one", number, dependency);
    }
  }
  if (step.max_per_worker < 0) {
    return fmt::format("step {} allows {} tasks on a worker; it must be 0 or more", number, step.max_per_worker);
  }
  return {};
}

}  // namespace

TaskRef StepRun::RefOf(int index) const {
  return TaskRef{job->id(), occurrence, step, index};
}

bool CrashHistory::RecordCertain(int run, bool is_prompt) {
  suspected.erase(run);
  started.erase(run);
  unconfirmed.erase(run);
  if (is_prompt) {
    prompt.insert(run);
  }
  return certain.insert(run).second;
}

bool CrashHistory::RecordUnconfirmed(int run) {
  suspected.erase(run);
  started.erase(run);
  return !certain.contains(run) && unconfirmed.insert(run).second;
}

Resources StepRun::task_size() const {
  Resources size = spec->size;
  if (spec->best_effort) {
    size.cpu_millis = 0;
  }
  return size;
}

const std::string& StepRun::tenant() const {
  return job->record.tenant;
}

const StepAdvice::Permit& StepAdvice::For(size_t worker) const {
  static const Permit kNone;
  const auto permit = permits.find(worker);
  return permit == permits.end() ? kNone : permit->second;
}

void Job::WhenStored(std::function<void()> done) {
  if (dirty) {
    on_stored.push_back(std::move(done));
  } else if (in_batch) {
    on_batch_committed.push_back(std::move(done));
  } else {
    done();
  }
}

Occurrence MakeOccurrence(Job& job, int number, int run_base) {
  Occurrence occurrence;
  for (size_t i = 0; i < job.record.spec.steps.size(); ++i) {
    auto step = std::make_unique<StepRun>();
    step->job = &job;
    step->occurrence = number;
    step->step = static_cast<int>(i);
    step->spec = &job.record.spec.steps[i];
    step->tasks.resize(static_cast<size_t>(step->spec->count));
    for (TaskState& task : step->tasks) {
      task.run = run_base;
    }
    step->gang_run = run_base;
    step->waiting = step->spec->count;
    occurrence.steps.push_back(std::move(step));
  }
  return occurrence;
}

bool DependenciesFinished(const Occurrence& occurrence, const StepRun& step) {
  return std::all_of(step.spec->after.begin(), step.spec->after.end(),
                     [&](int dependency) { return occurrence.steps[static_cast<size_t>(dependency)]->finished(); });
}

Duration CriticalPathTime(const JobSpec& spec) {
  std::vector<Duration> ends(spec.steps.size());
  Duration longest{};
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    Duration begin{};
    for (const int dependency : spec.steps[i].after) {
      begin = std::max(begin, ends[static_cast<size_t>(dependency)]);
    }
    ends[i] = begin + spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

int WidestStep(const JobSpec& spec) {
  int widest = 0;
  for (const StepSpec& step : spec.steps) {
    widest = std::max(widest, step.count);
  }
  return widest;
}

namespace {

std::vector<int> ToVector(const std::set<int>& runs) {
  return {runs.begin(), runs.end()};
}

void AddCrashes(const CrashHistory& crashes, int index, StepProgress& progress) {
  if (crashes.empty()) {
    return;
  }
  CrashRecord& record = progress.crash_records[index];
  record.certain = ToVector(crashes.certain);
  record.prompt = ToVector(crashes.prompt);
  record.unconfirmed = ToVector(crashes.unconfirmed);
  for (const auto& [run, suspected] : crashes.suspected) {
    record.suspected.push_back(suspected);
  }
  for (const auto& [run, started] : crashes.started) {
    record.started.push_back(started);
  }
}

// For hosts of the version before crash_records, which add up the crashes of a gang: those of its worst member.
void AddCrashedRuns(const StepRun& step, StepProgress& progress) {
  std::set<int> worst;
  for (int i = 0; i < step.spec->count; ++i) {
    const std::set<int>& certain = step.CrashesOf(i).certain;
    if (step.spec->gang) {
      worst = certain.size() > worst.size() ? certain : worst;
    } else if (!certain.empty()) {
      progress.crashed[i] = ToVector(certain);
    }
  }
  worst.insert(step.unattributed_crashes.begin(), step.unattributed_crashes.end());
  if (!worst.empty()) {
    progress.crashed[0] = ToVector(worst);
  }
}

}  // namespace

ProgressRecord ProgressOf(const Job& job) {
  ProgressRecord record;
  record.occurrences_done = job.occurrences_done;
  for (const int number : job.done_out_of_order) {
    for (size_t i = 0; i < job.record.spec.steps.size(); ++i) {
      StepProgress& progress = record.steps.emplace_back();
      progress.occurrence = number;
      progress.step = static_cast<int>(i);
      progress.all_done = true;
    }
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
      StepProgress progress;
      progress.occurrence = number;
      progress.step = step->step;
      progress.all_done = step->finished();
      if (!progress.all_done) {
        for (int i = 0; i < step->spec->count; ++i) {
          const TaskState& task = step->tasks[static_cast<size_t>(i)];
          if (task.phase == TaskPhase::kDone) {
            progress.done.push_back(i);
            continue;
          }
          if (!task.failed_runs.empty()) {
            progress.failed[i].assign(task.failed_runs.begin(), task.failed_runs.end());
          }
          if (!task.checkpoint.empty()) {
            progress.checkpoints[i] = task.checkpoint;
          }
          AddCrashes(task.crashes, i, progress);
        }
        if (!step->gang_failed_runs.empty()) {
          progress.failed[0].assign(step->gang_failed_runs.begin(), step->gang_failed_runs.end());
        }
        AddCrashedRuns(*step, progress);
        if (!step->gang_checkpoint.empty()) {
          progress.checkpoints[0] = step->gang_checkpoint;
        }
      }
      if (progress.HasContent()) {
        record.steps.push_back(std::move(progress));
      }
    }
  }
  return record;
}

namespace {

void MarkDone(StepRun& step, int index) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  if (task.phase == TaskPhase::kWaiting) {
    task.phase = TaskPhase::kDone;
    --step.waiting;
    ++step.done;
  }
}

bool HasTask(const StepRun& step, int index) {
  return index >= 0 && index < step.spec->count;
}

// Leaves out `possibly_crashed`, which older versions wrote for each worker that fell silent, whether it had crashed or
// not.
void ApplyCrashes(StepRun& step, const StepProgress& progress) {
  std::set<int> recorded;
  for (const auto& [index, record] : progress.crash_records) {
    if (!HasTask(step, index)) {
      continue;
    }
    CrashHistory& crashes = step.CrashesOf(index);
    crashes.certain.insert(record.certain.begin(), record.certain.end());
    crashes.prompt.insert(record.prompt.begin(), record.prompt.end());
    crashes.unconfirmed.insert(record.unconfirmed.begin(), record.unconfirmed.end());
    for (const SuspectedCrash& suspected : record.suspected) {
      crashes.suspected[suspected.run] = suspected;
    }
    for (const SuspectedCrash& started : record.started) {
      crashes.started[started.run] = started;
    }
    recorded.insert(record.certain.begin(), record.certain.end());
  }
  for (const auto& [index, runs] : progress.crashed) {
    if (!HasTask(step, index)) {
      continue;
    }
    std::set<int>& certain = step.spec->gang ? step.unattributed_crashes : step.CrashesOf(index).certain;
    std::copy_if(runs.begin(), runs.end(), std::inserter(certain, certain.end()),
                 [&](int run) { return !step.spec->gang || !recorded.contains(run); });
  }
}

void ApplyStep(StepRun& step, const StepProgress& progress) {
  ApplyCrashes(step, progress);
  const auto in_range = [&](int index) { return HasTask(step, index); };
  for (int i = 0; progress.all_done && i < step.spec->count; ++i) {
    MarkDone(step, i);
  }
  for (const int index : progress.done) {
    if (in_range(index)) {
      MarkDone(step, index);
    }
  }
  for (const auto& [index, runs] : progress.failed) {
    if (step.spec->gang) {
      step.gang_failed_runs.insert(runs.begin(), runs.end());
    } else if (in_range(index)) {
      step.tasks[static_cast<size_t>(index)].failed_runs.insert(runs.begin(), runs.end());
    }
  }
  for (const auto& [index, checkpoint] : progress.checkpoints) {
    if (step.spec->gang) {
      step.gang_checkpoint = checkpoint;
    } else if (in_range(index)) {
      step.tasks[static_cast<size_t>(index)].checkpoint = checkpoint;
    }
  }
}

}  // namespace

void ApplyProgress(Job& job, const ProgressRecord& progress, int run_base) {
  job.occurrences_done = progress.occurrences_done;
  job.next_occurrence = progress.occurrences_done;
  for (const StepProgress& each : progress.steps) {
    if (each.occurrence < job.occurrences_done || each.step < 0 ||
        each.step >= static_cast<int>(job.record.spec.steps.size())) {
      continue;
    }
    while (job.next_occurrence <= each.occurrence) {
      job.occurrences.emplace(job.next_occurrence, MakeOccurrence(job, job.next_occurrence, run_base));
      ++job.next_occurrence;
    }
    StepRun& step = *job.occurrences.at(each.occurrence).steps[static_cast<size_t>(each.step)];
    const bool was_finished = step.finished();
    ApplyStep(step, each);
    if (step.finished() && !was_finished) {
      ++job.occurrences.at(each.occurrence).finished;
    }
    job.started = true;
  }
  std::erase_if(job.occurrences, [&](const auto& each) {
    const bool finished = each.second.finished == static_cast<int>(each.second.steps.size());
    if (finished) {
      job.done_out_of_order.insert(each.first);
    }
    return finished;
  });
  while (job.done_out_of_order.erase(job.occurrences_done) > 0) {
    ++job.occurrences_done;
  }
}

bool IsJobId(const std::string& id) {
  return id.size() == kIdLength && IsHex(id);
}

std::string ProblemOf(const JobSpec& spec) {
  if (!IsJobId(spec.id)) {
    return fmt::format("'{}' is no job id; it must be {} hexadecimal digits", spec.id.substr(0, 40), kIdLength);
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return fmt::format("the task text has {} bytes; it may have {}", spec.payload.size(), kMaxPayloadBytes);
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return fmt::format("the job has {} steps; it must have 1 to {}", spec.steps.size(), kMaxSteps);
  }
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    if (std::string problem = ProblemOf(spec.steps[i], static_cast<int>(i)); !problem.empty()) {
      return problem;
    }
  }
  if (spec.occurrences < 0 || spec.interval < Duration(0) || spec.first_due_ms < 0) {
    return "times of a repeated job must not be negative";
  }
  return {};
}

}  // namespace hibiscus::cell
