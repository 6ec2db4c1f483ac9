// The owner of the cell: holds every job and every worker, decides what runs where, and answers for all callers. Built
// when a host takes the cell over, gone when it loses it.
//
//   callers    owner.cc            submit, state, cancel, pending
//   store      owner_store.cc      loads the jobs, fills batches for the group commit
//   runs       owner_runs.cc       what workers say about runs
//   placement  owner_placement.cc  carries out what placement.h decides: starts, and calls to the advice service
#ifndef HIBISCUSSTAND_SRC_CELL_OWNER_H_
#define HIBISCUSSTAND_SRC_CELL_OWNER_H_

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
#include "cell/context.h"
#include "cell/group_commit.h"
#include "cell/job_table.h"
#include "cell/messages.h"
#include "cell/order_relay.h"
#include "cell/placement.h"
#include "cell/worker_table.h"
#include "hibiscusstand/quarantine.h"

namespace hibiscus::cell {

// What a host holds once the store has made it the owner.
struct Ownership {
  uint64_t epoch = 0;          // Of the owner record.
  uint64_t term = 0;           // Revision at which the record was written: the fencing token, and rising.
  uint64_t head_revision = 0;  // Of the head key, written in the same transaction.

  friend auto operator<=>(const Ownership&, const Ownership&) = default;
};

class Owner final : private WorkerTable::Listener {
 public:
  using Reply = std::function<void(const CallerReply&)>;

  // `deposed` is called when another host is found to own the cell; nothing is written or ordered after that.
  Owner(Context& context,
        const Ownership& ownership,
        CellConfiguration configuration,
        std::function<void()> on_deposed);
  ~Owner() override;
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Begin();  // Reads the jobs and the workers; callers wait meanwhile.

  // Always replies once, unless the owner is deposed first.
  void Handle(const CallerRequest& request, Reply reply);
  void OnAdviceReply(const AdviceReply& reply) { advice_.OnReply(reply); }
  // The record that names this owner was written again: relays know it by that revision.
  void OnRecordRevision(uint64_t revision) { relay_.SetTerm(revision); }
  void OnOrderReply(const OrderReply& reply) { relay_.OnReply(reply); }
  void OnConfiguration(const CellConfiguration& configuration);
  void OnHosts(const std::vector<HostRecord>& hosts) {
    advice_.SetHosts(hosts);
    relay_.SetHosts(hosts);
  }

  // The planned end: starts nothing more, and calls back when all that was known by now stands.
  void Close(std::function<void()> on_closed);
  // The store answers again.
  void OnStoreReachable() { commit_.RetryNow(); }
  // Writes nothing more, whether all stands or not.
  void StopWriting() { commit_.Close(); }

  // How long the store has confirmed nothing of what it was sent.
  Duration store_stalled_for() const { return commit_.stalled_for(); }
  const Ownership& ownership() const { return ownership_; }
  // Counts for operators.
  void UpdateGauges();

 private:
  struct EndedJobState {
    std::string queue;
    JobState state = JobState::kCompleted;
    int64_t ended_at_ms = 0;
  };
  // Jobs of which one key tells that they ended; removed together.
  struct EndedBatch {
    std::string key;
    std::vector<EndedJob> jobs;
    int64_t written_at_ms = 0;
    bool merged = false;  // Of several batches.
  };
  // A batch of the log: jobs on which it has the last word.
  struct LogSegment {
    std::set<std::string> specs;
    std::set<std::string> progress;
    TimePoint written_at{};

    bool empty() const { return specs.empty() && progress.empty(); }
  };
  // Ends of one worker that may be acknowledged once a batch stands.
  struct EndAcknowledgement {
    std::string worker;
    int64_t born_ms = 0;
    int64_t number = 0;
  };
  struct PendingCount {
    int64_t count = 0;
    TimePoint counted_at{};
  };

  // --- owner.cc ---
  void Tick();
  void Submit(const CallerRequest& request, const Reply& reply);
  void ReplyState(const CallerRequest& request, const Reply& reply);
  void Cancel(const CallerRequest& request, const Reply& reply);
  void ReplyPending(const CallerRequest& request, const Reply& reply);
  void AcceptJob(JobSpec spec, const QueueSpec& queue, std::function<void()> accepted);
  AdmissionView CurrentLoad() const;
  void WithdrawUnsentJobs();
  void Refuse(const CallerRequest& request, const Reply& reply, CallerReply refusal);
  void ExpireRefusals();
  Job* FindJob(const std::string& id);
  bool HasExpired(const EndedBatch& batch) const;
  void RequestExpiry();

