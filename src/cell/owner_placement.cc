// Executes the decisions of placement.h: starts tasks, queries the advice service and processes its answers.
#include <algorithm>
#include <utility>

#include "cell/owner.h"
#include "cell/wait_order.h"
#include "core/overloaded.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kPassDelay = 3ms;  // Coalesces events: ends of a gang, answers of one round of calls.
// Pause between passes as a multiple of the last pass's duration, so that passes take at most 1 / (1 + this) of the
// control thread's time.
constexpr int kPassIntervalFactor = 4;
constexpr Duration kStatisticsInterval = 1s;  // Between two queue_statistics log lines.
constexpr Duration kTicketMargin = 250ms;     // Longest delivery time of a start; a ticket must outlast it.

}  // namespace

void Owner::SchedulePlacementPass() {
  if (pass_scheduled_) {
    return;
  }
  pass_scheduled_ = true;
  // A pass over a long queue takes long, so the thread needs time for its other work between passes.
  context_.timers.In(std::max(kPassDelay, last_pass_duration_ * kPassIntervalFactor), [this, alive = alive_] {
    if (*alive) {
      pass_scheduled_ = false;
      RunPlacementPass();
    }
  });
}

void Owner::RunPlacementPass() {
  finished_occurrences_.clear();
  if (!loaded_ || closing_ || is_deposed_) {
    return;
  }
  CheckForPause();
  if (!workers_.MayAct()) {
    return;
  }
  const TimePoint begin = context_.Now();
  RefreshWorkers();
  RefreshUnaccountedRuns();
  const std::vector<StepRun*> waiting = SortByUrgency(WaitingSteps(), begin, context_.settings.policies);
  Execute(placement_.Plan(waiting, advice_.queues(), CurrentQuotas(), begin));
  last_pass_duration_ = context_.Now() - begin;
  context_.counters.Add("placement_passes");
  context_.counters.Add("placement_workers_viewed", static_cast<double>(placement_.TakeInspectedCount()));
  if (begin - statistics_logged_at_ > kStatisticsInterval) {
    statistics_logged_at_ = begin;
    LogQueueStatistics(waiting);
  }
}

// Logs how much work waits, and the free and reserved capacity.
void Owner::LogQueueStatistics(const std::vector<StepRun*>& waiting) {
  int gangs = 0;
  int tasks = 0;
  int asking_steps = 0;
  const StepRun* widest = nullptr;
  for (const StepRun* step : waiting) {
    const bool is_gang = step->spec->gang && step->waiting > 0;
    gangs += is_gang ? 1 : 0;
    if (is_gang && (widest == nullptr || step->spec->count > widest->spec->count)) {
      widest = step;
    }
    tasks += step->spec->gang ? 0 : step->waiting;
    asking_steps += step->advice.pending_requests > 0 ? 1 : 0;
  }
  const PlacementLoad load = placement_.load();
  const int64_t capacity = load.capacity.cpu_millis;
  context_.Log("placement",
               "event=queue_statistics gangs={} tasks={} asking={} advice_calls={} workers_usable={} "
               "workers_reserved={} quota_waits={} free_percent={} pass_us={}",
               gangs, tasks, asking_steps, advice_.calls(), load.workers, load.reserved_workers,
               placement_.quota_waits(), capacity == 0 ? 0 : 100 * load.free.cpu_millis / capacity,
               last_pass_duration_.count());
  if (widest != nullptr) {
    LogWidestGang(*widest);
  }
}

// Logs what the widest waiting gang still lacks.
void Owner::LogWidestGang(const StepRun& step) {
  const TimePoint now = context_.Now();
  const GangFit fit = placement_.FitOf(step);
  const Duration age = now - step.job->accepted_at;
  context_.Log(
      "placement",
      "event=widest_gang job={} step={} members={} gate={} waited_ms={} age_ms={} objective_ms={} chain_ms={} "
      "workers_asked={} workers_allowed={} slots={} slots_when_empty={} workers_reserved={} reserved_by_others={}",
      step.job->id(), step.step, step.spec->count, NameOf(step.left_by), Millis(now - step.waiting_since), Millis(age),
      Millis(step.job->objective), Millis(step.job->critical_path_time), step.advice.permits.size(),
      fit.workers_allowed, fit.slots, fit.slots_when_empty, fit.workers_reserved, fit.reserved_by_others);
}

// --- Inputs of a pass ---

