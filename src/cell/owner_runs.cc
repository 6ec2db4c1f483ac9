// Handles what workers report about runs, and updates tasks, steps and jobs accordingly.
#include <algorithm>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr int kDonePercent = 100;  // Progress of a task that has done its work.
// A task without progress for this long is stuck. Covers several reports of its worker, in which even a slow task gains
// a percent.
constexpr Duration kStandstillTimeout = 1500ms;

}  // namespace

// --- Lookup ---

StepRun* Owner::FindStep(const TaskRef& task) {
  Job* job = FindJob(task.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto occurrence = job->occurrences.find(task.occurrence);
  if (occurrence == job->occurrences.end() || task.step < 0 ||
      task.step >= static_cast<int>(occurrence->second.steps.size())) {
    return nullptr;
  }
  return occurrence->second.steps[static_cast<size_t>(task.step)].get();
}

TaskState* Owner::FindTask(const TaskRef& task, StepRun** step) {
  *step = FindStep(task);
  if (*step == nullptr || task.index < 0 || task.index >= (*step)->spec->count) {
    return nullptr;
  }
  return &(*step)->tasks[static_cast<size_t>(task.index)];
}

namespace {

// Members of a gang end together, so a member may stay at 100 percent long before the last one gets there.
bool AnyMemberUnfinished(const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState& task) {
    return task.phase == TaskPhase::kPlaced && task.percent < kDonePercent;
  });
}

bool IsCurrent(const TaskState& task, const Worker& worker, const RunRef& run) {
  return task.phase == TaskPhase::kPlaced && task.run == run.run && task.worker == worker.entry.id;
}

}  // namespace

// --- Worker reports ---

void Owner::OnRunning(Worker& worker, const RunningRun& row) {
  StepRun* step = nullptr;
  const TaskState* task = FindTask(row.run.task, &step);
  if (task != nullptr && IsCurrent(*task, worker, row.run)) {
    OnSurvived(row.run, context_.Now() - worker.placed.at(row.run).placed_at);
    UpdateCheckpoint(*step, row.run.task.index, row.checkpoint);
    CheckProgress(*step, row.run.task.index, worker, row.percent);
  }
}

// Stops a task whose progress has stalled although its worker answers, so that it is started on another worker;
// without this it would hang for good.
void Owner::CheckProgress(StepRun& step, int index, Worker& worker, int percent) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  const TimePoint now = context_.Now();
  if (percent > task.percent || task.progressed_at < task.placed_at) {
    task.progressed_at = percent > task.percent ? now : std::max(task.progressed_at, task.placed_at);
    task.percent = percent;
    return;
  }
  if (step.spec->gang && percent >= kDonePercent && AnyMemberUnfinished(step)) {
    task.progressed_at = now;
    return;
  }
  const Duration timeout = kStandstillTimeout + (step.spec->gang ? context_.settings.gang_timeout : Duration(0));
  const bool exempt = step.spec->long_running || !context_.settings.policies.standstill;
  if (exempt || task.stopping || now - task.progressed_at < timeout) {
    return;
  }
  context_.counters.Add("runs_stood_still");
  context_.Log("run", "event=stands_still worker={} job={} step={} index={} run={} percent={} for_ms={}",
               worker.entry.id, step.job->id(), step.step, index, task.run, percent, Millis(now - task.progressed_at));
  UpdateQuarantine(worker, step, EndKind::kFailed);
  if (step.spec->gang) {
    StopGang(step);
    return;
  }
  task.stopping = true;
  workers_.Stop(worker, RunRef{step.RefOf(index), task.run});
}

void Owner::UpdateQuarantine(const Worker& worker, const StepRun& step, EndKind how) {
  const bool was_quarantined = quarantine_.IsQuarantined(worker.entry.id);
  if (how == EndKind::kDone) {
    quarantine_.RecordSuccess(worker.entry.id, step.job->queue.name, context_.Now());
  } else if (how == EndKind::kFailed) {
    quarantine_.RecordFailure(worker.entry.id, step.job->queue.name, step.job->id(), context_.Now());
  }
  const bool is_quarantined = quarantine_.IsQuarantined(worker.entry.id);
  if (is_quarantined != was_quarantined) {
    const QuarantineState state = quarantine_.StateOf(worker.entry.id, context_.Now());
    context_.Log("worker", "event={} worker={} failures={} probe_in_ms={}", is_quarantined ? "quarantined" : "released",
                 worker.entry.id, state.failures, Millis(state.probe_in));
  }
}

