#include "standins/cell_fake_host.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace hibiscus::cell {

namespace {

constexpr Duration kOneWayDelay = 2ms;           // Network delay to the store, a worker or another host.
constexpr Duration kWatchTimeoutMargin = 800ms;  // Added to the wait of a watch.
constexpr Duration kNewConnectionTimeout = 3s;   // Of large reads over a new connection.
constexpr Duration kMaxMessageDelay = 2s;        // Exclusive bound for delayed messages between hosts.
constexpr Duration kMaxExecutionDelay = 11s;     // Exclusive bound for calls carried out late.
constexpr Duration kCallerTimeout = 2800ms;      // Deadline of a caller's request.
constexpr char kHostName[] = "a.example";        // Of all requests; the path begins with the name of the queue.

// Size of the store's answer: values are sent as base64, in a frame of names and revisions.
size_t BytesOf(const StoreAnswer& answer) {
  constexpr size_t kFrameBytes = 200;
  size_t bytes = kFrameBytes;
  for (const StoreItem& item : answer.items) {
    bytes += kFrameBytes + item.value.size() * 4 / 3;
  }
  return bytes;
}

// Answers to starts and stops do not say which life of the worker gave them.
OrderAnswer WithoutLife(OrderAnswer answer) {
  answer.born_ms = 0;
  return answer;
}

std::string TextOf(const RunRef& run) {
  return fmt::format(" job={} occurrence={} step={} index={} run={}", run.task.job, run.task.occurrence, run.task.step,
                     run.task.index, run.run);
}

}  // namespace

std::string EncodeWorkerEntry(const WorkerEntry& entry) {
  const nlohmann::json json{{"id", entry.id},
                            {"born", entry.born_ms},
                            {"service", entry.service},
                            {"address", entry.address},
                            {"dc", entry.data_centre},
                            {"draining", entry.draining},
                            {"cpu", entry.capacity.cpu_millis},
                            {"mem", entry.capacity.memory_mb},
                            {"labels", entry.labels}};
  return json.dump();
}

struct FakeHost::Process {
  Process(FakeHost& self, CellWorld& world, uint64_t incarnation)
      : timers(ClockOf(world)),
        context{SettingsOf(self, incarnation),
                ClockOf(world),
                self,
                timers,
                self,
                self,
                self,
                self,
                self,
                self,
                counters,
                std::mt19937_64(world.random()())},
        host(context, [](const CellConfiguration&) {}) {}

  static const Clock& ClockOf(CellWorld& world);
  static CellSettings SettingsOf(const FakeHost& self, uint64_t incarnation) {
    CellSettings settings;
    settings.name = self.name_;
    settings.peer_address = self.name_;
    settings.incarnation = incarnation;
    settings.processor_millis = self.processor_millis;
    settings.advice_address = "advice";
    settings.data_centre = "dc" + self.name_.substr(1);
    settings.max_direct_workers = self.world_.max_direct_workers;
    settings.max_hold = self.world_.max_hold;
    settings.policies = self.world_.policies;
    settings.key_withdrawal_limit = self.world_.key_withdrawal_limit;
    settings.configuration_limit = self.world_.configuration_limit;
    return settings;
  }

  Timers timers;
  Counters counters;
  Context context;
  Host host;
};

const Clock& FakeHost::Process::ClockOf(CellWorld& world) {
  return world.clock_;
}

FakeHost::FakeHost(CellWorld& world, std::string name) : world_(world), name_(std::move(name)) {}

FakeHost::~FakeHost() = default;

Host* FakeHost::host() const {
  return process_ == nullptr ? nullptr : &process_->host;
}

double FakeHost::CounterOf(const std::string& name) const {
  if (process_ == nullptr) {
    return 0;
  }
  const auto found = process_->counters.values().find(name);
  return found == process_->counters.values().end() ? 0 : found->second;
}

void FakeHost::Boot() {
  Kill();
  ++generation_;
  process_ = std::make_unique<Process>(*this, world_, world_.random()() | 1);
  process_->host.Begin();
}