std::vector<StepRun*> Owner::WaitingSteps() {
  std::vector<StepRun*> waiting;
  for (const auto& [id, job] : jobs_) {
    // A task started by an earlier owner may be running on a worker that has not answered yet.
    const bool may_run_elsewhere = job->record.epoch != ownership_.epoch && workers_.AnyUnsettled();
    if (job->final || !job->spec_stored || may_run_elsewhere) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        if (IsReadyToStart(*step) && AllRunsKnown(*step)) {
          waiting.push_back(step.get());
        }
      }
    }
  }
  return waiting;
}

bool Owner::AllRunsKnown(const StepRun& step) const {
  return !steps_on_hold_.contains(step.RefOf(0)) && !workers_.HasUnwantedRun(step.RefOf(0));
}

void Owner::RefreshWorkers() {
  const TimePoint now = context_.Now();
  const bool any_quarantined = context_.settings.policies.quarantine && !quarantine_.quarantined().empty();
  std::vector<WorkerView> views;
  views.reserve(workers_.workers().size());
  for (const auto& [id, worker] : workers_.workers()) {
    if (!worker->UsableAt(now)) {
      continue;
    }
    WorkerView view{
        .number = worker->number, .entry = &worker->entry, .free = worker->free(), .suspicion = worker->suspicion()};
    view.quarantined = any_quarantined && quarantine_.IsQuarantined(id);
    view.probe_due = view.quarantined && quarantine_.StateOf(id, now).probe_in == Duration(0);
    views.push_back(view);
  }
  placement_.Refresh(std::move(views), workers_.max_number());
}

void Owner::SetQueue(Job& job, const QueueSpec& queue) {
  job.queue = queue;
  job.critical_path_time = CriticalPathTime(job.record.spec);
  job.objective = queue.target_latency +
                  Duration(static_cast<int64_t>(queue.stretch * static_cast<double>(job.critical_path_time.count())));
}

// --- Decisions ---

void Owner::Execute(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    std::visit(Overloaded{
                   [this](const StartTasks& starts) { Start(starts); },
                   [this](const AskAdvice& ask) { Ask(ask); },
                   [this](const TentativeAllocation& allocation) {
                     context_.Log("placement", "event=room_set_aside job={} step={} members={} workers={}",
                                  allocation.step->job->id(), allocation.step->step, allocation.step->spec->count,
                                  allocation.members.size());
                   },
               },
               decision);
  }
}

void Owner::Start(const StartTasks& starts) {
  StepRun& step = *starts.step;
  if (step.spec->gang) {
    step.gang_run = NextRun(step, step.gang_run);
  }
  const bool gang_is_suspect = step.spec->gang && IsSuspect(step, 0);
  for (const StartTasks::Assignment& each : starts.tasks) {
    Worker* worker = workers_.FindByNumber(each.worker);
    if (worker == nullptr) {
      continue;  // The worker was dropped after the view was created; the next pass places the task again.
    }
    if (starts.probe) {
      quarantine_.TakeProbe(worker->entry.id, context_.Now());
      context_.Log("worker", "event=probe worker={} job={} step={}", worker->entry.id, step.job->id(), step.step);
    }
    StartTask(step, each.index, *worker, step.spec->gang ? gang_is_suspect : IsSuspect(step, each.index));
  }
}

// An adopted run has a number of an earlier owner, who may have sent starts with higher ones.
int Owner::NextRun(const StepRun& step, int last_run) const {
  return std::max(last_run, RunNumberBase(*step.job)) + 1;
}

void Owner::StartTask(StepRun& step, int index, Worker& worker, bool suspect) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  task.run = step.spec->gang ? step.gang_run : NextRun(step, task.run);
  task.phase = TaskPhase::kPlaced;
  task.worker = worker.entry.id;
  task.placed_at = context_.Now();
  task.progressed_at = task.placed_at;
  task.percent = 0;
  task.stopping = false;
  --step.waiting;
  ++step.on_worker[worker.entry.id];
  StartOrder order;
  order.run = RunRef{step.RefOf(index), task.run};
  order.payload = step.job->record.spec.payload;
  order.checkpoint = step.spec->gang ? step.gang_checkpoint : task.checkpoint;
  const StepAdvice::Permit& permit = step.advice.For(worker.number);
  order.ticket = permit.ticket;
  order.ticket_expires_at = step.job->queue.advice ? permit.expires_at : TimePoint::max();
  context_.Log("run",
               "event=start worker={} born_ms={} job={} queue={} step={} index={} run={} waited_ms={} free_cpu={} "
               "term={} lease_left_ms={} once_stored={}{}",
               worker.entry.id, worker.entry.born_ms, step.job->id(), step.job->queue.name, step.step, index, task.run,
               Millis(context_.Now() - step.opened_at), worker.free().cpu_millis, ownership_.term,
               Millis(lease_until_ - context_.Now()), suspect, DescribeEarlierRun(step, index));
  context_.counters.RecordDuration("wait_seconds", step.job->queue.name, context_.Now() - step.opened_at);
  if (suspect) {
    StartOnceStored(step, worker, order);
  } else {
    workers_.Start(worker, std::move(order), DemandOf(step, index));
  }
}