void Owner::UpdateCheckpoint(StepRun& step, int index, const std::string& checkpoint) {
  if (checkpoint.empty() || !step.spec->checkpoints) {
    return;
  }
  (step.spec->gang ? step.gang_checkpoint : step.tasks[static_cast<size_t>(index)].checkpoint) = checkpoint;
}

// A worker reports a run that an earlier owner started. It is adopted if its task is still waiting; if not, returning
// false has the worker table stop it.
bool Owner::OnFound(Worker& worker, const RunningRun& row, std::optional<RunDemand>& demand) {
  BeginReportedOccurrence(row.run.task);
  StepRun* step = nullptr;
  TaskState* task = FindTask(row.run.task, &step);
  if (task == nullptr) {
    context_.Log("run", "event=stop_unknown_run worker={} job={} step={} index={} run={}", worker.entry.id,
                 row.run.task.job, row.run.task.step, row.run.task.index, row.run.run);
    return false;
  }
  demand = DemandOf(*step, row.run.task.index);
  // The task may be waiting for this: a copy of its start was carried out after the run had been taken for over.
  const bool awaited = IsCurrent(*task, worker, row.run) && !task->stopping && !step->gang_ending;
  const bool adopted = !step->job->final && (awaited || Adopt(*step, row.run.task.index, worker, row.run));
  step->job->started = step->job->started || adopted;
  context_.Log("run", "event={} worker={} born_ms={} job={} step={} index={} run={} placed_on={} current_run={}",
               adopted ? "adopted" : "stop_found_run", worker.entry.id, worker.entry.born_ms, row.run.task.job,
               row.run.task.step, row.run.task.index, row.run.run, adopted ? "" : task->worker, task->run);
  if (adopted) {
    UpdateCheckpoint(*step, row.run.task.index, row.checkpoint);
  }
  return adopted;
}

bool Owner::MayBeGang(const RunRef& run) const {
  const auto job = jobs_.find(run.task.job);
  const bool known = job != jobs_.end() && run.task.step >= 0 &&
                     run.task.step < static_cast<int>(job->second->record.spec.steps.size());
  return !known || job->second->record.spec.steps[static_cast<size_t>(run.task.step)].gang;
}

bool Owner::OnOpenStart(Worker& worker, const RunRef& run) {
  BeginReportedOccurrence(run.task);
  StepRun* step = nullptr;
  const TaskState* task = FindTask(run.task, &step);
  bool waits = false;
  const bool may_start = task != nullptr && !step->job->final && task->phase != TaskPhase::kDone;
  if (may_start) {
    const bool started = step->job->started;
    waits = Adopt(*step, run.task.index, worker, run);
    step->job->started = started;  // It may not have begun.
  }
  context_.Log("run", "event=waits_for_open_start worker={} job={} step={} index={} run={} waits={}", worker.entry.id,
               run.task.job, run.task.step, run.task.index, run.run, waits);
  return waits || !may_start;
}

// An owner starts a task or a gang again only once its earlier runs are over and none of their starts can be carried
// out any more.
void Owner::DropOutdatedStarts(StepRun& step, int index, int later_run) {
  const int first = step.spec->gang ? 0 : index;
  const int last = step.spec->gang ? step.spec->count - 1 : index;
  std::vector<int> outdated;
  for (int i = first; i <= last; ++i) {
    const TaskState& task = step.tasks[static_cast<size_t>(i)];
    if (task.phase != TaskPhase::kPlaced) {
      continue;
    }
    const Worker* worker = workers_.Find(task.worker);
    const bool is_open_start = worker != nullptr && workers_.MayStartAgain(*worker, RunRef{step.RefOf(i), task.run});
    if (!is_open_start || task.run >= later_run) {
      return;
    }
    outdated.push_back(i);
  }
  for (const int i : outdated) {
    const TaskState& task = step.tasks[static_cast<size_t>(i)];
    context_.Log("run", "event=open_start_outdated worker={} job={} step={} index={} run={} later_run={}", task.worker,
                 step.job->id(), step.step, i, task.run, later_run);
    RequeueTask(step, i, "outdated");
  }
  step.gang_ending = step.gang_ending && outdated.empty();
}

