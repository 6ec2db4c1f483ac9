// The owner of the cell: keeps the state of all jobs and workers, decides which task runs on which worker, and answers
// every caller. A host creates it when it takes ownership of the cell and destroys it when it loses ownership.
//
//   callers    owner.cc            requests: submit, state, cancel, pending
//   tenants    owner_tenants.cc    the configuration, whether a caller's API key allows a request, and quotas
//   store      owner_store.cc      loads the stored state, fills the batches of the group commit
//   runs       owner_runs.cc       handles what workers report about runs
//   crashes    owner_crashes.cc    gives up tasks that crash their workers
//   placement  owner_placement.cc  executes the decisions of placement.h: starts, and calls to the advice service
//   waiting    owner_waiting.cc    why steps whose turn has come wait: gauges and log lines
#ifndef HIBISCUSSTAND_SRC_CELL_OWNER_H_
#define HIBISCUSSTAND_SRC_CELL_OWNER_H_

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/admission.h"
#include "cell/advice_dispatcher.h"
#include "cell/cancelled_ids.h"
#include "cell/configuration_follower.h"
#include "cell/context.h"
#include "cell/group_commit.h"
#include "cell/job_table.h"
#include "cell/messages.h"
#include "cell/order_relay.h"
#include "cell/ownership_proof.h"
#include "cell/placement.h"
#include "cell/tenant_share.h"
#include "cell/worker_table.h"
#include "hibiscusstand/quarantine.h"

namespace hibiscus::cell {

inline constexpr Duration kOwnerLeaseTtl = 1s;  // The record of a crashed owner expires after this time.

// The result of a successful claim of the cell.
struct Ownership {
  uint64_t epoch = 0;          // Epoch in the owner record.
  uint64_t term = 0;           // Revision of the owner record; increases with each owner and is the fencing token.
  uint64_t head_revision = 0;  // Revision of the head key, written in the same transaction as the owner record.
  TimePoint lease_until{};     // The lease of the owner record runs until then, at least.
  // All earlier owners act for this time at most, from the claim on.
  Duration earlier_owners_act_for = Duration::max();

  friend auto operator<=>(const Ownership&, const Ownership&) = default;
};

class Owner final : private WorkerTable::Listener {
 public:
  using Reply = std::function<void(const CallerReply&)>;

  static constexpr Duration kMaxCallerWait = 15s;  // Upper bound of the time that callers wait for an answer.
  // Duplicates of a request arrive within this time after the first copy.
  static constexpr Duration kDuplicateWindow = kMaxCallerWait;

  // Calls `on_deposed` once when it detects that another host owns the cell; it writes and orders nothing after that.
  // `on_late_ends` receives the ends that workers list when this owner no longer exists.
  Owner(Context& context,
        const Ownership& ownership,
        CellConfiguration configuration,
        ConfigurationFollower& configuration_follower,
        std::function<void()> on_deposed,
        WorkerTable::LateEnds on_late_ends = {});
  ~Owner() override;
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Begin();  // Loads jobs and workers from the store; requests are deferred until that is done.

  // Replies exactly once, unless the owner is deposed first.
  void Handle(const CallerRequest& request, Reply reply);
  void OnAdviceReply(const AdviceReply& reply) { advice_.OnReply(reply); }
  // The store has confirmed by an answer to a call sent at `sent_at` that the owner's lease runs.
  void OnLeaseConfirmed(TimePoint sent_at);
  // Another host may claim the cell at any time, whether or not the lease runs: until OnRecordRenewed.
  void OnClaimable();
  // The owner record stands at a new revision, which no claim expects.
  void OnRecordRenewed();
  bool claimable() const { return claimable_since_.has_value(); }
  // The owner record is about to be marked as released, for good.
  void OnReleasing();
  // How long this owner, once it is releasing, and all earlier ones act at most from now on.
  Duration OwnersActFor() const;
  // The owner record was rewritten: the hosts that relay orders now know this owner under that revision as its term.
  void OnRecordRevision(uint64_t revision) { relay_.SetTerm(revision); }
  // Returns false if this owner awaits no such reply.
  bool OnOrderReply(const OrderReply& reply) { return relay_.OnReply(reply); }
  // Puts the configuration in force unless it or a newer one already is.
  void OnConfiguration(const CellConfiguration& configuration);
  void OnHosts(const std::vector<HostRecord>& hosts) {
    advice_.SetHosts(hosts);
    relay_.SetHosts(hosts);
  }

