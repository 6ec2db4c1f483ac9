// Gives up tasks that crash their workers. Other tasks that were on a crashed worker are innocent, and one crash cannot
// tell them apart; suspect tasks are therefore spread over the workers (placement.h), and the next crash can. Only a
// later life of the worker, or another instance at its address, shows a crash; a silent worker may be cut off.
#include <algorithm>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

// A crash this soon after a start is likely due to it: a process that ends breaks its pending hold at once. Shorter
// than the timeout of a call, after which a worker that is cut off is silent.
constexpr Duration kPromptCrash = 300ms;

// Numbers of crashes after which a task is given up. The platform allows it from the second certain one on and forbids
// the third start after the third crash; takeovers may miss crashes.
constexpr size_t kMinCertainCrashes = 2;  // Below it, a task is given up only after kMaxCrashes.
constexpr size_t kMinPromptCrashes = 2;   // If no other run there was started as late or has as many.
constexpr size_t kLeadingCrashes = 3;     // Soon after a start, if no other run there has as many.
constexpr size_t kRepeatedCrashes = 4;    // Soon after a start, one of them certain, if it leads and was started last.
constexpr size_t kMaxCertainCrashes = 4;  // With unconfirmed ones, whatever else was there.
constexpr size_t kMaxCrashes = 5;         // Whatever else was there, and however many of them are unconfirmed.

// A gang loses its run to the crash of any of its workers, so that innocent members are exposed to more crashes.
size_t MaxCertainCrashes(const StepRun& step) {
  return step.spec->gang ? kMaxCrashes : kMaxCertainCrashes;
}

size_t EvidenceOf(const StepRun& step, const CrashHistory& crashes) {
  return crashes.evidence() + step.unattributed_crashes.size();
}

bool ExceedsAnyLimit(const StepRun& step, const CrashHistory& crashes) {
  const size_t evidence = EvidenceOf(step, crashes);
  return (crashes.certain.size() >= kMinCertainCrashes && evidence >= MaxCertainCrashes(step)) ||
         evidence >= kMaxCrashes;
}

bool IsSameGangRun(const StepRun& step, const RunRef& a, const RunRef& b) {
  return step.spec->gang && a.run == b.run && a.task.job == b.task.job && a.task.occurrence == b.task.occurrence &&
         a.task.step == b.task.step;
}

}  // namespace

RunDemand DemandOf(const StepRun& step, int index) {
  RunDemand demand = DemandOf(step);
  demand.suspicion = static_cast<int>(step.CrashesOf(index).suspicion());
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

// Stores which runs a worker had begun shortly before it fell silent: if another host takes over before the proof, it
// can still tell under which tasks the worker crashed.
void Owner::OnSilent(Worker& worker, const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& each : runs) {
    StepRun* step = nullptr;
    CrashHistory* crashes = each.certain && each.ran < kPromptCrash ? FindCrashHistory(each.run, &step) : nullptr;
    if (crashes == nullptr || crashes->certain.contains(each.run.run)) {
      continue;
    }
    crashes->suspected[each.run.run] = SuspectedCrash{each.run.run, worker.entry.id, worker.entry.born_ms};
    context_.Log("run", "event=crash_suspected worker={} job={} step={} index={} run={} ran_ms={} crashes={}",
                 worker.entry.id, each.run.task.job, each.run.task.step, each.run.task.index, each.run.run,
                 Millis(each.ran), crashes->certain.size());
    MarkDirty(*step->job);
  }
}

void Owner::OnAnswers(Worker& /*worker*/, const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& each : runs) {
    StepRun* step = nullptr;
    CrashHistory* crashes = FindCrashHistory(each.run, &step);
    if (crashes != nullptr && crashes->suspected.erase(each.run.run) > 0) {
      MarkDirty(*step->job);
    }
    if (!IsPlaced(each.run)) {
      ForgetStart(each.run);
    }
  }
}

// --- Recorded starts ---

