// What starts where. One pass goes through all open steps that have waiting tasks: in the order of their queues'
// priority, then of what is due first; jobs whose objective is long past come last. A gang that does not fit keeps
// room. A pass touches what its steps may use: workers that the advice service was asked about, and of the others only
// as many of the freest as would be asked about next.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kPassDelay = 3ms;       // Gathers what comes together: ends of a gang, answers of one round.
constexpr Duration kTellEvery = 1s;        // Between two lines on what waits.
constexpr int kPassShare = 4;              // Passes take at most one part in so many and one of the thread's time.
constexpr Duration kTicketMargin = 250ms;  // A start takes this long at most on its way; a ticket must outlast it.
constexpr double kMostKeptShare = 0.5;     // Of the workers a gang may use: more room is never kept idle.
constexpr double kMostlyFree = 0.4;        // Share of the room: no work may wait for long then.
constexpr int kTwiceOver = 2;              // So often a gang must fit to start on room that is kept for others.
constexpr size_t kSpareAsked = 2;          // Workers asked about beyond those that are needed.
constexpr int kWorthlessAfter = 3;         // Objectives: a job older than this counts for nobody any more.

constexpr size_t kNotUsable = std::numeric_limits<size_t>::max();

}  // namespace

void Owner::ScheduleSoon() {
  if (schedule_soon_) {
    return;
  }
  schedule_soon_ = true;
  // A pass over a long queue takes long: the thread must get to its other work between two of them.
  context_.timers.In(std::max(kPassDelay, pass_takes_ * kPassShare), [this, alive = alive_] {
    if (*alive) {
      schedule_soon_ = false;
      Schedule();
    }
  });
}

void Owner::Schedule() {
  finished_occurrences_.clear();
  if (!loaded_ || closing_ || deposed_once_) {
    return;
  }
  const TimePoint begin = context_.Now();
  kept_before_.assign(workers_.last_number() + 1, false);
  for (size_t i = 0; i < kept_.size(); ++i) {
    kept_before_[i] = kept_[i] != nullptr;
  }
  kept_.assign(workers_.last_number() + 1, nullptr);
  kept_count_ = 0;
  LookAtRooms();
  const std::vector<StepRun*> waiting = WaitingInOrder();
  for (StepRun* step : waiting) {
    if (step->spec->gang) {
      PlaceGang(*step);
    } else {
      PlaceSingles(*step);
    }
  }
  pass_takes_ = context_.Now() - begin;
  context_.counters.Add("placement_passes");
  context_.counters.Add("placement_workers_viewed", static_cast<double>(std::exchange(workers_viewed_, 0)));
  if (begin - told_at_ > kTellEvery) {
    told_at_ = begin;
    TellWaiting(waiting);
  }
}

// Why work waits, in figures: what is free, and what of it is kept.
void Owner::TellWaiting(const std::vector<StepRun*>& waiting) {
  int gangs = 0;
  int tasks = 0;
  int asking = 0;
  for (const StepRun* step : waiting) {
    gangs += step->spec->gang && step->waiting > 0 ? 1 : 0;
    tasks += step->spec->gang ? 0 : step->waiting;
    asking += step->advice.asking > 0 ? 1 : 0;
  }
  int64_t capacity = 0;
  int64_t unused = 0;
  for (const Usable& usable : usable_) {
    capacity += usable.worker->entry.capacity.cpu_millis;
    unused += usable.worker->free().cpu_millis;
  }
  context_.Log("placement",
               "event=waiting gangs={} tasks={} asking={} questions_in_line={} workers_usable={} workers_kept={} "
               "free_percent={} pass_us={}",
               gangs, tasks, asking, advice_.in_line(), usable_.size(), kept_count_,
               capacity == 0 ? 0 : 100 * unused / capacity, pass_takes_.count());
}

void Owner::LookAtRooms() {
  usable_.clear();
  reserved_.resize(workers_.last_number() + 1);
  const TimePoint now = context_.Now();
  Resources free;
  Resources capacity;
  const bool none_bad = quarantine_.quarantined().empty();
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker->UsableAt(now)) {
      const Resources left = worker->free();
      usable_.push_back(Usable{worker.get(), !none_bad && quarantine_.IsQuarantined(id), left.cpu_millis});
      free += left;
      capacity += worker->entry.capacity;
    }
  }
  std::sort(usable_.begin(), usable_.end(), [](const Usable& a, const Usable& b) {
    return a.free_cpu_millis != b.free_cpu_millis ? a.free_cpu_millis > b.free_cpu_millis
                                                  : a.worker->number < b.worker->number;
  });
  usable_at_.assign(workers_.last_number() + 1, kNotUsable);
  for (size_t i = 0; i < usable_.size(); ++i) {
    usable_at_[usable_[i].worker->number] = i;
  }
  const auto enough = [](int64_t part, int64_t whole) {
    return static_cast<double>(part) >= kMostlyFree * static_cast<double>(whole);
  };
  mostly_free_ = enough(free.cpu_millis, capacity.cpu_millis) && enough(free.memory_mb, capacity.memory_mb);
}