bool Owner::Adopt(StepRun& step, int index, Worker& worker, const RunRef& run) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  DropOutdatedStarts(step, index, run.run);
  const bool other_gang_run = step.spec->gang && step.placed() > 0 && step.gang_run != run.run;
  if (task.phase != TaskPhase::kWaiting || step.gang_ending || other_gang_run) {
    return false;
  }
  task.phase = TaskPhase::kPlaced;
  task.run = run.run;
  task.worker = worker.entry.id;
  task.placed_at = context_.Now();
  task.progressed_at = context_.Now();
  task.percent = 0;
  step.gang_run = step.spec->gang ? run.run : step.gang_run;
  --step.waiting;
  ++step.on_worker[worker.entry.id];
  step.job->started = true;
  return true;
}

void Owner::OnEnded(Worker& worker, const EndedRun& row) {
  context_.counters.Add(fmt::format("runs_ended{{how=\"{}\"}}", NameOf(row.how)));
  BeginReportedOccurrence(row.run.task);
  StepRun* step = nullptr;
  TaskState* task = FindTask(row.run.task, &step);
  context_.Log("run", "event=ended how={} worker={} end={} job={} step={} index={} run={} ran_ms={} known={}",
               NameOf(row.how), worker.entry.id, row.number, row.run.task.job, row.run.task.step, row.run.task.index,
               row.run.run, task == nullptr ? -1 : Millis(context_.Now() - task->placed_at), task != nullptr);
  ForgetStart(row.run);
  if (task != nullptr && !step->spec->long_running && (row.how == EndKind::kDone || row.how == EndKind::kFailed)) {
    ++ends_received_;
    unstored_ends_.push_back(row);
  }
  if (task == nullptr || step->job->final) {
    return;
  }
  if (IsCurrent(*task, worker, row.run)) {
    OnSurvived(row.run, context_.Now() - task->placed_at);
  }
  const int index = row.run.task.index;
  step->job->started = true;
  UpdateQuarantine(worker, *step, row.how);
  const bool current = IsCurrent(*task, worker, row.run);
  if (row.how == EndKind::kDone && !step->spec->long_running) {
    OnRunDone(*step, row.run);
    return;
  }
  if (row.run.run >= (step->spec->gang ? step->gang_run : task->run)) {
    UpdateCheckpoint(*step, index, row.checkpoint);  // That of an earlier run is older than the one in use.
  }
  if (current && !workers_.MayStartAgain(worker, row.run)) {
    // Also a long-running task that is done: it is restarted however it ends.
    RequeueTask(*step, index, NameOf(row.how));
  }
  if (row.how == EndKind::kFailed) {
    OnRunFailed(*step, row.run);
  }
  if (current && !step->job->final) {
    OnGangMemberGone(*step);
  }
  SchedulePlacementPass();
}

std::vector<EndedRun> Owner::TakeUnstoredEnds() {
  std::vector<EndedRun> ends(unstored_ends_.begin(), unstored_ends_.end());
  unstored_ends_.clear();
  ends.insert(ends.end(), reported_ends_.begin(), reported_ends_.end());
  reported_ends_.clear();
  return ends;
}

void Owner::OnReportedEnds(const std::vector<EndedRun>& ends) {
  if (!loaded_) {
    reported_ends_.insert(reported_ends_.end(), ends.begin(), ends.end());
    return;
  }
  std::for_each(ends.begin(), ends.end(), [this](const EndedRun& row) { ApplyReportedEnd(row); });
}

// The run's worker may list its end, too, or have left. If the run is placed there, it stays so until that is known.
void Owner::ApplyReportedEnd(const EndedRun& row) {
  BeginReportedOccurrence(row.run.task);
  StepRun* step = nullptr;
  const TaskState* task = FindTask(row.run.task, &step);
  const bool open =
      task != nullptr && !step->job->final && !step->spec->long_running && task->phase != TaskPhase::kDone;
  context_.Log("run", "event=end_reported how={} job={} step={} index={} run={} open={}", NameOf(row.how),
               row.run.task.job, row.run.task.step, row.run.task.index, row.run.run, open);
  if (!open) {
    return;
  }
  context_.counters.Add("reported_ends_applied");
  ++ends_received_;
  unstored_ends_.push_back(row);
  ForgetStart(row.run);
  step->job->started = true;
  if (row.how == EndKind::kDone) {
    OnRunDone(*step, row.run);
  } else if (row.how == EndKind::kFailed) {
    OnRunFailed(*step, row.run);
  }
  SchedulePlacementPass();
}

