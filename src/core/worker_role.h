// The owner's part for workers: takes control leases, reads what runs before it places, keeps the ledger, starts and
// stops runs under the fencing token, and reports their ends until the home host has taken note.
#ifndef HIBISCUSSTAND_SRC_CORE_WORKER_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_WORKER_ROLE_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "core/claim_table.h"
#include "core/context.h"
#include "core/ledger.h"
#include "core/run_times.h"
#include "hibiscusstand/admission.h"
#include "hibiscusstand/deadline_queue.h"
#include "hibiscusstand/placement.h"
#include "hibiscusstand/quarantine.h"

namespace hibiscus {

// Neighbouring entries of a map.
template <class Iterator>
struct EntryRange {
  Iterator first;
  Iterator last;

  Iterator begin() const { return first; }
  Iterator end() const { return last; }
  int64_t size() const { return std::distance(first, last); }
};

// The entries of one request, which stand side by side.
template <class Value>
auto EntriesOfRequest(const std::map<RunId, Value>& by_run, const RequestKey& key) {
  auto first = by_run.lower_bound(RunId{TaskId{key, 0}, 0});
  auto last = std::find_if(first, by_run.end(), [&](const auto& entry) { return entry.first.task.key != key; });
  return EntryRange<decltype(first)>{first, last};
}

// A run on a worker of ours.
struct OwnedRun {
  enum class Phase {
    kStarting,  // The start is out.
    kRunning,
    kEnded,  // Reported until acknowledged.
  };

  WorkerTask task;
  Phase phase = Phase::kStarting;
  RunPhase end = RunPhase::kDone;  // Once ended.
  TimePoint next_report{};
  TimePoint started{};                     // Zero for a run that was taken over.
  TimePoint forget_at = TimePoint::max();  // Once ended: no repeat can ask for it any more.
};

// Room kept for a run until its commit.
struct Hold {
  HostName home;
  TimePoint until{};
};

// A worker that falls to this host, or did.
struct OwnedWorker {
  ListEntry entry;
  bool ours = false;           // It falls to this host, under the present view.
  CapacityIndex::Id room = 0;  // Its place in the index.
  TimePoint next_run_check{};  // When one of its runs next needs a report, or is forgotten.
  uint64_t token = 0;          // 0: no lease.
  uint64_t lease_number = 0;   // Of all leases that this process has taken.
  TimePoint lease_until{};     // On our clock, counted from before we asked.
  CallId acquire = 0;          // The call that is out, or 0.
  TimePoint acquire_sent{};
  TimePoint next_acquire{};
  TimePoint last_renewal{};  // When a renewal under a valid token was last sent.
  TimePoint unlisted{};      // Since when the list no longer names it; the clock's origin while it does.
  bool releasing = false;
  Ledger ledger;
  std::map<RunId, Hold> holds;
  std::map<RunId, TimePoint> expired_holds;  // Never committed under this lease, and until when that is remembered.
  std::map<RunId, OwnedRun> runs;
  std::vector<RunId> acks;  // Ended runs that the worker may forget.
};

// A task that waits for room.
struct QueuedReserve {
  HostName home;
  Reserve reserve;
  TimePoint arrived{};
  TimePoint start_by{};
  double cost = 0;       // Share of all room, times the seconds that it is expected to be held.
  Duration predicted{};  // Wait, as admission saw it.
};

struct WorkerExplanation;

class WorkerRole {
 public:
  WorkerRole(CoreContext& context, const ClaimTable& claims)
      : context_(context), claims_(claims), queue_(context.settings.policy.queue) {}

  void OnList(const std::vector<ListEntry>& entries);
  void OnTick();
  void OnPause();
  bool OnWorker(const WorkerEvent& event);  // False: the call was not ours.

  void OnReserve(const HostName& from, const Reserve& reserve);
  void OnCommit(const HostName& from, const Commit& commit);
  void OnReleaseHold(const ReleaseHold& release);
  void OnStopRun(const HostName& from, const StopRun& stop);
  void OnReportAck(const RunReportAck& ack);

  // Every worker that falls to this host is under its lease, and has told what it runs.
  bool CoversAllWorkers() const;
  std::vector<RunReport> RunsOf(const RequestKey& key) const;
  size_t leases() const;
  WorkerExplanation Explain(const WorkerName& name) const;  // In explain.cc.
  // Workers that take nothing but probes, since they failed what others run.
  size_t quarantined() const { return quarantine_.quarantined().size(); }
  // Tasks that wait for room.
  size_t queued() const { return queue_.size(); }

 private:
  struct PendingCall {
    WorkerName worker;
    WorkerOp op = WorkerOp::kAcquire;
    RunId run;
    uint64_t token = 0;
    HostName asked_by;  // Stop.
  };