const Owner::Usable* Owner::UsableAt(size_t number) const {
  const size_t place = number < usable_at_.size() ? usable_at_[number] : kNotUsable;
  return place == kNotUsable ? nullptr : &usable_[place];
}

void Owner::SetQueue(Job& job, const QueueSpec& queue) {
  job.queue = queue;
  job.chain = LongestChain(job.record.spec);
  job.objective =
      queue.target_latency + Duration(static_cast<int64_t>(queue.stretch * static_cast<double>(job.chain.count())));
}

std::vector<StepRun*> Owner::WaitingInOrder() {
  struct Place {
    bool worthless = false;
    int priority = 0;
    bool late = false;  // It cannot be in time any more.
    TimePoint due;
    StepRun* step = nullptr;
  };
  std::vector<Place> places;
  const TimePoint now = context_.Now();
  for (const auto& [id, job] : jobs_) {
    // A task of an earlier owner may be running on a worker that has not answered yet.
    const bool may_run_elsewhere = job->record.epoch != ownership_.epoch && workers_.AnyUnsettled();
    if (job->final || !job->spec_stored || may_run_elsewhere) {
      continue;
    }
    const Duration objective = job->objective;
    const bool worthless = now - job->accepted_at > objective * kWorthlessAfter;
    const bool late = now - job->accepted_at + job->chain > objective;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        const bool gang_partly_out = step->spec->gang && step->waiting < step->spec->count;
        if (step->open && step->waiting > 0 && !step->gang_ending && !gang_partly_out) {
          places.push_back(Place{worthless, job->queue.priority, late, job->accepted_at + objective, step.get()});
        }
      }
    }
  }
  std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
    return std::tie(a.worthless, a.priority, a.late, a.due, a.step->job->id(), a.step->step) <
           std::tie(b.worthless, b.priority, b.late, b.due, b.step->job->id(), b.step->step);
  });
  std::vector<StepRun*> steps;
  steps.reserve(places.size());
  for (const Place& place : places) {
    steps.push_back(place.step);
  }
  return steps;
}

// --- Rooms ---

bool Owner::IsEligible(const StepRun& step, const Worker& worker) const {
  const std::string& label = step.spec->required_label;
  return worker.entry.service == step.job->queue.service && SizeOf(step).FitsIn(worker.entry.capacity) &&
         (label.empty() || worker.entry.HasLabel(label));
}

std::vector<Worker*> Owner::NeverAsked(const StepRun& step, size_t most, const Resources& least_free) const {
  std::vector<Worker*> workers;
  for (const Usable& usable : usable_) {
    if (workers.size() >= most || usable.free_cpu_millis < least_free.cpu_millis) {
      break;
    }
    ++workers_viewed_;
    if (least_free.FitsIn(usable.worker->free()) && !step.advice.permits.contains(usable.worker->number) &&
        IsEligible(step, *usable.worker)) {
      workers.push_back(usable.worker);
    }
  }
  return workers;
}

RoomView Owner::ViewOf(const StepRun& step, const Worker& worker) const {
  RoomView view;
  view.capacity = worker.entry.capacity;
  view.free = worker.free() - reserved_[worker.number];
  if (!step.reserved.empty()) {
    const auto own = step.reserved.find(worker.number);
    for (int i = 0; own != step.reserved.end() && i < own->second; ++i) {
      view.free += SizeOf(step);
    }
  }
  view.rack = worker.entry.rack();
  if (step.spec->most_per_worker > 0) {
    const auto there = step.on_worker.find(worker.entry.id);
    view.already_there = there == step.on_worker.end() ? 0 : there->second;
  }
  view.kept = worker.number < kept_before_.size() && kept_before_[worker.number];
  view.preferred = !step.spec->data_rack.empty() && worker.entry.HasLabel(step.spec->data_rack);
  return view;
}

bool Owner::IsKeptByOther(const StepRun& step, const Worker& worker) const {
  const StepRun* kept = worker.number < kept_.size() ? kept_[worker.number] : nullptr;
  return kept != nullptr && kept != &step;
}