void FakeHost::Kill() {
  ++generation_;
  process_.reset();
  for (const auto& [call, read] : large_reads_) {
    world_.links.Cancel(read.transmission);
  }
  large_reads_.clear();
  inbox_.clear();
  frozen_until_ = TimePoint{};
  busy_until_ = TimePoint{};
}

void FakeHost::Freeze(Duration time) {
  frozen_until_ = world_.Now() + time;
}

bool FakeHost::IsDisturbed() const {
  return process_ == nullptr || IsFrozen() || cut_from_peers || cut_from_workers || !unreachable_workers.empty();
}

bool FakeHost::IsFrozen() const {
  return frozen_until_ > world_.Now();
}

TimePoint FakeHost::NextDue() const {
  if (process_ == nullptr) {
    return TimePoint::max();
  }
  const TimePoint next = inbox_.empty() ? process_->timers.next().value_or(TimePoint::max()) : world_.Now();
  return std::max({next, frozen_until_, busy_until_});
}

// One iteration of the control loop: handles everything in the inbox, then the timers that are due.
void FakeHost::RunDue() {
  const TimePoint now = world_.Now();
  if (process_ == nullptr || frozen_until_ > now || busy_until_ > now) {
    return;
  }
  const bool timers_due = process_->timers.next().value_or(TimePoint::max()) <= now;
  busy_until_ = now + world_.event_cost * (static_cast<int64_t>(inbox_.size()) + (timers_due ? 1 : 0));
  std::deque<std::function<void()>> batch = std::exchange(inbox_, {});
  while (!batch.empty() && process_ != nullptr) {
    const std::function<void()> work = std::move(batch.front());
    batch.pop_front();
    work();
  }
  if (process_ != nullptr) {
    process_->timers.RunDue();
  }
}

void FakeHost::Deliver(uint64_t generation, std::function<void()> work) {
  if (generation != generation_) {
    return;
  }
  if (frozen_until_ > world_.Now() || world_.event_cost > Duration(0)) {
    inbox_.push_back(std::move(work));
  } else {
    work();
  }
}

void FakeHost::Call(CallerRequest request, CellWorld::OnReply reply) {
  const bool frozen = frozen_until_ > world_.Now();
  if (process_ == nullptr || (frozen && !world_.keeps_calls_to_frozen_hosts)) {
    world_.In(kCallTimeout, [reply] { reply(CallerReply{}); });  // The default reply leaves the outcome unknown.
    return;
  }
  if (frozen) {
    CallFrozen(std::move(request), std::move(reply));
    return;
  }
  Deliver(generation_, [this, request = std::move(request), sent = world_.Now(), reply = std::move(reply)] {
    Handle(request, sent, sent + kCallerTimeout, reply);
  });
}

void FakeHost::Handle(const CallerRequest& request, TimePoint sent, TimePoint until, const CellWorld::OnReply& reply) {
  Host& host = process_->host;
  if (!world_.checks_routes || host.configuration().FindQueue(request.queue) != nullptr) {
    host.Handle(request, until, reply);
    return;
  }
  const CallerReply refusal{.outcome = CallerOutcome::kUnavailable};
  if (host.configuration().version == 0) {
    reply(refusal);
    return;
  }
  host.HandleUnknownRoute(kHostName, fmt::format("/{}/{}", request.queue, request.job), until,
                          [=, this, &host](RouteOutcome outcome) {
                            if (outcome == RouteOutcome::kFound) {
                              host.Handle(request, until, reply);
                              return;
                            }
                            if (outcome == RouteOutcome::kNoSuchQueue) {
                              world_.routes_.OnAnswer(index(), request.queue, sent, false);
                            }
                            reply(refusal);
                          });
}

// The kernel accepts the call, and the process reads it when it continues. The caller has stopped waiting by then if
// the pause was long.
void FakeHost::CallFrozen(CallerRequest request, CellWorld::OnReply reply) {
  const auto waiting = std::make_shared<CellWorld::OnReply>(std::move(reply));
  const auto answer = [waiting](const CallerReply& result) {
    if (*waiting) {
      std::exchange(*waiting, nullptr)(result);
    }
  };
  world_.In(kCallerTimeout, [answer] { answer(CallerReply{}); });
  // Before what waits on other sockets: their order is not defined.
  inbox_.push_front([this, request = std::move(request), sent = world_.Now(), answer] {
    Handle(request, sent, world_.Now() + kCallerTimeout, answer);
  });
}

