#include "cell/worker_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kHold = 4500ms;      // Outlasts a takeover: an owner's lease, its successor's claim and first hold.
constexpr Duration kHoldWait = 1s;      // A hold waits so long for an end; also how fast a dead worker is noticed.
constexpr Duration kHoldAgain = 400ms;  // While ends wait for the store.
constexpr Duration kSilentAgain = 300ms;     // A silent worker is asked again.
constexpr Duration kStopAgain = 300ms;       // A stop without an answer.
constexpr Duration kStartDeadline = 1500ms;  // A start that arrives later is refused.
constexpr Duration kLookAfter = 250ms;  // A start without an answer is looked for: ten usual answers between regions.
constexpr Duration kAvoidFor = 700ms;   // A worker that refused work is left alone.
constexpr Duration kUnlistedGrace = 2500ms;  // Entries come back within about two seconds of the store's return.
constexpr Duration kForgetAfter = 15s;       // An unlisted worker that holds nothing.
constexpr Duration kLatestArrival = 15s;     // An order without an answer may be carried out so much later.
constexpr int kDelaySmoothing = 32;     // Weight of what was known against the newest: one slow worker says little.
constexpr Duration kDelayKept = 1s;     // Without a start for so long, nothing is known of the delay.
constexpr double kSlowestClock = 0.98;  // A worker's clock runs at least so fast; the platform's bound.
constexpr Duration kClockSlack = 50ms;  // Rounding of clocks to milliseconds, and the kill itself.

Duration OnSlowestClock(Duration worker_time) {
  return Duration(static_cast<int64_t>(static_cast<double>(worker_time.count()) / kSlowestClock));
}

}  // namespace

const char* NameOf(GoneReason reason) {
  switch (reason) {
    case GoneReason::kNeverRan:
      return "never_ran";
    case GoneReason::kLapsed:
      return "hold_lapsed";
    case GoneReason::kNewLife:
      return "worker_restarted";
    case GoneReason::kVanished:
      return "not_listed";
  }
  return "?";
}

bool Worker::UsableAt(TimePoint now) const {
  const bool entry_good = listed || now - unlisted_since < kUnlistedGrace;
  return entry_good && unsized_ == 0 && !entry.draining && held && !silent && rostered && !unsettled &&
         now >= avoid_until;
}

Duration Worker::ClockAt(TimePoint now) const {
  return clock_ + (now - clock_read_);
}

WorkerTable::WorkerTable(Context& context, WorkerPort& orders, uint64_t token, Listener& listener)
    : context_(context), orders_(orders), token_(token), listener_(listener) {}

WorkerTable::~WorkerTable() {
  *alive_ = false;
}

Worker* WorkerTable::FindNumber(size_t number) {
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
    if (worker->held || worker->unsettled) {
      roster.push_back(WorkerInstanceRecord{id, worker->entry.address, worker->entry.born_ms});
    } else {
      worker->rostered = false;  // From now on: the roster that leaves it out may stand before its answer is here.
    }
  }
  return roster;
}

std::unique_ptr<Worker> WorkerTable::MakeWorker() {
  auto worker = std::make_unique<Worker>(++last_number_);
  by_number_[last_number_] = worker.get();
  return worker;
}

void WorkerTable::AddFromRoster(const WorkerInstanceRecord& life) {
  std::unique_ptr<Worker>& slot = workers_[life.id];
  if (slot == nullptr) {
    slot = MakeWorker();
    slot->entry.id = life.id;
    slot->entry.address = life.address;
    slot->entry.born_ms = life.born_ms;
    slot->unlisted_since = context_.Now() - kUnlistedGrace;
    HoldIn(*slot, 0us);
  }
  if (slot->entry.born_ms != life.born_ms) {
    return;  // A newer life is listed: nothing of the old one is left.
  }
  slot->unsettled = true;
  ++unsettled_;
  slot->lease_until_ = context_.Now() + OnSlowestClock(context_.settings.max_hold) + kClockSlack;
}