  // Planned shutdown, in two parts. Starts no more tasks, and answers no more callers.
  void StopPlacing();
  // By when every start of this owner is answered, or its call given up. Not later than now if all are.
  TimePoint StartsAnsweredBy() const { return workers_.StartsAnsweredBy(); }
  // Calls `on_closed` once all changes so far are committed to the store. Call after StopPlacing.
  void Close(std::function<void()> on_closed);
  // The store answers again: sends a failed batch now instead of after its backoff.
  void OnStoreReachable() { commit_.RetryNow(); }
  // Sends no further batch, even if changes are not committed yet.
  void StopWriting() { commit_.Close(); }
  bool stopped_writing() const { return commit_.closed(); }
  // Returns the ends that were received from workers and are not known to be stored, each once.
  std::vector<EndedRun> TakeUnstoredEnds();
  // Ends that earlier owners received and could not store.
  void OnReportedEnds(const std::vector<EndedRun>& ends);

  // How long commits have been waiting without a confirmation from the store; 0 if none waits.
  Duration store_stalled_for() const { return commit_.stalled_for(); }
  const Ownership& ownership() const { return ownership_; }
  uint64_t head_revision() const { return commit_.head_revision(); }  // Of the head key, as of the last batch.
  // Sets the gauges of the metrics page.
  void UpdateGauges();

 private:
  struct EndedJobState {
    std::string queue;
    JobState state = JobState::kCompleted;
    int64_t ended_at_ms = 0;
    std::string tenant;
  };
  // Ended jobs that are stored under one key and expire together.
  struct EndedBatch {
    std::string key;
    std::vector<EndedJob> jobs;
    int64_t written_at_ms = 0;
    bool merged = false;  // Combines several batches.
  };
  // One stored batch of the log: the ids of the jobs whose newest record it holds. An empty one can be removed.
  struct LogSegment {
    std::set<std::string> specs;     // Jobs whose JobRecord is here.
    std::set<std::string> progress;  // Jobs whose newest ProgressRecord is here.
    TimePoint written_at{};

    bool empty() const { return specs.empty() && progress.empty(); }
  };
  // Run ends of one worker that may be acknowledged to it once a batch is committed.
  struct EndAcknowledgement {
    std::string worker;
    int64_t born_ms = 0;  // Identifies the instance of the worker.
    int64_t number = 0;   // Highest end (EndedRun::number) to acknowledge.
  };
  // Cached number of a queue's jobs that have not started.
  struct PendingCount {
    int64_t count = 0;
    TimePoint counted_at{};
  };

