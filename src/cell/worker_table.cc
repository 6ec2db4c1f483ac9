#include "cell/worker_table.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kHoldDuration = 4500ms;  // Outlasts a takeover: old owner's lease, successor's claim and first hold.
constexpr Duration kHoldPollTimeout = 1s;   // How long a hold waits for an end; bounds the detection of a dead worker.
constexpr Duration kUnacknowledgedHoldInterval = 400ms;  // Between holds while received ends cannot be named yet.
constexpr Duration kSilentRetryInterval = 300ms;         // Between holds to a silent worker.
// Between holds to a worker that refuses connections: other hosts need those that become free, too.
constexpr Duration kMaxRefusedRetryInterval = 1200ms;
constexpr Duration kStopRetryInterval = 300ms;  // Before an unanswered stop is sent again.
constexpr Duration kStartDeadline = 1500ms;     // The worker refuses a start that arrives later.
constexpr Duration kStartCheckDelay = 250ms;    // Before an unanswered start is checked: ten usual region round trips.
constexpr int kMaxStartCopies = 6;              // Of one run, before it is given up on its worker.
constexpr Duration kMaxAnswerTime = 1500ms;     // A start has its answer, or its call is given up, within this time.
constexpr Duration kRefusalBackoff = 700ms;     // A worker that refused a start receives none for this time.
constexpr Duration kUnlistedGrace = 2500ms;     // Entries reappear within about two seconds after the store recovers.
constexpr Duration kUnlistedRetention = 15s;    // Before an unlisted worker without runs is dropped.
// An order without an answer is carried out within this time, or never: 12 s on the platform after it was sent, which a
// relay does within 500 ms, and the HTTP client within 1 s.
constexpr Duration kMaxOrderDelay = 13'500ms;
constexpr int kStartDelaySmoothing = 32;  // Divisor of the moving average: limits the effect of a single slow worker.
constexpr Duration kStartDelayValidity = 1s;  // The average expires this long after the last answered start.
// For how long ends are not acknowledged because of starts in flight before the worker gets no further starts.
constexpr Duration kMaxAcknowledgementDeferral = 2s;
// For how long ends are not named because of late starts: with the time that holds take, within the platform's limit of
// 5 s. A late hold can do harm only in a life that has carried out a late start and whose ends were not seen.
constexpr Duration kMaxLateStartDeferral = 3s;
// How long an answered hold shows that no other owner had fenced the worker: covers a hold that waits for an end and
// the next one.
constexpr Duration kWitnessValidity = 2s;
constexpr Duration kMaxDoubtHoldWait = 300ms;  // Longest wait of a hold while the owner depends on its answer.
constexpr double kMinClockRate = 0.98;         // Lowest rate of a worker's clock; guaranteed by the platform.
constexpr Duration kClockTolerance = 50ms;  // Covers the rounding of clocks to milliseconds and the time to kill a run.

// Identifies the step of a run.
TaskRef StepOf(const RunRef& run) {
  TaskRef step = run.task;
  step.index = 0;
  return step;
}

// Taking an end takes those with lower numbers for received, too, and one of them may be unreadable.
size_t CountEndsToTake(const OrderAnswer& answer) {
  const bool all_read = answer.unreadable_from < 0;
  return all_read ? answer.ended.size() : std::min(answer.ended.size(), static_cast<size_t>(answer.unreadable_from));
}

// A worker with more ends lists the others once these are acknowledged. One of which an end is unreadable may list the
// end of any run there.
bool ListsAllEnds(const OrderAnswer& answer) {
  return answer.unreadable_from < 0 && answer.ended.size() < kMaxEndedRuns;
}

Duration MaxLocalTime(Duration worker_time) {
  return Duration(static_cast<int64_t>(static_cast<double>(worker_time.count()) / kMinClockRate));
}

}  // namespace

TimePoint PlacedRun::OpenUntil() const {
  TimePoint latest{};
  for (const OpenCopy& copy : open_copies) {
    latest = std::max(latest, copy.until);
  }
  return latest;
}

bool PlacedRun::HasUnansweredCopy() const {
  return std::any_of(open_copies.begin(), open_copies.end(), [](const OpenCopy& copy) { return !copy.answered; });
}

const char* NameOf(GoneReason reason) {
  switch (reason) {
    case GoneReason::kNeverRan:
      return "never_ran";
    case GoneReason::kLeaseExpired:
      return "hold_lapsed";
    case GoneReason::kWorkerRestarted:
      return "worker_restarted";
    case GoneReason::kEnded:
      return "ended";
    case GoneReason::kNotListed:
      return "not_listed";
  }
  return "?";
}

RunDemand DemandOf(const StepRun& step) {
  return RunDemand{.size = step.task_size(),
                   .quota_size = step.quota_size(),
                   .tenant = step.tenant(),
                   .lasting = step.spec->long_running};
}

bool Worker::UsableAt(TimePoint now) const {
  const bool entry_good = listed || now - unlisted_since < kUnlistedGrace;
  const bool acknowledgement_overdue =
      ends_deferred_since_ && now - *ends_deferred_since_ > kMaxAcknowledgementDeferral;
  const bool obeys = hold_confirmed && fenced_;
  return entry_good && unknown_demand_runs_ == 0 && !entry.draining && obeys && !silent && in_roster && !unsettled &&
         !recheck && now >= avoid_until && now >= starts_blocked_until_ && !acknowledgement_in_flight_ &&
         !acknowledgement_overdue;
}

Duration Worker::ClockAt(TimePoint now) const {
  return last_clock_ + (now - last_clock_at_);
}

WorkerTable::WorkerTable(Context& context,
                         WorkerPort& orders,
                         uint64_t token,
                         Listener& listener,
                         LateEnds on_late_ends)
    : context_(context),
      orders_(orders),
      token_(token),
      highest_token_(token),
      listener_(listener),
      on_late_ends_(std::move(on_late_ends)) {}

WorkerTable::~WorkerTable() {
  *alive_ = false;
}

Worker* WorkerTable::FindByNumber(size_t number) {
  const auto found = by_number_.find(number);
  return found == by_number_.end() ? nullptr : found->second;
}