void WorkerTable::OnEntry(const WorkerEntry& entry) {
  std::unique_ptr<Worker>& slot = workers_[entry.id];
  if (slot == nullptr) {
    slot = MakeWorker();
    slot->entry = entry;
    slot->listed = true;
    HoldIn(*slot, 0us);
    return;
  }
  Worker& worker = *slot;
  const bool new_life = entry.born_ms > worker.entry.born_ms;
  if (entry.born_ms < worker.entry.born_ms) {
    return;  // Written by a life that is over.
  }
  worker.listed = true;
  const bool changed = !(worker.entry == entry);
  worker.entry = entry;
  if (new_life) {
    BeginLife(worker, entry.born_ms);
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

// Nothing that ran in an earlier life is left, and its counts start anew. Starts that it never confirmed may still
// arrive, in this life.
void WorkerTable::BeginLife(Worker& worker, int64_t born_ms) {
  context_.Log("worker", "event=new_life worker={} born_ms={} runs_lost={}", worker.entry.id, born_ms,
               worker.placed.size());
  worker.entry.born_ms = born_ms;
  worker.held = false;
  worker.rostered = false;
  worker.silent = false;
  worker.clock_known_ = false;
  worker.lists_at_ = Duration(0);
  worker.processed_ = 0;
  worker.acknowledged_ = 0;
  worker.lease_until_ = TimePoint{};
  std::erase_if(worker.unanswered_, [&](const auto& each) { return context_.Now() - each.second > kLatestArrival; });
  for (const auto& [run, noted] : worker.unanswered_) {
    worker.to_void_.insert(run);
  }
  std::vector<RunRef> unconfirmed;
  std::vector<RunRef> lost;
  for (const auto& [run, placed] : worker.placed) {
    (placed.confirmed ? lost : unconfirmed).push_back(run);
  }
  if (!unconfirmed.empty()) {
    worker.lease_until_ = context_.Now() + OnSlowestClock(context_.settings.max_hold) + kClockSlack;
  }
  for (const RunRef& run : unconfirmed) {
    Placed& placed = worker.placed[run];
    placed.phase = placed.phase == PlacedPhase::kStopping ? placed.phase : PlacedPhase::kUnsure;
    placed.gone_after = Duration::max();  // Until a stop is answered.
    SendStop(worker, run);
  }
  for (const RunRef& run : lost) {
    Release(worker, run);
    listener_.OnGone(worker, run, GoneReason::kNewLife);
  }
  Settle(worker);
  HoldIn(worker, 0us);
}

void WorkerTable::LoseAll(Worker& worker, GoneReason reason) {
  while (!worker.placed.empty()) {
    const RunRef run = worker.placed.begin()->first;
    if (!worker.placed.begin()->second.confirmed) {
      worker.unanswered_[run] = context_.Now();
    }
    Release(worker, run);
    listener_.OnGone(worker, run, reason);
  }
}

// Stops what was given up while the worker was silent: it may answer in a new life, on whose clock those starts are not
// late.
void WorkerTable::VoidStarts(Worker& worker) {
  for (const RunRef& run : worker.to_void_) {
    orders_.Stop(TargetOf(worker), run, token_,
                 [this, alive = alive_, id = worker.entry.id, run](const OrderAnswer& answer) {
                   Worker* found = *alive ? Find(id) : nullptr;
                   if (found != nullptr && answer.status == OrderStatus::kOk) {
                     found->to_void_.erase(run);
                   }
                 });
  }
}

void WorkerTable::Settle(Worker& worker) {
  if (worker.unsettled) {
    worker.unsettled = false;
    --unsettled_;
    listener_.OnSettled(worker);
  }
}

void WorkerTable::Place(Worker& worker, const RunRef& run, const Placed& placed) {
  worker.placed[run] = placed;
  worker.used_ += placed.size;
  worker.unsized_ += placed.sized ? 0 : 1;
}

void WorkerTable::Release(Worker& worker, const RunRef& run) {
  const auto found = worker.placed.find(run);
  if (found != worker.placed.end()) {
    worker.used_ -= found->second.size;
    worker.unsized_ -= found->second.sized ? 0 : 1;
    worker.placed.erase(found);
  }
}

void WorkerTable::Allow(Worker& worker, Duration deadline) {
  const TimePoint over = worker.clock_read_ + OnSlowestClock(deadline - worker.clock_) + kClockSlack;
  worker.lease_until_ = std::max(worker.lease_until_, over);
}

// --- Holds ---

void WorkerTable::HoldIn(Worker& worker, Duration delay) {
  const uint64_t timer = ++worker.hold_timer_;
  context_.timers.In(delay, [this, alive = alive_, id = worker.entry.id, timer] {
    Worker* found = *alive ? Find(id) : nullptr;
    if (found != nullptr && found->hold_timer_ == timer && !found->holding_) {
      SendHold(*found);
    }
  });
}

void WorkerTable::SendHold(Worker& worker) {
  const TimePoint now = context_.Now();
  HoldOrder order{token_, worker.acknowledged_, 0us, 0us};
  if (worker.clock_known_ && !worker.silent) {
    order.deadline = worker.ClockAt(now) + std::min(kHold, context_.settings.max_hold);
    Allow(worker, order.deadline);
  }
  if (worker.held && !worker.silent && worker.processed_ == worker.acknowledged_) {
    order.wait = kHoldWait;
  }
  worker.holding_ = true;
  context_.counters.Add("worker_holds");
  orders_.Hold(TargetOf(worker), order, [this, alive = alive_, id = worker.entry.id](const OrderAnswer& answer) {
    Worker* found = *alive ? Find(id) : nullptr;
    if (found != nullptr) {
      OnHoldAnswer(*found, answer);
    }
  });
}

void WorkerTable::OnHoldAnswer(Worker& worker, const OrderAnswer& answer) {
  worker.holding_ = false;
  if (!NoteAnswer(worker, answer)) {
    HoldIn(worker, kSilentAgain);
    return;
  }
  if (answer.status == OrderStatus::kFenced) {
    listener_.OnFenced();
    return;
  }
  if (answer.status != OrderStatus::kOk) {
    HoldIn(worker, kSilentAgain);
    return;
  }
  const bool first = !worker.held;
  worker.held = true;
  VoidStarts(worker);
  if (!TakeLists(worker, answer)) {
    return;
  }
  Settle(worker);
  if (first) {
    listener_.OnChanged(worker);
  }
  const bool waits = worker.processed_ > worker.acknowledged_;
  HoldIn(worker, waits ? kHoldAgain : 0us);
}

bool WorkerTable::TakeLists(Worker& worker, const OrderAnswer& answer) {
  if (answer.worker_clock < worker.lists_at_) {
    return true;  // Overtaken by newer lists on another connection.
  }
  worker.lists_at_ = answer.worker_clock;
  const std::shared_ptr<bool> alive = alive_;
  const int64_t seen = worker.processed_;
  TakeEnded(worker, answer);
  TakeRunning(worker, answer);
  if (answer.ended.size() < kMaxEndedRuns) {
    TakeAbsent(worker, answer);
  }
  if (!*alive) {
    return false;
  }
  if (worker.processed_ > seen) {
    listener_.OnEndsSeen(worker);
  }
  return true;
}

void WorkerTable::TakeEnded(Worker& worker, const OrderAnswer& answer) {
  for (const EndedRun& row : answer.ended) {
    if (row.number <= worker.processed_) {
      continue;
    }
    worker.processed_ = row.number;
    Release(worker, row.run);
    listener_.OnEnded(worker, row);
  }
}

void WorkerTable::TakeRunning(Worker& worker, const OrderAnswer& answer) {
  for (const RunningRun& row : answer.running) {
    const auto found = worker.placed.find(row.run);
    if (found != worker.placed.end()) {
      found->second.confirmed = true;
      if (found->second.phase == PlacedPhase::kStarting) {
        found->second.phase = PlacedPhase::kRunning;
        found->second.gone_after = answer.worker_clock;
        listener_.OnStarted(worker, row.run);
      }
      listener_.OnRunning(worker, row);
      continue;
    }
    std::optional<Resources> size;
    const bool keep = listener_.OnFound(worker, row, size);
    Place(worker, row.run,
          Placed{size.value_or(Resources{}), PlacedPhase::kRunning, answer.worker_clock, context_.Now(), true,
                 size.has_value()});
    if (!keep) {
      Stop(worker, row.run);
    }
  }
}

void WorkerTable::TakeAbsent(Worker& worker, const OrderAnswer& answer) {
  std::set<RunRef> running;
  for (const RunningRun& row : answer.running) {
    running.insert(row.run);
  }
  std::vector<RunRef> absent;
  for (const auto& [run, placed] : worker.placed) {
    if (answer.worker_clock > placed.gone_after && !running.contains(run)) {
      absent.push_back(run);
    }
  }
  for (const RunRef& run : absent) {
    const bool was_running = worker.placed[run].confirmed;
    Release(worker, run);
    listener_.OnGone(worker, run, was_running ? GoneReason::kVanished : GoneReason::kNeverRan);
  }
}

void WorkerTable::Acknowledge(const std::string& id, int64_t born_ms, int64_t number) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->entry.born_ms != born_ms || number <= worker->acknowledged_) {
    return;
  }
  worker->acknowledged_ = number;
  if (!worker->holding_) {
    HoldIn(*worker, 0us);
  }
}