  // Leases: worker_role.cc.
  OwnedWorker& AddOrUpdateWorker(const ListEntry& entry);
  void RefreshOwned();
  void TickWorker(OwnedWorker& worker);
  void TickRuns(OwnedWorker& worker);
  void Acquire(OwnedWorker& worker);
  void Release(OwnedWorker& worker);
  void LoseLease(OwnedWorker& worker);
  Duration RunExpiryDelay() const;
  void EndExpiredRuns(OwnedWorker& worker);
  void OnAcquireReply(OwnedWorker& worker, const WorkerEvent& event);
  void Adopt(OwnedWorker& worker, const WorkerReply& reply);
  void TakeEnded(OwnedWorker& worker, const std::vector<WorkerTask>& tasks, bool held_on);
  bool IsRemoved(const OwnedWorker& worker) const;
  bool HasLease(const OwnedWorker& worker) const;
  CallId Call(const OwnedWorker& worker, WorkerCall request, Duration timeout);

  // Room and the queue for it: worker_queue.cc.
  void PlaceQueued();
  bool NeverFits(const Resources& size) const;
  QueuedReserve MakeQueued(const HostName& home, const Reserve& reserve) const;
  bool ChecksAdmission() const;
  void RecordAdmitted(const QueuedReserve& queued);
  bool AdmitsGang(const HostName& home, const Reserve& reserve);
  bool CouldHoldGang(const Reserve& reserve) const;
  void Enqueue(const HostName& home, const Reserve& reserve);
  void Dequeued(const QueuedReserve& queued);
  void RefuseExpired();
  double CostOf(const Reserve& reserve) const;
  Demand DemandOf(const QueuedReserve& queued) const;
  bool MayBeOvertaken(const QueuedReserve& queued) const;
  bool CanWait(const QueuedReserve& queued) const;
  OwnedWorker* FindAnyWorker(const Reserve& reserve);
  int TasksOnRack(const std::string& class_name, const std::string& rack) const;
  void HoldCapacity(OwnedWorker& worker, const HostName& home, const Reserve& reserve);
  void DropHold(OwnedWorker& worker, const RunId& run);
  void DropExpiredHolds(OwnedWorker& worker);
  bool AcceptsRuns(const OwnedWorker& worker) const;
  void RefreshCapacity(const OwnedWorker& worker);
  void RefreshLoad();

  // Workers that fail what others run: worker_quarantine.cc.
  void RecordRunEnd(const OwnedWorker& worker, const WorkerTask& task, bool failed);
  void RefreshQuarantine();
  bool CanBeProbe(const Reserve& reserve) const;
  OwnedWorker* FindProbe(const Reserve& reserve);
  std::vector<OwnedWorker*> WorkersToAvoid(const Reserve& reserve);
  bool AcceptsAvoidedWorker(const Reserve& reserve, const OwnedWorker& worker, bool patient) const;
  OwnedWorker* FindWorker(const Reserve& reserve, bool patient);

  // Runs: worker_runs.cc.
  void ReportIfRemoved(const OwnedWorker& worker, const HostName& home, const Commit& commit);
  void Start(OwnedWorker& worker, const HostName& home, const Commit& commit);
  void OnStartReply(OwnedWorker& worker, const PendingCall& call, const WorkerEvent& event);
  void OnStopReply(OwnedWorker& worker, const PendingCall& call, const WorkerEvent& event);
  void Forget(OwnedWorker& worker, const RunId& run);
  void ForgetExpired(OwnedWorker& worker);
  void EndRun(OwnedWorker& worker, const RunId& run, RunPhase end);
  void Report(OwnedWorker& worker, OwnedRun& run);
  void ReportTo(const HostName& home, const RunReport& report) { context_.Send(home, report); }

  CoreContext& context_;
  const ClaimTable& claims_;
  uint64_t lease_count_ = 0;
  std::map<WorkerName, OwnedWorker> workers_;
  std::map<CallId, PendingCall> calls_;
  uint64_t refreshed_view_ = 0;  // Of the last RefreshOwned.
  CapacityIndex rooms_;
  std::vector<OwnedWorker*> indexed_workers_;               // By place in the index.
  std::map<std::string, std::vector<OwnedWorker*>> racks_;  // By the list's names.
  std::map<RunId, OwnedWorker*> held_by_;                   // Every hold of every worker.
  DeadlineQueue<QueuedReserve> queue_;
  std::map<RunId, DeadlineQueue<QueuedReserve>::Id> queued_;
  // Whether a gang was admitted: its members arrive one after the other and share the verdict.
  struct GangVerdict {
    bool admitted = true;
    TimePoint until{};
  };

  std::map<RequestKey, GangVerdict> gang_admissions_;
  AdmissionControl admission_;
  RunTimes run_times_;
  Quarantine quarantine_;
  bool capacity_freed_ = false;  // Since the queue was last looked at.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_WORKER_ROLE_H_