void Owner::OnGone(Worker& worker, const RunRef& run, GoneReason reason) {
  context_.counters.Add(fmt::format("runs_gone{{reason=\"{}\"}}", NameOf(reason)));
  context_.Log("run", "event=gone reason={} worker={} job={} step={} index={} run={}", NameOf(reason), worker.entry.id,
               run.task.job, run.task.step, run.task.index, run.run);
  if (reason != GoneReason::kLeaseExpired) {
    ForgetStart(run);  // Otherwise the worker may have crashed.
  }
  StepRun* step = nullptr;
  TaskState* task = FindTask(run.task, &step);
  if (task == nullptr || !IsCurrent(*task, worker, run)) {
    return;
  }
  if (reason == GoneReason::kWorkerRestarted && workers_.IsInDoubt()) {
    // A successor may have taken note that the run was done before the worker started again.
    steps_on_hold_.insert(step->RefOf(0));
  }
  RequeueTask(*step, run.task.index, NameOf(reason));
  OnGangMemberGone(*step);
  SchedulePlacementPass();
}

void Owner::OnStarted(Worker& worker, const RunRef& run) {
  StepRun* step = nullptr;
  const TaskState* task = FindTask(run.task, &step);
  if (task != nullptr && IsCurrent(*task, worker, run)) {
    step->job->started = true;
  }
}

bool Owner::MayRepeat(Worker& worker, StartOrder& order) {
  CheckForPause();
  StepRun* step = nullptr;
  TaskState* task = FindTask(order.run.task, &step);
  const bool wanted = task != nullptr && !step->job->final && IsCurrent(*task, worker, order.run) && !step->gang_ending;
  if (!wanted || closing_ || is_deposed_ || worker.entry.service != step->job->queue.service) {
    return false;
  }
  if (step->job->queue.advice) {
    const StepAdvice::Permit& permit = step->advice.For(worker.number);
    if (permit.verdict != StepAdvice::Verdict::kAllowed || permit.valid_until <= context_.Now()) {
      return false;
    }
    order.ticket = permit.ticket;
    order.ticket_expires_at = permit.expires_at;
  }
  task->placed_at = context_.Now();
  task->progressed_at = task->placed_at;
  return true;
}

void Owner::OnRefused(Worker& worker, const RunRef& run, OrderStatus status) {
  context_.Log("run", "event=start_refused status={} worker={} job={} step={} index={} run={}", NameOf(status),
               worker.entry.id, run.task.job, run.task.step, run.task.index, run.run);
  ForgetStart(run);
  StepRun* step = nullptr;
  TaskState* task = FindTask(run.task, &step);
  if (task == nullptr || !IsCurrent(*task, worker, run)) {
    return;
  }
  if (status == OrderStatus::kNoTicket) {
    step->advice.At(worker.number).valid_until = TimePoint{};
  }
  RequeueTask(*step, run.task.index, NameOf(status));
  OnGangMemberGone(*step);
  SchedulePlacementPass();
}

void Owner::OnEndsSeen(Worker& /*worker*/) {
  commit_.Request();
}

void Owner::OnSettled(Worker& /*worker*/) {
  if (workers_.AnyUnsettled()) {
    return;
  }
  ended_running_.clear();
  // All runs of earlier owners are known now. A gang of which only some members were found cannot continue.
  for (const auto& [id, job] : jobs_) {
    for (auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        if (step->spec->gang && step->placed() > 0 && step->waiting > 0) {
          StopGang(*step);
        }
      }
    }
  }
  SchedulePlacementPass();
}

void Owner::OnChanged(Worker& worker) {
  if (worker.hold_confirmed && !worker.in_roster) {
    roster_dirty_ = true;
    commit_.Request();
  }
  SchedulePlacementPass();
}