  // --- owner.cc ---
  void Tick();
  void CheckForPause();
  void UpdateAuthority();
  // No other host can own the cell before.
  TimePoint SoleUntil() const {
    return std::min(
        {lease_until_, claimable_since_.value_or(TimePoint::max()), releasing_since_.value_or(TimePoint::max())});
  }
  void Submit(const CallerRequest& request, const Reply& reply);
  void SubmitKnown(const CallerRequest& request, const Reply& reply);
  void SubmitNew(const CallerRequest& request, const std::string& tenant, const Reply& reply);
  void ReplyState(const CallerRequest& request, const std::string& tenant, const Reply& reply);
  void Cancel(const CallerRequest& request, const std::string& tenant, const Reply& reply);
  // Cancels a job that is not known: refuses requests for it that are still under way, and tells the caller once that
  // is stored.
  void CancelUnknownJob(const CallerRequest& request, const std::string& tenant, const Reply& reply);
  CancelledId CancelledIdOf(const CallerRequest& request, const std::string& tenant) const;
  // Tells the caller that the job does not exist, once it is proven that no other owner can have accepted it.
  void ReplyUnknownJob(const CallerRequest& request, const Reply& reply);
  void ReplyProven(const CallerRequest& request, const Reply& reply, ProofResult result, const CallerReply& proven);
  int64_t CountPending(const std::string& queue);
  void ReplyPending(const CallerRequest& request, const Reply& reply);
  Job& AcceptJob(JobSpec spec, const QueueSpec& queue, const std::string& tenant);
  void AwaitAcceptance(Job& job, const CallerRequest& request, const Reply& reply);
  OwnerLoad CurrentLoad() const;
  void WithdrawUnsentJobs();
  void Refuse(const CallerRequest& request, const Reply& reply, CallerReply refusal);
  void ExpireRefusals();
  Job* FindJob(const std::string& id);  // Null if the job is unknown or its end is stored.
  bool HasExpired(const EndedBatch& batch) const;
  void RequestExpiry();

  // --- owner_tenants.cc ---
  void ConfirmConfigurationIfNeeded();
  void ConfirmConfiguration();
  // Whether the configuration in force is new enough to accept or refuse an API key.
  bool MayJudgeKeys() const;
  // The tenant for which the request acts; empty if its queue needs no key. Replies and returns nothing if the request
  // must not be served.
  std::optional<std::string> Authorize(const CallerRequest& request, const Reply& reply);
  void RefuseKey(const CallerRequest& request, const Reply& reply, CallerOutcome outcome, const char* reason);
  // True if a request for this tenant may act on a job of `job_tenant`.
  bool MayAccess(const CallerRequest& request, const std::string& tenant, const std::string& job_tenant) const;
  // True if a step of the job can never start under its tenant's maximum.
  bool NeverFits(const JobSpec& spec, const std::string& tenant) const;
  void RefreshUnaccountedRuns();
  TenantQuotas CurrentQuotas() const {
    return TenantQuotas(maxima_, workers_.tenant_usage(), unaccounted_, &workers_.lasting_usage());
  }
  // Of the tenant's maximum, what tasks of an ending job may still be running.
  Resources StillRunning(const Job& job) const;
  // The tenant of a job that has not expired; empty if the job is unknown.
  std::optional<std::string> TenantOfJob(const std::string& job);

  // --- owner_store.cc ---
  void ReadJobs();
  void ReadWorkers();
  void FinishLoading();
  // Reads all keys with the prefix that sort after `after`, page by page. The pages are not a snapshot: `done` receives
  // the store's revision at the first page, from which a watch misses no change.
  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  const std::function<void(const StoreItem&)>& on_item,
                  const std::function<void(uint64_t revision)>& done,
                  std::optional<uint64_t> first_revision = std::nullopt);
  void LoadLogItem(const StoreItem& item);
  void LoadEndedItem(const StoreItem& item);
  void RestoreJobs();
  void WatchWorkers();
  void RereadWorkers();
  void ApplyWorkerItem(const StoreItem& item);
  void RunAfter(Duration delay, std::function<void()> work);
  void MarkDirty(Job& job);
  Batch FillBatch(uint64_t number);
  // Contents of a batch, for the updates to be made once it is committed.
  struct BatchContents {
    std::vector<std::string> jobs;
    std::vector<EndedJob> ended;
    bool has_roster = false;  // `roster` is part of the batch.
    std::vector<WorkerInstanceRecord> roster;
    std::vector<EndAcknowledgement> acknowledgements;
    uint64_t ends_stored = 0;  // All of the first so many ends are stored with the batch.
    bool last = false;         // The owner is closing and sends no further batch.
  };
  void AddExpiredRemovals(Batch& batch);
  void AddRoster(Batch& batch, BatchContents& contents);
  // The next owner waits for starts that have no answer.
  void AddOpenStarts(Batch& batch);
  bool OpenStartsAreOutdated() const;
  void AddJobs(Batch& batch, BatchContents& contents, const std::string& key);
  void AddEndedJobs(Batch& batch, const BatchContents& contents, uint64_t number);
  void MergeEndedBatches(Batch& batch, uint64_t number);
  void CompactLog(LogRecord& log, Batch& batch, const std::string& key);
  void AppendSpec(Job& job, LogRecord& log, const std::string& key);
  void AppendProgress(Job& job, LogRecord& log, const std::string& key);
  void DropFromSegments(Job& job);
  void OnBatchCommitted(const BatchContents& contents);
  void RetireJob(const EndedJob& ended);