Worker* WorkerTable::Find(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

std::vector<WorkerInstanceRecord> WorkerTable::TakeRoster() {
  std::vector<WorkerInstanceRecord> roster;
  for (const auto& [id, worker] : workers_) {
    const bool has_runs = HasRuns(*worker);
    // An earlier owner counts the workers that it stored: a successor must find them, and no others, until that owner
    // is fenced.
    const bool fixed = !half_fenced_at_ && unsettled_ > 0;
    const bool wanted = worker->hold_confirmed || worker->unsettled || has_runs;
    if (fixed ? worker->inherited : wanted) {
      roster.push_back(WorkerInstanceRecord{id, worker->entry.address, worker->entry.born_ms, worker->entry.capacity});
    } else {
      worker->in_roster = false;  // The roster without it may be stored before its answer arrives.
    }
  }
  return roster;
}

std::unique_ptr<Worker> WorkerTable::MakeWorker() {
  auto worker = std::make_unique<Worker>(++max_number_);
  by_number_[max_number_] = worker.get();
  worker->token_ = highest_token_;  // Also covers orders sent before it was last dropped from the table.
  return worker;
}

void WorkerTable::SetEarlierOwners(TimePoint inactive_by) {
  earlier_inactive_by_ = inactive_by;
  inherited_at_ = context_.Now();
}

void WorkerTable::AddFromRoster(const WorkerInstanceRecord& life) {
  std::unique_ptr<Worker>& slot = workers_[life.id];
  if (slot == nullptr) {
    slot = MakeWorker();
    slot->entry.id = life.id;
    slot->entry.address = life.address;
    slot->entry.born_ms = life.born_ms;
    slot->entry.capacity = life.capacity;
    slot->unlisted_since = context_.Now() - kUnlistedGrace;
    ScheduleHold(*slot, 0us);
  }
  if (slot->entry.born_ms < life.born_ms) {
    // The entry is out of date: its worker has started again and has not written a new one.
    slot->entry.born_ms = life.born_ms;
    slot->listed = false;
    slot->unlisted_since = context_.Now() - kUnlistedGrace;
  }
  // Also if a newer life is listed: orders to the earlier one may have reached it.
  slot->unsettled = true;
  slot->inherited = true;
  slot->inherited_at_ = context_.Now();
  ++unsettled_;
  ++inherited_;
  inherited_at_ = context_.Now();
  ExtendLeaseToMaximum(*slot);
}

void WorkerTable::OnEntry(const WorkerEntry& entry) {
  std::unique_ptr<Worker>& slot = workers_[entry.id];
  if (slot == nullptr) {
    slot = MakeWorker();
    slot->entry = entry;
    slot->listed = true;
    context_.Log("worker", "event=worker_listed worker={} address={} born_ms={}", entry.id, entry.address,
                 entry.born_ms);
    ScheduleHold(*slot, 0us);
    ReplaceWorkersAt(entry);
    return;
  }
  Worker& worker = *slot;
  const bool new_life = entry.born_ms > worker.entry.born_ms;
  if (entry.born_ms < worker.entry.born_ms) {
    return;  // Written by an earlier life.
  }
  worker.listed = true;
  const bool changed = !(worker.entry == entry);
  if (new_life) {
    ReportCrash(worker);
  }
  const int64_t earlier_born_ms = worker.entry.born_ms;
  worker.entry = entry;
  if (new_life) {
    BeginLife(worker, entry.born_ms, earlier_born_ms);
  }
  if (changed) {
    listener_.OnChanged(worker);
  }
}

void WorkerTable::OnEntryGone(const std::string& id) {
  Worker* worker = Find(id);
  if (worker != nullptr && worker->listed) {
    worker->listed = false;
    worker->unlisted_since = context_.Now();
    context_.Log("worker", "event=worker_unlisted worker={} runs={}", id, worker->placed.size());
    listener_.OnChanged(*worker);
  }
}

// Resets the state of the worker for a new life: no run of an earlier life is left, and its counters restart. Open
// copies of starts may be carried out in this one: they are stopped in it.
void WorkerTable::BeginLife(Worker& worker, int64_t born_ms, int64_t earlier_born_ms) {
  const auto starts_open = std::count_if(worker.placed.begin(), worker.placed.end(),
                                         [](const auto& each) { return !each.second.open_copies.empty(); });
  context_.Log("worker", "event=new_life worker={} born_ms={} earlier_born_ms={} runs_lost={} starts_open={}",
               worker.entry.id, born_ms, earlier_born_ms, worker.placed.size(), starts_open);
  worker.entry.born_ms = born_ms;
  worker.hold_confirmed = false;
  worker.witnessed_at = TimePoint{};
  worker.in_roster = false;
  worker.silent = false;
  worker.replaced_ = false;
  worker.clock_known_ = false;
  worker.latest_deadline_ = Duration(0);
  worker.lists_clock_ = Duration(0);
  worker.newest_answered_at_ = TimePoint{};
  const bool acknowledgement_may_arrive = worker.last_end_forgotten_ < worker.last_end_acknowledged_;
  if (acknowledgement_may_arrive) {
    worker.avoid_until = std::max(worker.avoid_until, worker.acknowledgement_sent_at_ + kMaxOrderDelay);
  }
  worker.last_end_seen_ = 0;
  worker.last_end_acknowledged_ = 0;
  worker.last_end_forgotten_ = 0;
  worker.ends_deferred_since_.reset();
  worker.acknowledgement_in_flight_ = false;
  FenceEarlierLives(worker);
  worker.lease_until_ = TimePoint{};
  worker.held_ends_.clear();
  worker.late_starts_since_.reset();
  std::vector<RunRef> open;
  std::vector<RunRef> lost;
  for (const auto& [run, placed] : worker.placed) {
    const bool ended = !placed.sent || placed.over || (placed.confirmed && placed.in_current_life);
    (ended && placed.open_copies.empty() ? lost : open).push_back(run);
  }
  if (!open.empty() || worker.unsettled) {
    ExtendLeaseToMaximum(worker);
  }
  for (const RunRef& run : open) {
    PlacedRun& placed = worker.placed[run];
    if (placed.confirmed && placed.in_current_life) {
      MarkOver(worker, run, GoneReason::kWorkerRestarted);
    }
    placed.order.reset();
    placed.in_current_life = false;
    placed.phase = placed.phase == PlacedPhase::kStopping ? placed.phase : PlacedPhase::kAbandoned;
    placed.absence_valid_after = Duration::max();  // Until a stop is answered.
    SendStop(worker, run);
  }
  RemoveLostRuns(worker, lost);
  // An earlier owner's order may have reached the new life, so an unsettled worker stays so until it answers a hold.
  worker.hold_in_flight_ = false;  // That one is to an earlier life.
  ++worker.hold_number_;
  ScheduleHold(worker, 0us);
}

void WorkerTable::FenceEarlierLives(Worker& worker) {
  worker.earlier_lives_token_ = worker.token_;
  worker.fenced_ = false;
  RaiseToken(worker);
}

void WorkerTable::NoteTokenSeen(Worker& worker, uint64_t token) {
  if (!worker.fenced_) {
    worker.fenced_ = token > worker.earlier_lives_token_;
    ExtendLeaseToMaximum(worker);  // A late order may have arrived before.
  }
}

void WorkerTable::RemoveLostRuns(Worker& worker, const std::vector<RunRef>& lost) {
  for (const RunRef& run : lost) {
    RemoveRun(worker, run);
    listener_.OnGone(worker, run, GoneReason::kWorkerRestarted);
  }
}

// --- Open copies of starts ---

bool WorkerTable::HasRuns(const Worker& worker) {
  return std::any_of(worker.placed.begin(), worker.placed.end(), [](const auto& each) { return !each.second.over; });
}

void WorkerTable::CloseCopy(Worker& worker, const SentStart& start, const OrderAnswer& answer) {
  const auto found = worker.placed.find(start.run);
  if (found == worker.placed.end() || answer.status == OrderStatus::kUnknown) {
    return;
  }
  PlacedRun& placed = found->second;
  const auto copy = std::find_if(placed.open_copies.begin(), placed.open_copies.end(),
                                 [&](const OpenCopy& each) { return each.number == start.copy; });
  const bool carried_out = answer.status == OrderStatus::kOk;
  placed.carried_out = placed.carried_out || carried_out;
  if (copy == placed.open_copies.end()) {
    return;  // A list has shown it, or it has expired.
  }
  if (carried_out && !IsFromKnownLife(worker, answer)) {
    copy->answered = true;
    copy->until = std::min(copy->until, context_.Now());
  } else {
    placed.copy_answered = placed.copy_answered || carried_out;
    placed.open_copies.erase(copy);
  }
  if (placed.open_copies.empty()) {
    ForgetOpenRun(start.run, placed);
  } else if (!placed.HasUnansweredCopy()) {
    ForgetOverdueStart(placed);
  }
}

void WorkerTable::ForgetOpenRun(const RunRef& run, PlacedRun& placed) {
  open_runs_.erase(run);
  ForgetOverdueStart(placed);
}

void WorkerTable::ForgetOverdueStart(PlacedRun& placed) {
  if (std::exchange(placed.overdue, false)) {
    ++open_starts_version_;
    listener_.OnOpenStartsChanged();
  }
}

void WorkerTable::NoteCarriedOut(const RunRef& run, PlacedRun& placed) {
  placed.carried_out = true;
  if (!placed.copy_answered && placed.open_copies.size() == 1) {
    placed.open_copies.clear();
    ForgetOpenRun(run, placed);
  }
}

void WorkerTable::ExpireCopies(Worker& worker, TimePoint time) {
  for (auto& [run, placed] : worker.placed) {
    if (std::erase_if(placed.open_copies, [&](const OpenCopy& copy) { return copy.until <= time; }) > 0 &&
        placed.open_copies.empty()) {
      ForgetOpenRun(run, placed);
    }
  }
}

void WorkerTable::MarkOver(Worker& worker, const RunRef& run, GoneReason reason) {
  PlacedRun& placed = worker.placed.at(run);
  placed.phase = PlacedPhase::kAbandoned;
  placed.order.reset();
  if (placed.over) {
    return;
  }
  placed.over = true;
  placed.over_reason = reason;
  ++over_of_step_[StepOf(run)];
  const Duration open_for = placed.OpenUntil() - context_.Now();
  context_.counters.Add("worker_starts_left_open");
  context_.Log("worker",
               "event=start_open worker={} born_ms={} job={} step={} index={} run={} over={} copies={} until_ms={}",
               worker.entry.id, worker.entry.born_ms, run.task.job, run.task.step, run.task.index, run.run,
               NameOf(reason), placed.open_copies.size(), Millis(open_for));
  // A hold may wait for longer.
  context_.timers.In(std::max(Duration(0), open_for), [this, alive = alive_, id = worker.entry.id, run] {
    Worker* found = *alive ? Find(id) : nullptr;
    if (found != nullptr && found->placed.contains(run) && !found->silent) {
      CheckOverdueStart(*found, run);
    }
  });
}

void WorkerTable::ReleaseDemand(Worker& worker, PlacedRun& placed) {
  SubtractDemand(worker, placed);
  placed.demand.size = Resources{};
  placed.demand.quota_size = Resources{};
  placed.demand.suspicion = 0;
  placed.demand_known = true;
}

Duration WorkerTable::LongestLease() const {
  return MaxLocalTime(context_.settings.max_hold) + kClockTolerance;
}

// A life that took a copy and does not answer holds the run for its lease. One that writes no entry either is gone, by
// the platform's rule.
TimePoint WorkerTable::OverAt(const Worker& worker, const PlacedRun& placed) const {
  if (placed.open_copies.empty()) {
    return worker.lease_until_;
  }
  const bool is_gone = !worker.listed && context_.Now() - worker.unlisted_since > kUnlistedGrace;
  return std::max(worker.lease_until_, placed.OpenUntil() + (is_gone ? Duration(0) : LongestLease()));
}

bool WorkerTable::MayStartAgain(const Worker& worker, const RunRef& run) const {
  const auto found = worker.placed.find(run);
  return found != worker.placed.end() && found->second.over;
}

std::optional<TimePoint> WorkerTable::StartsOverAt(const TaskRef& step) const {
  std::optional<TimePoint> over;
  for (auto each = open_runs_.lower_bound(RunRef{step, 0}); each != open_runs_.end() && StepOf(each->first) == step;
       ++each) {
    const PlacedRun& placed = workers_.at(each->second)->placed.at(each->first);
    over = placed.over ? std::max(over.value_or(TimePoint{}), placed.OpenUntil()) : over;
  }
  return over;
}

TimePoint WorkerTable::StartsAnsweredBy() const {
  TimePoint latest{};
  for (const auto& [run, worker] : open_runs_) {
    for (const OpenCopy& copy : workers_.at(worker)->placed.at(run).open_copies) {
      latest = std::max(latest, copy.sent_at + kMaxAnswerTime);
    }
  }
  return latest;
}

std::vector<OpenStartRecord> WorkerTable::open_starts(bool all) const {
  std::vector<OpenStartRecord> starts;
  for (const auto& [run, worker] : open_runs_) {
    const PlacedRun& placed = workers_.at(worker)->placed.at(run);
    const Duration open_for = placed.OpenUntil() - context_.Now();
    if (open_for > Duration(0) && (all || placed.overdue)) {
      starts.push_back(OpenStartRecord{run, worker, open_for});
    }
  }
  return starts;
}

void WorkerTable::AddOpenStart(const OpenStartRecord& start) {
  std::unique_ptr<Worker>& slot = workers_[start.worker];
  if (slot == nullptr) {  // Neither listed nor in the roster: the start is kept until it is over.
    slot = MakeWorker();
    slot->entry.id = start.worker;
    slot->unlisted_since = context_.Now() - kUnlistedGrace;
  }
  if (slot->placed.contains(start.run)) {
    return;
  }
  const TimePoint now = context_.Now();
  AddRun(*slot, start.run,
         PlacedRun{.demand = {},
                   .phase = PlacedPhase::kAbandoned,
                   .placed_at = now,
                   .sends = 1,
                   .open_copies = {OpenCopy{1, now - kMaxAnswerTime, now + start.open_for}},
                   .copy_answered = true,  // Further copies may have been sent since the record was stored.
                   .overdue = true});
  ++open_starts_version_;
  MarkOver(*slot, start.run, GoneReason::kNeverRan);
  if (!listener_.OnOpenStart(*slot, start.run)) {
    MarkUnwanted(*slot, start.run);
  }
}

void WorkerTable::SetStoredRoster(const std::vector<WorkerInstanceRecord>& roster) {
  stored_roster_ = roster;
  pending_roster_.reset();
}

void WorkerTable::SetPendingRoster(const std::vector<WorkerInstanceRecord>& roster) {
  pending_roster_ = roster;
}

TimePoint WorkerTable::WitnessedUntil(const std::vector<WorkerInstanceRecord>& roster) const {
  std::vector<TimePoint> witnessed;
  for (const WorkerInstanceRecord& life : roster) {
    const auto found = workers_.find(life.id);
    const bool same_life = found != workers_.end() && found->second->entry.born_ms == life.born_ms;
    if (same_life && found->second->hold_confirmed) {
      witnessed.push_back(found->second->witnessed_at);
    }
  }
  const size_t majority = roster.size() / 2 + 1;
  if (witnessed.size() < majority) {
    return TimePoint{};
  }
  const auto last_needed = witnessed.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(witnessed.begin(), last_needed, witnessed.end(), std::greater<>());
  return *last_needed + kWitnessValidity;
}

// A roster that was sent may be stored although it was not confirmed.
TimePoint WorkerTable::WitnessedUntil() const {
  const TimePoint by_stored = WitnessedUntil(stored_roster_);
  return pending_roster_ ? std::min(by_stored, WitnessedUntil(*pending_roster_)) : by_stored;
}

void WorkerTable::CountFencedWorker(Worker& worker) {
  if (!worker.unsettled || worker.fence_counted_) {
    return;
  }
  worker.fence_counted_ = true;
  ++fenced_;
  if (!half_fenced_at_ && 2 * fenced_ >= inherited_) {
    half_fenced_at_ = context_.Now();
    context_.Log("worker", "event=earlier_owner_fenced workers={} of={}", fenced_, inherited_);
  }
}

TimePoint WorkerTable::EarlierOwnersInactiveAt() const {
  const TimePoint by_fencing = half_fenced_at_ ? *half_fenced_at_ + kWitnessValidity : TimePoint::max();
  return std::min({by_fencing, earlier_inactive_by_, inherited_at_ + kMaxDoubt});
}

TimePoint WorkerTable::InheritedRunsOverAt() const {
  const Duration longest_lease = MaxLocalTime(std::min(kHoldDuration, context_.settings.max_hold)) + kClockTolerance;
  return EarlierOwnersInactiveAt() + longest_lease;
}

void WorkerTable::MarkSettled(Worker& worker) {
  if (worker.unsettled) {
    worker.unsettled = false;
    --unsettled_;
    listener_.OnSettled(worker);
  }
}

void WorkerTable::AddRun(Worker& worker, const RunRef& run, const PlacedRun& placed) {
  worker.placed[run] = placed;
  if (!placed.open_copies.empty()) {
    open_runs_[run] = worker.entry.id;
  }
  worker.used_ += placed.demand.size;
  worker.suspicion_ += placed.demand.suspicion;
  if (placed.demand_known) {
    tenant_usage_[placed.demand.tenant] += placed.demand.quota_size;
    lasting_usage_[placed.demand.tenant] += placed.demand.lasting ? placed.demand.quota_size : Resources{};
  } else {
    ++worker.unknown_demand_runs_;
    ++unknown_demand_runs_;
  }
}

void WorkerTable::RemoveRun(Worker& worker, const RunRef& run) {
  const auto found = worker.placed.find(run);
  if (found == worker.placed.end()) {
    return;
  }
  SubtractDemand(worker, found->second);
  if (const auto of_step = over_of_step_.find(StepOf(run)); found->second.over && --of_step->second == 0) {
    over_of_step_.erase(of_step);
  }
  if (const auto of_step = unwanted_of_step_.find(StepOf(run)); found->second.unwanted && --of_step->second == 0) {
    unwanted_of_step_.erase(of_step);
  }
  ForgetOpenRun(run, found->second);
  worker.placed.erase(found);
}

void WorkerTable::MarkUnwanted(Worker& worker, const RunRef& run) {
  if (!std::exchange(worker.placed.at(run).unwanted, true)) {
    ++unwanted_of_step_[StepOf(run)];
  }
}

void WorkerTable::SubtractDemand(Worker& worker, const PlacedRun& placed) {
  worker.used_ -= placed.demand.size;
  worker.suspicion_ -= placed.demand.suspicion;
  if (placed.demand_known) {
    tenant_usage_[placed.demand.tenant] -= placed.demand.quota_size;
    lasting_usage_[placed.demand.tenant] -= placed.demand.lasting ? placed.demand.quota_size : Resources{};
  } else {
    --worker.unknown_demand_runs_;
    --unknown_demand_runs_;
  }
}

std::optional<Resources> WorkerTable::UnaccountedResources() const {
  Resources sum;
  if (unsettled_ == 0 && unknown_demand_runs_ == 0) {
    return sum;
  }
  for (const auto& [id, worker] : workers_) {
    if (!worker->unsettled && worker->unknown_demand_runs_ == 0) {
      continue;
    }
    if (worker->entry.capacity == Resources{}) {
      return std::nullopt;  // It was never listed.
    }
    sum += worker->free();
  }
  return sum;
}

void WorkerTable::ExtendLease(Worker& worker, Duration deadline) {
  worker.latest_deadline_ = std::max(worker.latest_deadline_, deadline);
  const TimePoint over = worker.last_clock_at_ + MaxLocalTime(deadline - worker.last_clock_) + kClockTolerance;
  worker.lease_until_ = std::max(worker.lease_until_, over);
}

void WorkerTable::ExtendLeaseToMaximum(Worker& worker) {
  const TimePoint over = context_.Now() + LongestLease();
  worker.lease_until_ = std::max(worker.lease_until_, over);
}

void WorkerTable::RecheckAll() {
  recheck_since_ = context_.Now();
  for (const auto& [id, worker] : workers_) {
    worker->recheck = true;
  }
}

// --- Holds ---

void WorkerTable::ScheduleHold(Worker& worker, Duration delay) {
  const uint64_t timer = ++worker.hold_timer_;
  context_.timers.In(delay, [this, alive = alive_, id = worker.entry.id, timer] {
    Worker* found = *alive ? Find(id) : nullptr;
    if (found != nullptr && found->hold_timer_ == timer && !found->hold_in_flight_) {
      SendHold(*found);
    }
  });
}

void WorkerTable::SendHold(Worker& worker) {
  const TimePoint now = context_.Now();
  HoldOrder order{worker.token_, EndsToAcknowledge(worker), 0us, 0us};
  if (worker.clock_known_ && !worker.silent && !worker.recheck && MayAct()) {
    order.deadline = worker.ClockAt(now) + std::min(kHoldDuration, context_.settings.max_hold);
    ExtendLease(worker, order.deadline);
  }
  // A hold that names ends is answered at once, so that starts don't wait for long.
  worker.acknowledgement_in_flight_ = order.acknowledged > 0;
  if (order.acknowledged == 0 && worker.hold_confirmed && worker.fenced_ && !worker.silent && !worker.recheck &&
      worker.last_end_seen_ <= worker.last_end_forgotten_) {
    order.wait = IsInDoubt() ? kMaxDoubtHoldWait : kHoldPollTimeout;
  }
  worker.hold_in_flight_ = true;
  ++worker.hold_number_;
  context_.counters.Add("worker_holds");
  orders_.Hold(TargetOf(worker), order,
               OrLateEnds([this, id = worker.entry.id, born = worker.entry.born_ms, address = worker.entry.address,
                           sent_at = now, order, number = worker.hold_number_](const OrderAnswer& answer) {
                 Worker* found = Find(id);
                 if (found == nullptr) {
                   return;
                 }
                 if (found->hold_number_ != number) {
                   OnOldHoldAnswer(*found, answer);
                   return;
                 }
                 const bool same_life = found->entry.born_ms == born && found->entry.address == address;
                 if (found->entry.born_ms == born && order.acknowledged > 0) {
                   OnAcknowledgementAnswer(*found, order.acknowledged, answer);
                 }
                 OnHoldAnswer(*found, sent_at, order, answer);
                 if (same_life && answer.status == OrderStatus::kOtherInstance) {
                   OnReplaced(*found);
                 }
               }));
}

WorkerPort::Done WorkerTable::OrLateEnds(WorkerPort::Done done) const {
  return [alive = alive_, late_ends = on_late_ends_, done = std::move(done)](const OrderAnswer& answer) {
    if (*alive) {
      done(answer);
    } else if (late_ends && !answer.ended.empty()) {
      late_ends(answer.ended);
    }
  };
}

// Names ends only until the worker has forgotten them: a hold that is delayed into the next life of the worker, which
// numbers its ends anew, would make it forget ends that were never received. After a call without an answer, the worker
// may be in a next life that the owner does not know of, so it must answer a hold first. Records when ends were named,
// or since when starts on their way keep them from being named.
int64_t WorkerTable::EndsToAcknowledge(Worker& worker) {
  const bool may_have_restarted = worker.recheck || worker.witnessed_at <= worker.unanswered_at_;
  if (may_have_restarted || worker.last_end_forgotten_ >= worker.last_end_acknowledged_) {
    return 0;
  }
  const StartsInTransit starts = StartsTo(worker);
  if (starts == StartsInTransit::kRecent) {
    context_.counters.Add("worker_acknowledgements_deferred");
    worker.ends_deferred_since_ = worker.ends_deferred_since_.value_or(context_.Now());
    return 0;
  }
  worker.ends_deferred_since_.reset();
  const int64_t number = std::min(worker.last_end_acknowledged_, FirstHeldEnd(worker) - 1);
  const bool late_start = starts == StartsInTransit::kLate;
  worker.late_starts_since_ =
      late_start ? worker.late_starts_since_.value_or(context_.Now()) : std::optional<TimePoint>();
  if ((late_start && context_.Now() - *worker.late_starts_since_ < kMaxLateStartDeferral) ||
      number <= worker.last_end_forgotten_) {
    context_.counters.Add("worker_acknowledgements_held");
    return 0;
  }
  worker.late_starts_since_.reset();
  worker.acknowledgement_sent_at_ = context_.Now();
  return number;
}

// A start that is late does not keep its worker from further starts, as it may be so for long.
WorkerTable::StartsInTransit WorkerTable::StartsTo(const Worker& worker) const {
  const TimePoint now = context_.Now();
  bool recent = now - worker.inherited_at_ < kStartDeadline;  // By the earlier owner.
  bool late = false;
  for (const auto& [run, placed] : worker.placed) {
    for (const OpenCopy& copy : placed.open_copies) {
      const bool open = copy.until > now;
      recent = recent || copy.answered || (open && now - copy.sent_at < kMaxAnswerTime);
      late = late || (open && !placed.carried_out);
    }
    recent = recent || !placed.sent || (placed.confirmed && !placed.in_current_life && !placed.over);
  }
  if (recent && !late) {
    return StartsInTransit::kRecent;
  }
  return late ? StartsInTransit::kLate : StartsInTransit::kNone;
}

bool WorkerTable::MayRunAgain(const RunRef& ended) const {
  const TimePoint now = context_.Now();
  const auto is_open = [&](const auto& each) {
    return workers_.at(each.second)->placed.at(each.first).OpenUntil() > now;
  };
  if (!listener_.MayBeGang(ended)) {
    const auto found = open_runs_.find(ended);
    return found != open_runs_.end() && is_open(*found);
  }
  const TaskRef step = StepOf(ended);
  for (auto each = open_runs_.lower_bound(RunRef{step, 0}); each != open_runs_.end() && StepOf(each->first) == step;
       ++each) {
    if (each->first.run == ended.run && is_open(*each)) {
      return true;
    }
  }
  return false;
}

int64_t WorkerTable::FirstHeldEnd(Worker& worker) {
  std::erase_if(worker.held_ends_, [this](const auto& held) { return !MayRunAgain(held.second); });
  return worker.held_ends_.empty() ? std::numeric_limits<int64_t>::max() : worker.held_ends_.begin()->first;
}

void WorkerTable::OnAcknowledgementAnswer(Worker& worker, int64_t acknowledged, const OrderAnswer& answer) {
  worker.acknowledgement_in_flight_ = false;
  if (answer.status == OrderStatus::kOk && answer.born_ms == worker.entry.born_ms) {
    worker.last_end_forgotten_ = std::max(worker.last_end_forgotten_, acknowledged);
    worker.acknowledgement_sent_at_ = TimePoint{};
    listener_.OnChanged(worker);
  } else if (answer.status == OrderStatus::kUnknown) {
    RaiseToken(worker);
  }
}

void WorkerTable::RaiseToken(Worker& worker) {
  const bool raised = highest_token_ > worker.token_;
  if (raised) {
    worker.token_ = highest_token_;
    worker.starts_blocked_until_ = TimePoint{};
    if (!worker.fenced_ && !worker.hold_in_flight_) {
      ScheduleHold(worker, 0us);
    }
    context_.counters.Add("worker_tokens_raised");
  } else {
    worker.starts_blocked_until_ = context_.Now() + kMaxOrderDelay;
    awaiting_token_.push_back(worker.entry.id);
    listener_.OnTokenNeeded();
  }
  context_.Log("worker", "event={} worker={} born_ms={} token={}", raised ? "token_raised" : "token_needed",
               worker.entry.id, worker.entry.born_ms, worker.token_);
}

void WorkerTable::OnCommitted(uint64_t revision) {
  if (revision <= highest_token_) {
    return;  // The batch was empty.
  }
  highest_token_ = revision;
  for (const std::string& id : std::exchange(awaiting_token_, {})) {
    Worker* worker = Find(id);
    const bool waits = worker != nullptr && (context_.Now() < worker->starts_blocked_until_ || !worker->fenced_);
    if (waits && worker->token_ < highest_token_) {
      RaiseToken(*worker);
      listener_.OnChanged(*worker);
    }
  }
}

bool WorkerTable::IsFencedByOther(const Worker& worker, uint64_t order_token, const OrderAnswer& answer) const {
  return answer.status == OrderStatus::kFenced && order_token >= worker.token_;
}

void WorkerTable::OnOldHoldAnswer(Worker& worker, const OrderAnswer& answer) {
  if (answer.born_ms > worker.entry.born_ms) {
    RecordAnswer(worker, answer);
  }
}

void WorkerTable::OnHoldAnswer(Worker& worker, TimePoint sent_at, const HoldOrder& order, const OrderAnswer& answer) {
  worker.hold_in_flight_ = false;
  const int64_t born_ms = worker.entry.born_ms;
  if (!RecordAnswer(worker, answer)) {
    const bool new_life = worker.entry.born_ms != born_ms;
    ScheduleHold(worker, new_life ? Duration(0) : RetryDelay(worker, answer));
    return;
  }
  worker.refused_connections_ = 0;
  if (IsFencedByOther(worker, order.token, answer)) {
    listener_.OnFenced();
    return;
  }
  if (answer.status != OrderStatus::kOk) {
    ScheduleHold(worker, kSilentRetryInterval);
    return;
  }
  const bool became_usable = !worker.hold_confirmed || !worker.fenced_ || worker.recheck;
  worker.hold_confirmed = true;
  NoteTokenSeen(worker, order.token);
  worker.witnessed_at = std::max(worker.witnessed_at, sent_at);
  CountFencedWorker(worker);
  worker.recheck = worker.recheck && sent_at < recheck_since_;
  if (!ApplyLists(worker, sent_at, answer)) {
    return;
  }
  if (ListsAllEnds(answer)) {
    MarkSettled(worker);
  }
  if (became_usable) {
    listener_.OnChanged(worker);
  }
  const bool ends_unstored = worker.last_end_seen_ > worker.last_end_acknowledged_;
  // A hold that named ends and was answered, but not by this life, does not help if it is repeated at once.
  const bool ends_deferred =
      worker.last_end_forgotten_ < worker.last_end_acknowledged_ && (order.acknowledged > 0 || MayReceiveStart(worker));
  // While a worker lists an end that is not named, it answers without waiting.
  const bool ends_unreadable = answer.unreadable_from >= 0;
  const bool at_once = !ends_unstored && !ends_deferred && !ends_unreadable && worker.fenced_;
  ScheduleHold(worker, at_once ? 0us : kUnacknowledgedHoldInterval);
}

Duration WorkerTable::RetryDelay(Worker& worker, const OrderAnswer& answer) {
  if (answer.reason != UnansweredReason::kConnectionRefused) {
    return kSilentRetryInterval;
  }
  Duration delay = kSilentRetryInterval;
  for (int i = 0; i < worker.refused_connections_ && delay < kMaxRefusedRetryInterval; ++i) {
    delay *= 2;
  }
  ++worker.refused_connections_;
  return delay / 2 + context_.Jitter(delay / 2);
}

bool WorkerTable::ApplyLists(Worker& worker, TimePoint requested_at, const OrderAnswer& answer) {
  if (answer.worker_clock < worker.lists_clock_) {
    return true;  // Newer lists have arrived on another connection.
  }
  worker.lists_clock_ = answer.worker_clock;
  worker.lists_requested_at_ = requested_at;
  worker.newest_answered_at_ = std::max(worker.newest_answered_at_, requested_at);
  const std::shared_ptr<bool> alive = alive_;
  const int64_t seen = worker.last_end_seen_;
  ApplyEnded(worker, answer);
  ApplyRunning(worker, answer);
  if (ListsAllEnds(answer)) {
    ApplyAbsent(worker, requested_at, answer);
  }
  if (!*alive) {
    return false;
  }
  ExpireCopies(worker, requested_at);
  if (worker.last_end_seen_ > seen) {
    listener_.OnEndsSeen(worker);
  }
  return true;
}

void WorkerTable::ApplyEnded(Worker& worker, const OrderAnswer& answer) {
  const size_t count = CountEndsToTake(answer);
  for (size_t i = 0; i < count; ++i) {
    const EndedRun& row = answer.ended[i];
    if (row.number <= worker.last_end_seen_) {
      continue;
    }
    worker.last_end_seen_ = row.number;
    if (const auto placed = worker.placed.find(row.run); placed != worker.placed.end()) {
      NoteCarriedOut(row.run, placed->second);
      if (placed->second.open_copies.empty()) {
        RemoveRun(worker, row.run);
      } else {
        MarkOver(worker, row.run, GoneReason::kEnded);
        ReleaseDemand(worker, placed->second);
        placed->second.absence_valid_after = answer.worker_clock;
      }
    }
    if (MayRunAgain(row.run)) {
      worker.held_ends_[row.number] = row.run;
    }
    listener_.OnEnded(worker, row);
  }
}

void WorkerTable::ApplyRunning(Worker& worker, const OrderAnswer& answer) {
  for (const RunningRun& row : answer.running) {
    const auto found = worker.placed.find(row.run);
    if (found != worker.placed.end()) {
      NoteCarriedOut(row.run, found->second);
    }
    if (found != worker.placed.end() && !found->second.over) {
      found->second.confirmed = true;
      found->second.order.reset();
      found->second.in_current_life = true;
      if (found->second.phase == PlacedPhase::kStarting) {
        found->second.phase = PlacedPhase::kRunning;
        found->second.absence_valid_after = answer.worker_clock;
        listener_.OnStarted(worker, row.run);
      }
      listener_.OnRunning(worker, row);
      continue;
    }
    std::optional<RunDemand> demand;
    const bool keep = listener_.OnFound(worker, row, demand);
    PlacedRun run{.demand = demand.value_or(RunDemand{}),
                  .phase = PlacedPhase::kRunning,
                  .absence_valid_after = answer.worker_clock,
                  .placed_at = context_.Now(),
                  .confirmed = true,
                  .in_current_life = true,
                  .demand_known = demand.has_value()};
    if (found != worker.placed.end()) {  // A copy of a start that had been taken for over was carried out.
      run.open_copies = found->second.open_copies;
      run.copy_answered = found->second.copy_answered;
      run.overdue = found->second.overdue;
      run.carried_out = true;
      RemoveRun(worker, row.run);
    }
    AddRun(worker, row.run, run);
    if (!keep) {
      MarkUnwanted(worker, row.run);
      Stop(worker, row.run);
    }
  }
}

void WorkerTable::ApplyAbsent(Worker& worker, TimePoint requested_at, const OrderAnswer& answer) {
  std::set<RunRef> running;
  for (const RunningRun& row : answer.running) {
    running.insert(row.run);
  }
  std::vector<RunRef> absent;
  for (const auto& [run, placed] : worker.placed) {
    if (answer.worker_clock > placed.absence_valid_after && !running.contains(run)) {
      absent.push_back(run);
    }
  }
  for (const RunRef& run : absent) {
    if (worker.placed.contains(run)) {  // A listener may have removed it.
      HandleAbsent(worker, run, requested_at);
    }
  }
}

void WorkerTable::HandleAbsent(Worker& worker, const RunRef& run, TimePoint requested_at) {
  PlacedRun& placed = worker.placed.at(run);
  const GoneReason reason = placed.over        ? placed.over_reason
                            : placed.confirmed ? GoneReason::kNotListed
                                               : GoneReason::kNeverRan;
  if (placed.OpenUntil() <= requested_at) {
    RemoveRun(worker, run);
    listener_.OnGone(worker, run, reason);
  } else if (placed.phase == PlacedPhase::kStarting && placed.order != nullptr) {
    if (!placed.check_scheduled) {
      RepeatOrAbandonStart(worker, run);
    }
  } else {
    MarkOver(worker, run, reason);
    ReleaseDemand(worker, placed);
  }
}

void WorkerTable::Acknowledge(const std::string& id, int64_t born_ms, int64_t number) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->entry.born_ms != born_ms || number <= worker->last_end_acknowledged_ ||
      number > worker->last_end_seen_) {
    return;  // In the last case the worker was dropped from the table meanwhile and lists its ends again.
  }
  worker->last_end_acknowledged_ = number;
  if (!worker->hold_in_flight_) {
    ScheduleHold(*worker, 0us);
  }
}

