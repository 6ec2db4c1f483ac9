// Simulates a cell in virtual time: hosts that run the production core, and a fake store, workers and advice service
// that follow the platform's rules and inject faults on demand. Single-threaded and deterministic for a given seed.
//
// Checks these invariants on the runs that workers start: no worker exceeds its capacity, no task runs in two places at
// once, none starts after an end that is acknowledged before or later (EndCheck), none belongs to a job that was not
// accepted, steps run in order, failed attempts stay within the limit, and a task that crashes its workers is not
// started three times more after three of them have crashed under it. And on the replies to callers: none reports
// success for a key that no configuration held, that was withdrawn longer ago than allowed, or that is of another
// tenant than the job. No start brings a tenant above a tenth more than its maximum and one task. No caller hears that
// an accepted job does not exist, and no task starts long after its job's cancelling was acknowledged, which such an
// answer does too, also of a job that was not accepted by then; one that a late order starts must be gone again soon
// (LateRunCheck). Work that waits although it could run is in lost(), if that is checked, and so is what RouteCheck
// finds in violations().
#ifndef HIBISCUSSTAND_STANDINS_CELL_WORLD_H_
#define HIBISCUSSTAND_STANDINS_CELL_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cell/host.h"
#include "hibiscusstand/clock.h"
#include "standins/cell_end_check.h"
#include "standins/cell_late_run_check.h"
#include "standins/cell_links.h"
#include "standins/cell_route_check.h"
#include "standins/cell_waiting_check.h"

namespace hibiscus::cell {

class CellWorld;

// Faults currently injected into calls to one part of the simulation. Shares are probabilities from 0 to 1.
struct CallFaults {
  bool down = false;             // Calls are refused without any effect.
  bool silent = false;           // Calls have no effect and get no answer.
  double lost_answer_share = 0;  // Calls that are carried out but whose answer is lost.
  // Calls without an answer that are carried out seconds later, by whatever process the callee has by then.
  double late_execution_share = 0;
  Duration extra_delay{};  // Added to each answer.
  // Orders that wait for a free connection for up to 700 ms, and reach whatever process the worker has by then.
  double waiting_share = 0;

  friend bool operator==(const CallFaults&, const CallFaults&) = default;
};

// In-memory store with keys, leases and a change history.
class FakeStore {
 public:
  explicit FakeStore(CellWorld& world) : world_(world) {}

  StoreAnswer Read(const std::string& key) const;
  StoreAnswer Range(const std::string& prefix, const std::string& after) const;
  // Changes under `prefix` after revision `after`; nullopt if there are none.
  std::optional<StoreAnswer> Changes(const std::string& prefix, uint64_t after) const;
  StoreAnswer Commit(const StoreTransaction& transaction);
  StoreAnswer GrantLease(Duration ttl);
  StoreAnswer KeepLease(uint64_t lease);
  StoreAnswer EndLease(uint64_t lease);

  void Put(const std::string& key, const std::string& value) { Write(key, value, 0); }
  void Erase(const std::string& key);
  void ExpireLeases();
  void RevokeLeases();   // Erases every key with a lease; the leases themselves stay valid.
  void ForgetHistory();  // Watches from an older revision get kHistoryLost and must read again.
  // Called after each change.
  std::function<void()> on_change;

  bool leases_paused = false;  // Leases do not run; each has its whole time left afterwards.
  // Names of hosts whose watches hear nothing; they are cut when the silence ends.
  std::set<std::string> silent_watches;
  CallFaults faults;
  std::map<std::string, CallFaults> host_faults;  // Overrides `faults`, by host name.

 private:
  struct Lease {
    Duration ttl{};
    TimePoint expires_at{};
  };

  void Write(const std::string& key, const std::string& value, uint64_t lease);

  CellWorld& world_;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> history_;
  uint64_t history_from_ = 0;
  uint64_t revision_ = 10;
  std::map<uint64_t, Lease> leases_;
};

// Fake worker: rejects orders with a token below the highest seen, kills all runs when its hold expires, and lists
// ended runs until they are acknowledged.
class FakeWorker {
 public:
  static constexpr int kStopTimeSteps = 4;

  FakeWorker(CellWorld& world, WorkerEntry entry);