bool Owner::HasTicket(const StepRun& step, const Worker& worker) const {
  if (!step.job->queue.advice) {
    return true;
  }
  const StepAdvice::Permit& permit = step.advice.For(worker.number);
  return permit.word == StepAdvice::Word::kAllowed && permit.valid_until > context_.Now();
}

// --- Single tasks ---

void Owner::PlaceSingles(StepRun& step) {
  const bool advised = step.job->queue.advice.has_value();
  if (advised && !step.advice.known) {
    AskFirst(step);
    return;
  }
  const RoomNeed need{SizeOf(step), step.spec->most_per_worker};
  TryProbe(step);
  auto [rooms, without_ticket] = SingleRoomsFor(step, need);
  for (int i = 0; i < step.spec->count && step.waiting > 0; ++i) {
    if (step.tasks[static_cast<size_t>(i)].phase != TaskPhase::kWaiting) {
      continue;
    }
    const std::optional<size_t> best = TightestFit(rooms.views, need);
    if (!best) {
      break;
    }
    StartTask(step, i, *rooms.workers[*best]);
    rooms.views[*best].free -= need.size;
    ++rooms.views[*best].already_there;
  }
  if (step.waiting > 0) {
    AskAgain(step, without_ticket);
  }
}

void Owner::ForEachAllowed(const StepRun& step, const std::function<void(const Usable&)>& take) const {
  if (!step.job->queue.advice) {
    std::for_each(usable_.begin(), usable_.end(), take);
    return;
  }
  for (const auto& [number, permit] : step.advice.permits) {
    const Usable* usable = permit.word == StepAdvice::Word::kAllowed ? UsableAt(number) : nullptr;
    if (usable != nullptr) {
      take(*usable);
    }
  }
}

Owner::SingleRooms Owner::SingleRoomsFor(const StepRun& step, const RoomNeed& need) const {
  SingleRooms found;
  const auto take = [&](const Usable& usable) {
    ++workers_viewed_;
    Worker& worker = *usable.worker;
    const bool kept = IsKeptByOther(step, worker) && !mostly_free_;
    if (usable.quarantined || kept || !need.size.FitsIn(worker.free()) || !IsEligible(step, worker)) {
      return;
    }
    const RoomView view = ViewOf(step, worker);
    if (SlotsOf(view, need) == 0) {
      return;
    }
    if (HasTicket(step, worker)) {
      found.rooms.Add(&worker, view);
    } else {
      found.without_ticket.push_back(&worker);
    }
  };
  ForEachAllowed(step, take);
  if (!step.job->queue.advice) {
    return found;
  }
  for (Worker* worker : NeverAsked(step, kMostAskedWorkers, need.size)) {
    if (!UsableAt(worker->number)->quarantined && (!IsKeptByOther(step, *worker) || mostly_free_)) {
      found.without_ticket.push_back(worker);
    }
  }
  return found;
}

// One task goes to a quarantined worker whose time has come, to see whether it does its work again.
void Owner::TryProbe(StepRun& step) {
  for (const std::string& id : quarantine_.quarantined()) {
    Worker* worker = workers_.Find(id);
    const bool fits = worker != nullptr && worker->UsableAt(context_.Now()) && IsEligible(step, *worker) &&
                      HasTicket(step, *worker) && SizeOf(step).FitsIn(worker->free());
    if (fits && quarantine_.TakeProbe(id, context_.Now())) {
      const auto waits = std::find_if(step.tasks.begin(), step.tasks.end(),
                                      [](const TaskState& task) { return task.phase == TaskPhase::kWaiting; });
      context_.Log("worker", "event=probe worker={} job={} step={}", id, step.job->id(), step.step);
      StartTask(step, static_cast<int>(waits - step.tasks.begin()), *worker);
      return;
    }
  }
}

// Some workers have room, but their tickets are over or they were never asked about.
void Owner::AskAgain(StepRun& step, const std::vector<Worker*>& workers) {
  if (!IsWorthAsking(workers.size(), step.waiting, advice_.IsBusy(), context_.Now() - step.advice.asked_at)) {
    return;
  }
  const size_t most = static_cast<size_t>(step.waiting) + kSpareAsked;
  AskAdvice(step, std::vector<Worker*>(workers.begin(),
                                       workers.begin() + static_cast<std::ptrdiff_t>(std::min(workers.size(), most))));
}

// --- Gangs ---