// --- Orders ---

void WorkerTable::Start(Worker& worker, StartOrder order, const RunDemand& demand) {
  Reserve(worker, order.run, demand);
  StartReserved(worker, std::move(order));
}

void WorkerTable::Reserve(Worker& worker, const RunRef& run, const RunDemand& demand) {
  AddRun(
      worker, run,
      PlacedRun{.demand = demand, .absence_valid_after = Duration::max(), .placed_at = context_.Now(), .sent = false});
}

void WorkerTable::StartReserved(Worker& worker, StartOrder order) {
  const auto reserved = worker.placed.find(order.run);
  if (reserved == worker.placed.end() || reserved->second.phase != PlacedPhase::kStarting || reserved->second.sent) {
    return;
  }
  reserved->second.sent = true;
  SendStart(worker, std::move(order));
}

void WorkerTable::SendStart(Worker& worker, StartOrder order) {
  const RunRef run = order.run;
  PlacedRun& placed = worker.placed.at(run);
  const TimePoint now = context_.Now();
  order.token = worker.token_;
  order.deadline = worker.ClockAt(now) + kStartDeadline;
  ExtendLease(worker, order.deadline);
  placed.absence_valid_after = order.deadline;
  placed.placed_at = now;
  ++placed.sends;
  placed.open_copies.push_back(OpenCopy{placed.sends, now, std::min(now + kMaxOrderDelay, order.ticket_expires_at)});
  open_runs_[run] = worker.entry.id;
  open_starts_version_ += placed.overdue ? 1 : 0;
  const auto sent = std::make_shared<const StartOrder>(std::move(order));
  placed.order = sent;
  ScheduleStartCheck(worker, run);
  orders_.Start(TargetOf(worker), *sent,
                [this, alive = alive_, id = worker.entry.id, born = worker.entry.born_ms,
                 start = SentStart{run, sent->token, placed.sends, now}](const OrderAnswer& answer) {
                  Worker* found = *alive ? Find(id) : nullptr;
                  if (found == nullptr) {
                    return;
                  }
                  CloseCopy(*found, start, answer);
                  if (found->entry.born_ms == born) {
                    OnStartAnswer(*found, start, answer);
                  }
                });
}

