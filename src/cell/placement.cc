#include "cell/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cell/ports.h"

namespace hibiscus::cell {

namespace {

constexpr double kMaxReservedShare = 0.5;  // Of the workers: more room is never kept idle.
constexpr double kMostlyFree = 0.4;        // Share of the room: no work may wait for long then.
constexpr int kTwiceOver = 2;              // So often a gang must fit to start on workers reserved for others.
constexpr size_t kSpareAsked = 2;          // Workers asked about beyond those that are needed.

constexpr size_t kNotUsable = std::numeric_limits<size_t>::max();

RoomNeed NeedOf(const StepRun& step) {
  return RoomNeed{step.task_size(), step.spec->max_per_worker};
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
  return permit.word == StepAdvice::Word::kAllowed && permit.valid_until > now;
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

bool IsShare(double share, int64_t part, int64_t whole) {
  return static_cast<double>(part) >= share * static_cast<double>(whole);
}

}  // namespace

void Placement::Refresh(std::vector<WorkerView> workers, size_t last_number) {
  workers_ = std::move(workers);
  for (WorkerView& worker : workers_) {
    worker.listed_free_cpu = worker.free.cpu_millis;
  }
  std::sort(workers_.begin(), workers_.end(), [](const WorkerView& a, const WorkerView& b) {
    return a.free.cpu_millis != b.free.cpu_millis ? a.free.cpu_millis > b.free.cpu_millis : a.number < b.number;
  });
  place_.assign(last_number + 1, kNotUsable);
  probes_.clear();
  set_aside_.resize(last_number + 1);
  reserved_for_.resize(last_number + 1);
  for (size_t i = 0; i < workers_.size(); ++i) {
    place_[workers_[i].number] = i;
    if (workers_[i].probe_due) {
      probes_.push_back(i);
    }
  }
  const PlacementLoad now = load();
  mostly_free_ = IsShare(kMostlyFree, now.free.cpu_millis, now.capacity.cpu_millis) &&
                 IsShare(kMostlyFree, now.free.memory_mb, now.capacity.memory_mb);
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

std::vector<Decision> Placement::Plan(const std::vector<StepRun*>& waiting, const AdviceQueues& queues, TimePoint now) {
  reserved_before_.assign(place_.size(), false);
  for (size_t i = 0; i < reserved_for_.size(); ++i) {
    reserved_before_[i] = reserved_for_[i] != nullptr;
  }
  reserved_for_.assign(place_.size(), nullptr);
  reserved_count_ = 0;
  Pass pass{now, queues, {}};
  for (StepRun* step : waiting) {
    if (step->spec->gang) {
      PlaceGang(*step, pass);
    } else {
      PlaceSingles(*step, pass);
    }
  }
  return std::move(pass.decisions);
}

std::vector<Decision> Placement::PlanStep(StepRun& step, const AdviceQueues& queues, TimePoint now) {
  Pass pass{now, queues, {}};
  PlaceGang(step, pass);
  return std::move(pass.decisions);
}

std::vector<Decision> Placement::PlanAhead(StepRun& step, const AdviceQueues& queues, TimePoint now) {
  Pass pass{now, queues, {}};
  if (policies_.ask_ahead) {
    AskFirst(step, pass);
  }
  return std::move(pass.decisions);
}

// --- Rooms ---

WorkerView* Placement::Find(size_t number) {
  const size_t place = number < place_.size() ? place_[number] : kNotUsable;
  return place == kNotUsable ? nullptr : &workers_[place];
}

void Placement::ForEachAllowed(const StepRun& step, const std::function<void(WorkerView&)>& take) {
  if (!step.job->queue.advice) {
    std::for_each(workers_.begin(), workers_.end(), take);
    return;
  }
  for (const auto& [number, permit] : step.advice.permits) {
    WorkerView* worker = permit.word == StepAdvice::Word::kAllowed ? Find(number) : nullptr;
    if (worker != nullptr) {
      take(*worker);
    }
  }
}

std::vector<WorkerView*> Placement::NeverAsked(const StepRun& step, size_t limit, const Resources& least_free) {
  std::vector<WorkerView*> workers;
  for (WorkerView& worker : workers_) {
    if (workers.size() >= limit || worker.listed_free_cpu < least_free.cpu_millis) {
      break;
    }
    ++viewed_;
    if (least_free.FitsIn(worker.free) && !step.advice.permits.contains(worker.number) && IsEligible(step, worker)) {
      workers.push_back(&worker);
    }
  }
  return workers;
}

RoomView Placement::ViewOf(const StepRun& step, const WorkerView& worker) const {
  RoomView view;
  view.capacity = worker.entry->capacity;
  view.free = worker.free - set_aside_[worker.number];
  if (!step.set_aside.empty()) {
    const auto own = step.set_aside.find(worker.number);
    for (int i = 0; own != step.set_aside.end() && i < own->second; ++i) {
      view.free += step.task_size();
    }
  }
  view.rack = worker.entry->rack();
  if (step.spec->max_per_worker > 0) {
    const auto there = step.on_worker.find(worker.entry->id);
    view.already_there = there == step.on_worker.end() ? 0 : there->second;
  }
  view.reserved = worker.number < reserved_before_.size() && reserved_before_[worker.number];
  view.preferred = policies_.data_rack && !step.spec->data_rack.empty() && worker.entry->HasLabel(step.spec->data_rack);
  return view;
}

bool Placement::IsReservedForOther(const StepRun& step, const WorkerView& worker) const {
  const StepRun* gang = reserved_for_[worker.number];
  return gang != nullptr && gang != &step;
}

// --- Single tasks ---

void Placement::PlaceSingles(StepRun& step, Pass& pass) {
  if (step.job->queue.advice && !step.advice.known) {
    AskFirst(step, pass);
    return;
  }
  const RoomNeed need = NeedOf(step);
  std::vector<int> waiting = WaitingTasks(step);
  Probe(step, waiting, pass);
  auto [rooms, without_ticket] = SingleRoomsFor(step, need, pass.now);
  StartTasks starts{&step, {}, false};
  for (const int index : waiting) {
    const std::optional<size_t> best =
        policies_.tightest_fit ? TightestFit(rooms.views, need) : FirstFit(rooms.views, need);
    if (!best) {
      break;
    }
    WorkerView& worker = *rooms.workers[*best];
    starts.tasks.push_back({index, worker.number});
    worker.free -= need.size;
    rooms.views[*best].free -= need.size;
    ++rooms.views[*best].already_there;
  }
  const bool all = starts.tasks.size() == waiting.size();
  const auto left = static_cast<int>(waiting.size() - starts.tasks.size());
  if (!starts.tasks.empty()) {
    pass.decisions.emplace_back(std::move(starts));
  }
  if (!all) {
    const bool worth = IsWorthAsking(without_ticket.size(), left, policies_.gather_asks && pass.queues.IsBusy(pass.now),
                                     pass.now - step.advice.asked_at);
    if (worth) {
      without_ticket.resize(std::min(without_ticket.size(), static_cast<size_t>(left) + kSpareAsked));
      AskAgain(step, without_ticket, pass);
    }
  }
}

Placement::SingleRooms Placement::SingleRoomsFor(const StepRun& step, const RoomNeed& need, TimePoint now) {
  SingleRooms found;
  ForEachAllowed(step, [&](WorkerView& worker) {
    ++viewed_;
    const bool reserved = IsReservedForOther(step, worker) && !mostly_free_;
    if (worker.quarantined || reserved || !need.size.FitsIn(worker.free) || !IsEligible(step, worker)) {
      return;
    }
    const RoomView view = ViewOf(step, worker);
    if (SlotsOf(view, need) == 0) {
      return;
    }
    if (HasTicket(step, worker, now)) {
      found.rooms.Add(&worker, view);
    } else {
      found.without_ticket.push_back(&worker);
    }
  });
  if (!step.job->queue.advice) {
    return found;
  }
  for (WorkerView* worker : NeverAsked(step, kMaxWorkersPerQuestion, need.size)) {
    if (!worker->quarantined && (!IsReservedForOther(step, *worker) || mostly_free_)) {
      found.without_ticket.push_back(worker);
    }
  }
  return found;
}

void Placement::Probe(StepRun& step, std::vector<int>& waiting, Pass& pass) {
  for (const size_t place : probes_) {
    WorkerView& worker = workers_[place];
    const bool fits = worker.probe_due && IsEligible(step, worker) && HasTicket(step, worker, pass.now) &&
                      step.task_size().FitsIn(worker.free);
    if (fits && !waiting.empty()) {
      worker.probe_due = false;
      worker.free -= step.task_size();
      pass.decisions.emplace_back(StartTasks{&step, {{waiting.front(), worker.number}}, true});
      waiting.erase(waiting.begin());
      return;
    }
  }
}

// --- Gangs ---

Placement::GangRooms Placement::GangRoomsFor(const StepRun& step, TimePoint now) {
  GangRooms rooms;
  ForEachAllowed(step, [&](WorkerView& worker) {
    ++viewed_;
    if (worker.quarantined || !IsEligible(step, worker)) {
      return;
    }
    const RoomView view = ViewOf(step, worker);
    if (IsReservedForOther(step, worker) && !step.set_aside.contains(worker.number)) {
      if (mostly_free_) {
        rooms.reserved.Add(&worker, view);
      }
      return;
    }
    rooms.allowed.Add(&worker, view);
    if (HasTicket(step, worker, now)) {
      rooms.with_ticket.Add(&worker, view);
    }
  });
  return rooms;
}

void Placement::PlaceGang(StepRun& step, Pass& pass) {
  if (step.advice.asking > 0) {
    return;
  }
  if (step.job->queue.advice && !step.advice.known) {
    AskFirst(step, pass);
    return;
  }
  GangRooms rooms = GangRoomsFor(step, pass.now);
  // Where tickets are at hand first: other rooms may fit better by now, but each further call takes as long again.
  if (policies_.tickets_first && StartIn(step, rooms.with_ticket, pass)) {
    return;
  }
  const bool others_allowed = rooms.allowed.workers.size() > rooms.with_ticket.workers.size();
  if ((others_allowed || !policies_.tickets_first) && StartIn(step, rooms.allowed, pass)) {
    return;
  }
  if (policies_.open_reservations && !rooms.reserved.workers.empty()) {
    // With so much free, those for whom the workers are reserved wait for few single workers: this one need not.
    Rooms all = rooms.allowed;
    all.workers.insert(all.workers.end(), rooms.reserved.workers.begin(), rooms.reserved.workers.end());
    all.views.insert(all.views.end(), rooms.reserved.views.begin(), rooms.reserved.views.end());
    if (SlotsOf(all.views, NeedOf(step)) >= kTwiceOver * step.spec->count && StartIn(step, all, pass)) {
      return;
    }
  }
  if (policies_.reservations) {
    ReserveWorkers(step, rooms.allowed);
  }
  if (policies_.ask_further) {
    AskFurther(step, pass);
  }
}

bool Placement::StartIn(StepRun& step, const Rooms& rooms, Pass& pass) {
  const std::vector<int> counts = FitGang(rooms.views, NeedOf(step), step.spec->count, step.spec->same_rack);
  if (!counts.empty()) {
    StartGang(step, rooms, counts, pass);
  }
  return !counts.empty();
}

void Placement::StartGang(StepRun& step, const Rooms& rooms, const std::vector<int>& counts, Pass& pass) {
  std::vector<WorkerView*> chosen;
  bool tickets = true;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      chosen.push_back(rooms.workers[i]);
      tickets = tickets && HasTicket(step, *rooms.workers[i], pass.now);
    }
  }
  if (!tickets) {
    const bool asks = MayAsk(step, pass) && !chosen.empty();
    AskAgain(step, chosen, pass);
    if (asks && policies_.tentative) {
      SetAside(step, rooms, counts, pass);
    }
    return;
  }
  StartTasks starts{&step, {}, false};
  int index = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      starts.tasks.push_back({index++, rooms.workers[i]->number});
      rooms.workers[i]->free -= step.task_size();
    }
  }
  pass.decisions.emplace_back(std::move(starts));
}

