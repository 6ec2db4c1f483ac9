// A cell in virtual time: hosts with the real core, and a store, workers and an advice service that follow the
// platform's rules, with faults on demand. One thread, seeded: the same seed gives the same course.
//
// The world checks what must always hold, from what the workers see: no worker over its room, no task in two places at
// once, no start after a noted end, none of a job that nobody accepted, steps in order, attempts within bounds.
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

namespace hibiscus::cell {

class CellWorld;

// How calls to one part of the world go wrong now.
struct CallFaults {
  bool down = false;                // Refused: nothing is done.
  bool silent = false;              // No answer, nothing is done.
  double lost_answer_share = 0;     // Share that is done, and the answer lost.
  double late_execution_share = 0;  // Share that has no answer and is carried out seconds later.
  Duration extra_delay{};           // Added to each answer.

  friend bool operator==(const CallFaults&, const CallFaults&) = default;
};

// The store's keys, leases and history.
class FakeStore {
 public:
  explicit FakeStore(CellWorld& world) : world_(world) {}

  StoreAnswer Read(const std::string& key) const;
  StoreAnswer Range(const std::string& prefix, const std::string& after) const;
  // None while there is no change yet.
  std::optional<StoreAnswer> Changes(const std::string& prefix, uint64_t after) const;
  StoreAnswer Commit(const StoreTransaction& transaction);
  StoreAnswer GrantLease(Duration ttl);
  StoreAnswer KeepLease(uint64_t lease);
  StoreAnswer EndLease(uint64_t lease);

  void Put(const std::string& key, const std::string& value) { Write(key, value, 0); }
  void Erase(const std::string& key);
  void ExpireLeases();
  void RevokeLeases();   // Every key on a lease goes at once; the leases do not tell.
  void ForgetHistory();  // Watches must read anew.
  // Called after each change.
  std::function<void()> on_change;

  CallFaults faults;
  std::map<std::string, CallFaults> host_faults;  // For single hosts, by name.

 private:
  struct Lease {
    Duration ttl{};
    TimePoint until{};
  };

  void Write(const std::string& key, const std::string& value, uint64_t lease);

  CellWorld& world_;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> history_;
  uint64_t history_from_ = 0;
  uint64_t revision_ = 10;
  std::map<uint64_t, Lease> leases_;
};

// A worker: obeys the highest token, kills all when its hold runs out, lists ends until they are acknowledged.
class FakeWorker {
 public:
  FakeWorker(CellWorld& world, WorkerEntry entry);

  OrderAnswer Start(const StartOrder& order);
  OrderAnswer Stop(const RunRef& run, uint64_t token);
  OrderAnswer Hold(const HoldOrder& order);
  bool HasEnds(int64_t acknowledged) const { return !ended_.empty() && ended_.back().number > acknowledged; }

  void FinishDueRuns();       // Ends what is due.
  TimePoint NextEnd() const;  // When something is due next.
  void Crash();               // All is lost; Restart begins a new life.
  void Restart();
  void FinishIfRunning(const RunRef& run, EndKind how);

  WorkerEntry entry;
  bool up = true;
  double speed = 1;
  double clock_rate = 1;         // Of its own clock.
  bool hangs = false;            // What it starts stands still.
  bool fails_every_run = false;  // What it starts fails at once.
  CallFaults faults;

  bool IsRunning(const RunRef& run) const { return runs_.contains(run); }

 private:
  struct Run {
    Resources size;
    TimePoint ends_at{};  // Max: it waits for its gang, or runs for good.
    EndKind how = EndKind::kDone;
    bool gang = false;
    TimePoint gang_timeout_at{};
    TimePoint started_at{};
    bool hangs = false;
    bool stopping = false;
  };

  friend class CellWorld;

  Duration ClockNow() const;
  TimePoint TimeAtClock(Duration clock) const;
  void Finish(const RunRef& ended, EndKind how);
  OrderAnswer MakeAnswer(OrderStatus status) const;
  void ExtendHold(Duration deadline);

  CellWorld& world_;
  mutable std::optional<TimePoint> next_end_;  // Unless something has changed since it was worked out.
  TimePoint clock_base_{};
  uint64_t token_ = 0;
  Duration hold_until_{};  // On its own clock.
  int ProgressPercent(const Run& run) const;

  std::map<RunRef, Run> runs_;
  std::map<TaskRef, int> highest_ended_run_;  // Run that was stopped or ended here.
  std::vector<EndedRun> ended_;
  int64_t last_end_ = 0;
  int64_t last_end_before_renewal_ = 0;  // Last end when its hold had lapsed and was taken up again.
};

// How the tasks of a job really behave.
struct TaskBehaviour {
  Duration takes = 500ms;
  int fails = 0;  // The first so many runs of each task fail.

  friend bool operator==(const TaskBehaviour&, const TaskBehaviour&) = default;
};

// One process of a host.
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
  // True as soon as `done` holds; false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  void In(Duration delay, std::function<void()> work) { timers_.In(delay, std::move(work)); }