  void FinishClosing();

  // --- owner_runs.cc ---
  void OnRunning(Worker& worker, const RunningRun& row) override;
  bool OnFound(Worker& worker, const RunningRun& row, std::optional<RunDemand>& demand) override;
  void OnEnded(Worker& worker, const EndedRun& row) override;
  void ApplyReportedEnd(const EndedRun& row);
  void OnGone(Worker& worker, const RunRef& run, GoneReason reason) override;
  void OnStarted(Worker& worker, const RunRef& run) override;
  bool MayRepeat(Worker& worker, StartOrder& order) override;
  void OnRefused(Worker& worker, const RunRef& run, OrderStatus status) override;
  void OnEndsSeen(Worker& worker) override;
  void OnSettled(Worker& worker) override;
  void OnChanged(Worker& worker) override;
  void OnRetired(Worker& worker) override;
  void OnTokenNeeded() override;
  void OnFenced() override;
  void OnOpenStartsChanged() override { commit_.Request(); }
  bool MayBeGang(const RunRef& run) const override;
  bool OnOpenStart(Worker& worker, const RunRef& run) override;
  StepRun* FindStep(const TaskRef& task);
  TaskState* FindTask(const TaskRef& task, StepRun** step);
  // `over` says how the run ended or why it counts as over: a string literal.
  void RequeueTask(StepRun& step, int index, std::string_view over);
  // One end of a gang stands for all its members.
  void OnRunDone(StepRun& step, const RunRef& run);
  void OnRunFailed(StepRun& step, const RunRef& run);
  void OnTaskDone(StepRun& step, int index);
  void OnTaskFailed(StepRun& step, int index, int run);
  void OnGangDone(StepRun& step, int run);
  void OnGangFailed(StepRun& step, int run);
  void CheckProgress(StepRun& step, int index, Worker& worker, int percent);
  void UpdateQuarantine(const Worker& worker, const StepRun& step, EndKind how);
  void UpdateCheckpoint(StepRun& step, int index, const std::string& checkpoint);
  // Places the task with a run that is found or may still begin. Returns false if it is placed with another one.
  bool Adopt(StepRun& step, int index, Worker& worker, const RunRef& run);
  // If the task, or its gang, is placed only with open starts of runs before this one, it waits again.
  void DropOutdatedStarts(StepRun& step, int index, int later_run);
  void StopGang(StepRun& step);
  void OnGangMemberGone(StepRun& step);
  void StopPlacedTasks(StepRun& step);
  void OnStepFinished(StepRun& step);
  void OnOccurrenceFinished(Job& job, int number);
  void FinishJob(Job& job, JobState state);
  void OpenSteps(Job& job);
  void OpenStep(StepRun& step);
  void BeginDueOccurrences(Job& job);
  Occurrence& BeginOccurrence(Job& job, int number);  // Unless it was begun before.
  void BeginReportedOccurrence(const TaskRef& task);

