#include "cell/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cell/ports.h"

namespace hibiscus::cell {

namespace {

constexpr double kMaxReservedShare = 0.5;  // Of the usable workers; limits the capacity that reservations keep idle.
constexpr double kMostlyFreeShare = 0.4;   // Free share of the capacity from which reserved workers are open to others.
constexpr int kMinFitsOnReserved = 2;  // How many times a gang must fit before it may use workers reserved for others.
// How many times a gang must fit on its allowed workers if nothing ran there. With less it waits for nearly all of them
// to drain, or can never start.
constexpr int kMinFitsWhenEmpty = 2;
// A gang asks about replacements, while hosts are busy, for at most this part of one host's time.
constexpr int kReplacementCallsDivisor = 20;
constexpr size_t kExtraWorkersAsked = 2;  // Workers asked about beyond the number of waiting tasks.

constexpr size_t kNotUsable = std::numeric_limits<size_t>::max();

TaskDemand DemandOf(const StepRun& step) {
  return TaskDemand{step.task_size(), step.spec->max_per_worker};
}

bool IsEligible(const StepRun& step, const WorkerView& worker) {
  const std::string& label = step.spec->required_label;
  return worker.entry->service == step.job->queue.service && step.task_size().FitsIn(worker.entry->capacity) &&
         (label.empty() || worker.entry->HasLabel(label));
}

bool HasTicket(const StepRun& step, const WorkerView& worker, TimePoint now) {
  if (!step.job->queue.advice) {
    return true;
  }
  const StepAdvice::Permit& permit = step.advice.For(worker.number);
  return permit.verdict == StepAdvice::Verdict::kAllowed && permit.valid_until > now;
}

std::vector<int> WaitingTasks(const StepRun& step) {
  std::vector<int> waiting;
  for (int i = 0; i < step.spec->count && static_cast<int>(waiting.size()) < step.waiting; ++i) {
    if (step.tasks[static_cast<size_t>(i)].phase == TaskPhase::kWaiting) {
      waiting.push_back(i);
    }
  }
  return waiting;
}

bool HasShare(double share, int64_t part, int64_t whole) {
  return static_cast<double>(part) >= share * static_cast<double>(whole);
}

}  // namespace

void Placement::Refresh(std::vector<WorkerView> workers, size_t max_number) {
  workers_ = std::move(workers);
  for (WorkerView& worker : workers_) {
    worker.initial_free_cpu = worker.free.cpu_millis;
  }
  std::sort(workers_.begin(), workers_.end(), [](const WorkerView& a, const WorkerView& b) {
    return a.free.cpu_millis != b.free.cpu_millis ? a.free.cpu_millis > b.free.cpu_millis : a.number < b.number;
  });
  positions_.assign(max_number + 1, kNotUsable);
  due_probes_.clear();
  tentative_resources_.resize(max_number + 1);
  reserved_for_.resize(max_number + 1);
  for (size_t i = 0; i < workers_.size(); ++i) {
    positions_[workers_[i].number] = i;
    if (workers_[i].probe_due) {
      due_probes_.push_back(i);
    }
  }
  const PlacementLoad now = load();
  mostly_free_ = HasShare(kMostlyFreeShare, now.free.cpu_millis, now.capacity.cpu_millis) &&
                 HasShare(kMostlyFreeShare, now.free.memory_mb, now.capacity.memory_mb);
}

PlacementLoad Placement::load() const {
  PlacementLoad load;
  load.workers = workers_.size();
  load.reserved_workers = reserved_count_;
  for (const WorkerView& worker : workers_) {
    load.free += worker.free;
    load.capacity += worker.entry->capacity;
  }
  return load;
}

GangFit Placement::FitOf(const StepRun& step) {
  GangFit fit;
  ForEachAllowed(step, [&](WorkerView& worker) {
    if (!IsEligible(step, worker)) {
      return;
    }
    CandidateView view = ViewOf(step, worker);
    ++fit.workers_allowed;
    fit.slots += SlotsOf(view, DemandOf(step));
    view.free = view.capacity;
    fit.slots_when_empty += SlotsOf(view, DemandOf(step));
    fit.workers_reserved += reserved_for_[worker.number] == &step ? 1 : 0;
    fit.reserved_by_others += IsReservedForOther(step, worker) ? 1 : 0;
  });
  return fit;
}

std::vector<Decision> Placement::Plan(const std::vector<StepRun*>& waiting,
                                      const AdviceQueues& queues,
                                      const TenantQuotas& quotas,
                                      TimePoint now) {
  previously_reserved_.assign(positions_.size(), false);
  for (size_t i = 0; i < reserved_for_.size(); ++i) {
    previously_reserved_[i] = reserved_for_[i] != nullptr;
  }
  reserved_for_.assign(positions_.size(), nullptr);
  reserved_count_ = 0;
  quota_waits_ = 0;
  Pass pass{now, queues, quotas, {}};
  for (StepRun* step : waiting) {
    step->left_by = WaitingGate::kPlacement;
    if (step->spec->gang) {
      PlaceGang(*step, pass);
    } else {
      PlaceSingleTasks(*step, pass);
    }
  }
  return std::move(pass.decisions);
}

std::vector<Decision> Placement::PlanStep(StepRun& step,
                                          const AdviceQueues& queues,
                                          const TenantQuotas& quotas,
                                          TimePoint now) {
  Pass pass{now, queues, quotas, {}};
  PlaceGang(step, pass);
  return std::move(pass.decisions);
}

std::vector<Decision> Placement::PlanAdviceAhead(StepRun& step,
                                                 const AdviceQueues& queues,
                                                 const TenantQuotas& quotas,
                                                 TimePoint now) {
  Pass pass{now, queues, quotas, {}};
  if (policies_.ask_ahead && quotas.Allows(step.tenant(), step.quota_size())) {
    AskInitially(step, pass);
  }
  return std::move(pass.decisions);
}

// --- Candidates ---

WorkerView* Placement::Find(size_t number) {
  const size_t position = number < positions_.size() ? positions_[number] : kNotUsable;
  return position == kNotUsable ? nullptr : &workers_[position];
}

void Placement::ForEachAllowed(const StepRun& step, const std::function<void(WorkerView&)>& visit) {
  if (!step.job->queue.advice) {
    std::for_each(workers_.begin(), workers_.end(), visit);
    return;
  }
  for (const auto& [number, permit] : step.advice.permits) {
    WorkerView* worker = permit.verdict == StepAdvice::Verdict::kAllowed ? Find(number) : nullptr;
    if (worker != nullptr) {
      visit(*worker);
    }
  }
}

std::vector<WorkerView*> Placement::FindUnaskedWorkers(const StepRun& step, size_t limit, const Resources& min_free) {
  std::vector<WorkerView*> workers;
  for (WorkerView& worker : workers_) {
    if (workers.size() >= limit || worker.initial_free_cpu < min_free.cpu_millis) {
      break;
    }
    ++inspected_count_;
    if (min_free.FitsIn(worker.free) && !step.advice.permits.contains(worker.number) && IsEligible(step, worker)) {
      workers.push_back(&worker);
    }
  }
  return workers;
}

CandidateView Placement::ViewOf(const StepRun& step, const WorkerView& worker) const {
  CandidateView view;
  view.capacity = worker.entry->capacity;
  view.free = worker.free - tentative_resources_[worker.number];
  if (!step.tentative_members.empty()) {
    const auto own = step.tentative_members.find(worker.number);
    for (int i = 0; own != step.tentative_members.end() && i < own->second; ++i) {
      view.free += step.task_size();
    }
  }
  view.rack = worker.entry->rack();
  if (step.spec->max_per_worker > 0) {
    const auto there = step.on_worker.find(worker.entry->id);
    view.same_step_tasks = there == step.on_worker.end() ? 0 : there->second;
  }
  view.reserved = worker.number < previously_reserved_.size() && previously_reserved_[worker.number];
  view.preferred = policies_.data_rack && !step.spec->data_rack.empty() && worker.entry->HasLabel(step.spec->data_rack);
  return view;
}

bool Placement::IsReservedForOther(const StepRun& step, const WorkerView& worker) const {
  const StepRun* gang = reserved_for_[worker.number];
  return gang != nullptr && gang != &step;
}

// --- Single tasks ---

std::optional<size_t> Placement::BestFor(const StepRun& step, int index, const Candidates& candidates) const {
  const TaskDemand demand = DemandOf(step);
  std::vector<CandidateView> least;
  if (!step.CrashesOf(index).empty()) {
    int lowest = std::numeric_limits<int>::max();
    for (size_t i = 0; i < candidates.views.size(); ++i) {
      const bool fits = SlotsOf(candidates.views[i], demand) > 0;
      lowest = fits ? std::min(lowest, candidates.workers[i]->suspicion) : lowest;
    }
    least = candidates.views;
    for (size_t i = 0; i < least.size(); ++i) {
      least[i].free = candidates.workers[i]->suspicion > lowest ? Resources{} : least[i].free;
    }
  }
  const std::vector<CandidateView>& views = least.empty() ? candidates.views : least;
  return policies_.tightest_fit ? TightestFit(views, demand) : FirstFit(views, demand);
}

void Placement::PlaceSingleTasks(StepRun& step, Pass& pass) {
  if (!pass.quotas.Allows(step.tenant(), step.quota_size())) {
    step.left_by = WaitingGate::kQuota;
    ++quota_waits_;
    return;
  }
  if (step.job->queue.advice && !step.advice.has_answer) {
    AskInitially(step, pass);
    return;
  }
  const TaskDemand demand = DemandOf(step);
  std::vector<int> waiting = WaitingTasks(step);
  StartProbe(step, waiting, pass);
  auto [candidates, without_ticket, findings] = FindSingleTaskCandidates(step, demand, pass.now);
  StartTasks starts{&step, {}, false};
  for (const int index : waiting) {
    const std::optional<size_t> best = BestFor(step, index, candidates);
    if (!best || !pass.quotas.Allows(step.tenant(), step.quota_size())) {
      break;
    }
    WorkerView& worker = *candidates.workers[*best];
    starts.tasks.push_back({index, worker.number});
    worker.suspicion += static_cast<int>(step.CrashesOf(index).suspicion());
    pass.quotas.Take(step.tenant(), step.quota_size());
    worker.free -= demand.size;
    candidates.views[*best].free -= demand.size;
    ++candidates.views[*best].same_step_tasks;
  }
  const bool all = starts.tasks.size() == waiting.size();
  const auto unplaced = static_cast<int>(waiting.size() - starts.tasks.size());
  if (!starts.tasks.empty()) {
    pass.decisions.emplace_back(std::move(starts));
  }
  if (all) {
    return;
  }
  findings.quota_used = !pass.quotas.Allows(step.tenant(), step.quota_size());
  findings.tickets_missing = !without_ticket.empty();
  step.left_by = GateOf(findings);
  if (!findings.quota_used) {
    const bool ask_now =
        ShouldAskForTickets(without_ticket.size(), unplaced, policies_.gather_asks && pass.queues.IsBusy(pass.now),
                            pass.now - step.advice.last_request_at);
    if (ask_now) {
      without_ticket.resize(std::min(without_ticket.size(), static_cast<size_t>(unplaced) + kExtraWorkersAsked));
      AskForTickets(step, without_ticket, pass);
    }
  }
}

Placement::SingleTaskCandidates Placement::FindSingleTaskCandidates(const StepRun& step,
                                                                    const TaskDemand& demand,
                                                                    TimePoint now) {
  SingleTaskCandidates found;
  found.findings.advice_pending = step.advice.pending_requests > 0;
  ForEachAllowed(step, [&](WorkerView& worker) {
    ++inspected_count_;
    if (!demand.size.FitsIn(worker.free) || !IsEligible(step, worker)) {
      return;
    }
    const bool reserved = IsReservedForOther(step, worker) && !mostly_free_;
    if (worker.quarantined || reserved) {
      (worker.quarantined ? found.findings.quarantined : found.findings.reserved) = true;
      return;
    }
    const CandidateView view = ViewOf(step, worker);
    if (SlotsOf(view, demand) == 0) {
      found.findings.reserved = found.findings.reserved || !demand.size.FitsIn(view.free);
      return;
    }
    if (HasTicket(step, worker, now)) {
      found.candidates.Add(&worker, view);
    } else {
      found.without_ticket.push_back(&worker);
    }
  });
  if (!step.job->queue.advice) {
    return found;
  }
  for (WorkerView* worker : FindUnaskedWorkers(step, kMaxWorkersPerQuestion, demand.size)) {
    if (!worker->quarantined && (!IsReservedForOther(step, *worker) || mostly_free_)) {
      found.without_ticket.push_back(worker);
    } else {
      (worker->quarantined ? found.findings.quarantined : found.findings.reserved) = true;
    }
  }
  return found;
}

void Placement::StartProbe(StepRun& step, std::vector<int>& waiting, Pass& pass) {
  for (const size_t position : due_probes_) {
    WorkerView& worker = workers_[position];
    const bool fits = worker.probe_due && IsEligible(step, worker) && HasTicket(step, worker, pass.now) &&
                      step.task_size().FitsIn(worker.free);
    if (fits && !waiting.empty()) {
      worker.probe_due = false;
      worker.free -= step.task_size();
      pass.quotas.Take(step.tenant(), step.quota_size());
      pass.decisions.emplace_back(StartTasks{&step, {{waiting.front(), worker.number}}, true});
      waiting.erase(waiting.begin());
      return;
    }
  }
}

// --- Gangs ---

Placement::GangCandidates Placement::FindGangCandidates(const StepRun& step, TimePoint now) {
  GangCandidates candidates;
  ForEachAllowed(step, [&](WorkerView& worker) {
    ++inspected_count_;
    if (!IsEligible(step, worker)) {
      return;
    }
    const bool has_room = step.task_size().FitsIn(worker.free);
    if (worker.quarantined) {
      candidates.findings.quarantined = candidates.findings.quarantined || has_room;
      return;
    }
    const CandidateView view = ViewOf(step, worker);
    if (step.job->queue.advice) {
      CandidateView empty = view;
      empty.free = empty.capacity;
      candidates.slots_when_empty += SlotsOf(empty, DemandOf(step));
    }
    if (IsReservedForOther(step, worker) && !step.tentative_members.contains(worker.number)) {
      candidates.findings.reserved = candidates.findings.reserved || has_room;
      if (mostly_free_) {
        candidates.reserved.Add(&worker, view);
      }
      return;
    }
    candidates.allowed.Add(&worker, view);
    if (HasTicket(step, worker, now)) {
      candidates.with_ticket.Add(&worker, view);
    }
  });
  return candidates;
}

void Placement::PlaceGang(StepRun& step, Pass& pass) {
  if (!pass.quotas.Allows(step.tenant(), step.quota_size(), step.spec->count)) {
    if (policies_.quota_gangs) {
      pass.quotas.WaitFor(step.tenant(), step.quota_size(), step.spec->count);
    }
    step.left_by = WaitingGate::kQuota;
    ++quota_waits_;
    return;
  }
  if (step.advice.pending_requests > 0) {
    step.left_by = WaitingGate::kAdvicePending;
    return;
  }
  if (step.job->queue.advice && !step.advice.has_answer) {
    AskInitially(step, pass);
    return;
  }
  GangCandidates candidates = FindGangCandidates(step, pass.now);
  // Prefers workers with valid tickets: others may fit better by now, but each further call takes as long again.
  if (policies_.tickets_first && StartGangIfFits(step, candidates.with_ticket, pass)) {
    return;
  }
  const bool others_allowed = candidates.allowed.workers.size() > candidates.with_ticket.workers.size();
  if ((others_allowed || !policies_.tickets_first) && StartGangIfFits(step, candidates.allowed, pass)) {
    return;
  }
  if (policies_.open_reservations && !candidates.reserved.workers.empty()) {
    // With so much capacity free, the gangs that hold the reservations wait for a few particular workers only; this
    // gang need not wait for them.
    Candidates all = candidates.allowed;
    all.workers.insert(all.workers.end(), candidates.reserved.workers.begin(), candidates.reserved.workers.end());
    all.views.insert(all.views.end(), candidates.reserved.views.begin(), candidates.reserved.views.end());
    if (SlotsOf(all.views, DemandOf(step)) >= kMinFitsOnReserved * step.spec->count &&
        StartGangIfFits(step, all, pass)) {
      return;
    }
  }
  step.left_by = GateOf(candidates.findings);
  if (policies_.reservations) {
    ReserveWorkers(step, candidates.allowed);
  }
  if (policies_.ask_further) {
    AskAboutMoreWorkers(step, candidates.slots_when_empty, pass);
  }
}

bool Placement::StartGangIfFits(StepRun& step, const Candidates& candidates, Pass& pass) {
  const std::vector<int> counts = FitGang(candidates.views, DemandOf(step), step.spec->count, step.spec->same_rack);
  if (!counts.empty()) {
    StartOrAskForTickets(step, candidates, counts, pass);
  }
  return !counts.empty();
}

void Placement::StartOrAskForTickets(StepRun& step,
                                     const Candidates& candidates,
                                     const std::vector<int>& counts,
                                     Pass& pass) {
  std::vector<WorkerView*> chosen;
  bool tickets = true;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      chosen.push_back(candidates.workers[i]);
      tickets = tickets && HasTicket(step, *candidates.workers[i], pass.now);
    }
  }
  if (!tickets) {
    step.left_by = WaitingGate::kAdvicePending;
    const bool asks = MayAsk(step, pass) && !chosen.empty();
    AskForTickets(step, chosen, pass);
    if (asks && policies_.tentative) {
      AllocateTentatively(step, candidates, counts, pass);
    }
    return;
  }
  StartTasks starts{&step, {}, false};
  int index = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      starts.tasks.push_back({index, candidates.workers[i]->number});
      candidates.workers[i]->free -= step.task_size();
      candidates.workers[i]->suspicion += static_cast<int>(step.CrashesOf(index).suspicion());
      ++index;
    }
  }
  pass.quotas.Take(step.tenant(), step.quota_size(), step.spec->count);
  pass.decisions.emplace_back(std::move(starts));
}