// --- Orders ---

void WorkerTable::Start(Worker& worker, StartOrder order, const Resources& size) {
  const TimePoint now = context_.Now();
  order.token = token_;
  order.deadline = worker.ClockAt(now) + kStartDeadline;
  Allow(worker, order.deadline);
  Place(worker, order.run, Placed{size, PlacedPhase::kStarting, order.deadline, now, false});
  context_.timers.In(kLookAfter, [this, alive = alive_, id = worker.entry.id, run = order.run] {
    Worker* found = *alive ? Find(id) : nullptr;
    const bool there = found != nullptr && found->placed.contains(run);
    if (there && found->placed[run].phase == PlacedPhase::kStarting && !found->silent) {
      LookAfterStart(*found, run);
    }
  });
  orders_.Start(TargetOf(worker), order,
                [this, alive = alive_, id = worker.entry.id, born = worker.entry.born_ms,
                 run = order.run](const OrderAnswer& answer) {
                  Worker* found = *alive ? Find(id) : nullptr;
                  if (found != nullptr && found->entry.born_ms == born) {
                    OnStartAnswer(*found, run, answer);
                  }
                });
}

void WorkerTable::OnStartAnswer(Worker& worker, const RunRef& run, const OrderAnswer& answer) {
  context_.counters.Add(fmt::format("worker_starts{{status=\"{}\"}}", NameOf(answer.status)));
  const bool heard = NoteAnswer(worker, answer);
  const auto found = worker.placed.find(run);
  if (heard && found != worker.placed.end()) {
    NoteStartDelay(context_.Now() - found->second.since);
  }
  if (found == worker.placed.end()) {
    return;  // Its end was listed before, or a new life has begun.
  }
  Placed& placed = found->second;
  if (answer.status == OrderStatus::kOk) {
    placed.gone_after = answer.worker_clock;
    placed.confirmed = true;
    if (placed.phase == PlacedPhase::kStarting) {
      placed.phase = PlacedPhase::kRunning;
      listener_.OnStarted(worker, run);
    }
    return;
  }
  if (IsDefinitelyNotExecuted(answer.status) && placed.phase != PlacedPhase::kRunning) {
    if (answer.status != OrderStatus::kNoTicket && answer.status != OrderStatus::kStale) {
      worker.avoid_until = context_.Now() + kAvoidFor;
    }
    Release(worker, run);
    listener_.OnRefused(worker, run, answer.status);
    if (answer.status == OrderStatus::kFenced) {
      listener_.OnFenced();
    }
    return;
  }
  if (!heard && placed.phase == PlacedPhase::kStarting) {
    // It may be running while only answers are lost. The lists tell: once its deadline has passed on the worker's
    // clock, a start that they lack never ran.
    worker.unanswered_[run] = context_.Now();
    context_.Log("worker", "event=start_unanswered worker={} job={} step={} index={} run={}", worker.entry.id,
                 run.task.job, run.task.step, run.task.index, run.run);
  }
}