  OrderAnswer Start(const StartOrder& order);
  OrderAnswer Stop(const RunRef& run, uint64_t token);
  OrderAnswer Hold(const HoldOrder& order);
  bool ListsEndOf(const TaskRef& task) const;
  bool HasEnds(int64_t acknowledged) const { return !ended_.empty() && ended_.back().number > acknowledged; }

  void FinishDueRuns();                   // Ends all runs that are due.
  TimePoint NextEnd() const;              // Time of the next end or hold expiry.
  void Crash();                           // Loses all runs; Restart starts a new process.
  void Restart(bool write_entry = true);  // Without a path to the store a worker does not write its entry.
  void RestartUnderNewId();               // At the same address.
  void Depart();                          // Leaves for good after a drain: everything on it ends.
  void EndAllRuns(EndKind how);
  void FinishIfRunning(const RunRef& run, EndKind how);  // For members of a gang whose first member has ended.

  WorkerEntry entry;
  bool up = true;
  bool departed = false;             // Has left for good.
  bool refuses = false;              // Not up, and its machine refuses connections at once.
  bool refuses_connections = false;  // Has as many connections as it accepts, and breaks those that orders open.
  double speed = 1;
  double clock_rate = 1;         // Speed of the worker's clock relative to virtual time.
  bool hangs = false;            // Runs that start now make no progress, except gang members.
  bool fails_every_run = false;  // Runs that start now fail after 5 ms, except gang members.
  CallFaults faults;
  int orders_not_sent = 0;           // This many starts wait for a connection of their host until they expire.
  bool names_life = false;           // In its answers to starts, too.
  std::deque<Duration> start_waits;  // How long each of the next starts waits for a connection before it is sent.
  int starts_in_transit = 0;         // This many starts are delivered after `transit_time`, and their answers are lost.
  int acknowledgements_in_transit = 0;  // The same for holds that name ends to forget.
  int holds_in_transit = 0;             // The same for holds that name none.
  Duration transit_time{};
  std::function<OrderAnswer(const OrderAnswer&)> change_lists;  // What the hosts read of each answer with lists.
  Duration min_stop_time = 50ms;  // Of index 0; other indices take up to kStopTimeSteps times as long.

  bool IsRunning(const RunRef& run) const { return runs_.contains(run); }
  bool RunsTask(const TaskRef& task) const;  // Any run of it.
  bool IsIdle() const { return runs_.empty(); }
  // When the lease lapses unless it is renewed, or has lapsed. Also of a process that has ended.
  TimePoint LeaseEnd() const { return TimeAtClock(hold_until_); }

 private:
  friend class WaitingCheck;

  struct Run {
    Resources size;
    TimePoint ends_at{};  // Max: a gang member whose gang is incomplete.
    EndKind how = EndKind::kDone;
    bool gang = false;
    TimePoint gang_timeout_at{};
    TimePoint started_at{};
    bool hangs = false;
    bool stopping = false;
  };

  friend class CellWorld;

  void CrashSoon(const RunRef& run, bool new_id);
  void TakeNewId();  // The entry under the former id stays for a while.
  void LoseProcess();
  Duration ClockNow() const;
  TimePoint TimeAtClock(Duration clock) const;
  void Finish(const RunRef& ended, EndKind how);
  OrderAnswer MakeAnswer(OrderStatus status) const;
  void ExtendHold(Duration deadline);
  // Number of the last end after which the lease has lapsed.
  int64_t LastLapsedEnd() const;

  CellWorld& world_;
  mutable std::optional<TimePoint> next_end_;  // Cached result of NextEnd; empty after a change.
  TimePoint clock_base_{};
  uint64_t token_ = 0;
  Duration hold_until_{};  // In the worker's own clock.
  int ProgressPercent(const Run& run) const;

  std::map<RunRef, Run> runs_;
  std::map<TaskRef, int> highest_ended_run_;  // Highest run number that was stopped or ended here.
  std::vector<EndedRun> ended_;
  int64_t last_end_ = 0;
  int64_t last_end_listed_ = 0;          // Ends up to this number were in an answer.
  int64_t last_end_before_renewal_ = 0;  // Number of the last end before an expired hold was renewed.
};

// Actual behaviour of a job's tasks on the workers.
struct TaskBehaviour {
  Duration takes = 500ms;
  int fails = 0;  // Number of runs of each task that fail before one succeeds.
  // Index of the tasks that crash their worker soon after each start; it restarts after some seconds. -1: none.
  int crashes_worker = -1;
  bool ends_by_itself = false;  // Also a long-running task ends as done when `takes` is over.
  bool restarts_under_new_id = false;

