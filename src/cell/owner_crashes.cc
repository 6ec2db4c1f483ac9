// Gives up tasks that crash their workers. Other tasks that were on a crashed worker are innocent, and one crash cannot
// tell them apart; suspect tasks are therefore spread over the workers (placement.h), and the next crash can.
#include <algorithm>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kPromptCrash = 1s;  // A crash this soon after a start is likely due to it.
// Numbers of crashes after which a task is given up. The platform allows it from the second on and forbids the third
// start after the third crash; takeovers may miss crashes.
constexpr size_t kMinCertainCrashes = 2;  // Below it is given up only after kMaxCrashes.
constexpr size_t kLeadingCrashes = 3;     // With possible ones, if no other run there has as many.
constexpr size_t kMaxCrashes = 4;         // With possible ones, whatever else was there.

bool IsSameGangRun(const StepRun& step, const RunRef& a, const RunRef& b) {
  return step.spec->gang && a.run == b.run && a.task.job == b.task.job && a.task.occurrence == b.task.occurrence &&
         a.task.step == b.task.step;
}

}  // namespace

RunDemand DemandOf(const StepRun& step, int index) {
  RunDemand demand = DemandOf(step);
  demand.suspicion = static_cast<int>(step.CrashesOf(index).count());
  return demand;
}

void Owner::OnCrashed(Worker& worker, const std::vector<CrashedRun>& crashed) {
  std::vector<CrashedRun> recorded;
  std::copy_if(crashed.begin(), crashed.end(), std::back_inserter(recorded),
               [this](const CrashedRun& each) { return RecordCrash(each); });
  for (const CrashedRun& each : recorded) {
    DecideAfterCrash(worker, each, crashed);
  }
}

CrashHistory* Owner::FindCrashHistory(const RunRef& run, StepRun** step) {
  const TaskState* task = FindTask(run.task, step);
  const bool open = task != nullptr && !(*step)->job->final && task->phase != TaskPhase::kDone;
  return open ? &(*step)->CrashesOf(run.task.index) : nullptr;
}

// A worker that is silent soon after a start has often crashed. That is stored at once: a takeover before the proof
// would forget the crash.
void Owner::OnSilent(Worker& worker, const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& each : runs) {
    StepRun* step = nullptr;
    CrashHistory* crashes = each.ran < kPromptCrash ? FindCrashHistory(each.run, &step) : nullptr;
    if (crashes != nullptr && crashes->Record(each.run.run, false)) {
      context_.Log("run",
                   "event=crash_suspected worker={} job={} step={} index={} run={} ran_ms={} crashes={} possible={}",
                   worker.entry.id, each.run.task.job, each.run.task.step, each.run.task.index, each.run.run,
                   Millis(each.ran), crashes->certain.size(), crashes->possible.size());
      MarkDirty(*step->job);
    }
  }
}

void Owner::OnAnswers(Worker& /*worker*/, const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& each : runs) {
    StepRun* step = nullptr;
    CrashHistory* crashes = FindCrashHistory(each.run, &step);
    if (crashes != nullptr && crashes->possible.erase(each.run.run) > 0) {
      MarkDirty(*step->job);
    }
  }
}

// An earlier owner may not have come to decide.
void Owner::GiveUpRestoredTasks() {
  for (const auto& [id, job] : jobs_) {
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        const bool give_up = std::any_of(step->tasks.begin(), step->tasks.end(), [&](const TaskState& task) {
          const CrashHistory& crashes = step->spec->gang ? step->gang_crashes : task.crashes;
          return task.phase != TaskPhase::kDone && crashes.count() >= kMaxCrashes;
        });
        if (give_up && !job->final) {
          context_.Log("run", "event=given_up_on_loading job={} step={}", id, step->step);
          FinishJob(*job, JobState::kFailed);
        }
      }
    }
  }
}

// Returns false if the crash says nothing new about the task.
bool Owner::RecordCrash(const CrashedRun& crashed) {
  StepRun* step = nullptr;
  CrashHistory* history = FindCrashHistory(crashed.run, &step);
  if (history == nullptr) {
    return false;
  }
  CrashHistory& crashes = *history;
  const bool prompt = crashed.certain && crashed.ran < kPromptCrash;
  if (step->spec->long_running && !prompt) {
    if (crashes.count() > 0) {
      crashes = CrashHistory{};  // It had run well; over its long life its workers crash for other reasons.
      MarkDirty(*step->job);
    }
    return false;
  }
  if (!crashes.Record(crashed.run.run, crashed.certain)) {
    return false;
  }
  crashes.prompt += prompt ? 1 : 0;
  MarkDirty(*step->job);
  return true;
}

// What the other runs on the crashed worker say about this one.
Owner::CrashComparison Owner::CompareWithOthers(const StepRun& step,
                                                const CrashedRun& crashed,
                                                const std::vector<CrashedRun>& all) {
  CrashComparison result;
  const size_t count = step.CrashesOf(crashed.run.task.index).count();
  for (const CrashedRun& other : all) {
    StepRun* other_step = nullptr;
    if (other.run == crashed.run || IsSameGangRun(step, crashed.run, other.run) ||
        FindTask(other.run.task, &other_step) == nullptr) {
      continue;
    }
    result.last = result.last && crashed.ran < other.ran;
    result.leads = result.leads && count > other_step->CrashesOf(other.run.task.index).count();
  }
  return result;
}

void Owner::DecideAfterCrash(const Worker& worker, const CrashedRun& crashed, const std::vector<CrashedRun>& all) {
  const RunRef& run = crashed.run;
  StepRun* step = nullptr;
  const CrashHistory* crashes = FindCrashHistory(run, &step);
  if (crashes == nullptr) {
    return;  // Its job was given up because of another task.
  }
  const CrashComparison others = CompareWithOthers(*step, crashed, all);
  const size_t certain = crashes->certain.size();
  const bool all_prompt = crashed.certain && static_cast<size_t>(crashes->prompt) == certain;
  const bool likely = others.leads && ((all_prompt && others.last) || crashes->count() >= kLeadingCrashes);
  const bool give_up = (certain >= kMinCertainCrashes && likely) || crashes->count() >= kMaxCrashes;
  context_.counters.Add(fmt::format("task_crashes{{given_up=\"{}\"}}", give_up));
  context_.Log(
      "run",
      "event=crashed worker={} job={} step={} index={} run={} certain={} ran_ms={} last={} leads={} crashes={} "
      "possible={} prompt={} given_up={}",
      worker.entry.id, run.task.job, run.task.step, run.task.index, run.run, crashed.certain, Millis(crashed.ran),
      others.last, others.leads, certain, crashes->possible.size(), crashes->prompt, give_up);
  if (give_up) {
    FinishJob(*step->job, JobState::kFailed);
  }
}

}  // namespace hibiscus::cell