void Placement::ReserveWorkers(StepRun& step, const Rooms& rooms) {
  const std::vector<size_t> reserved = RoomsToReserve(rooms.views, NeedOf(step), step.spec->count);
  const auto limit = static_cast<size_t>(kMaxReservedShare * static_cast<double>(workers_.size()));
  if (reserved.empty() || reserved_count_ + reserved.size() > limit) {
    return;
  }
  for (const size_t room : reserved) {
    reserved_for_[rooms.workers[room]->number] = &step;
    ++reserved_count_;
  }
}

void Placement::SetAside(StepRun& step, const Rooms& rooms, const std::vector<int>& counts, Pass& pass) {
  Release(step);
  for (size_t i = 0; i < counts.size(); ++i) {
    for (int k = 0; k < counts[i]; ++k) {
      ++step.set_aside[rooms.workers[i]->number];
      set_aside_[rooms.workers[i]->number] += step.task_size();
    }
  }
  pass.decisions.emplace_back(SetRoomAside{&step, step.set_aside});
}

void Placement::Release(StepRun& step) {
  for (const auto& [worker, count] : step.set_aside) {
    for (int i = 0; i < count; ++i) {
      set_aside_[worker] -= step.task_size();
    }
  }
  step.set_aside.clear();
}

// --- Advice ---

