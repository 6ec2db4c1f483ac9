// The owner of the cell: holds every job and every worker, decides what runs where, and answers for all callers. Built
// when a host takes the cell over, gone when it loses it.
//
//   callers    owner.cc            submit, state, cancel, pending
//   store      owner_store.cc      loads the jobs, fills batches for the group commit
//   runs       owner_runs.cc       what workers say about runs
//   placement  owner_placement.cc  what starts where, and what is asked of the advice service
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

#include "cell/advice_desk.h"
#include "cell/advice_policy.h"
#include "cell/context.h"
#include "cell/group_commit.h"
#include "cell/job_table.h"
#include "cell/messages.h"
#include "cell/order_relay.h"
#include "cell/placement_policy.h"
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
  Owner(Context& context, const Ownership& ownership, CellConfiguration configuration, std::function<void()> deposed);
  ~Owner() override;
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Begin();  // Reads the jobs and the workers; callers wait meanwhile.

  // Always replies once, unless the owner is deposed first.
  void Handle(const CallerRequest& request, Reply reply);
  void OnAdvice(const AdviceReply& reply) { advice_.OnReply(reply); }
  // The record that names this owner was written again: relays know it by that revision.
  void OnRecordRevision(uint64_t revision) { relay_.SetTerm(revision); }
  void OnOrderReply(const OrderReply& reply) { relay_.OnReply(reply); }
  void OnConfiguration(const CellConfiguration& configuration);
  void OnHosts(const std::vector<HostRecord>& hosts) {
    advice_.SetHosts(hosts);
    relay_.SetHosts(hosts);
  }

  // The planned end: starts nothing more, and calls back when all that was known by now stands.
  void Close(std::function<void()> closed);
  // Writes nothing more, whether all stands or not.
  void StopWriting() { commit_.Close(); }

  // How long the store has confirmed nothing of what it was sent.
  Duration store_stalled_for() const { return commit_.stalled_for(); }
  const Ownership& ownership() const { return ownership_; }
  // Counts for operators.
  void UpdateGauges();

 private:
  struct Ended {
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
  struct Segment {
    std::set<std::string> specs;
    std::set<std::string> progress;
    TimePoint written_at{};

    bool empty() const { return specs.empty() && progress.empty(); }
  };
  // Ends of one worker that may be acknowledged once a batch stands.
  struct SeenEnds {
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
  void TellState(const CallerRequest& request, const Reply& reply);
  void Cancel(const CallerRequest& request, const Reply& reply);
  void TellPending(const CallerRequest& request, const Reply& reply);
  void AcceptJob(JobSpec spec, const QueueSpec& queue, std::function<void()> accepted);
  std::optional<CallerReply> Refusal() const;
  Duration ComeBackAfter() const;
  void WithdrawUnsent();
  void Refuse(const CallerRequest& request, const Reply& reply, CallerReply refusal);
  void ForgetRefused();
  Job* FindJob(const std::string& id);
  bool HasExpired(const EndedBatch& batch) const;
  void ForgetEnded();

  // --- owner_store.cc ---
  void ReadJobs();
  void ReadWorkers();
  void FinishLoading();
  // One prefix, page after page; `done` gets the store's revision of the last page.
  void ReadAll(const std::string& prefix,
               const std::string& after,
               const std::function<void(const StoreItem&)>& take,
               const std::function<void(uint64_t revision)>& done);
  void TakeLogItem(const StoreItem& item);
  void TakeEndedItem(const StoreItem& item);
  void RestoreJobs();
  void WatchWorkers();
  void RereadWorkers();
  void TakeWorkerItem(const StoreItem& item);
  void Again(Duration delay, std::function<void()> work);
  void MarkDirty(Job& job);
  Batch FillBatch(uint64_t number);
  // What a batch carries, to be noted once it stands.
  struct BatchNews {
    std::vector<std::string> jobs;
    std::vector<EndedJob> ended;
    std::vector<WorkerLifeRecord> roster;
    std::vector<SeenEnds> ends;
    bool last = false;  // No batch may follow: the owner is closing.
  };
  void AddExpired(Batch& batch);
  void AddRoster(Batch& batch, BatchNews& news);
  void AddJobs(Batch& batch, BatchNews& news, const std::string& key);
  void AddEnded(Batch& batch, const BatchNews& news, uint64_t number);
  void MergeEnded(Batch& batch, uint64_t number);
  void CleanLog(LogRecord& log, Batch& batch, const std::string& key);
  void AppendSpec(Job& job, LogRecord& log, const std::string& key);
  void AppendProgress(Job& job, LogRecord& log, const std::string& key);
  void Forget(Job& job);
  void OnBatchStands(const BatchNews& news);
  void RetireJob(const EndedJob& ended);

  void EndClosing();

  // --- owner_runs.cc ---
  void OnRunning(Worker& worker, const RunningRow& row) override;
  bool OnFound(Worker& worker, const RunningRow& row, std::optional<Resources>& size) override;
  void OnEnded(Worker& worker, const EndedRow& row) override;
  void OnGone(Worker& worker, const RunRef& run, GoneReason reason) override;
  void OnStarted(Worker& worker, const RunRef& run) override;
  void OnRefused(Worker& worker, const RunRef& run, OrderStatus status) override;
  void OnEndsSeen(Worker& worker) override;
  void OnSettled(Worker& worker) override;
  void OnChanged(Worker& worker) override;
  void OnFenced() override;
  StepRun* FindStep(const TaskRef& task);
  TaskState* FindTask(const TaskRef& task, StepRun** step);
  void Unplace(StepRun& step, int index);
  void TaskDone(StepRun& step, int index);
  void TaskFailed(StepRun& step, int index, int run);
  void GangDone(StepRun& step, int run);
  void GangFailed(StepRun& step, int run);
  void JudgeProgress(StepRun& step, int index, Worker& worker, int percent);
  void JudgeWorker(const Worker& worker, const StepRun& step, EndKind how);
  void TakeCheckpoint(StepRun& step, int index, const std::string& checkpoint);
  bool Adopt(StepRun& step, int index, Worker& worker, const RunRef& run);
  Resources SizeOf(const StepRun& step) const;
  void EndGang(StepRun& step);
  void MemberLeft(StepRun& step);
  void StopPlaced(StepRun& step);
  void StepFinished(StepRun& step);
  void OccurrenceFinished(Job& job, int number);
  void FinishJob(Job& job, JobState state);
  void OpenSteps(Job& job);
  void OpenStep(StepRun& step);
  void BeginDueOccurrences(Job& job);

  // --- owner_placement.cc ---
  void ScheduleSoon();
  void Schedule();
  void TellWaiting(const std::vector<StepRun*>& waiting);
  std::vector<StepRun*> WaitingInOrder();
  void SetQueue(Job& job, const QueueSpec& queue);
  void PlaceSingles(StepRun& step);
  // Workers with what a placement sees of each.
  struct Rooms {
    std::vector<Worker*> workers;
    std::vector<RoomView> views;

    void Add(Worker* worker, const RoomView& view) {
      workers.push_back(worker);
      views.push_back(view);
    }
  };
  // Rooms that a gang may use, by what has to be done first.
  struct GangRooms {
    Rooms with_ticket;  // Nothing.
    Rooms allowed;      // Those, and others for which tickets are to be asked for.
    Rooms kept;         // Allowed, but kept for another gang; only while much is free.
  };
  GangRooms RoomsFor(const StepRun& step) const;
  void PlaceGang(StepRun& step);
  void StartGang(StepRun& step, const Rooms& rooms, const std::vector<int>& counts);
  void TryProbe(StepRun& step);
  void StartTask(StepRun& step, int index, Worker& worker);
  // Workers that may run the step and that the advice service was not asked about, most free first; at most `most`,
  // each with at least `least_free` free.
  std::vector<Worker*> NeverAsked(const StepRun& step, size_t most, const Resources& least_free) const;
  // What a single task of the step may use: a worker with a ticket goes to `rooms`, others to `without_ticket`.
  struct SingleRooms {
    Rooms rooms;
    std::vector<Worker*> without_ticket;  // Those known to be allowed first.
  };
  SingleRooms SingleRoomsFor(const StepRun& step, const RoomNeed& need) const;
  bool IsEligible(const StepRun& step, const Worker& worker) const;
  RoomView ViewOf(const StepRun& step, const Worker& worker) const;
  bool HasTicket(const StepRun& step, const Worker& worker) const;
  bool IsKeptByOther(const StepRun& step, const Worker& worker) const;
  void AskAgain(StepRun& step, const std::vector<Worker*>& workers);
  void AskFirst(StepRun& step);
  void AskAdvice(StepRun& step, std::vector<Worker*> workers);
  void AskFurther(StepRun& step);
  void Ask(StepRun& step, const std::vector<Worker*>& workers);
  void Reserve(StepRun& step, const Rooms& rooms, const std::vector<int>& counts);
  void Unreserve(StepRun& step);
  void StartReserved(StepRun& step);
  void OnAdviceFor(const TaskRef& ref, const std::vector<std::string>& asked, const AdviceAnswer& answer);
  void KeepRoom(StepRun& step, const Rooms& rooms);
  // A worker that a pass may place on.
  struct Usable {
    Worker* worker = nullptr;
    bool quarantined = false;
    int64_t free_cpu_millis = 0;  // When it was listed; less may be left.
  };
  void LookAtRooms();
  const Usable* UsableAt(size_t number) const;
  // The usable workers that the advice service allows the step; all of them if its queue asks for no advice.
  void ForEachAllowed(const StepRun& step, const std::function<void(const Usable&)>& take) const;
  int RunBase(const Job& job) const;

  Context& context_;
  const Ownership ownership_;
  CellConfiguration configuration_;
  std::function<void()> deposed_;
  OrderRelay relay_;
  WorkerTable workers_;
  AdviceDesk advice_;
  Quarantine quarantine_;  // Workers that fail, or keep standing still, what others run.
  GroupCommit commit_;

  TimePoint began_{};
  bool loaded_ = false;
  bool closing_ = false;
  bool deposed_once_ = false;
  std::function<void()> closed_;
  std::vector<std::pair<CallerRequest, Reply>> early_;  // Came before the jobs were read.
  // Requests that were refused, by sender and call: a copy that comes later must be refused too.
  std::map<std::pair<std::string, uint64_t>, CallerReply> refused_;
  std::deque<std::pair<TimePoint, std::pair<std::string, uint64_t>>> refused_at_;
  // Read from the store, until all of it is here.
  struct LoadedJob {
    JobRecord record;
    std::string spec_key;
    ProgressRecord progress;
    std::string progress_key;
  };
  struct Loading {
    std::map<std::string, LoadedJob> jobs;
    std::vector<WorkerLifeRecord> roster;
    std::vector<WorkerEntry> workers;
  };
  Loading loading_;

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;  // Not ended, or their end is not stored yet.
  std::unordered_map<std::string, Ended> ended_;
  std::deque<EndedBatch> ended_batches_;
  std::map<std::string, Segment> segments_;  // By key: the log, oldest first.
  std::deque<std::string> dirty_;            // Jobs, oldest news first.
  std::map<std::string, PendingCount> pending_counts_;

  bool roster_dirty_ = false;

  uint64_t workers_revision_ = 0;
  std::vector<Occurrence> finished_occurrences_;  // Dropped by the next pass: callers may be inside them.
  // What a pass works with. Vectors by the worker's number.
  std::vector<Usable> usable_;          // Workers that this pass may place on, most free first.
  std::vector<size_t> usable_at_;       // Place in `usable_` by the worker's number; kNotUsable if it is not there.
  std::vector<const StepRun*> kept_;    // For which gang room is kept there, by this pass so far.
  bool mostly_free_ = false;            // Much of the room is free: what is kept may be used.
  size_t kept_count_ = 0;               // Workers on which it is.
  mutable int64_t workers_viewed_ = 0;  // By placements, since the last pass ended: what a pass costs.
  std::vector<bool> kept_before_;       // Whether the last pass kept room there.
  std::vector<Resources> reserved_;     // By gangs that wait for tickets.
  TimePoint told_at_{};                 // When a line last said what waits.
  Duration pass_takes_{};               // What the last pass took of the control thread.
  bool schedule_soon_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_OWNER_H_