std::string Owner::DescribeEarlierRun(const StepRun& step, int index) const {
  const EarlierRun& earlier = step.tasks[static_cast<size_t>(index)].earlier;
  if (earlier.run == 0) {
    return {};
  }
  return fmt::format(" earlier_run={} earlier_worker={} over={}", earlier.run, earlier.worker, earlier.over);
}

// --- Advice ---

void Owner::RequestAdviceAhead(Job& job) {
  if (!job.queue.advice) {
    return;
  }
  // Runs that are not accounted for do not matter, as nothing starts here.
  static const UnaccountedRuns kNone;
  const TenantQuotas quotas(maxima_, workers_.tenant_usage(), kNone, &workers_.lasting_usage());
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
      if (step->spec->after.empty()) {
        Execute(placement_.PlanAdviceAhead(*step, advice_.queues(), quotas, context_.Now()));
      }
    }
  }
}

void Owner::Ask(const AskAdvice& ask) {
  StepRun& step = *ask.step;
  std::vector<std::string> names;
  names.reserve(ask.workers.size());
  for (const size_t number : ask.workers) {
    if (const Worker* worker = workers_.FindByNumber(number); worker != nullptr) {
      names.push_back(worker->entry.id);
    }
  }
  if (names.empty()) {
    return;
  }
  ++step.advice.pending_requests;
  step.advice.last_request_at = context_.Now();
  const Duration expected_time = ExpectedCallTime(*step.job->queue.advice, names.size());
  const TaskRef ref = step.RefOf(0);
  const TimePoint accepted_at = step.job->accepted_at;
  advice_.Ask(ref, names, expected_time, [this, alive = alive_, ref, names, accepted_at](const AdviceAnswer& answer) {
    StepRun* asking_step = *alive ? FindStep(ref) : nullptr;
    // A job that was withdrawn and submitted again has calls of its own; ignore answers to the earlier ones.
    if (asking_step != nullptr && asking_step->job->accepted_at == accepted_at) {
      OnAdviceAnswer(*asking_step, names, answer);
    }
  });
}

void Owner::OnAdviceAnswer(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer) {
  --step.advice.pending_requests;
  if (answer.answered && step.job->queue.advice) {
    StorePermits(step, asked, answer);
  }
  context_.Log("advice", "event=advice job={} step={} asked={} allowed={} answered={} took_ms={}", step.job->id(),
               step.step, asked.size(), answer.allowed.size(), answer.answered,
               Millis(context_.Now() - step.advice.last_request_at));
  if (!step.tentative_members.empty()) {
    PlaceWithTickets(step);
  }
  SchedulePlacementPass();
}

void Owner::StorePermits(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer) {
  step.advice.has_answer = true;
  const Duration valid = step.job->queue.advice->valid;
  const TimePoint valid_until = context_.Now() + valid - kTicketMargin;
  const TimePoint expires_at = context_.Now() + valid + kTicketMargin;
  std::map<std::string, std::string> tickets;
  for (const Ticket& ticket : answer.allowed) {
    tickets[ticket.worker] = ticket.ticket;
  }
  for (const std::string& id : asked) {
    const Worker* worker = workers_.Find(id);
    const auto ticket = tickets.find(id);
    if (worker != nullptr) {
      step.advice.At(worker->number) =
          ticket == tickets.end()
              ? StepAdvice::Permit{StepAdvice::Verdict::kRefused, "", {}}
              : StepAdvice::Permit{StepAdvice::Verdict::kAllowed, ticket->second, valid_until, expires_at};
    }
  }
}

// Starts a gang with a tentative allocation once its tickets have arrived.
void Owner::PlaceWithTickets(StepRun& step) {
  CheckForPause();
  if (loaded_ && !closing_ && !is_deposed_ && !step.job->final && step.waiting == step.spec->count &&
      AllRunsKnown(step) && workers_.MayAct()) {
    RefreshWorkers();
    Execute(placement_.PlanStep(step, advice_.queues(), CurrentQuotas(), context_.Now()));
  }
  if (step.advice.pending_requests == 0) {
    placement_.ReleaseTentative(step);
  }
}

}  // namespace hibiscus::cell