void WorkerTable::OnStartAnswer(Worker& worker, const SentStart& start, const OrderAnswer& answer) {
  context_.counters.Add(fmt::format("worker_starts{{status=\"{}\"}}", NameOf(answer.status)));
  const RunRef& run = start.run;
  const bool answered = RecordAnswer(worker, answer, worker.newest_answered_at_ > start.sent_at);
  const auto found = worker.placed.find(run);
  if (answered) {
    worker.newest_answered_at_ = std::max(worker.newest_answered_at_, start.sent_at);
    worker.start_answered_at_ = context_.Now();
  }
  if (answered && found != worker.placed.end() && found->second.sends == 1) {
    RecordStartDelay(context_.Now() - found->second.placed_at);
  }
  if (found == worker.placed.end() || found->second.over) {
    return;  // Its end was listed before, or a new life has begun.
  }
  PlacedRun& placed = found->second;
  if (answer.status == OrderStatus::kOk) {
    const bool by_current_life = IsFromCurrentLife(worker, answer);
    if (by_current_life) {
      placed.absence_valid_after = answer.worker_clock;
    } else {
      // A next life holds the run for as long as it may: the deadline lies far ahead on its clock.
      ExtendLeaseToMaximum(worker);
    }
    placed.confirmed = true;
    placed.order.reset();
    placed.in_current_life = placed.in_current_life || by_current_life;
    if (placed.phase == PlacedPhase::kStarting) {
      placed.phase = PlacedPhase::kRunning;
      listener_.OnStarted(worker, run);
    }
    if (worker.ends_deferred_since_ && !worker.hold_in_flight_ && !MayReceiveStart(worker)) {
      ScheduleHold(worker, 0us);
    }
    return;
  }
  if (IsDefinitelyNotExecuted(answer.status) && placed.sends > 1) {
    OnCopyRefused(worker, start, answer);
    return;
  }
  if (IsDefinitelyNotExecuted(answer.status) && placed.phase != PlacedPhase::kRunning) {
    if (answer.status != OrderStatus::kNoTicket && answer.status != OrderStatus::kStale) {
      worker.avoid_until = context_.Now() + kRefusalBackoff;
    }
    RemoveRun(worker, run);
    listener_.OnRefused(worker, run, answer.status);
    if (IsFencedByOther(worker, start.token, answer)) {
      listener_.OnFenced();
    }
    return;
  }
  if (!answered && placed.phase == PlacedPhase::kStarting) {
    // It may be running if only its answer was lost. The lists decide: a start that they lack after its deadline on the
    // worker's clock never ran.
    context_.Log("worker", "event=start_unanswered worker={} job={} step={} index={} run={}", worker.entry.id,
                 run.task.job, run.task.step, run.task.index, run.run);
  }
}