// --- Store ---

void FakeHost::CallStore(bool changes,
                         const std::function<StoreAnswer()>& apply,
                         const StorePort::Done& done,
                         StoreCall large,
                         Duration timeout) {
  const auto host_override = world_.store_.host_faults.find(name_);
  CallFaults faults = world_.store_.faults;
  if (host_override != world_.store_.host_faults.end() && !(host_override->second == CallFaults{})) {
    faults = host_override->second;
  }
  const auto answer = [this, generation = generation_, done](Duration delay, const StoreAnswer& result) {
    world_.In(delay, [this, generation, done, result] { Deliver(generation, [done, result] { done(result); }); });
  };
  if (faults.down) {
    answer(kOneWayDelay * 2, StoreAnswer{StoreStatus::kNotDone, 0, 0, {}, false});
    return;
  }
  if (faults.silent || (changes && world_.Chance(faults.late_execution_share))) {
    if (!faults.silent) {
      world_.In(Duration(static_cast<int64_t>(world_.random()() % kMaxExecutionDelay.count())), [apply] { apply(); });
    }
    answer(timeout, StoreAnswer{});
    return;
  }
  const bool lost = changes && world_.Chance(faults.lost_answer_share);
  world_.In(kOneWayDelay, [=, this, generation = generation_, extra_delay = faults.extra_delay] {
    const StoreAnswer result = apply();
    if (lost || !world_.links.IsLimited(index())) {
      lost ? answer(kCallTimeout, StoreAnswer{}) : answer(kOneWayDelay + extra_delay, result);
      return;
    }
    world_.In(kOneWayDelay + extra_delay, [=, this] {
      if (generation == generation_) {
        Transmit(result, done, large);
      }
    });
  });
}

void FakeHost::Transmit(const StoreAnswer& answer, const StorePort::Done& done, StoreCall large) {
  if (large != 0 && !large_reads_.contains(large)) {
    return;
  }
  const auto on_part = [this, generation = generation_, large] {
    Deliver(generation, [this, large] {
      if (const auto found = large_reads_.find(large); found != large_reads_.end()) {
        found->second.progress();
      }
    });
  };
  const auto on_end = [this, generation = generation_, done, answer] {
    Deliver(generation, [done, answer] { done(answer); });
  };
  const StoreLinks::Transmission number = world_.links.Send(index(), BytesOf(answer), on_part, on_end);
  if (large != 0) {
    large_reads_.at(large).transmission = number;
  }
}

StoreCall FakeHost::BeginLarge(Progress progress, StorePort::Done done) {
  large_reads_[++last_large_] = LargeRead{std::move(progress), std::move(done), 0};
  return last_large_;
}

StorePort::Done FakeHost::EndOf(StoreCall large) {
  return [this, large](const StoreAnswer& answer) {
    if (const auto ended = large_reads_.extract(large); !ended.empty()) {
      ended.mapped().done(answer);
    }
  };
}

void FakeHost::LoseTransfers() {
  for (const auto& [call, read] : large_reads_) {
    if (read.transmission != 0) {
      world_.links.Cancel(read.transmission);
      world_.In(kCallTimeout, [this, generation = generation_, done = EndOf(call)] {
        Deliver(generation, [done] { done(StoreAnswer{}); });
      });
    }
  }
}

void FakeHost::Cancel(StoreCall call) {
  if (const auto cancelled = large_reads_.extract(call); !cancelled.empty()) {
    world_.links.Cancel(cancelled.mapped().transmission);
  }
}

StoreCall FakeHost::ReadLarge(const std::string& key, Progress progress, StorePort::Done done) {
  const StoreCall large = BeginLarge(std::move(progress), std::move(done));
  CallStore(
      false, [this, key] { return world_.store_.Read(key); }, EndOf(large), large);
  return large;
}