void Owner::OnRetired(Worker& worker) {
  context_.Log("worker", "event=worker_retired worker={} listed={}", worker.entry.id, worker.listed);
  roster_dirty_ = true;
  commit_.Request();
}

void Owner::OnTokenNeeded() {
  roster_dirty_ = true;  // Makes a batch even if nothing else has changed.
  commit_.Request();
}

void Owner::OnFenced() {
  if (!is_deposed_) {
    is_deposed_ = true;
    context_.Log("owner", "event=deposed epoch={} term={}", ownership_.epoch, ownership_.term);
    on_deposed_();
  }
}

// --- Tasks ---

// Returns a placed task to the waiting tasks of its step.
void Owner::RequeueTask(StepRun& step, int index, std::string_view over) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  task.earlier = EarlierRun{task.run, task.worker, over};
  if (--step.on_worker[task.worker] <= 0) {
    step.on_worker.erase(task.worker);
  }
  task.phase = TaskPhase::kWaiting;
  task.worker.clear();
  task.stopping = false;
  if (step.waiting == 0) {
    step.waiting_since = context_.Now();
    step.hold = GateHold{};
  }
  ++step.waiting;
}

void Owner::OnRunDone(StepRun& step, const RunRef& run) {
  step.spec->gang ? OnGangDone(step, run.run) : OnTaskDone(step, run.task.index);
}

void Owner::OnRunFailed(StepRun& step, const RunRef& run) {
  step.spec->gang ? OnGangFailed(step, run.run) : OnTaskFailed(step, run.task.index, run.run);
}

void Owner::OnTaskDone(StepRun& step, int index) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  if (task.phase == TaskPhase::kDone) {
    return;
  }
  if (task.phase == TaskPhase::kPlaced) {
    // The ended run may be an earlier one; the current run is no longer needed.
    Worker* other = workers_.Find(task.worker);
    if (other != nullptr) {
      workers_.Stop(*other, RunRef{step.RefOf(index), task.run});
    }
    RequeueTask(step, index, "earlier_run_done");
  }
  task.phase = TaskPhase::kDone;
  --step.waiting;
  ++step.done;
  MarkDirty(*step.job);
  if (step.finished()) {
    OnStepFinished(step);
  }
}

void Owner::OnTaskFailed(StepRun& step, int index, int run) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  if (step.spec->long_running || task.phase == TaskPhase::kDone || !task.failed_runs.insert(run).second) {
    return;
  }
  MarkDirty(*step.job);
  if (static_cast<int>(task.failed_runs.size()) >= step.job->queue.max_attempts) {
    FinishJob(*step.job, JobState::kFailed);
  }
}

// --- Gangs ---

void Owner::OnGangDone(StepRun& step, int run) {
  if (step.finished()) {
    return;
  }
  if (run != step.gang_run) {
    StopPlacedTasks(step);  // An earlier start of the gang has succeeded after it was given up.
  }
  for (TaskState& task : step.tasks) {
    task.phase = TaskPhase::kDone;
    task.worker.clear();
  }
  step.on_worker.clear();
  step.waiting = 0;
  step.done = step.spec->count;
  step.gang_ending = false;
  MarkDirty(*step.job);
  OnStepFinished(step);
}

void Owner::OnGangFailed(StepRun& step, int run) {
  if (step.spec->long_running || step.finished() || !step.gang_failed_runs.insert(run).second) {
    return;
  }
  MarkDirty(*step.job);
  if (static_cast<int>(step.gang_failed_runs.size()) >= step.job->queue.max_attempts) {
    FinishJob(*step.job, JobState::kFailed);
  }
}

// Stops the remaining members of a gang that has lost one; once all are gone, the gang may start again.
void Owner::OnGangMemberGone(StepRun& step) {
  if (!step.spec->gang || step.finished()) {
    return;
  }
  if (step.placed() == 0) {
    step.gang_ending = false;
    return;
  }
  StopGang(step);
}

void Owner::StopGang(StepRun& step) {
  step.gang_ending = true;
  StopPlacedTasks(step);
}

void Owner::StopPlacedTasks(StepRun& step) {
  for (int i = 0; i < step.spec->count; ++i) {
    TaskState& task = step.tasks[static_cast<size_t>(i)];
    Worker* worker = task.phase == TaskPhase::kPlaced ? workers_.Find(task.worker) : nullptr;
    if (worker != nullptr && !task.stopping) {
      task.stopping = true;
      workers_.Stop(*worker, RunRef{step.RefOf(i), task.run});
    }
  }
}