void WorkerTable::OnCopyRefused(Worker& worker, const SentStart& start, const OrderAnswer& answer) {
  if (IsFencedByOther(worker, start.token, answer)) {
    listener_.OnFenced();
    return;
  }
  const PlacedRun& placed = worker.placed.at(start.run);
  // The newest copy decides. One that was not sent is checked as if it had no answer.
  if (placed.phase != PlacedPhase::kStarting || start.copy < placed.sends || answer.status == OrderStatus::kNotSent) {
    return;
  }
  if (answer.status != OrderStatus::kNoTicket && answer.status != OrderStatus::kStale) {
    worker.avoid_until = context_.Now() + kRefusalBackoff;
  }
  AbandonStart(worker, start.run);
}

void WorkerTable::RepeatOrAbandonStart(Worker& worker, const RunRef& run) {
  PlacedRun& placed = worker.placed.at(run);
  const TimePoint now = context_.Now();
  const bool gives_up = placed.sends >= kMaxStartCopies;
  const bool leaving = worker.entry.draining || (!worker.listed && now - worker.unlisted_since >= kUnlistedGrace);
  StartOrder order = *placed.order;
  if (gives_up || leaving || !listener_.MayRepeat(worker, order)) {
    worker.avoid_until = gives_up ? now + kRefusalBackoff : worker.avoid_until;
    AbandonStart(worker, run);
    return;
  }
  if (!worker.UsableAt(now) || !MayAct()) {
    ScheduleStartCheck(worker, run);
    return;
  }
  context_.counters.Add("worker_starts_repeated");
  context_.Log("worker", "event=start_repeated worker={} job={} step={} index={} run={} sends={}", worker.entry.id,
               run.task.job, run.task.step, run.task.index, run.run, placed.sends + 1);
  SendStart(worker, std::move(order));
}