Owner::GangRooms Owner::RoomsFor(const StepRun& step) const {
  GangRooms rooms;
  const auto take = [&](const Usable& usable) {
    ++workers_viewed_;
    Worker& worker = *usable.worker;
    if (usable.quarantined || !IsEligible(step, worker)) {
      return;
    }
    const RoomView view = ViewOf(step, worker);
    if (IsKeptByOther(step, worker) && !step.reserved.contains(worker.number)) {
      if (mostly_free_) {
        rooms.kept.Add(&worker, view);
      }
      return;
    }
    rooms.allowed.Add(&worker, view);
    if (HasTicket(step, worker)) {
      rooms.with_ticket.Add(&worker, view);
    }
  };
  ForEachAllowed(step, take);
  return rooms;
}

void Owner::PlaceGang(StepRun& step) {
  if (step.advice.asking > 0) {
    return;
  }
  if (step.job->queue.advice && !step.advice.known) {
    AskFirst(step);
    return;
  }
  const RoomNeed need{SizeOf(step), step.spec->most_per_worker};
  GangRooms rooms = RoomsFor(step);
  const auto starts_in = [&](const Rooms& where) {
    const std::vector<int> counts = FitGang(where.views, need, step.spec->count, step.spec->same_rack);
    if (!counts.empty()) {
      StartGang(step, where, counts);
    }
    return !counts.empty();
  };
  // Where tickets are at hand first: other rooms may fit better by now, but each further question takes as long again.
  if (starts_in(rooms.with_ticket)) {
    return;
  }
  const bool others_allowed = rooms.allowed.workers.size() > rooms.with_ticket.workers.size();
  if (others_allowed && starts_in(rooms.allowed)) {
    return;
  }
  if (!rooms.kept.workers.empty()) {
    // With so much free, those that the room is kept for wait for few single workers: this one need not.
    Rooms all = rooms.allowed;
    all.workers.insert(all.workers.end(), rooms.kept.workers.begin(), rooms.kept.workers.end());
    all.views.insert(all.views.end(), rooms.kept.views.begin(), rooms.kept.views.end());
    if (SlotsOf(all.views, need) >= kTwiceOver * step.spec->count && starts_in(all)) {
      return;
    }
  }
  KeepRoom(step, rooms.allowed);
  AskFurther(step);
}

// The gang fits. Its members start, or room is kept for them until there are tickets for all.
void Owner::StartGang(StepRun& step, const Rooms& rooms, const std::vector<int>& counts) {
  std::vector<Worker*> chosen;
  bool tickets = true;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      chosen.push_back(rooms.workers[i]);
      tickets = tickets && HasTicket(step, *rooms.workers[i]);
    }
  }
  if (!tickets) {
    AskAdvice(step, chosen);
    if (step.advice.asking > 0) {
      Reserve(step, rooms, counts);
    }
    return;
  }
  ++step.gang_run;
  int index = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      StartTask(step, index++, *rooms.workers[i]);
    }
  }
}

void Owner::KeepRoom(StepRun& step, const Rooms& rooms) {
  const RoomNeed need{SizeOf(step), step.spec->most_per_worker};
  const std::vector<size_t> kept = RoomsToKeep(rooms.views, need, step.spec->count);
  const auto most = static_cast<size_t>(kMostKeptShare * static_cast<double>(workers_.workers().size()));
  if (kept.empty() || kept_count_ + kept.size() > most) {
    return;
  }
  for (const size_t room : kept) {
    kept_[rooms.workers[room]->number] = &step;
    ++kept_count_;
  }
}

void Owner::Reserve(StepRun& step, const Rooms& rooms, const std::vector<int>& counts) {
  Unreserve(step);
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      ++step.reserved[rooms.workers[i]->number];
      reserved_[rooms.workers[i]->number] += SizeOf(step);
    }
  }
}

void Owner::Unreserve(StepRun& step) {
  for (const auto& [worker, count] : step.reserved) {
    for (int i = 0; i < count; ++i) {
      reserved_[worker] -= SizeOf(step);
    }
  }
  step.reserved.clear();
}

// --- Starts ---