bool Placement::MayAsk(const StepRun& step, const Pass& pass) const {
  return step.advice.asking == 0 && step.job->queue.advice.has_value() && pass.queues.HasRoom(pass.now);
}

void Placement::AskFirst(StepRun& step, Pass& pass) {
  if (MayAsk(step, pass)) {
    Ask(step, NeverAsked(step, kMaxWorkersPerQuestion, Resources{}), pass);
  }
}

void Placement::AskFurther(StepRun& step, Pass& pass) {
  if (step.advice.asking > 0 || !step.job->queue.advice || !pass.queues.IsMostlyIdle(pass.now)) {
    return;
  }
  const std::vector<WorkerView*> workers = NeverAsked(step, workers_.size(), Resources{});
  for (auto next = workers.begin(); next != workers.end() && pass.queues.IsMostlyIdle(pass.now);) {
    const auto end = next + std::min<std::ptrdiff_t>(workers.end() - next, kMaxWorkersPerQuestion);
    Ask(step, std::vector<WorkerView*>(next, end), pass);
    next = end;
  }
}

void Placement::AskAgain(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass) {
  if (MayAsk(step, pass)) {
    const auto end = workers.begin() + static_cast<std::ptrdiff_t>(std::min(workers.size(), kMaxWorkersPerQuestion));
    Ask(step, std::vector<WorkerView*>(workers.begin(), end), pass);
  }
}

void Placement::Ask(StepRun& step, const std::vector<WorkerView*>& workers, Pass& pass) {
  if (workers.empty()) {
    return;
  }
  pass.queues.Assign(pass.now, AdviceCost(*step.job->queue.advice, workers.size()));
  AskAdvice ask{&step, {}};
  ask.workers.reserve(workers.size());
  for (const WorkerView* worker : workers) {
    ask.workers.push_back(worker->number);
  }
  pass.decisions.emplace_back(std::move(ask));
}

}  // namespace hibiscus::cell