// --- Steps, occurrences, jobs ---

void Owner::OnStepFinished(StepRun& step) {
  Job& job = *step.job;
  placement_.ReleaseTentative(step);
  Occurrence& occurrence = job.occurrences.at(step.occurrence);
  ++occurrence.finished;
  if (occurrence.finished == static_cast<int>(occurrence.steps.size())) {
    OnOccurrenceFinished(job, step.occurrence);
  } else {
    OpenSteps(job);
  }
}

void Owner::OnOccurrenceFinished(Job& job, int number) {
  if (job.occurrence_count() == 1) {
    FinishJob(job, JobState::kCompleted);
    return;
  }
  finished_occurrences_.push_back(std::move(job.occurrences.at(number)));
  job.occurrences.erase(number);
  job.done_out_of_order.insert(number);
  while (job.done_out_of_order.erase(job.occurrences_done) > 0) {
    ++job.occurrences_done;
  }
  MarkDirty(job);
  if (job.occurrences_done == job.occurrence_count()) {
    FinishJob(job, JobState::kCompleted);
  }
}

void Owner::FinishJob(Job& job, JobState state) {
  job.final = true;
  job.final_state = state;
  context_.counters.Add(fmt::format("jobs_ended{{queue=\"{}\",state=\"{}\"}}", job.queue.name, NameOf(state)));
  const Duration age = context_.Now() - job.accepted_at;
  context_.counters.RecordDuration("job_seconds", job.queue.name, age);
  context_.Log("job",
               "event=job_ended state={} job={} queue={} age_ms={} objective_ms={} chain_ms={} target_ms={} widest={}",
               NameOf(state), job.id(), job.queue.name, Millis(age), Millis(job.objective),
               Millis(job.critical_path_time), Millis(job.queue.target_latency), WidestStep(job.record.spec));
  for (auto& [number, occurrence] : job.occurrences) {
    for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
      placement_.ReleaseTentative(*step);
      if (state != JobState::kCompleted) {
        StopPlacedTasks(*step);
      }
    }
  }
  MarkDirty(job);
  SchedulePlacementPass();
}

void Owner::OpenSteps(Job& job) {
  if (!job.spec_stored || job.final) {
    return;
  }
  for (auto& [number, occurrence] : job.occurrences) {
    for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
      if (occurrence.due && !step->open && DependenciesFinished(occurrence, *step)) {
        step->open = true;
        step->opened_at = context_.Now();
        step->waiting_since = step->opened_at;
      }
    }
  }
  SchedulePlacementPass();
}

void Owner::BeginDueOccurrences(Job& job) {
  const JobSpec& spec = job.record.spec;
  if (job.final || spec.occurrences == 0) {
    return;
  }
  const int64_t now_ms = context_.wall.NowMs();
  bool begun = false;
  while (job.next_occurrence < spec.occurrences &&
         now_ms >= spec.first_due_ms + job.next_occurrence * Millis(spec.interval)) {
    if (job.MayHaveBegun(job.next_occurrence)) {
      BeginOccurrence(job, job.next_occurrence).due = true;
      begun = true;
    }
    ++job.next_occurrence;
  }
  if (begun) {
    OpenSteps(job);
  }
}

Occurrence& Owner::BeginOccurrence(Job& job, int number) {
  const auto [occurrence, is_new] = job.occurrences.try_emplace(number);
  if (is_new) {
    occurrence->second = MakeOccurrence(job, number, RunNumberBase(job));
    context_.Log("job", "event=occurrence_begun job={} occurrence={}", job.id(), number);
  }
  return occurrence->second;
}

// A report about a run shows that an earlier owner began its occurrence, by a clock that may be ahead of this one.
void Owner::BeginReportedOccurrence(const TaskRef& task) {
  Job* job = FindJob(task.job);
  if (job != nullptr && task.occurrence >= job->next_occurrence && job->MayHaveBegun(task.occurrence) &&
      !job->occurrences.contains(task.occurrence)) {
    BeginOccurrence(*job, task.occurrence).due = false;
  }
}

}  // namespace hibiscus::cell