  // --- Hosts ---
  size_t host_count() const { return hosts_.size(); }
  Host* host(size_t index);                  // None while its process is dead.
  std::optional<size_t> OwnerIndex() const;  // The newest owner among live processes.
  void Kill(size_t index);
  void Boot(size_t index);
  void Freeze(size_t index, Duration time);
  void SetProcessorMillis(size_t index, int millis);  // From its next boot on.
  void Leave(size_t index);
  void CutPeers(size_t index, bool cut);
  void CutWorkers(size_t index, bool cut);
  CallFaults& StoreFaultsOf(size_t index);
  double CounterOf(size_t index, const std::string& name) const;  // 0 if it was never counted.

  // --- Callers ---
  using OnReply = std::function<void(const CallerReply&)>;
  void Submit(size_t index, const JobSpec& job, const TaskBehaviour& behaviour, OnReply reply);
  void Ask(size_t index, CallerKind kind, const std::string& queue, const std::string& job, OnReply reply);
  // Submits, and tries again through other hosts until it is accepted or rejected.
  void SubmitWithRetries(const JobSpec& job, const TaskBehaviour& behaviour);
  bool Accepted(const std::string& job) const { return accepted_.contains(job); }
  // Asks through any host until it knows; within 30 s of virtual time.
  std::optional<JobState> StateOf(const std::string& queue, const std::string& job);

  // --- What holds ---
  const std::vector<std::string>& violations() const { return violations_; }
  void ReportViolation(const std::string& what);
  int starts() const { return starts_; }
  int CompletionCount(const TaskRef& task) const;

  FakeStore& store() { return store_; }
  FakeWorker& worker(size_t index) { return *workers_[index]; }
  size_t worker_count() const { return workers_.size(); }
  std::mt19937_64& random() { return random_; }
  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  CellConfiguration configuration;
  // Writes `configuration` for all hosts.
  void Configure();
  void WriteWorkerEntry(const FakeWorker& worker);
  bool log_to_stdout = false;
  const Policies policies;                                        // Of all hosts.
  size_t max_direct_workers = CellSettings{}.max_direct_workers;  // Of processes that boot from now on.

  // Share of the messages between hosts that arrive up to two seconds late, after newer ones.
  double late_message_share = 0;
  // Processor time of a host for each message, answer or round of timers. Zero: hosts are as fast as need be.
  Duration event_cost{};
  // Of the workers, by queue: how many of a hundred the advice service allows a step. Without an entry 85.
  std::map<std::string, int> allowed_percent;
  double advice_seconds = 0;  // That the advice service has worked, over all hosts.

 private:
  friend class FakeStore;
  friend class FakeWorker;
  friend class FakeHost;

  // A watch or a hold that waits for news. Goes on once, with the news or when its time is over.
  struct Waiter {
    std::function<bool()> is_ready;  // Whether there is news for it.
    std::function<void()> resume;
    bool completed = false;
  };
  using Waiters = std::vector<std::shared_ptr<Waiter>>;
  struct GangRun {
    std::set<std::string> arrived_members;  // Workers and indices.
    std::vector<FakeWorker*> workers;
  };

  void Step(TimePoint until);
  TimePoint NextEvent() const;
  void AddWaiter(Waiters& waiters, TimePoint until, std::function<bool()> is_ready, std::function<void()> resume);
  void WakeReadyWaiters(Waiters& waiters);
  // --- What workers tell the world ---
  void OnRunStarted(FakeWorker& worker, const StartOrder& order);
  void OnRunEnded(FakeWorker& worker, const RunRef& run, EndKind how);
  void OnEndsAcknowledged(const std::vector<EndedRun>& ends);
  const JobSpec* SpecOf(const std::string& job) const;
  // The job's queue as it was when the job was handed in.
  const QueueSpec* QueueOf(const std::string& job) const;
  TaskBehaviour BehaviourOf(const std::string& job) const;
  void OnGangMemberStarted(FakeWorker& worker, const RunRef& run);
  void OnGangMemberEnded(const RunRef& run, EndKind how);

  ManualClock clock_;
  Timers timers_{clock_};
  std::mt19937_64 random_;
  Waiters watches_;  // Of the store.
  FakeStore store_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::map<const FakeWorker*, Waiters> pending_holds_;  // That wait for an end.
  std::vector<std::unique_ptr<FakeHost>> hosts_;

  std::map<std::string, JobSpec> submitted_;
  std::map<std::string, TaskBehaviour> behaviours_;
  std::map<std::string, QueueSpec> queues_;  // By job.
  std::set<std::string> accepted_;
  // How often a job was handed in, and how often its caller was told that it was not accepted.
  std::map<std::string, std::pair<int, int>> submission_counts_;
  std::map<TaskRef, std::set<std::pair<std::string, int>>> running_;  // Worker and run.
  std::map<TaskRef, int> completions_;                                // Times ended as done.
  std::set<TaskRef> acknowledged_done_;
  std::map<TaskRef, int> acknowledged_failures_;  // Noted.
  std::map<TaskRef, int> runs_of_;
  std::map<RunRef, GangRun> gangs_;  // By step and run: the index is 0.
  std::vector<std::string> violations_;
  int starts_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_WORLD_H_