// Stops a start that was not confirmed; its task may be placed elsewhere once the run is certainly over.
void WorkerTable::AbandonStart(Worker& worker, const RunRef& run) {
  PlacedRun& placed = worker.placed[run];
  placed.phase = PlacedPhase::kAbandoned;
  placed.order.reset();
  context_.Log("worker", "event=start_given_up worker={} job={} step={} index={} run={} copies_open={}",
               worker.entry.id, run.task.job, run.task.step, run.task.index, run.run, placed.open_copies.size());
  SendStop(worker, run);
}

// A start may wait behind others to the same worker: its answer is not overdue while they are being answered.
void WorkerTable::ScheduleStartCheck(Worker& worker, const RunRef& run) {
  if (std::exchange(worker.placed.at(run).check_scheduled, true)) {
    return;
  }
  context_.timers.In(kStartCheckDelay, [this, alive = alive_, id = worker.entry.id, run] {
    Worker* found = *alive ? Find(id) : nullptr;
    if (found == nullptr || !found->placed.contains(run)) {
      return;
    }
    PlacedRun& placed = found->placed[run];
    placed.check_scheduled = false;
    if (placed.HasUnansweredCopy() && !std::exchange(placed.overdue, true)) {
      ++open_starts_version_;
      listener_.OnOpenStartsChanged();
    }
    if (placed.phase != PlacedPhase::kStarting || found->silent) {
      return;
    }
    if (context_.Now() - found->start_answered_at_ < kStartCheckDelay) {
      ScheduleStartCheck(*found, run);
    } else {
      CheckOverdueStart(*found, run);
    }
  });
}