// The start had no answer: it is made void, and the task may go elsewhere once that is sure.
void WorkerTable::GiveUpStart(Worker& worker, const RunRef& run) {
  worker.placed[run].phase = PlacedPhase::kUnsure;
  worker.unanswered_[run] = context_.Now();
  context_.Log("worker", "event=start_given_up worker={} job={} step={} index={} run={}", worker.entry.id, run.task.job,
               run.task.step, run.task.index, run.run);
  SendStop(worker, run);
}

// Its answer is overdue: the lists tell whether it was carried out and only the answer was lost.
void WorkerTable::LookAfterStart(Worker& worker, const RunRef& run) {
  context_.counters.Add("worker_looks_after_starts");
  orders_.Hold(
      TargetOf(worker), HoldOrder{token_, worker.acknowledged_, 0us, 0us},
      [this, alive = alive_, id = worker.entry.id, born = worker.entry.born_ms, run](const OrderAnswer& answer) {
        Worker* found = *alive ? Find(id) : nullptr;
        if (found == nullptr || found->entry.born_ms != born || answer.status != OrderStatus::kOk ||
            !NoteAnswer(*found, answer)) {
          return;  // The start's own time-out decides.
        }
        if (!TakeLists(*found, answer)) {
          return;
        }
        const auto placed = found->placed.find(run);
        if (placed != found->placed.end() && placed->second.phase == PlacedPhase::kStarting) {
          GiveUpStart(*found, run);
        }
      });
}

void WorkerTable::Stop(Worker& worker, const RunRef& run) {
  const auto found = worker.placed.find(run);
  if (found == worker.placed.end() || found->second.phase == PlacedPhase::kStopping) {
    return;
  }
  const bool stop_under_way = found->second.phase == PlacedPhase::kUnsure;
  found->second.phase = PlacedPhase::kStopping;
  if (!stop_under_way) {
    SendStop(worker, run);
  }
}