void Owner::StartTask(StepRun& step, int index, Worker& worker) {
  TaskState& task = step.tasks[static_cast<size_t>(index)];
  task.run = step.spec->gang ? step.gang_run : task.run + 1;
  task.phase = TaskPhase::kPlaced;
  task.worker = worker.entry.id;
  task.placed_at = context_.Now();
  task.moved_at = task.placed_at;
  task.percent = 0;
  task.stopping = false;
  --step.waiting;
  ++step.on_worker[worker.entry.id];
  StartOrder order;
  order.run = RunRef{step.RefOf(index), task.run};
  order.payload = step.job->record.spec.payload;
  order.checkpoint = step.spec->gang ? step.gang_checkpoint : task.checkpoint;
  order.ticket = step.advice.For(worker.number).ticket;
  context_.Log("run", "event=start worker={} job={} queue={} step={} index={} run={} waited_ms={} free_cpu={}",
               worker.entry.id, step.job->id(), step.job->queue.name, step.step, index, task.run,
               Millis(context_.Now() - step.opened_at), worker.free().cpu_millis);
  context_.counters.Measure("wait_seconds", step.job->queue.name, context_.Now() - step.opened_at);
  workers_.Start(worker, std::move(order), SizeOf(step));
}

// --- Advice ---

void Owner::AskFirst(StepRun& step) {
  if (step.advice.asking == 0 && advice_.HasRoom()) {
    Ask(step, NeverAsked(step, kMostAskedWorkers, Resources{}));
  }
}

void Owner::AskAdvice(StepRun& step, std::vector<Worker*> workers) {
  if (step.advice.asking > 0 || workers.empty() || !step.job->queue.advice || !advice_.HasRoom()) {
    return;
  }
  workers.resize(std::min(workers.size(), kMostAskedWorkers));
  Ask(step, workers);
}

// More workers to choose from, through several hosts at once: worth it only while most of them have nothing to ask that
// is sure to be of use.
void Owner::AskFurther(StepRun& step) {
  if (step.advice.asking > 0 || !step.job->queue.advice || !advice_.IsMostlyIdle()) {
    return;
  }
  const std::vector<Worker*> workers = NeverAsked(step, usable_.size(), Resources{});
  for (auto next = workers.begin(); next != workers.end() && advice_.IsMostlyIdle();) {
    const auto end = next + std::min<std::ptrdiff_t>(workers.end() - next, kMostAskedWorkers);
    Ask(step, std::vector<Worker*>(next, end));
    next = end;
  }
}

void Owner::Ask(StepRun& step, const std::vector<Worker*>& workers) {
  if (workers.empty()) {
    return;
  }
  ++step.advice.asking;
  step.advice.asked_at = context_.Now();
  std::vector<std::string> names;
  names.reserve(workers.size());
  for (const Worker* worker : workers) {
    names.push_back(worker->entry.id);
  }
  const AdviceSpec& spec = *step.job->queue.advice;
  const Duration cost = spec.base + spec.per_worker * static_cast<int64_t>(names.size());
  const TaskRef ref = step.RefOf(0);
  advice_.Ask(ref, names, cost, [this, alive = alive_, ref, names](const AdviceAnswer& answer) {
    if (*alive) {
      OnAdviceFor(ref, names, answer);
    }
  });
}

void Owner::OnAdviceFor(const TaskRef& ref, const std::vector<std::string>& asked, const AdviceAnswer& answer) {
  StepRun* step = FindStep(ref);
  if (step == nullptr) {
    return;
  }
  --step->advice.asking;
  if (answer.answered && step->job->queue.advice) {
    step->advice.known = true;
    const TimePoint until = context_.Now() + step->job->queue.advice->valid - kTicketMargin;
    std::map<std::string, std::string> tickets;
    for (const Ticket& ticket : answer.allowed) {
      tickets[ticket.worker] = ticket.ticket;
    }
    for (const std::string& id : asked) {
      const Worker* worker = workers_.Find(id);
      const auto ticket = tickets.find(id);
      if (worker != nullptr) {
        step->advice.At(worker->number) = ticket == tickets.end()
                                              ? StepAdvice::Permit{StepAdvice::Word::kRefused, "", {}}
                                              : StepAdvice::Permit{StepAdvice::Word::kAllowed, ticket->second, until};
      }
    }
  }
  context_.Log("advice", "event=advice job={} step={} asked={} allowed={} answered={}", ref.job, ref.step, asked.size(),
               answer.allowed.size(), answer.answered);
  if (!step->reserved.empty()) {
    StartReserved(*step);
  }
  ScheduleSoon();
}

// The tickets of a gang are here, and its room was kept for them: it starts now. By the next pass others would have
// taken the room, and would have to ask for tickets in turn.
void Owner::StartReserved(StepRun& step) {
  if (loaded_ && !closing_ && !deposed_once_ && !step.job->final && step.waiting == step.spec->count) {
    LookAtRooms();
    PlaceGang(step);
  }
  if (step.advice.asking == 0) {
    Unreserve(step);
  }
}

}  // namespace hibiscus::cell