StoreCall FakeHost::ReadLargeIfChanged(const std::string& key,
                                       uint64_t revision,
                                       StoreConnection connection,
                                       Progress progress,
                                       StorePort::Done done) {
  const StoreCall large = BeginLarge(std::move(progress), std::move(done));
  const auto apply = [this, key, revision] {
    StoreAnswer answer = world_.store_.Read(key);
    if (!answer.items.empty() && answer.items.front().revision == revision) {
      answer.items.clear();
    }
    return answer;
  };
  CallStore(false, apply, EndOf(large), large,
            connection == StoreConnection::kNew ? kNewConnectionTimeout : kCallTimeout);
  return large;
}

StoreCall FakeHost::WatchLarge(const std::string& key,
                               uint64_t after,
                               Duration wait,
                               Progress progress,
                               StorePort::Done done) {
  const StoreCall large = BeginLarge(std::move(progress), std::move(done));
  const StorePort::Done on_answer = EndOf(large);
  if (watches_to_lose_ > 0) {
    LoseAnswerOfWatch(wait, on_answer);
  } else {
    PollWatch(key, after, world_.Now() + wait, generation_, on_answer, large);
  }
  return large;
}

void FakeHost::Read(const std::string& key, StorePort::Done done) {
  CallStore(
      false, [this, key] { return world_.store_.Read(key); }, done);
}

void FakeHost::Range(const std::string& prefix, const std::string& after, StorePort::Done done) {
  CallStore(
      false, [this, prefix, after] { return world_.store_.Range(prefix, after); }, done);
}

void FakeHost::Watch(const std::string& prefix, uint64_t after, Duration wait, StorePort::Done done) {
  if (watches_to_lose_ > 0) {
    LoseAnswerOfWatch(wait, done);
    return;
  }
  PollWatch(prefix, after, world_.Now() + wait, generation_, done);
}

void FakeHost::LoseAnswerOfWatch(Duration wait, const StorePort::Done& done) {
  --watches_to_lose_;
  world_.In(wait + kWatchTimeoutMargin,
            [this, generation = generation_, done] { Deliver(generation, [done] { done(StoreAnswer{}); }); });
}

// The pending watches do not notice: each call ends when its host stops waiting for an answer.
void FakeHost::LoseWatches(int later) {
  ++watch_losses_;
  watches_to_lose_ = later;
}

void FakeHost::PollWatch(const std::string& prefix,
                         uint64_t after,
                         TimePoint until,
                         uint64_t generation,
                         const StorePort::Done& done,
                         StoreCall large) {
  const auto silent = [this] { return world_.store_.silent_watches.contains(name_); };
  if (silent()) {
    world_.AddWaiter(
        world_.watches_, std::max(until, world_.Now()) + kCallTimeout, [silent] { return !silent(); },
        [this, generation, done] { Deliver(generation, [done] { done(StoreAnswer{}); }); });
    return;
  }
  CallStore(
      false,
      [this, prefix, after] {
        const auto changes = world_.store_.Changes(prefix, after);
        return changes.value_or(StoreAnswer{StoreStatus::kOk, 0, 0, {}, false});
      },
      [this, prefix, after, until, generation, done, silent, large](const StoreAnswer& answer) {
        const bool nothing = answer.status == StoreStatus::kOk && answer.items.empty();
        if (nothing && world_.Now() < until) {
          world_.AddWaiter(
              world_.watches_, until,
              [this, prefix, after, silent, losses = watch_losses_] {
                return losses == watch_losses_ && !silent() && world_.store_.Changes(prefix, after).has_value();
              },
              [this, prefix, after, until, generation, done, large, losses = watch_losses_] {
                if (losses != watch_losses_) {
                  world_.In(kWatchTimeoutMargin,
                            [this, generation, done] { Deliver(generation, [done] { done(StoreAnswer{}); }); });
                  return;
                }
                if (generation == generation_ && (large == 0 || large_reads_.contains(large))) {
                  PollWatch(prefix, after, until, generation, done, large);
                }
              });
          return;
        }
        done(answer);
      },
      large, large == 0 ? kCallTimeout : until + kWatchTimeoutMargin - world_.Now());
}