  friend bool operator==(const TaskBehaviour&, const TaskBehaviour&) = default;
};

class FakeHost;

class CellWorld {
 public:
  CellWorld(uint64_t seed, int hosts, int workers, const Policies& host_policies = {});
  ~CellWorld();
  CellWorld(const CellWorld&) = delete;
  CellWorld& operator=(const CellWorld&) = delete;

  // --- Time ---
  TimePoint Now() const { return clock_.Now(); }
  void RunFor(Duration time);
  // Runs until `done` returns true; returns false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void In(Duration delay, std::function<void()> work) { timers_.In(delay, std::move(work)); }

  // --- Hosts ---
  size_t host_count() const { return hosts_.size(); }
  Host* host(size_t index);                  // Null while the process is down.
  std::optional<size_t> OwnerIndex() const;  // Running host that owns the cell with the highest term.
  void Kill(size_t index);
  void Boot(size_t index);
  void Freeze(size_t index, Duration time);
  void SetProcessorMillis(size_t index, int millis);  // Takes effect at the next boot.
  void Leave(size_t index);
  // Starts another host, which joins the others, and returns its index.
  size_t AddHost();
  // Ends a host's process for good.
  void RemoveHost(size_t index);
  // Disconnect a host from all other hosts or from all workers, or reconnect it.
  void CutPeers(size_t index, bool cut);
  void CutWorkers(size_t index, bool cut);
  // Disconnects a host from one worker, or reconnects it.
  void CutPath(size_t index, const FakeWorker& worker, bool cut);
  // Cuts off one host together with some workers from the store and from all other hosts and workers, or ends that.
  void CutOffWithWorkers(size_t index, const std::set<size_t>& workers, bool cut);
  // Sets a host's time of day off from that of the others.
  void SetWallOffset(size_t index, Duration offset);
  static int64_t WallMsAt(TimePoint time) { return 1'700'000'000'000 + Millis(time.time_since_epoch()); }
  CallFaults& StoreFaultsOf(size_t index);
  // The watches of a host hear nothing, or that ends and they are cut.
  void SilenceWatches(size_t index, bool silent);
  // The pending watches of a host and this many later ones are lost: each call times out without an answer.
  void LoseWatches(size_t index, int later);
  // Number of the host's large reads of the store that are without an answer yet.
  size_t LargeReadsOf(size_t host) const;
  // The connections on which large answers of the store are arriving at a host die.
  void LoseTransfers(size_t index);
  double CounterOf(size_t index, const std::string& name) const;  // 0 if the counter does not exist.

  // --- Callers ---
  using OnReply = std::function<void(const CallerReply&)>;
  void Submit(size_t index, const JobSpec& job, const TaskBehaviour& behaviour, OnReply reply);
  void Ask(size_t index, CallerKind kind, const std::string& queue, const std::string& job, OnReply reply);
  // The API key that requests for this job carry; initially none.
  void SetKey(const std::string& job, const KeyDigest& key) { keys_[job] = key; }
  // Submits through random hosts, with retries, until the job is accepted or rejected.
  void SubmitWithRetries(const JobSpec& job, const TaskBehaviour& behaviour);
  bool Accepted(const std::string& job) const { return accepted_.contains(job); }
  // Queries random hosts until one answers; 30 tries of at most 4 s of virtual time each. Empty if none knows the job.
  std::optional<JobState> StateOf(const std::string& queue, const std::string& job);

  // --- Invariants and counts ---
  const std::vector<std::string>& violations() const { return violations_; }
  void ReportViolation(const std::string& what);
  // Prints a line beside those of the hosts if `log_to_stdout`.
  void Log(const std::string& text) const;
  // Work that waited although it could run; empty unless `checks_waiting`.
  const std::vector<LostWork>& lost() const { return waiting_.found(); }
  const RouteCheck& routes() const { return routes_; }
  int starts() const { return starts_; }
  int RunningCount(const TaskRef& task) const;
  int CompletionCount(const TaskRef& task) const;
  // Highest number of workers that crashed under a task of the job.
  int CrashCount(const std::string& job) const;