bool Owner::IsSuspect(const StepRun& step, int index) const {
  if (step.spec->long_running) {
    return false;  // Its crashes count only if an owner sees them soon after the start.
  }
  const auto is_suspect = [](const TaskState& task) { return task.crashes.suspicion() > 0; };
  return step.spec->gang ? std::any_of(step.tasks.begin(), step.tasks.end(), is_suspect)
                         : is_suspect(step.tasks[static_cast<size_t>(index)]);
}

// The owner may be replaced before it can store that the worker has crashed: the start is stored first, so that its
// successor can tell.
void Owner::StartOnceStored(StepRun& step, Worker& worker, const StartOrder& order) {
  const int index = order.run.task.index;
  const int run = order.run.run;
  workers_.Reserve(worker, order.run, DemandOf(step, index));
  CrashHistory& crashes = step.CrashesOf(index);
  if (crashes.suspicion() > 0) {
    crashes.started[run] = SuspectedCrash{run, worker.entry.id, worker.entry.born_ms};
  }
  MarkDirty(*step.job);
  step.job->WhenStored([this, number = worker.number, order] { SendStoredStart(number, order); });
}

void Owner::SendStoredStart(size_t worker_number, const StartOrder& order) {
  CheckForPause();
  Worker* worker = workers_.FindByNumber(worker_number);
  if (worker == nullptr || !IsPlaced(order.run)) {
    return;
  }
  StepRun* step = nullptr;
  TaskState* task = FindTask(order.run.task, &step);
  if (closing_ || is_deposed_ || !workers_.MayAct() || !worker->UsableAt(context_.Now()) || !AllRunsKnown(*step)) {
    workers_.Stop(*worker, order.run);
    return;
  }
  task->placed_at = context_.Now();
  task->progressed_at = task->placed_at;
  workers_.StartReserved(*worker, order);
}

void Owner::OnSurvived(const RunRef& run, Duration ran) {
  StepRun* step = nullptr;
  CrashHistory* crashes = ran >= kPromptCrash ? FindCrashHistory(run, &step) : nullptr;
  if (crashes == nullptr) {
    return;
  }
  ForgetStart(run);
  if (step->spec->long_running && !crashes->empty()) {
    *crashes = CrashHistory{};  // Over its long life its workers crash for other reasons.
    MarkDirty(*step->job);
  }
}

bool Owner::IsPlaced(const RunRef& run) {
  StepRun* step = nullptr;
  const TaskState* task = FindTask(run.task, &step);
  return task != nullptr && task->phase == TaskPhase::kPlaced && task->run == run.run;
}

void Owner::ForgetStart(const RunRef& run) {
  StepRun* step = nullptr;
  CrashHistory* crashes = FindCrashHistory(run, &step);
  if (crashes != nullptr && crashes->started.erase(run.run) > 0) {
    MarkDirty(*step->job);
  }
}

// --- After a takeover ---

// An earlier owner may not have come to decide, or to learn whether a worker had crashed.
void Owner::RestoreCrashes() {
  for (const auto& [id, job] : jobs_) {
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        RestoreCrashes(*step);
      }
    }
  }
}

void Owner::RestoreCrashes(const StepRun& step) {
  for (int i = 0; i < step.spec->count && !step.job->final; ++i) {
    const TaskState& task = step.tasks[static_cast<size_t>(i)];
    if (task.phase == TaskPhase::kDone) {
      continue;
    }
    if (ExceedsAnyLimit(step, task.crashes)) {
      context_.Log("run", "event=given_up_on_loading job={} step={} index={}", step.job->id(), step.step, i);
      FinishJob(*step.job, JobState::kFailed);
      return;
    }
    for (const auto& [run, suspected] : task.crashes.suspected) {
      restored_suspects_[{suspected.worker, suspected.born_ms}].push_back(
          CrashedRun{RunRef{step.RefOf(i), run}, true, Duration(0)});
    }
    for (const auto& [run, started] : task.crashes.started) {
      if (!task.crashes.suspected.contains(run)) {
        restored_suspects_[{started.worker, started.born_ms}].push_back(
            CrashedRun{RunRef{step.RefOf(i), run}, false, Duration(0)});
      }
    }
  }
}