// Sent again until it is answered or the run is over.
void WorkerTable::SendStop(Worker& worker, const RunRef& run) {
  orders_.Stop(
      TargetOf(worker), run, token_,
      [this, alive = alive_, id = worker.entry.id, born = worker.entry.born_ms, run](const OrderAnswer& answer) {
        Worker* found = *alive ? Find(id) : nullptr;
        if (found == nullptr || found->entry.born_ms != born) {
          return;
        }
        NoteAnswer(*found, answer);
        const auto placed = found->placed.find(run);
        if (placed == found->placed.end()) {
          return;
        }
        if (answer.status == OrderStatus::kOk) {
          placed->second.gone_after = answer.worker_clock;
          return;
        }
        if (answer.status == OrderStatus::kFenced) {
          listener_.OnFenced();
          return;
        }
        context_.timers.In(kStopAgain, [this, alive, id, born, run] {
          Worker* again = *alive ? Find(id) : nullptr;
          if (again != nullptr && again->entry.born_ms == born && again->placed.contains(run)) {
            SendStop(*again, run);
          }
        });
      });
}

// False if there was no answer, or it is of another life.
bool WorkerTable::NoteAnswer(Worker& worker, const OrderAnswer& answer) {
  if (answer.status == OrderStatus::kUnknown || answer.status == OrderStatus::kNotSent ||
      answer.status == OrderStatus::kOtherInstance) {
    NoteSilence(worker);
    return false;
  }
  if (answer.born_ms != 0 && answer.born_ms != worker.entry.born_ms) {
    if (answer.born_ms > worker.entry.born_ms) {
      worker.listed = false;  // Its entry may describe the life that is over: this one may be of another kind.
      worker.unlisted_since = context_.Now() - kUnlistedGrace;
      BeginLife(worker, answer.born_ms);
    }
    return false;
  }
  if (answer.worker_clock > Duration(0) && (!worker.clock_known_ || answer.worker_clock > worker.clock_)) {
    worker.clock_known_ = true;
    worker.clock_ = answer.worker_clock;
    worker.clock_read_ = context_.Now();
  }
  if (worker.silent) {
    worker.silent = false;
    context_.Log("worker", "event=worker_answers worker={} runs={}", worker.entry.id, worker.placed.size());
    listener_.OnChanged(worker);
  }
  return true;
}

void WorkerTable::NoteStartDelay(Duration delay) {
  start_delay_ = (start_delay() * (kDelaySmoothing - 1) + delay) / kDelaySmoothing;
  start_delay_noted_ = context_.Now();
}

Duration WorkerTable::start_delay() const {
  return context_.Now() - start_delay_noted_ < kDelayKept ? start_delay_ : Duration(0);
}

void WorkerTable::NoteSilence(Worker& worker) {
  if (worker.silent) {
    return;
  }
  worker.silent = true;
  context_.counters.Add("worker_silences");
  context_.Log("worker", "event=worker_silent worker={} runs={} surely_over_in_ms={}", worker.entry.id,
               worker.placed.size(), Millis(std::max(Duration(0), worker.lease_until_ - context_.Now())));
  listener_.OnChanged(worker);
}

// Nothing of this owner's runs there: until it answers again it need not stand in the roster, where the next owner
// would wait for it.
void WorkerTable::Retire(Worker& worker) {
  worker.held = false;
  listener_.OnRetired(worker);
}

// Its entry may also be gone because the store was away; not that of a worker that had said it would leave.
bool WorkerTable::HasLeft(const Worker& worker, TimePoint now) const {
  const bool unlisted_for_good =
      !worker.listed && (worker.entry.draining || now - worker.unlisted_since > kUnlistedGrace);
  return worker.held && worker.silent && unlisted_for_good && worker.placed.empty();
}

void WorkerTable::Sweep() {
  const TimePoint now = context_.Now();
  std::vector<std::string> forgotten;
  for (const auto& [id, each] : workers_) {
    Worker& worker = *each;
    if ((worker.silent || !worker.held) && now > worker.lease_until_ && (worker.unsettled || !worker.placed.empty())) {
      context_.Log("worker", "event=worker_lapsed worker={} runs_lost={}", id, worker.placed.size());
      LoseAll(worker, GoneReason::kLapsed);
      Settle(worker);
      Retire(worker);
    } else if (HasLeft(worker, now)) {
      Retire(worker);
    }
    if (!worker.listed && worker.placed.empty() && !worker.unsettled && now - worker.unlisted_since > kForgetAfter) {
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