  FakeStore& store() { return store_; }
  // Starts another worker and writes its entry. Returns its index.
  size_t AddWorker(const WorkerEntry& entry);
  // The longest time that a stop may take, a limit of the platform. Workers take up to that from now on.
  void SetMaxStopTime(Duration time);
  Duration max_stop_time() const { return max_stop_time_; }
  // Longest time for which workers grant a hold, a limit of the platform. Hosts know it from their next boot on.
  Duration max_hold = CellSettings{}.max_hold;
  bool new_id_at_restart = false;  // A worker that starts again has another id at the same address.
  FakeWorker& worker(size_t index) { return *workers_[index]; }
  size_t worker_count() const { return workers_.size(); }
  std::mt19937_64& random() { return random_; }
  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  CellConfiguration configuration;
  // Publishes `configuration` to all hosts under a new version.
  void Configure();
  size_t configuration_bytes = 0;  // Least size of the configuration in the store.
  StoreLinks links{*this};
  // Time after which withdrawn keys must be refused; takes effect at a process's next boot. 0: no limit.
  Duration key_withdrawal_limit{};
  Duration configuration_limit = CellSettings{}.configuration_limit;  // Takes effect at a process's next boot.
  // Does nothing for a worker that has left, or if another one has the same id and a later start.
  void WriteWorkerEntry(const FakeWorker& worker);
  void RemoveWorkerEntry(const FakeWorker& worker);
  bool log_to_stdout = false;
  const Policies policies;                                        // Used by all hosts.
  size_t max_direct_workers = CellSettings{}.max_direct_workers;  // Takes effect at a process's next boot.

  // Calls to a host that stands still wait for it, as in a socket; otherwise they get no answer.
  bool keeps_calls_to_frozen_hosts = true;
  // Share of messages between hosts that are delayed by up to two seconds, so that newer ones overtake them.
  double late_message_share = 0;
  // Processing time of a host per message, answer or round of timers. Zero: processing is instantaneous.
  Duration event_cost{};
  // By queue: percentage of the workers that the advice service allows a step; 85 without an entry.
  std::map<std::string, int> allowed_percent;
  bool checks_waiting = false;  // Looks for work that waits although it could run.
  // An end counts as taken note of a short time after its worker has listed it, as if nothing were disturbed near.
  bool judges_listed_ends = false;
  // Hosts look for the queue of each request before they handle it, and RouteCheck judges the answers.
  bool checks_routes = false;
  double advice_seconds = 0;  // Total processing time of the advice service for all hosts.

 private:
  friend class FakeStore;
  friend class FakeWorker;
  friend class FakeHost;
  friend class WaitingCheck;
  friend class EndCheck;
  friend class LateRunCheck;
  friend class RouteCheck;

  // A pending watch or hold. Resumes exactly once: when its condition holds or at its timeout.
  struct Waiter {
    std::function<bool()> is_ready;  // Whether there is something to report.
    std::function<void()> resume;
    bool completed = false;
  };
  using Waiters = std::vector<std::shared_ptr<Waiter>>;
  struct GangRun {
    std::set<std::string> arrived_members;  // Entries of the form worker/index.
    std::vector<FakeWorker*> workers;
  };