// Reads the worker's lists for a start whose answer is overdue: only the answer may have been lost.
void WorkerTable::CheckOverdueStart(Worker& worker, const RunRef& run) {
  context_.counters.Add("worker_looks_after_starts");
  orders_.Hold(TargetOf(worker), HoldOrder{worker.token_, 0, 0us, 0us},
               OrLateEnds([this, id = worker.entry.id, born = worker.entry.born_ms, run,
                           copies = worker.placed.at(run).sends, sent_at = context_.Now()](const OrderAnswer& answer) {
                 Worker* found = Find(id);
                 if (found == nullptr || found->entry.born_ms != born || answer.status != OrderStatus::kOk ||
                     !RecordAnswer(*found, answer)) {
                   return;  // OnStartAnswer handles the timeout of the start.
                 }
                 if (!ApplyLists(*found, sent_at, answer)) {
                   return;
                 }
                 const auto placed = found->placed.find(run);
                 if (placed != found->placed.end() && placed->second.phase == PlacedPhase::kStarting &&
                     placed->second.sends == copies && !placed->second.check_scheduled) {
                   RepeatOrAbandonStart(*found, run);
                 }
               }));
}

void WorkerTable::Stop(Worker& worker, const RunRef& run) {
  const auto found = worker.placed.find(run);
  if (found == worker.placed.end() || found->second.phase == PlacedPhase::kStopping) {
    return;
  }
  const bool stop_under_way = found->second.phase == PlacedPhase::kAbandoned;
  found->second.phase = PlacedPhase::kStopping;
  if (!stop_under_way) {
    SendStop(worker, run);
  }
}