// Resolves the suspicions of an earlier owner once its workers show whether they have crashed.
void Owner::ResolveRestoredSuspects() {
  for (auto each = restored_suspects_.begin(); each != restored_suspects_.end();) {
    const auto& [id, born_ms] = each->first;
    Worker* worker = workers_.Find(id);
    const bool same_life_answers = worker != nullptr && worker->hold_confirmed && worker->entry.born_ms == born_ms;
    const bool crashed = worker != nullptr && workers_.HasLaterInstance(*worker, born_ms);
    if (worker != nullptr && !same_life_answers && !crashed) {
      ++each;
      continue;
    }
    const std::vector<CrashedRun> runs = std::move(each->second);
    each = restored_suspects_.erase(each);
    if (crashed) {
      OnCrashed(*worker, runs);
    } else if (same_life_answers) {
      OnAnswers(*worker, runs);
    }
  }
}

// --- Decisions ---

// Returns false if the crash says nothing new about the task.
bool Owner::RecordCrash(const CrashedRun& crashed) {
  StepRun* step = nullptr;
  CrashHistory* history = FindCrashHistory(crashed.run, &step);
  if (history == nullptr) {
    return false;
  }
  CrashHistory& crashes = *history;
  const bool prompt = crashed.ran < kPromptCrash || crashes.suspected.contains(crashed.run.run);
  if (step->spec->long_running && !(crashed.certain && prompt)) {
    if (!crashes.empty()) {
      crashes = CrashHistory{};  // It had run well; over its long life its workers crash for other reasons.
      MarkDirty(*step->job);
    }
    return false;
  }
  const bool was_suspected = crashes.suspected.erase(crashed.run.run) > 0;
  const bool recorded = crashed.certain ? crashes.RecordCertain(crashed.run.run, prompt)
                                        : prompt && crashes.RecordUnconfirmed(crashed.run.run);
  if (recorded || was_suspected) {
    MarkDirty(*step->job);
  }
  return recorded;
}

// What the other runs on the crashed worker say about this one.
Owner::CrashComparison Owner::CompareWithOthers(const StepRun& step,
                                                const CrashedRun& crashed,
                                                const std::vector<CrashedRun>& all) {
  CrashComparison result;
  const size_t count = step.CrashesOf(crashed.run.task.index).evidence();
  for (const CrashedRun& other : all) {
    StepRun* other_step = nullptr;
    if (other.run == crashed.run || IsSameGangRun(step, crashed.run, other.run) ||
        FindTask(other.run.task, &other_step) == nullptr) {
      continue;
    }
    result.last = result.last && crashed.ran < other.ran;
    result.leads = result.leads && count > other_step->CrashesOf(other.run.task.index).evidence();
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
  const size_t prompt = crashes->prompt.size();
  const size_t soon_after_start = prompt + crashes->unconfirmed.size() + step->unattributed_crashes.size();
  const bool likely = prompt >= kMinPromptCrashes && others.last;
  const bool is_sure = certain >= kMinCertainCrashes && (likely || soon_after_start >= kLeadingCrashes);
  const bool is_repeated = certain > 0 && soon_after_start >= kRepeatedCrashes && others.last;
  const bool give_up = (others.leads && (is_sure || is_repeated)) || ExceedsAnyLimit(*step, *crashes);
  context_.counters.Add(fmt::format("task_crashes{{given_up=\"{}\"}}", give_up));
  context_.Log(
      "run",
      "event=crashed worker={} job={} step={} index={} run={} certain={} ran_ms={} last={} leads={} crashes={} "
      "unconfirmed={} prompt={} unattributed={} given_up={}",
      worker.entry.id, run.task.job, run.task.step, run.task.index, run.run, crashed.certain, Millis(crashed.ran),
      others.last, others.leads, certain, crashes->unconfirmed.size(), prompt, step->unattributed_crashes.size(),
      give_up);
  if (give_up) {
    FinishJob(*step->job, JobState::kFailed);
  }
}

}  // namespace hibiscus::cell