  void Step(TimePoint until);
  TimePoint NextEvent() const;
  size_t AnyHost();
  bool IsReplacedUnderItsId(const FakeWorker& worker) const;
  const CellConfiguration* ConfigurationOf(uint64_t version) const;
  // The tenant of this key in the configurations that may be in force for a request sent at that time.
  std::optional<std::string> TenantAt(const KeyDigest& key, TimePoint sent) const;
  std::string TenantOfKey(const KeyDigest& key) const;    // In the newest configuration that has it; empty if none has.
  std::string TenantOfJob(const std::string& job) const;  // By the key of its requests.
  // Whether the newest configuration lowers the maximum of a tenant.
  bool LowersMaximum() const;
  // Whether the advice service allows the tasks of a step on this worker.
  bool AdviceAllows(const QueueSpec& queue, const TaskRef& step, const std::string& worker) const;
  void CheckQuota(const StartOrder& order, const StepSpec& step);
  void CheckKey(const CallerRequest& request, TimePoint sent, const CallerReply& reply);
  void CheckUnknownJob(const CallerRequest& request, TimePoint sent, const CallerReply& reply);
  void RecordCancel(const CallerRequest& request, TimePoint sent, const CallerReply& reply);
  void CheckCancelOfUnknown(const std::string& job);
  bool AcceptedBefore(const std::string& job, TimePoint time) const;
  void Call(size_t index, const CallerRequest& request, OnReply reply);
  void AddWaiter(Waiters& waiters, TimePoint until, std::function<bool()> is_ready, std::function<void()> resume);
  void WakeReadyWaiters(Waiters& waiters);
  // --- Events reported by workers ---
  void OnRunStarted(FakeWorker& worker, const StartOrder& order);
  void CheckSingleGangRun(const RunRef& started, const StepSpec& step, const std::string& name);
  void OnRunEnded(FakeWorker& worker, const RunRef& run, EndKind how);
  void OnWorkerCrash(const FakeWorker& worker);
  void CheckCrashes(const RunRef& run, const StepSpec& step);
  void OnEndsAcknowledged(const FakeWorker& worker, const std::vector<EndedRun>& ends);
  const JobSpec* SpecOf(const std::string& job) const;
  // The job's queue as configured when the job was first submitted.
  const QueueSpec* QueueOf(const std::string& job) const;
  TaskBehaviour BehaviourOf(const std::string& job) const;
  void OnGangMemberStarted(FakeWorker& worker, const RunRef& run);
  void OnGangMemberEnded(const RunRef& run, EndKind how);

  ManualClock clock_;
  Timers timers_{clock_};
  std::mt19937_64 random_;
  Waiters watches_;  // Pending watches of the store.
  FakeStore store_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::map<const FakeWorker*, Waiters> pending_holds_;  // Hold calls that are pending until a run ends.
  std::vector<std::unique_ptr<FakeHost>> hosts_;

  std::map<std::string, JobSpec> submitted_;
  std::map<std::string, TaskBehaviour> behaviours_;
  std::map<std::string, QueueSpec> queues_;                         // By job id.
  std::map<std::string, KeyDigest> keys_;                           // By job id.
  std::map<std::string, std::string> tenants_;                      // Of accepted jobs, by job id.
  std::vector<std::pair<TimePoint, CellConfiguration>> published_;  // All configurations, oldest first.
  std::map<std::string, TimePoint> accepted_;                       // When a caller first heard it, by job id.
  std::map<std::string, TimePoint> acknowledged_cancels_;           // When a caller first heard it, by job id.
  // By job: when a caller first heard that a job which was not accepted does not exist, in answer to a cancel after
  // which it has not submitted the job again.
  std::map<std::string, TimePoint> cancels_of_unknown_;
  std::map<std::string, TimePoint> last_submissions_;  // By job id.
  // By job: number of submissions, and of replies that it was rejected or the cell unavailable.
  std::map<std::string, std::pair<int, int>> submission_counts_;
  std::map<TaskRef, std::set<std::pair<std::string, int>>> running_;  // Worker id and run number.
  std::map<TaskRef, int> completions_;                                // Number of successful ends.
  std::set<TaskRef> acknowledged_done_;
  std::map<TaskRef, int> acknowledged_failures_;  // Failed runs whose end the owner has acknowledged.
  std::map<TaskRef, int> runs_of_;
  std::map<TaskRef, int> crashes_;                         // Workers that crashed under it.
  std::map<TaskRef, std::set<int>> starts_after_crashes_;  // Run numbers, after kMaxCrashes.
  std::map<RunRef, GangRun> gangs_;                        // Keyed by step and run, with index 0.
  std::vector<std::string> violations_;
  bool carries_out_late_ = false;  // A worker is carrying out an order that is late.
  WaitingCheck waiting_{*this};
  LateRunCheck late_runs_{*this};
  EndCheck ends_{*this};
  Duration max_stop_time_ = 200ms;
  RouteCheck routes_{*this};
  int starts_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_WORLD_H_