// Repeats the stop until it is answered or the run is over.
void WorkerTable::SendStop(Worker& worker, const RunRef& run) {
  orders_.Stop(TargetOf(worker), run, worker.token_,
               [this, alive = alive_, id = worker.entry.id, born = worker.entry.born_ms, run,
                token = worker.token_](const OrderAnswer& answer) {
                 Worker* found = *alive ? Find(id) : nullptr;
                 if (found == nullptr || found->entry.born_ms != born) {
                   return;
                 }
                 RecordAnswer(*found, answer);
                 const auto placed = found->placed.find(run);
                 if (placed == found->placed.end()) {
                   return;
                 }
                 if (answer.status == OrderStatus::kOk) {
                   placed->second.absence_valid_after = answer.worker_clock;
                   return;
                 }
                 if (IsFencedByOther(*found, token, answer)) {
                   listener_.OnFenced();
                   return;
                 }
                 context_.timers.In(kStopRetryInterval, [this, alive, id, born, run] {
                   Worker* again = *alive ? Find(id) : nullptr;
                   if (again != nullptr && again->entry.born_ms == born && again->placed.contains(run)) {
                     SendStop(*again, run);
                   }
                 });
               });
}

bool WorkerTable::RecordAnswer(Worker& worker, const OrderAnswer& answer, bool has_answered_since) {
  if (answer.status == OrderStatus::kUnknown || answer.status == OrderStatus::kNotSent ||
      answer.status == OrderStatus::kOtherInstance) {
    if (answer.reason == UnansweredReason::kNoConnectionFree) {
      return false;  // Nothing was learnt about the worker.
    }
    worker.unanswered_at_ = context_.Now();
    if (!has_answered_since) {
      MarkSilent(worker, answer);
    }
    return false;
  }
  if (answer.born_ms != 0 && answer.born_ms != worker.entry.born_ms) {
    if (answer.born_ms > worker.entry.born_ms) {
      ReportCrash(worker);
      worker.listed = false;  // Its entry may describe the previous life, and the new one may differ in kind.
      worker.unlisted_since = context_.Now() - kUnlistedGrace;
      BeginLife(worker, answer.born_ms, worker.entry.born_ms);
    }
    return false;
  }
  if (answer.worker_clock > Duration(0) && (!worker.clock_known_ || answer.worker_clock > worker.last_clock_)) {
    worker.clock_known_ = true;
    worker.last_clock_ = answer.worker_clock;
    worker.last_clock_at_ = context_.Now();
  }
  if (worker.silent && IsFromCurrentLife(worker, answer)) {
    ReportNoCrash(worker);
    worker.silent = false;
    context_.Log("worker", "event=worker_answers worker={} runs={} clock_ms={} deadline_ms={}", worker.entry.id,
                 worker.placed.size(), Millis(answer.worker_clock), Millis(worker.latest_deadline_));
    listener_.OnChanged(worker);
  }
  return true;
}

// An answer that does not name its life may come from a later one. Its clock started anew, after the lists of the
// current life were requested.
bool WorkerTable::IsFromCurrentLife(const Worker& worker, const OrderAnswer& answer) const {
  const bool bears_its_clock = worker.lists_clock_ > Duration(0) && answer.worker_clock >= worker.lists_clock_;
  return answer.born_ms != 0 || (bears_its_clock && answer.worker_clock > context_.Now() - worker.lists_requested_at_);
}

bool WorkerTable::IsFromKnownLife(const Worker& worker, const OrderAnswer& answer) const {
  return answer.born_ms != 0 ? answer.born_ms <= worker.entry.born_ms : IsFromCurrentLife(worker, answer);
}

void WorkerTable::RecordStartDelay(Duration delay) {
  start_delay_ = (start_delay() * (kStartDelaySmoothing - 1) + delay) / kStartDelaySmoothing;
  start_delay_updated_at_ = context_.Now();
}

Duration WorkerTable::start_delay() const {
  return context_.Now() - start_delay_updated_at_ < kStartDelayValidity ? start_delay_ : Duration(0);
}

void WorkerTable::MarkSilent(Worker& worker, const OrderAnswer& answer) {
  if (worker.silent) {
    return;
  }
  worker.silent = true;
  worker.silent_since_ = context_.Now();
  context_.counters.Add("worker_silences");
  const bool refused = answer.reason == UnansweredReason::kConnectionRefused;
  context_.Log("worker", "event=worker_silent worker={} status={} connection_refused={} runs={} surely_over_in_ms={}",
               worker.entry.id, NameOf(answer.status), refused, worker.placed.size(),
               Millis(std::max(Duration(0), worker.lease_until_ - context_.Now())));
  // Also if it refused: a process that crashes soon after a new connection looks the same.
  listener_.OnSilent(worker, RunsAtCrash(worker));
  listener_.OnChanged(worker);
}

// Called when no run of this owner is left on the worker: until it answers again it need not be in the roster, where
// the next owner would wait for it.
void WorkerTable::Retire(Worker& worker) {
  worker.hold_confirmed = false;
  listener_.OnRetired(worker);
}

// A missing entry may be due to a store outage, except for a worker that announced its departure by draining.
bool WorkerTable::HasDeparted(const Worker& worker, TimePoint now) const {
  const bool unlisted_for_good =
      !worker.listed && (worker.entry.draining || now - worker.unlisted_since > kUnlistedGrace);
  return worker.hold_confirmed && worker.silent && unlisted_for_good && !HasRuns(worker);
}

// Runs whose start may still be carried out by a life that does not answer stay until that is over, too.
void WorkerTable::LapseRuns(Worker& worker, TimePoint now) {
  const bool lapses = worker.unsettled || HasRuns(worker);
  if (lapses) {
    context_.Log("worker", "event=worker_lapsed worker={} runs_lost={} deadline_ms={}", worker.entry.id,
                 worker.placed.size(), Millis(worker.latest_deadline_));
    for (CrashedRun run : RunsAtCrash(worker)) {
      run.certain = false;
      worker.lapsed_.push_back(run);
    }
  }
  std::vector<RunRef> runs;
  std::transform(worker.placed.begin(), worker.placed.end(), std::back_inserter(runs),
                 [](const auto& each) { return each.first; });
  for (const RunRef& run : runs) {
    const auto placed = worker.placed.find(run);
    if (placed == worker.placed.end()) {
      continue;  // Removed by a listener.
    }
    const GoneReason reason = placed->second.over   ? placed->second.over_reason
                              : placed->second.sent ? GoneReason::kLeaseExpired
                                                    : GoneReason::kNeverRan;
    if (now <= OverAt(worker, placed->second)) {
      MarkOver(worker, run, reason);
      continue;
    }
    RemoveRun(worker, run);
    listener_.OnGone(worker, run, reason);
  }
  if (lapses) {
    MarkSettled(worker);
    Retire(worker);
  }
}

void WorkerTable::Sweep() {
  const TimePoint now = context_.Now();
  std::vector<std::string> forgotten;
  for (const auto& [id, each] : workers_) {
    Worker& worker = *each;
    const bool others_are_over = !IsInDoubt() && (!worker.unsettled || now > InheritedRunsOverAt());
    if ((worker.silent || !worker.hold_confirmed) && now > worker.lease_until_ && others_are_over &&
        (worker.unsettled || !worker.placed.empty())) {
      LapseRuns(worker, now);
    } else if (HasDeparted(worker, now)) {
      Retire(worker);
    }
    if (!worker.listed && worker.placed.empty() && !worker.unsettled &&
        now - worker.unlisted_since > kUnlistedRetention) {
      forgotten.push_back(id);
    }
  }
  for (const std::string& id : forgotten) {
    by_number_.erase(workers_.at(id)->number);
    workers_.erase(id);
    context_.Log("worker", "event=worker_forgotten worker={}", id);
  }
}

}  // namespace hibiscus::cell