  // --- owner_crashes.cc ---
  void OnCrashed(Worker& worker, const std::vector<CrashedRun>& crashed) override;
  void OnSilent(Worker& worker, const std::vector<CrashedRun>& runs) override;
  void OnAnswers(Worker& worker, const std::vector<CrashedRun>& runs) override;
  // Null if nothing can be learnt about its task.
  CrashHistory* FindCrashHistory(const RunRef& run, StepRun** step);
  // True if workers may have crashed under the task, or under a member of the same gang.
  bool IsSuspect(const StepRun& step, int index) const;
  void StartOnceStored(StepRun& step, Worker& worker, const StartOrder& order);
  void SendStoredStart(size_t worker_number, const StartOrder& order);
  bool IsPlaced(const RunRef& run);  // As the current run of its task.
  void ForgetStart(const RunRef& run);
  // Call when a worker has listed the run as running or ended: its process has not crashed.
  void OnSurvived(const RunRef& run, Duration ran);
  void RestoreCrashes();
  void RestoreCrashes(const StepRun& step);
  void ResolveRestoredSuspects();
  bool RecordCrash(const CrashedRun& crashed);
  struct CrashComparison {
    bool last = true;   // No other run was started there as late as this one.
    bool leads = true;  // No other run there has as many crashes.
  };
  CrashComparison CompareWithOthers(const StepRun& step, const CrashedRun& crashed, const std::vector<CrashedRun>& all);
  void DecideAfterCrash(const Worker& worker, const CrashedRun& crashed, const std::vector<CrashedRun>& all);

  // --- owner_placement.cc ---
  void SchedulePlacementPass();
  void RunPlacementPass();
  std::vector<StepRun*> WaitingSteps();
  // False if a run of the step that the owner does not see may exist or have ended.
  bool AllRunsKnown(const StepRun& step) const;
  void RefreshWorkers();
  void Execute(const std::vector<Decision>& decisions);
  void Start(const StartTasks& starts);
  int NextRun(const StepRun& step, int last_run) const;
  void StartTask(StepRun& step, int index, Worker& worker, bool suspect);
  // Fields of the log line of a start that tell of the run before. Empty if there was none.
  std::string DescribeEarlierRun(const StepRun& step, int index) const;
  void Ask(const AskAdvice& ask);
  void RequestAdviceAhead(Job& job);
  void OnAdviceAnswer(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer);
  void StorePermits(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer);
  void PlaceWithTickets(StepRun& step);
  // Sets the queue of a job and the objective derived from it.
  void SetQueue(Job& job, const QueueSpec& queue);
  void LogQueueStatistics(const std::vector<StepRun*>& waiting);
  void LogWidestGang(const StepRun& step);
  // Number from which this owner counts the starts of the job's tasks.
  int RunNumberBase(const Job& job) const;

  // --- owner_waiting.cc ---
  // Once a second: counts the waiting steps by gate, and logs some of those that wait although workers are free.
  void CheckWaitingSteps();
  // By gate, in the order of kWaitingGates.
  using WaitingCounts = std::array<int, kWaitingGates.size()>;
  void SetWaitingGauges(const WaitingCounts& counts);
  // Sets the gauges and returns the steps that have waited longer than their job's objective.
  std::vector<StepRun*> ObserveWaitingSteps();
  // Empty if no task of the step waits, or its turn has not come.
  std::optional<WaitingGate> HoldingGate(const Occurrence& occurrence, const StepRun& step);
  bool HasRoomWhereRefused(const StepRun& step);
  // The latest time at which the gate opens. Empty: not known.
  std::optional<TimePoint> OpensAt(const StepRun& step, WaitingGate gate) const;
  void LogWaitingStep(const StepRun& step, const PlacementLoad& load);
  // Since when tasks of a step whose turn has come have waited.
  TimePoint WaitingSince(const StepRun& step) const { return step.open ? step.waiting_since : step.job->accepted_at; }