void Placement::ReserveWorkers(StepRun& step, const Candidates& candidates) {
  const std::vector<size_t> reserved = SelectWorkersToReserve(candidates.views, DemandOf(step), step.spec->count);
  const auto limit = static_cast<size_t>(kMaxReservedShare * static_cast<double>(workers_.size()));
  if (reserved.empty() || reserved_count_ + reserved.size() > limit) {
    return;
  }
  for (const size_t candidate : reserved) {
    reserved_for_[candidates.workers[candidate]->number] = &step;
    ++reserved_count_;
  }
}

void Placement::AllocateTentatively(StepRun& step,
                                    const Candidates& candidates,
                                    const std::vector<int>& counts,
                                    Pass& pass) {
  ReleaseTentative(step);
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      ++step.tentative_members[candidates.workers[i]->number];
      tentative_resources_[candidates.workers[i]->number] += step.task_size();
    }
  }
  pass.decisions.emplace_back(TentativeAllocation{&step, step.tentative_members});
}

void Placement::ReleaseTentative(StepRun& step) {
  for (const auto& [worker, count] : step.tentative_members) {
    for (int i = 0; i < count; ++i) {
      tentative_resources_[worker] -= step.task_size();
    }
  }
  step.tentative_members.clear();
}

// --- Advice ---