void FakeHost::Commit(const StoreTransaction& transaction, StorePort::Done done) {
  CallStore(
      true, [this, transaction] { return world_.store_.Commit(transaction); }, done);
}

void FakeHost::GrantLease(Duration ttl, StorePort::Done done) {
  CallStore(
      true, [this, ttl] { return world_.store_.GrantLease(ttl); }, done);
}

void FakeHost::KeepLease(uint64_t lease, StorePort::Done done) {
  CallStore(
      false, [this, lease] { return world_.store_.KeepLease(lease); }, done);
}

void FakeHost::EndLease(uint64_t lease, StorePort::Done done) {
  CallStore(
      true, [this, lease] { return world_.store_.EndLease(lease); }, done);
}

// --- Workers ---

FakeHost::Order FakeHost::HoldOf(const HoldOrder& order) {
  return Order{"hold", std::nullopt, [order](FakeWorker& target) { return target.Hold(order); }};
}

FakeWorker* FakeHost::FindWorker(const WorkerTarget& target) const {
  FakeWorker* last = nullptr;  // Of those that have had the address.
  for (const auto& worker : world_.workers_) {
    last = worker->entry.address == target.address ? worker.get() : last;
  }
  return last;
}

void FakeHost::CarryOutLate(const WorkerTarget& target, const Order& order, Duration delay) {
  world_.In(delay, [this, &world = world_, target, order, delay] {
    FakeWorker* found = FindWorker(target);
    if (found == nullptr || !found->up || found->entry.id != target.id) {
      return;
    }
    FakeWorker& worker = *found;
    world.carries_out_late_ = true;
    const OrderAnswer answer = order.apply(worker);
    world.carries_out_late_ = false;
    world.Log(fmt::format("order_carried_out_late worker={} born_ms={} order={}{} status={} late_ms={}", target.id,
                          worker.entry.born_ms, order.kind, order.run ? TextOf(*order.run) : "", NameOf(answer.status),
                          Millis(delay)));
  });
}

void FakeHost::CallWorker(const WorkerTarget& target, const Order& order, const WorkerPort::Done& done) {
  const FakeWorker* worker = FindWorker(target);
  if (worker == nullptr || worker->faults.waiting_share == 0 || !world_.Chance(worker->faults.waiting_share)) {
    CallWorkerNow(target, order, done);
    return;
  }
  CallWorkerAfter(Duration(static_cast<int64_t>(world_.random()() % kMaxConnectionWait.count())), target, order, done);
}

// The order waits for a connection. It is not sent if the process ends meanwhile.
void FakeHost::CallWorkerAfter(Duration wait,
                               const WorkerTarget& target,
                               const Order& order,
                               const WorkerPort::Done& done) {
  world_.In(wait, [this, generation = generation_, target, order, done] {
    if (generation == generation_) {
      CallWorkerNow(target, order, done);
    }
  });
}

void FakeHost::CallWorkerNow(const WorkerTarget& target, const Order& order, const WorkerPort::Done& done) {
  FakeWorker* worker = FindWorker(target);
  const auto answer = [this, generation = generation_, done](Duration delay, const OrderAnswer& result) {
    world_.In(delay, [this, generation, done, result] { Deliver(generation, [done, result] { done(result); }); });
  };
  if (worker != nullptr && worker->refuses) {
    answer(kOneWayDelay * 2, OrderAnswer{});
    return;
  }
  if (worker == nullptr || !worker->up || worker->faults.silent || cut_from_workers ||
      unreachable_workers.contains(worker->entry.id)) {
    answer(kCallTimeout, OrderAnswer{});
    return;
  }
  if (worker->refuses_connections) {
    OrderAnswer refused;
    refused.reason = UnansweredReason::kConnectionRefused;
    answer(kOneWayDelay * 2, refused);
    return;
  }
  if (worker->entry.id != target.id) {
    answer(kOneWayDelay * 2, AnswerOf(OrderStatus::kOtherInstance));
    return;
  }
  if (world_.Chance(worker->faults.late_execution_share)) {
    world_.waiting_.NoteDisruption();
    const Duration late = 500ms + Duration(static_cast<int64_t>(world_.random()() % kMaxExecutionDelay.count()));
    CarryOutLate(target, order, late);
    answer(kCallTimeout, OrderAnswer{});
    return;
  }
  const bool lost = world_.Chance(worker->faults.lost_answer_share);
  world_.In(kOneWayDelay, [worker, id = target.id, apply = order.apply, answer, lost] {
    if (!worker->up) {
      answer(kCallTimeout, OrderAnswer{});
      return;
    }
    const OrderAnswer result = worker->entry.id == id ? apply(*worker) : AnswerOf(OrderStatus::kOtherInstance);
    lost ? answer(kCallTimeout, OrderAnswer{}) : answer(kOneWayDelay + worker->faults.extra_delay, result);
  });
}