  Context& context_;
  const Ownership ownership_;
  CellConfiguration configuration_;
  TenantMaxima maxima_;          // Of `configuration_`.
  UnaccountedRuns unaccounted_;  // As of the last pass.
  // Tasks of ended jobs that may still be running, by tenant; complete as long as there are unsettled workers.
  TenantUsage ended_running_;
  ConfigurationFollower& configuration_follower_;
  OwnershipProof ownership_proof_;
  std::function<void()> on_deposed_;
  OrderRelay relay_;
  WorkerTable workers_;
  AdviceDispatcher advice_;
  Placement placement_;
  TenantShares shares_;
  Quarantine quarantine_;  // Workers on which tasks fail or stall that succeed on others.
  GroupCommit commit_;

  TimePoint loading_began_at_{};
  TimePoint last_active_at_{};                  // When CheckForPause was last called.
  TimePoint lease_until_{};                     // Of the owner record, at least.
  std::optional<TimePoint> claimable_since_{};  // Another host may claim the cell since then.
  std::optional<TimePoint> releasing_since_{};
  std::set<TaskRef> steps_on_hold_;  // Not to be started before the doubt has ended.
  bool was_active_ = true;           // As of the last UpdateAuthority.
  bool loaded_ = false;
  bool confirms_configuration_ = false;  // Periodically.
  bool closing_ = false;
  bool is_deposed_ = false;
  std::function<void()> on_closed_;
  std::vector<std::pair<CallerRequest, Reply>> deferred_requests_;  // Received before loading was done.
  // Replies to refused requests: a duplicate that arrives later gets the same refusal.
  std::map<CallId, CallerReply> refusals_;
  std::deque<std::pair<TimePoint, CallId>> refusal_times_;
  CancelledIds cancelled_ids_;
  bool cancel_batch_scheduled_ = false;
  // State read from the store so far; used only while loading.
  struct LoadedJob {
    JobRecord record;
    std::string spec_key;
    ProgressRecord progress;
    std::string progress_key;
  };
  struct Loading {
    std::map<std::string, LoadedJob> jobs;
    std::vector<WorkerInstanceRecord> roster;
    std::vector<OpenStartRecord> open_starts;
    std::vector<WorkerEntry> workers;
  };
  Loading loading_;

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;  // Not ended, or the end is not stored yet.
  std::unordered_map<std::string, EndedJobState> ended_jobs_;   // Jobs whose end is stored, until it expires.
  std::deque<EndedBatch> ended_batches_;                        // Oldest first.
  std::map<std::string, LogSegment> segments_;                  // Stored log batches by key, oldest first.
  std::deque<std::string> dirty_jobs_;  // Ids of jobs with unstored changes, in order of change.
  std::map<std::string, PendingCount> pending_counts_;

  // Runs under which a worker may have crashed in the time of an earlier owner, by its id and born_ms.
  std::map<std::pair<std::string, int64_t>, std::vector<CrashedRun>> restored_suspects_;

  uint64_t ends_received_ = 0;           // Of known tasks, since the owner has begun.
  std::deque<EndedRun> unstored_ends_;   // The last of them, in the order in which they were received.
  std::vector<EndedRun> reported_ends_;  // Received before loading was done.

  bool roster_dirty_ = false;        // The stored roster is out of date.
  uint64_t stored_open_starts_ = 0;  // WorkerTable::open_starts_version of the batch that wrote them last.
  bool any_open_start_stored_ = false;
  TimePoint open_starts_stored_at_{};  // When that batch was filled.

  uint64_t workers_revision_ = 0;                 // Store revision up to which worker entries were read.
  std::vector<Occurrence> finished_occurrences_;  // Freed by the next pass, since callers may still use their steps.
  TimePoint statistics_logged_at_{};              // Last event=queue_statistics line.
  TimePoint waiting_checked_at_{};                // Last CheckWaitingSteps.
  Duration last_pass_duration_{};                 // Time that the last placement pass took on the control thread.
  bool pass_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Callbacks check this before they use the owner.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_OWNER_H_