bool Placement::MayAsk(const StepRun& step, const Pass& pass) const {
  return step.advice.pending_requests == 0 && step.job->queue.advice.has_value() && pass.queues.CanQueueCall(pass.now);
}

void Placement::AskInitially(StepRun& step, Pass& pass) {
  // Ask changes it if a worker is there that fits.
  step.left_by = MayAsk(step, pass) ? WaitingGate::kNoCapacity : WaitingGate::kAdvicePending;
  if (MayAsk(step, pass)) {
    Ask(step, FindUnaskedWorkers(step, kMaxWorkersPerQuestion, Resources{}), pass);
  }
}

size_t Placement::CountUsableAsked(const StepRun& step) {
  return static_cast<size_t>(
      std::count_if(step.advice.permits.begin(), step.advice.permits.end(), [this](const auto& permit) {
        const WorkerView* worker = Find(permit.first);
        return worker != nullptr && !worker->quarantined;
      }));
}

size_t Placement::MissingWorkers(const StepRun& step, int slots_when_empty, size_t asked) {
  const int missing = kMinFitsWhenEmpty * step.spec->count - slots_when_empty;
  if (missing <= 0) {
    return 0;
  }
  return slots_when_empty == 0 ? kMaxWorkersPerQuestion
                               : static_cast<size_t>(missing) * asked / static_cast<size_t>(slots_when_empty) + 1;
}

