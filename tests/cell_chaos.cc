#include "tests/cell_chaos.h"

#include <array>
#include <functional>

#include "tests/cell_chaos_releases.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {

namespace {

constexpr size_t kHosts = 4;
constexpr size_t kWorkers = 9;
constexpr Duration kCourse = 25s;      // Load and faults.
constexpr Duration kCalm = 40s;        // Afterwards: everything that was accepted comes to an end.
constexpr Duration kSettleTime = 25s;  // Of tasks that last, in calm.
constexpr Duration kLongCalm = 90s;
constexpr Duration kJobEvery = 120ms;
constexpr Duration kFaultEvery = 1500ms;
constexpr Duration kWithdrawalLimit = 5s;
constexpr double kTenantFaultShare = 0.4;  // Of the faults, in a course with tenants.
constexpr int kLastingJobs = 2;
constexpr int kRepeatedJobs = 3;
constexpr int kOccurrences = 6;
constexpr int kSideTasks = 6;
constexpr int kSeriesGangs = 5;
constexpr int kSeriesCrashes = 6;
constexpr Duration kSeriesInterval = 2500ms;
constexpr double kSeriesShare = 0.14;  // Of the workers, as the platform's largest crashes.
constexpr int kCancelledJobs = 3;
constexpr int kSilences = 3;
constexpr Duration kLateOrdersTime = 6s;  // Of late orders at all workers.
constexpr double kLateOrdersShare = 0.5;
constexpr Duration kUnreadTime = 4s;  // For which a host stands still.
constexpr double kWaitingOrdersShare = 0.5;
constexpr double kWaitingWorkersShare = 0.4;
constexpr Duration kWaitingOrdersTime = 2s;
constexpr Duration kSilentHostsEvery = 4s;  // At most, from the end of one silence to the next.
constexpr int kChangesInSilence = 2;        // Of the owner.
constexpr Duration kLongHold = 10s;
constexpr Duration kSlowStopTime = 900ms;  // The platform's longest.
constexpr int kHotJobs = 25;               // Of one tenant at once.
constexpr int kRoutes = 4;                 // Queues that come and go.
constexpr Duration kRouteChangeEvery = 900ms;
constexpr Duration kRouteRequestEvery = 25ms;
constexpr Duration kWatchLossEvery = 5s;
constexpr int kMaxLaterLosses = 4;  // Watches that are lost one after the other.

std::vector<TenantSpec> AllTenants() {
  return {TenantSpec{"north", {"n1", "n2"}, 5, Resources{20'000, 0, 0}},
          TenantSpec{"south", {"s1", "s2"}, 5, Resources{}}, TenantSpec{"small", {"t1"}, 1, Resources{8000, 0, 0}}};
}

std::string RouteName(int number) {
  return fmt::format("route{}", number);
}

class Course {
 public:
  explicit Course(const CellChaosOptions& options)
      : options_(options),
        world_(options.seed, kHosts, kWorkers),
        route_random_(options.seed),
        releases_(world_, options.seed, options.same_id_at_once && !options.new_ids, [this](const std::string& what) {
          Note(what);
        }) {
    world_.log_to_stdout = options.log;
    world_.checks_waiting = true;
    AddQueues(world_);
    world_.keeps_calls_to_frozen_hosts = options.fault_kinds == 0;  // Earlier seeds were found without it.
    if (options.relays) {
      world_.max_direct_workers = 0;
    }
    if (options.slow_stops) {
      world_.SetMaxStopTime(kSlowStopTime);
    }
    world_.new_id_at_restart = options.new_ids;
    world_.max_hold = options.long_holds ? kLongHold : world_.max_hold;
    if (options.tenants) {
      world_.key_withdrawal_limit = kWithdrawalLimit;
      world_.configuration.needs_keys = true;
      world_.configuration.tenants = AllTenants();
      world_.Configure();
    }
    world_.checks_routes = options.routes;
    if (options.relays || options.tenants || options.long_holds) {
      for (size_t i = 0; i < kHosts; ++i) {
        world_.Kill(i);
        world_.Boot(i);
      }
    }
  }

  CellChaosResult Run() {
    world_.RunFor(2s);
    Load();
    Faults();
    if (options_.routes) {
      ChangeRoutes();
      AskForRoutes();
      LoseWatches();
    }
    if (options_.unread_requests) {
      UnreadRequests();
    }
    if (options_.waiting_orders) {
      world_.In(kWaitingOrdersTime, [this] { WaitingOrders(); });
    }
    if (options_.silent_hosts) {
      SilenceHosts();
    }
    if (options_.releases) {
      releases_.Begin();
    }
    world_.RunFor(kCourse);
    over_ = true;
    releases_.Stop();
    Heal();
    world_.RunFor(kSettleTime);
    JudgeLastingTasks();
    world_.RunFor(options_.tenants || options_.dense ? kLongCalm : kCalm);
    return Judge();
  }

 private:
  using Fault = void (Course::*)();

  void Note(const std::string& what) {
    result_.faults.push_back(fmt::format("{} ms: {}", Millis(world_.Now().time_since_epoch()) - 3'600'000, what));
  }
  size_t AnyHost() { return world_.random()() % kHosts; }
  FakeWorker& AnyWorker() { return WorkerAt(world_.random()() % kWorkers); }
  FakeWorker& WorkerAt(size_t place) { return world_.worker(releases_.WorkerAt(place)); }
  Duration Between(Duration least, Duration most) {
    return least + Duration(static_cast<int64_t>(world_.random()() % static_cast<uint64_t>((most - least).count())));
  }

  void Load() {
    if (over_) {
      return;
    }
    SubmitOne(options_.tenants ? AnyKey() : KeyDigest());
    world_.In(Between(kJobEvery / 2, kJobEvery * 2), [this] { Load(); });
  }

  void SubmitOne(const KeyDigest& key) {
    const int number = ++jobs_;
    std::vector<StepSpec> steps;
    const int kind = static_cast<int>(world_.random()() % 4);
    const int cpu_millis = 1000 + 500 * static_cast<int>(world_.random()() % 8);
    StepSpec first = StepOf(1 + static_cast<int>(world_.random()() % 5), cpu_millis);
    first.gang = kind == 1;
    steps.push_back(first);
    if (kind == 2) {
      StepSpec second = StepOf(2, 3000);
      second.after = {0};
      steps.push_back(second);
    }
    const JobSpec job = JobOf(number, steps, world_.Chance(0.5) ? "plain" : "advised");
    world_.SetKey(job.id, key);
    const TaskBehaviour behaviour{options_.dense && world_.Chance(0.3) ? Between(2s, 7s) : Between(100ms, 2s),
                                  world_.Chance(0.1) ? static_cast<int>(world_.random()() % 4) : 0};
    if (behaviour.fails > 0) {
      failing_.insert(job.id);
    }
    world_.SubmitWithRetries(job, behaviour);
    if (world_.Chance(0.05)) {
      cancelled_.insert(job.id);
      world_.In(Between(50ms, 3s), [this, job] { Cancel(job); });
    }
  }

  // A job of which one task crashes each worker that starts it.
  void DeadlyTask() {
    const int number = ++jobs_;
    std::vector<StepSpec> steps{StepOf(1 + static_cast<int>(world_.random()() % 4), 1000)};
    steps[0].gang = world_.Chance(0.2);
    const JobSpec job = JobOf(number, steps, world_.Chance(0.5) ? "plain" : "advised");
    world_.SetKey(job.id, options_.tenants ? AnyKey() : KeyDigest());
    deadly_.insert(job.id);
    Note("deadly task in job " + job.id);
    world_.SubmitWithRetries(
        job, TaskBehaviour{.takes = 500ms, .crashes_worker = 0, .restarts_under_new_id = world_.Chance(0.5)});
  }

  void Cancel(const JobSpec& job) {
    world_.Ask(AnyHost(), CallerKind::kCancel, job.queue, job.id, [this, job](const CallerReply& reply) {
      const bool acknowledged = reply.outcome == CallerOutcome::kDone || reply.outcome == CallerOutcome::kNoSuchJob;
      if (!acknowledged && !over_) {
        world_.In(500ms, [this, job] { Cancel(job); });
      }
    });
  }

  void Faults() {
    // New kinds go to the end: `fault_kinds` counts from the first.
    static constexpr std::array kFaults = {
        &Course::KillHost,         &Course::KillOwner,        &Course::KillAll,          &Course::FreezeOwner,
        &Course::LeaveHost,        &Course::StoreDown,        &Course::StoreLoses,       &Course::StoreLate,
        &Course::StoreSlow,        &Course::StoreTurnsAway,   &Course::Revoke,           &Course::ForgetHistory,
        &Course::CrashWorker,      &Course::CutWorker,        &Course::LateOrders,       &Course::LostOrders,
        &Course::SlowClocks,       &Course::CutHost,          &Course::DrainWorker,      &Course::FreezeHost,
        &Course::MessagesLate,     &Course::StopLoadingOwner, &Course::RestartCutWorker, &Course::CutPaths,
        &Course::OneWayWorker,     &Course::RestartWorker,    &Course::DeadlyTask,       &Course::CrashSeries,
        &Course::CutOwnerSide,     &Course::RepeatedJobs,     &Course::LastingTasks,     &Course::CancelEverywhere,
        &Course::AskReplacedOwner, &Course::SilentWatches};
    if (over_) {
      return;
    }
    if (options_.tenants && world_.Chance(kTenantFaultShare)) {
      ChangeTenants();
      world_.In(Between(kFaultEvery / 3, kFaultEvery * 2), [this] { Faults(); });
      return;
    }
    const size_t kinds = options_.fault_kinds == 0 ? kFaults.size() : options_.fault_kinds;
    (this->*kFaults[world_.random()() % kinds])();
    const Duration interval = options_.dense ? kFaultEvery / 3 : kFaultEvery;
    world_.In(Between(interval / 3, interval * 2), [this] { Faults(); });
  }

  void Reboot(size_t host, Duration after) {
    world_.In(after, [this, host] { world_.Boot(host); });
  }
  void KillHost() {
    const size_t host = AnyHost();
    Note(fmt::format("kill h{}", host));
    world_.Kill(host);
    Reboot(host, Between(300ms, 3s));
  }
  void KillOwner() {
    const auto owner = world_.OwnerIndex();
    if (owner) {
      Note(fmt::format("kill owner h{}", *owner));
      world_.Kill(*owner);
      Reboot(*owner, Between(300ms, 4s));
    }
  }
  void KillAll() {
    Note("kill all");
    for (size_t i = 0; i < kHosts; ++i) {
      world_.Kill(i);
      Reboot(i, Between(500ms, 2s));
    }
  }
  void Freeze(size_t host) {
    if (world_.host(host) != nullptr) {
      const Duration time = Between(500ms, 5s);
      Note(fmt::format("freeze h{} {} ms", host, Millis(time)));
      world_.Freeze(host, time);
    }
  }
  void FreezeOwner() { Freeze(world_.OwnerIndex().value_or(0)); }
  void FreezeHost() { Freeze(AnyHost()); }
  void LeaveHost() { StopHost(world_.Chance(0.5) ? world_.OwnerIndex().value_or(AnyHost()) : AnyHost()); }
  void StopHost(size_t host) {
    if (world_.host(host) == nullptr) {
      return;
    }
    Note(fmt::format("stop h{}", host));
    world_.Leave(host);
    world_.In(4s, [this, host] {
      world_.Kill(host);
      Reboot(host, 1s);
    });
  }
  // The owner dies, and its successor is stopped while it reads its state from a store that goes down meanwhile.
  void StopLoadingOwner() {
    const auto owner = world_.OwnerIndex();
    if (!owner) {
      return;
    }
    Note(fmt::format("kill owner h{} and stop its successor in an outage", *owner));
    world_.Kill(*owner);
    Reboot(*owner, Between(300ms, 4s));
    StopSuccessor(*owner, world_.Now() + 3s, Between(1ms, 16ms));
  }
  void StopSuccessor(size_t dead, TimePoint until, Duration after) {
    const auto successor = world_.OwnerIndex();
    if (!successor && world_.Now() < until) {
      world_.In(1ms, [this, dead, until, after] { StopSuccessor(dead, until, after); });
      return;
    }
    if (!successor || *successor == dead) {
      return;
    }
    world_.In(after, [this, host = *successor] {
      StoreDown();
      StopHost(host);
    });
  }
  void FaultyStore(const char* what, const CallFaults& faults, Duration time) {
    Note(fmt::format("store {} {} ms", what, Millis(time)));
    world_.store().faults = faults;
    world_.In(time, [this] { world_.store().faults = CallFaults{}; });
  }
  void StoreDown() {
    CallFaults faults;
    (world_.Chance(0.5) ? faults.down : faults.silent) = true;
    FaultyStore("down", faults, Between(1s, 6s));
  }
  void StoreLoses() {
    CallFaults faults;
    faults.lost_answer_share = 0.35;
    FaultyStore("loses answers", faults, Between(1s, 5s));
  }
  void StoreLate() {
    CallFaults faults;
    faults.late_execution_share = 0.3;
    FaultyStore("carries out late", faults, Between(1s, 5s));
  }
  void StoreSlow() {
    CallFaults faults;
    faults.extra_delay = 200ms;
    FaultyStore("slow", faults, Between(1s, 5s));
  }
  void StoreTurnsAway() {
    const size_t host = world_.Chance(0.5) ? world_.OwnerIndex().value_or(0) : AnyHost();
    Note(fmt::format("store turns away h{}", host));
    CallFaults faults;
    (world_.Chance(0.5) ? faults.down : faults.silent) = true;
    world_.StoreFaultsOf(host) = faults;
    world_.In(Between(1s, 8s), [this, host] { world_.StoreFaultsOf(host) = CallFaults{}; });
  }
  void Revoke() {
    Note("leases revoked");
    world_.store().RevokeLeases();
  }
  void ForgetHistory() {
    Note("history lost");
    world_.store().ForgetHistory();
  }
  void CrashWorker() {
    FakeWorker& worker = AnyWorker();
    if (!worker.up) {
      return;
    }
    Note("crash " + worker.entry.id);
    worker.Crash();
    world_.In(Between(300ms, 4s), [&worker] {
      if (!worker.up) {
        worker.Restart();
      }
    });
  }
  // Many workers crash at the same time, again and again, under gangs of every width.
  void CrashSeries() {
    Note("series of crashes");
    for (int i = 0; i < kSeriesGangs; ++i) {
      StepSpec step = StepOf(1 + static_cast<int>(world_.random()() % kWorkers), 5000);
      step.gang = true;
      SubmitSteps({step}, TaskBehaviour{Between(500ms, 3s), 0});
    }
    for (int i = 0; i < kSeriesCrashes; ++i) {
      world_.In(i * kSeriesInterval, [this] { CrashSome(); });
    }
  }
  void CrashSome() {
    for (size_t i = 0; i < kWorkers; ++i) {
      FakeWorker& worker = WorkerAt(i);
      if (!over_ && worker.up && world_.Chance(kSeriesShare)) {
        worker.Crash();
        world_.In(Between(200ms, 1600ms), [&worker, born = worker.entry.born_ms] {
          if (!worker.up && worker.entry.born_ms == born) {
            worker.Restart();
          }
        });
      }
    }
  }
  JobSpec SubmitSteps(const std::vector<StepSpec>& steps, const TaskBehaviour& behaviour) {
    JobSpec job = JobOf(++jobs_, steps);
    world_.SetKey(job.id, options_.tenants ? AnyKey() : KeyDigest());
    world_.SubmitWithRetries(job, behaviour);
    return job;
  }
  void FaultyWorker(const char* what, const CallFaults& faults) {
    FakeWorker& worker = AnyWorker();
    Note(fmt::format("{} {}", what, worker.entry.id));
    worker.faults = faults;
    world_.In(Between(1s, 9s), [&worker] { worker.faults = CallFaults{}; });
  }
  void CutWorker() {
    CallFaults faults;
    faults.silent = true;
    FaultyWorker("cut", faults);
  }
  void LateOrders() {
    if (options_.late_orders) {
      LateOrdersEverywhere();
      return;
    }
    CallFaults faults;
    faults.late_execution_share = 0.3;
    FaultyWorker("orders late at", faults);
  }
  // Orders that are on their way when their worker crashes reach its next process.
  void LateOrdersEverywhere() {
    Note("orders late everywhere");
    for (size_t i = 0; i < kWorkers; ++i) {
      FakeWorker& worker = WorkerAt(i);
      worker.faults.late_execution_share = kLateOrdersShare;
      world_.In(kLateOrdersTime, [&worker] { worker.faults.late_execution_share = 0; });
      world_.In(Between(500ms, kLateOrdersTime), [this, &worker] { CrashBriefly(worker); });
    }
  }
  // A host stands still with a request unread. Its caller leaves at its timeout, cancels the job at another host and
  // never submits it again; the owner may change in between.
  void UnreadRequests() {
    if (over_) {
      return;
    }
    const auto owner = world_.OwnerIndex();
    const size_t host = AnyHost();
    if (owner && host != *owner && world_.host(host) != nullptr) {
      Note(fmt::format("h{} stands still with a request", host));
      const JobSpec job = JobOf(++jobs_, {StepOf(2, 1000)});
      cancelled_.insert(job.id);
      world_.SetKey(job.id, options_.tenants ? AnyKey() : KeyDigest());
      world_.Freeze(host, kUnreadTime);
      world_.Submit(host, job, TaskBehaviour{Between(4s, 20s), 0}, [this, job](const CallerReply& reply) {
        if (reply.outcome == CallerOutcome::kOutcomeUnknown && !over_) {
          Cancel(job);
          if (world_.Chance(0.4)) {
            world_.In(Between(50ms, 800ms), [this] { over_ ? void() : ChangeOwner(); });
          }
        }
      });
    }
    world_.In(Between(kUnreadTime / 2, kUnreadTime * 2), [this] { UnreadRequests(); });
  }
  // A few workers at a time, again and again.
  void WaitingOrders() {
    if (over_) {
      return;
    }
    for (size_t i = 0; i < kWorkers; ++i) {
      if (world_.Chance(kWaitingWorkersShare)) {
        OrdersWaitAt(WorkerAt(i));
      }
    }
    world_.In(Between(kWaitingOrdersTime, 2 * kWaitingOrdersTime), [this] { WaitingOrders(); });
  }
  // Orders wait for connections that late ones take up. The worker's supervisor keeps its listening socket, so that its
  // next life gets them.
  void OrdersWaitAt(FakeWorker& worker) {
    Note("orders wait at " + worker.entry.id);
    worker.faults.waiting_share = kWaitingOrdersShare;
    worker.faults.extra_delay = Between(0ms, 100ms);
    world_.In(kWaitingOrdersTime, [&worker] { worker.faults.waiting_share = 0; });
    world_.In(kWaitingOrdersTime, [&worker] { worker.faults.extra_delay = Duration(0); });
    world_.In(Between(300ms, kWaitingOrdersTime), [this, &worker] {
      if (worker.up) {
        worker.Crash();
        worker.Restart(/*write_entry=*/false);
        world_.In(Between(0ms, 500ms), [this, &worker] { world_.WriteWorkerEntry(worker); });
      }
    });
  }
  void CrashBriefly(FakeWorker& worker) {
    if (!worker.up) {
      return;
    }
    worker.Crash();
    world_.In(300ms, [&worker] {
      if (!worker.up) {
        worker.Restart();
      }
    });
  }
  void LostOrders() {
    CallFaults faults;
    faults.lost_answer_share = 0.3;
    FaultyWorker("answers lost from", faults);
  }
  // A worker is cut off, crashes behind the cut and starts again under its id.
  void RestartCutWorker() {
    FakeWorker& worker = AnyWorker();
    Note("cut and restart " + worker.entry.id);
    CallFaults faults;
    faults.silent = true;
    worker.faults = faults;
    const Duration cut = Between(1s, 6s);
    world_.In(Between(100ms, cut), [&worker] {
      worker.Crash();
      worker.Restart();
    });
    world_.In(cut, [&worker] { worker.faults = CallFaults{}; });
  }
  void RestartWorker() {
    FakeWorker& worker = AnyWorker();
    Note("restart " + worker.entry.id);
    worker.Crash();
    worker.Restart();
  }
  // Some workers lose the path to some of the hosts.
  void CutPaths() {
    Note("paths cut");
    const Duration cut = Between(1s, 7s);
    const auto owner = world_.OwnerIndex();
    for (size_t host = 0; host < kHosts; ++host) {
      if (world_.Chance(0.5) || (owner && host == *owner && world_.Chance(0.5))) {
        continue;
      }
      for (size_t i = 0; i < kWorkers; ++i) {
        if (world_.Chance(0.25)) {
          FakeWorker& worker = WorkerAt(i);
          world_.CutPath(host, worker, true);
          world_.In(cut, [this, host, &worker] { world_.CutPath(host, worker, false); });
        }
      }
    }
  }
  // The owner keeps some workers, often few, and loses the store and all else.
  void CutOwnerSide() {
    const auto owner = world_.OwnerIndex();
    if (!owner) {
      return;
    }
    std::set<size_t> workers;
    const double share = world_.Chance(0.3) ? 0.6 : 0.25;
    for (size_t i = 0; i < kWorkers; ++i) {
      if (world_.Chance(share)) {
        workers.insert(releases_.WorkerAt(i));
      }
    }
    const Duration cut = Between(2s, 12s);
    Note(fmt::format("h{} cut off with {} workers {} ms", *owner, workers.size(), Millis(cut)));
    for (int i = 0; i < kSideTasks; ++i) {
      SubmitSteps({StepOf(2, 1000)}, TaskBehaviour{Between(4s, 15s), 0});
    }
    world_.In(Between(100ms, 900ms), [this, owner = *owner, workers, cut] {
      world_.CutOffWithWorkers(owner, workers, true);
      world_.In(cut, [this, owner, workers] { world_.CutOffWithWorkers(owner, workers, false); });
    });
  }
  // Many short tasks of repeated jobs, through the death of the owner, and hosts whose time of day differs.
  void RepeatedJobs() {
    Note("repeated jobs, and clocks that differ");
    for (size_t host = 0; host < kHosts; ++host) {
      const Duration offset = world_.Chance(0.5) ? Between(0s, 4s) - 2s : Duration(0);
      world_.SetWallOffset(host, offset);
    }
    for (int i = 0; i < kRepeatedJobs; ++i) {
      const JobSpec job = RepeatedJobOf(world_, ++jobs_, {StepOf(1 + static_cast<int>(world_.random()() % 5), 500)},
                                        kOccurrences, Between(400ms, 1500ms));
      world_.SetKey(job.id, options_.tenants ? AnyKey() : KeyDigest());
      world_.SubmitWithRetries(job, TaskBehaviour{Between(100ms, 900ms), 0});
    }
    world_.In(Between(1s, 3s), [this] { over_ ? void() : KillOwner(); });
    world_.In(Between(3s, 8s), [this] { over_ ? void() : KillOwner(); });
  }
  // Tasks that last and end by themselves, also while their worker is cut off.
  void LastingTasks() {
    Note("tasks that last");
    for (int i = 0; i < kLastingJobs; ++i) {
      StepSpec step = StepOf(1 + static_cast<int>(world_.random()() % 4), 50);
      step.long_running = true;
      step.gang = world_.Chance(0.2);
      lasting_.push_back(
          SubmitSteps({step}, TaskBehaviour{.takes = Between(500ms, 6s), .ends_by_itself = world_.Chance(0.7)}));
    }
    CutWorker();
    CutWorker();
  }
  JobSpec SubmitTwoSteps() {
    StepSpec second = StepOf(2, 1000);
    second.after = {0};
    JobSpec job = SubmitSteps({StepOf(2, 1000), second}, TaskBehaviour{Between(1s, 5s), 0});
    cancelled_.insert(job.id);
    return job;
  }
  // Jobs that are cancelled soon, through all hosts at the same time.
  void CancelEverywhere() {
    Note("cancels through all hosts");
    for (int i = 0; i < kCancelledJobs; ++i) {
      const JobSpec job = SubmitTwoSteps();
      world_.In(Between(50ms, 3s), [this, job] {
        for (size_t host = 0; host < kHosts; ++host) {
          world_.Ask(host, CallerKind::kState, job.queue, job.id, [](const CallerReply&) {});
          world_.Ask(host, CallerKind::kCancel, job.queue, job.id, [](const CallerReply&) {});
        }
        Cancel(job);
      });
    }
  }
  // The owner stands still or is cut off; others accept jobs, and callers ask the one before for them.
  void AskReplacedOwner() {
    const auto owner = world_.OwnerIndex();
    if (!owner) {
      return;
    }
    const Duration away = Between(2s, 7s);
    if (world_.Chance(0.5)) {
      Note(fmt::format("freeze owner h{} {} ms and ask it", *owner, Millis(away)));
      world_.Freeze(*owner, away);
    } else {
      Note(fmt::format("h{} cut off alone {} ms and asked", *owner, Millis(away)));
      world_.CutOffWithWorkers(*owner, {}, true);
      world_.In(away, [this, owner = *owner] { world_.CutOffWithWorkers(owner, {}, false); });
    }
    for (int i = 0; i < kCancelledJobs; ++i) {
      const JobSpec job = SubmitTwoSteps();
      world_.In(away - Between(1ms, 1500ms), [this, job, owner = *owner] {
        world_.Ask(owner, world_.Chance(0.5) ? CallerKind::kCancel : CallerKind::kState, job.queue, job.id,
                   [](const CallerReply&) {});
      });
    }
  }
  // The store falls silent towards the watches of some hosts, in series, and has lost the history when it is back.
  void SilentWatches() {
    Note("silent watches");
    for (int i = 0; i < kSilences; ++i) {
      const Duration begin = Between(0s, 2s) + i * 4s;
      const Duration length = Between(500ms, 3500ms);
      for (size_t host = 0; host < kHosts; ++host) {
        if (world_.Chance(0.7)) {
          world_.In(begin, [this, host] { world_.SilenceWatches(host, !over_); });
          world_.In(begin + length + Between(0s, 200ms), [this, host] { world_.SilenceWatches(host, false); });
        }
      }
      world_.In(begin + length, [this] { world_.store().ForgetHistory(); });
    }
  }
  // Orders arrive, and nothing comes back.
  void OneWayWorker() {
    CallFaults faults;
    faults.lost_answer_share = 1;
    FaultyWorker("no answers from", faults);
  }
  void SlowClocks() {
    FakeWorker& worker = AnyWorker();
    Note("restart with a slow clock " + worker.entry.id);
    worker.Crash();
    worker.clock_rate = 0.981;
    worker.Restart();
  }
  void CutHost() {
    const size_t host = AnyHost();
    Note(fmt::format("h{} cut from hosts", host));
    world_.CutPeers(host, true);
    world_.In(Between(1s, 6s), [this, host] { world_.CutPeers(host, false); });
  }
  // All messages between hosts are lost for seconds, in series, while the owner is stopped, dies or stands still.
  void SilenceHosts() {
    if (over_) {
      return;
    }
    const Duration silence = Between(1500ms, 6s);
    Note(fmt::format("no messages between hosts for {} ms", Millis(silence)));
    SetSilentHosts(true);
    for (int i = 0; i < kChangesInSilence; ++i) {
      world_.In(Between(1ms, silence), [this] { over_ ? void() : ChangeOwner(); });
    }
    world_.In(silence, [this] {
      SetSilentHosts(false);
      world_.In(Between(kSilentHostsEvery / 4, kSilentHostsEvery), [this] { SilenceHosts(); });
    });
  }
  void SetSilentHosts(bool silent) {
    for (size_t i = 0; i < world_.host_count(); ++i) {
      world_.CutPeers(i, silent);
    }
  }
  void ChangeOwner() {
    const auto owner = world_.OwnerIndex();
    const uint64_t how = world_.random()() % 3;
    if (how == 0) {
      KillOwner();
    } else if (how == 1 && owner) {
      StopHost(*owner);
    } else if (owner) {
      Freeze(*owner);
    }
  }
  void MessagesLate() {
    Note("messages between hosts late");
    world_.late_message_share = 0.3;
    world_.In(Between(1s, 6s), [this] { world_.late_message_share = 0; });
  }
  void DrainWorker() {
    FakeWorker& worker = AnyWorker();
    Note("drain " + worker.entry.id);
    worker.entry.draining = true;
    world_.WriteWorkerEntry(worker);
    world_.In(Between(1s, 4s), [this, &worker] {
      worker.entry.draining = false;
      world_.WriteWorkerEntry(worker);
    });
  }

  // --- Queues that come and go ---
  // From an engine of its own, so that the other faults of a seed stay as they are.
  uint64_t AnyRouteNumber(uint64_t count) { return route_random_() % count; }
  Duration RouteDelay(Duration mean) {
    return mean / 4 + Duration(static_cast<int64_t>(route_random_() % static_cast<uint64_t>(2 * mean.count())));
  }
  void ChangeRoutes() {
    if (over_) {
      return;
    }
    const std::string name = RouteName(static_cast<int>(AnyRouteNumber(kRoutes)));
    std::vector<QueueSpec>& queues = world_.configuration.queues;
    const bool dropped = std::erase_if(queues, [&](const QueueSpec& queue) { return queue.name == name; }) > 0;
    if (!dropped) {
      QueueSpec queue = *world_.configuration.FindQueue("plain");
      queue.name = name;
      queue.prefix = "/" + name + "/";
      queues.push_back(queue);
    }
    Note((dropped ? "drop " : "add ") + name);
    world_.Configure();
    world_.In(RouteDelay(kRouteChangeEvery), [this] { ChangeRoutes(); });
  }
  void AskForRoutes() {
    if (over_) {
      return;
    }
    const std::string name = RouteName(static_cast<int>(AnyRouteNumber(kRoutes)));
    world_.Ask(AnyRouteNumber(kHosts), CallerKind::kPending, name, "", [](const CallerReply&) {});
    world_.In(RouteDelay(kRouteRequestEvery), [this] { AskForRoutes(); });
  }
  void LoseWatches() {
    if (over_) {
      return;
    }
    const size_t host = AnyRouteNumber(kHosts);
    const int later = static_cast<int>(AnyRouteNumber(kMaxLaterLosses + 1));
    Note(fmt::format("h{} loses its watches and {} later ones", host, later));
    world_.LoseWatches(host, later);
    world_.In(RouteDelay(kWatchLossEvery), [this] { LoseWatches(); });
  }

  // --- Tenants ---
  KeyDigest AnyKey() {
    static const std::vector<KeyDigest> kKeys = {"n1", "n2", "s1", "s2", "n1",   "n2",
                                                 "s1", "s2", "s1", "t1", "none", ""};
    return kKeys[world_.random()() % kKeys.size()];
  }
  TenantSpec& AnyTenant() {
    std::vector<TenantSpec>& tenants = world_.configuration.tenants;
    return tenants[world_.random()() % tenants.size()];
  }
  void ChangeTenants() {
    static constexpr std::array kChanges = {
        &Course::WithdrawKey, &Course::WithdrawAllKeys, &Course::GiveKeysBack,        &Course::LowerMaximum,
        &Course::RaiseMaxima, &Course::HotTenant,       &Course::WithdrawBehindOutage};
    (this->*kChanges[world_.random()() % kChanges.size()])();
  }
  void WithdrawKey() {
    TenantSpec& tenant = AnyTenant();
    if (!tenant.keys.empty() && !over_) {
      Note("withdraw key " + tenant.keys.front());
      tenant.keys.erase(tenant.keys.begin());
      world_.Configure();
    }
  }
  void WithdrawAllKeys() {
    TenantSpec& tenant = AnyTenant();
    Note("withdraw all keys of " + tenant.name);
    tenant.keys.clear();
    world_.Configure();
  }
  void GiveKeysBack() {
    Note("give all keys back");
    for (size_t i = 0; i < AllTenants().size(); ++i) {
      world_.configuration.tenants[i].keys = AllTenants()[i].keys;
    }
    world_.Configure();
  }
  void LowerMaximum() {
    TenantSpec& tenant = AnyTenant();
    Note("lower maximum of " + tenant.name);
    tenant.maximum.cpu_millis = 1000 + static_cast<int64_t>(world_.random()() % 6000);
    world_.Configure();
  }
  void RaiseMaxima() {
    Note("raise all maxima");
    for (size_t i = 0; i < AllTenants().size(); ++i) {
      world_.configuration.tenants[i].maximum = AllTenants()[i].maximum;
    }
    world_.Configure();
  }
  void HotTenant() {
    Note("hot tenant");
    for (int i = 0; i < kHotJobs; ++i) {
      SubmitOne("s1");
    }
  }
  // The store is away from the hosts while the operator, whom it still serves, withdraws a key.
  void WithdrawBehindOutage() {
    StoreDown();
    world_.In(Between(1ms, 800ms), [this] { WithdrawKey(); });
  }

  void Heal() {
    if (options_.tenants) {
      world_.configuration.tenants = AllTenants();
      world_.Configure();
    }
    world_.store().faults = CallFaults{};
    world_.late_message_share = 0;
    for (size_t i = 0; i < world_.host_count(); ++i) {
      world_.StoreFaultsOf(i) = CallFaults{};
      world_.SilenceWatches(i, false);
      world_.CutPeers(i, false);
    }
    for (size_t i = 0; i < world_.worker_count(); ++i) {
      world_.worker(i).faults = CallFaults{};
      if (!world_.worker(i).up && !world_.worker(i).departed) {
        world_.worker(i).Restart();
      }
    }
  }

  // Each task that lasts is at work in the end, on one worker; the jobs are then cancelled.
  void JudgeLastingTasks() {
    for (const JobSpec& job : lasting_) {
      for (int i = 0; i < job.steps[0].count && world_.Accepted(job.id); ++i) {
        const TaskRef task{job.id, 0, 0, i};
        if (!world_.RunUntil([&] { return world_.RunningCount(task) == 1; }, 6s)) {
          result_.lost.push_back(fmt::format("lasting task {}.{} runs {} times", job.id, i, world_.RunningCount(task)));
        }
      }
      cancelled_.insert(job.id);
      world_.Ask(world_.OwnerIndex().value_or(0), CallerKind::kCancel, job.queue, job.id, [](const CallerReply&) {});
    }
  }

  CellChaosResult Judge() {
    result_.violations = world_.violations();
    result_.starts = world_.starts();
    result_.routes_refused = world_.routes().refused();
    result_.routes_judged = world_.routes().judged();
    std::set<std::string> given_up;
    for (int i = 1; i <= jobs_; ++i) {
      if (!world_.Accepted(JobId(i))) {
        continue;
      }
      ++result_.accepted;
      std::optional<JobState> state = world_.StateOf("plain", JobId(i));
      if (!state) {
        state = world_.StateOf("advised", JobId(i));
      }
      if (!state || !IsFinal(*state)) {
        result_.lost.push_back(fmt::format("job {} is {}", JobId(i), state ? NameOf(*state) : "not known"));
      } else if (*state == JobState::kCancelled && !cancelled_.contains(JobId(i))) {
        result_.lost.push_back(fmt::format("job {} is cancelled, and nobody asked for that", JobId(i)));
      } else if (*state == JobState::kFailed && failing_.count(JobId(i)) == 0 && world_.CrashCount(JobId(i)) < 2) {
        result_.lost.push_back(fmt::format("job {} is failed without cause", JobId(i)));
      } else if (*state == JobState::kCompleted && deadly_.contains(JobId(i))) {
        result_.lost.push_back(fmt::format("job {} is completed and cannot be", JobId(i)));
      }
      if (state == JobState::kFailed) {
        given_up.insert(JobId(i));
      }
    }
    for (const LostWork& each : world_.lost()) {
      if (!each.may_be_given_up || !given_up.contains(each.job)) {
        result_.lost.push_back(each.text);
      }
    }
    return result_;
  }

  const CellChaosOptions options_;
  CellWorld world_;
  CellChaosResult result_;
  std::mt19937_64 route_random_;
  CellReleases releases_;
  std::set<std::string> cancelled_;
  std::vector<JobSpec> lasting_;
  std::set<std::string> failing_;  // Some of their runs fail.
  std::set<std::string> deadly_;   // One of their tasks crashes its workers.
  int jobs_ = 0;
  bool over_ = false;
};

}  // namespace

CellChaosResult RunCellChaos(const CellChaosOptions& options) {
  return Course(options).Run();
}

}  // namespace hibiscus::cell