// The order is carried out after the worker's transit time.
void FakeHost::DeliverWithoutAnswer(FakeWorker& worker,
                                    const WorkerTarget& target,
                                    const Order& order,
                                    const WorkerPort::Done& done) {
  CarryOutLate(target, order, worker.transit_time);
  world_.In(kCallTimeout,
            [this, generation = generation_, done] { Deliver(generation, [done] { done(OrderAnswer{}); }); });
}

void FakeHost::Start(const WorkerTarget& worker, const StartOrder& order, WorkerPort::Done done) {
  const Order start{"start", order.run, [order](FakeWorker& target) {
                      const OrderAnswer answer = target.Start(order);
                      return target.names_life ? answer : WithoutLife(answer);
                    }};
  FakeWorker* slow = FindWorker(worker);
  if (slow != nullptr && slow->orders_not_sent > 0) {
    --slow->orders_not_sent;
    OrderAnswer not_sent = AnswerOf(OrderStatus::kNotSent);
    not_sent.reason = UnansweredReason::kNoConnectionFree;
    world_.In(kCallTimeout, [this, generation = generation_, done, not_sent] {
      Deliver(generation, [done, not_sent] { done(not_sent); });
    });
    return;
  }
  if (slow != nullptr && !slow->start_waits.empty()) {
    const Duration wait = slow->start_waits.front();
    slow->start_waits.pop_front();
    CallWorkerAfter(wait, worker, start, done);
    return;
  }
  if (slow != nullptr && slow->up && slow->starts_in_transit > 0) {
    --slow->starts_in_transit;
    DeliverWithoutAnswer(*slow, worker, start, done);
    return;
  }
  CallWorker(worker, start, done);
}

void FakeHost::Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, WorkerPort::Done done) {
  const Order stop{"stop", run, [run, token](FakeWorker& target) { return WithoutLife(target.Stop(run, token)); }};
  CallWorker(worker, stop, done);
}

void FakeHost::Hold(const WorkerTarget& worker, const HoldOrder& order, WorkerPort::Done done) {
  FakeWorker* target = FindWorker(worker);
  const TimePoint until = world_.Now() + order.wait;
  int* in_transit = nullptr;
  if (target != nullptr && target->up) {
    in_transit = order.acknowledged > 0 ? &target->acknowledgements_in_transit : &target->holds_in_transit;
  }
  if (in_transit != nullptr && *in_transit > 0) {
    --*in_transit;
    DeliverWithoutAnswer(*target, worker, HoldOf(order), done);
    return;
  }
  CallWorker(worker, HoldOf(order),
             [this, worker, target, order, until, done = std::move(done)](const OrderAnswer& answer) {
               if (answer.status == OrderStatus::kOk && answer.ended.empty() && world_.Now() < until) {
                 WaitForEnd(worker, *target, order, until, done);
               } else {
                 done(answer);
               }
             });
}