void Placement::AskAboutMoreWorkers(StepRun& step, int slots_when_empty, Pass& pass) {
  if (step.advice.pending_requests > 0 || !step.job->queue.advice) {
    return;
  }
  const size_t usable_asked = CountUsableAsked(step);
  const auto missing = static_cast<std::ptrdiff_t>(MissingWorkers(step, slots_when_empty, usable_asked));
  const auto may_ask = [&](std::ptrdiff_t asked) {
    return pass.queues.IsMostlyIdle(pass.now) || (asked < missing && pass.queues.IsPartlyIdle(pass.now));
  };
  if (!may_ask(0)) {
    if (missing > 0 && usable_asked < kMaxWorkersPerQuestion) {
      AskAboutReplacements(step, kMaxWorkersPerQuestion - usable_asked, pass);
    }
    return;
  }
  const std::vector<WorkerView*> workers = FindUnaskedWorkers(step, workers_.size(), Resources{});
  for (auto next = workers.begin(); next != workers.end() && may_ask(next - workers.begin());) {
    const auto end = next + std::min<std::ptrdiff_t>(workers.end() - next, kMaxWorkersPerQuestion);
    Ask(step, std::vector<WorkerView*>(next, end), pass);
    next = end;
  }
}

void Placement::AskAboutReplacements(StepRun& step, size_t limit, Pass& pass) {
  if (!MayAsk(step, pass)) {
    return;
  }
  const std::vector<WorkerView*> workers = FindUnaskedWorkers(step, limit, Resources{});
  const Duration expected_time = ExpectedCallTime(*step.job->queue.advice, workers.size());
  if (pass.now - step.advice.last_request_at < kReplacementCallsDivisor * expected_time) {
    return;
  }
  if (ShouldAskForTickets(workers.size(), step.spec->count, pass.queues.IsBusy(pass.now),
                          pass.now - step.advice.last_request_at)) {
    Ask(step, workers, pass);
  }
}

void Placement::AskForTickets(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass) {
  if (MayAsk(step, pass)) {
    const auto end = workers.begin() + static_cast<std::ptrdiff_t>(std::min(workers.size(), kMaxWorkersPerQuestion));
    Ask(step, std::vector<WorkerView*>(workers.begin(), end), pass);
  }
}

void Placement::Ask(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass) {
  if (workers.empty()) {
    return;
  }
  step.left_by = WaitingGate::kAdvicePending;
  pass.queues.Assign(pass.now, ExpectedCallTime(*step.job->queue.advice, workers.size()));
  AskAdvice ask{&step, {}};
  ask.workers.reserve(workers.size());
  for (const WorkerView* worker : workers) {
    ask.workers.push_back(worker->number);
  }
  pass.decisions.emplace_back(std::move(ask));
}

}  // namespace hibiscus::cell