  // --- owner_store.cc ---
  void ReadJobs();
  void ReadWorkers();
  void FinishLoading();
  // One prefix, page after page; `done` gets the store's revision of the last page.
  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  const std::function<void(const StoreItem&)>& on_item,
                  const std::function<void(uint64_t revision)>& done);
  void LoadLogItem(const StoreItem& item);
  void LoadEndedItem(const StoreItem& item);
  void RestoreJobs();
  void WatchWorkers();
  void RereadWorkers();
  void ApplyWorkerItem(const StoreItem& item);
  void RunAfter(Duration delay, std::function<void()> work);
  void MarkDirty(Job& job);
  Batch FillBatch(uint64_t number);
  // What a batch carries, to be noted once it stands.
  struct BatchContents {
    std::vector<std::string> jobs;
    std::vector<EndedJob> ended;
    std::vector<WorkerInstanceRecord> roster;
    std::vector<EndAcknowledgement> ends;
    bool last = false;  // No batch may follow: the owner is closing.
  };
  void AddExpiredRemovals(Batch& batch);
  void AddRoster(Batch& batch, BatchContents& contents);
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
  bool OnFound(Worker& worker, const RunningRun& row, std::optional<Resources>& size) override;
  void OnEnded(Worker& worker, const EndedRun& row) override;
  void OnGone(Worker& worker, const RunRef& run, GoneReason reason) override;
  void OnStarted(Worker& worker, const RunRef& run) override;
  void OnRefused(Worker& worker, const RunRef& run, OrderStatus status) override;
  void OnEndsSeen(Worker& worker) override;
  void OnSettled(Worker& worker) override;
  void OnChanged(Worker& worker) override;
  void OnRetired(Worker& worker) override;
  void OnFenced() override;
  StepRun* FindStep(const TaskRef& task);
  TaskState* FindTask(const TaskRef& task, StepRun** step);
  void RequeueTask(StepRun& step, int index);
  void OnTaskDone(StepRun& step, int index);
  void OnTaskFailed(StepRun& step, int index, int run);
  void OnGangDone(StepRun& step, int run);
  void OnGangFailed(StepRun& step, int run);
  void CheckProgress(StepRun& step, int index, Worker& worker, int percent);
  void UpdateQuarantine(const Worker& worker, const StepRun& step, EndKind how);
  void UpdateCheckpoint(StepRun& step, int index, const std::string& checkpoint);
  bool Adopt(StepRun& step, int index, Worker& worker, const RunRef& run);
  void StopGang(StepRun& step);
  void OnGangMemberGone(StepRun& step);
  void StopPlacedTasks(StepRun& step);
  void OnStepFinished(StepRun& step);
  void OnOccurrenceFinished(Job& job, int number);
  void FinishJob(Job& job, JobState state);
  void OpenSteps(Job& job);
  void OpenStep(StepRun& step);
  void BeginDueOccurrences(Job& job);

  // --- owner_placement.cc ---
  void SchedulePlacementPass();
  void RunPlacementPass();
  std::vector<StepRun*> WaitingSteps();
  void RefreshWorkers();
  void Execute(const std::vector<Decision>& decisions);
  void Start(const StartTasks& starts);
  void StartTask(StepRun& step, int index, Worker& worker);
  void Ask(const AskAdvice& ask);
  void RequestAdviceAhead(Job& job);
  void OnAdviceAnswer(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer);
  void StorePermits(StepRun& step, const std::vector<std::string>& asked, const AdviceAnswer& answer);
  void PlaceWithTickets(StepRun& step);
  void SetQueue(Job& job, const QueueSpec& queue);
  void LogQueueStatistics(const std::vector<StepRun*>& waiting);
  int RunNumberBase(const Job& job) const;

  Context& context_;
  const Ownership ownership_;
  CellConfiguration configuration_;
  std::function<void()> on_deposed_;
  OrderRelay relay_;
  WorkerTable workers_;
  AdviceDispatcher advice_;
  Placement placement_;
  Quarantine quarantine_;  // Workers that fail, or keep standing still, what others run.
  GroupCommit commit_;

  TimePoint loading_began_at_{};
  bool loaded_ = false;
  bool closing_ = false;
  bool is_deposed_ = false;
  std::function<void()> on_closed_;
  std::vector<std::pair<CallerRequest, Reply>> deferred_requests_;  // Came before the jobs were read.
  // Requests that were refused, by sender and call: a copy that comes later must be refused too.
  std::map<std::pair<std::string, uint64_t>, CallerReply> refusals_;
  std::deque<std::pair<TimePoint, std::pair<std::string, uint64_t>>> refusal_times_;
  // Read from the store, until all of it is here.
  struct LoadedJob {
    JobRecord record;
    std::string spec_key;
    ProgressRecord progress;
    std::string progress_key;
  };
  struct Loading {
    std::map<std::string, LoadedJob> jobs;
    std::vector<WorkerInstanceRecord> roster;
    std::vector<WorkerEntry> workers;
  };
  Loading loading_;

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;  // Not ended, or their end is not stored yet.
  std::unordered_map<std::string, EndedJobState> ended_jobs_;
  std::deque<EndedBatch> ended_batches_;
  std::map<std::string, LogSegment> segments_;  // By key: the log, oldest first.
  std::deque<std::string> dirty_jobs_;          // Jobs, oldest news first.
  std::map<std::string, PendingCount> pending_counts_;

  bool roster_dirty_ = false;

  uint64_t workers_revision_ = 0;
  std::vector<Occurrence> finished_occurrences_;  // Dropped by the next pass: callers may be inside them.
  TimePoint statistics_logged_at_{};              // When a line last said what waits.
  Duration last_pass_duration_{};                 // What the last pass took of the control thread.
  bool pass_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_OWNER_H_