// Waits for an end to report or for the timeout, then answers with the worker's current lists without extending its
// hold.
void FakeHost::WaitForEnd(const WorkerTarget& target,
                          FakeWorker& worker,
                          const HoldOrder& order,
                          TimePoint until,
                          const WorkerPort::Done& done) {
  world_.AddWaiter(
      world_.pending_holds_[&worker], until,
      [&worker, order] { return worker.refuses || worker.HasEnds(order.acknowledged); },
      [this, &worker, target, order, done, generation = generation_, born = worker.entry.born_ms] {
        if (generation != generation_) {
          return;
        }
        if (worker.entry.born_ms != born) {
          done(OrderAnswer{});  // The connection ended with the worker's process.
          return;
        }
        HoldOrder poll_order = order;
        poll_order.deadline = Duration(0);
        CallWorker(target, HoldOf(poll_order), done);
      });
}

// --- Advice, peers, directory, clock and log ---

void FakeHost::Ask(const TaskRef& step,
                   const std::vector<std::string>& workers,
                   Duration timeout,
                   AdvicePort::Done done) {
  const QueueSpec* queue = world_.QueueOf(step.job);
  if (queue == nullptr || !queue->advice) {
    world_.In(timeout,
              [this, generation = generation_, done] { Deliver(generation, [done] { done(AdviceAnswer{}); }); });
    return;
  }
  const Duration cost = queue->advice->base + queue->advice->per_worker * static_cast<int64_t>(workers.size());
  advice_free_at_ = std::max(advice_free_at_, world_.Now()) + cost;
  world_.advice_seconds += std::chrono::duration<double>(cost).count();
  const Duration valid_until = advice_free_at_.time_since_epoch() + queue->advice->valid;
  AdviceAnswer answer{true, {}};
  for (const std::string& worker : workers) {
    if (world_.AdviceAllows(*queue, step, worker)) {
      answer.allowed.push_back(Ticket{worker, std::to_string(valid_until.count())});
    }
  }
  world_.In(advice_free_at_ - world_.Now() + kOneWayDelay,
            [this, generation = generation_, done, answer] { Deliver(generation, [done, answer] { done(answer); }); });
}

void FakeHost::Send(const std::string& address, std::string message) {
  for (const std::unique_ptr<FakeHost>& host : world_.hosts_) {
    if (host->name_ == address && !cut_from_peers && !host->cut_from_peers) {
      FakeHost* recipient = host.get();
      const bool late = world_.late_message_share > 0 && world_.Chance(world_.late_message_share);
      const Duration reordering_delay =
          late ? Duration(static_cast<int64_t>(world_.random()() % kMaxMessageDelay.count())) : 0us;
      world_.In(kOneWayDelay + reordering_delay, [recipient, message = std::move(message)] {
        if (recipient->process_ != nullptr) {
          recipient->Deliver(recipient->generation_,
                             [recipient, message] { recipient->process_->host.OnPeerMessage(message); });
        }
      });
      return;
    }
  }
}

tl::expected<CellConfiguration, std::string> FakeHost::ReadConfiguration(const StoreItem& item) const {
  const CellConfiguration* found = world_.ConfigurationOf(std::stoull(item.value));
  if (found == nullptr) {
    return tl::unexpected(std::string("no such version"));
  }
  return *found;
}

tl::expected<WorkerEntry, std::string> FakeHost::ReadWorker(const StoreItem& item) const {
  try {
    const nlohmann::json json = nlohmann::json::parse(item.value);
    WorkerEntry entry;
    entry.id = json.at("id");
    entry.born_ms = json.at("born");
    entry.service = json.at("service");
    entry.address = json.at("address");
    entry.data_centre = json.at("dc");
    entry.draining = json.at("draining");
    entry.capacity.cpu_millis = json.at("cpu");
    entry.capacity.memory_mb = json.at("mem");
    entry.labels = json.at("labels").get<std::vector<std::string>>();
    return entry;
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

int64_t FakeHost::NowMs() const {
  return CellWorld::WallMsAt(world_.Now()) + Millis(wall_offset);
}

bool FakeHost::Accepts(const char* /*part*/) {
  return world_.log_to_stdout;
}

void FakeHost::Write(const char* part, const std::string& text) {
  std::printf("%lld %s %s %s\n", Millis(world_.Now().time_since_epoch()) - 3'600'000, name_.c_str(), part,
              text.c_str());
}

}  // namespace hibiscus::cell
