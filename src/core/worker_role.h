// Manages the workers that this host owns: acquires their control leases, reads the runs in progress before placing new
// ones, accounts for capacity in a ledger, starts and stops runs under the fencing token, and repeats the report of
// each ended run until the home host acknowledges it.
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

// A range of consecutive map entries.
template <class Iterator>
struct EntryRange {
  Iterator first;
  Iterator last;

  Iterator begin() const { return first; }
  Iterator end() const { return last; }
  int64_t size() const { return std::distance(first, last); }
};

// Returns the entries of one request. They are consecutive because RunId sorts by request first.
template <class Value>
auto EntriesOfRequest(const std::map<RunId, Value>& by_run, const RequestKey& key) {
  auto first = by_run.lower_bound(RunId{TaskId{key, 0}, 0});
  auto last = std::find_if(first, by_run.end(), [&](const auto& entry) { return entry.first.task.key != key; });
  return EntryRange<decltype(first)>{first, last};
}

// A run on a worker that this host owns.
struct OwnedRun {
  enum class Phase {
    kStarting,  // The start was sent; its reply is pending.
    kRunning,
    kEnded,  // The end is reported until acknowledged.
  };

  WorkerTask task;
  Phase phase = Phase::kStarting;
  RunPhase end = RunPhase::kDone;  // Valid in phase kEnded.
  TimePoint next_report{};
  TimePoint started{};                     // Zero for a run adopted from the previous lease holder.
  TimePoint forget_at = TimePoint::max();  // In phase kEnded: no retry can refer to the run after this time.
};

// Capacity reserved for a run until its commit arrives or the hold expires.
struct Hold {
  HostName home;
  TimePoint expires_at{};
};

// A worker of this data centre; only those with `owned_here` are managed by this host.
struct OwnedWorker {
  ListEntry entry;
  bool owned_here = false;         // This host owns it in the current membership view.
  CapacityIndex::Id index_id = 0;  // Id in `capacity_index_`.
  TimePoint next_run_check{};      // When a run next needs a report or can be forgotten.
  uint64_t token = 0;              // Fencing token; 0 without a lease.
  uint64_t lease_number = 0;       // Sequence number among the leases that this process acquired.
  TimePoint lease_expiry{};        // On this host's clock, counted from when the request was sent.
  CallId acquire_call = 0;         // The pending acquire or renewal, or 0.
  TimePoint acquire_sent{};
  TimePoint next_acquire{};
  TimePoint last_renewal{};    // When the last renewal or start under a valid token was sent.
  TimePoint unlisted_since{};  // When the platform's list dropped it; zero while it is listed.
  bool releasing = false;
  Ledger ledger;
  std::map<RunId, Hold> holds;
  std::map<RunId, TimePoint> expired_holds;  // Never committed under this lease; value: when to forget it.
  std::map<RunId, OwnedRun> runs;
  std::vector<RunId> acks;  // Acknowledged runs to send with the next renewal.
};

// A reservation that waits for capacity.
struct QueuedReserve {
  HostName home;
  Reserve reserve;
  TimePoint arrived{};
  TimePoint start_by{};
  double cost = 0;            // Share of the total capacity, times the expected run time in seconds.
  Duration predicted_wait{};  // Predicted by admission control on arrival.
};

struct WorkerExplanation;

class WorkerRole {
 public:
  WorkerRole(CoreContext& context, const ClaimTable& claims)
      : context_(context), claims_(claims), queue_(context.settings.policy.queue) {}

  void OnList(const std::vector<ListEntry>& entries);
  void OnTick();
  void OnPause();
  bool OnWorker(const WorkerEvent& event);  // Returns false if another role made the call.

  void OnReserve(const HostName& from, const Reserve& reserve);
  void OnCommit(const HostName& from, const Commit& commit);
  void OnReleaseHold(const ReleaseHold& release);
  void OnStopRun(const HostName& from, const StopRun& stop);
  void OnReportAck(const RunReportAck& ack);

  // True if this host holds the lease of every worker it owns, and so knows their runs. Workers that were removed from
  // the platform's list long enough ago don't count.
  bool CoversAllWorkers() const;
  std::vector<RunReport> RunsOf(const RequestKey& key) const;
  size_t leases() const;
  WorkerExplanation Explain(const WorkerName& name) const;  // In explain.cc.
  // Number of workers that take only probes because they failed work that succeeds on others.
  size_t quarantined() const { return quarantine_.quarantined().size(); }
  // Number of tasks that wait for capacity.
  size_t queued() const { return queue_.size(); }

 private:
  struct PendingCall {
    WorkerName worker;
    WorkerOp op = WorkerOp::kAcquire;
    RunId run;
    uint64_t token = 0;
    HostName requested_by;  // The host that requested a stop.
  };

  // Leases; see worker_role.cc.
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
  void AdoptRuns(OwnedWorker& worker, const WorkerReply& reply);
  void RecordEndedRuns(OwnedWorker& worker, const std::vector<WorkerTask>& tasks, bool under_same_lease);
  bool IsRemoved(const OwnedWorker& worker) const;
  bool HasLease(const OwnedWorker& worker) const;
  CallId Call(const OwnedWorker& worker, WorkerCall request, Duration timeout);

  // Capacity, the queue for it and admission; see worker_queue.cc.
  void PlaceQueued();
  bool NeverFits(const Resources& size) const;
  QueuedReserve MakeQueued(const HostName& home, const Reserve& reserve) const;
  bool ChecksAdmission() const;
  void RecordAdmitted(const QueuedReserve& queued);
  bool AdmitsGang(const HostName& home, const Reserve& reserve);
  bool CouldHoldGang(const Reserve& reserve) const;
  void Enqueue(const HostName& home, const Reserve& reserve);
  void OnDequeued(const QueuedReserve& queued);
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

  // Quarantine of failing workers; see worker_quarantine.cc.
  void RecordRunEnd(const OwnedWorker& worker, const WorkerTask& task, bool failed);
  void RefreshQuarantine();
  bool CanBeProbe(const Reserve& reserve) const;
  OwnedWorker* FindProbe(const Reserve& reserve);
  std::vector<OwnedWorker*> WorkersToAvoid(const Reserve& reserve);
  bool AcceptsAvoidedWorker(const Reserve& reserve, const OwnedWorker& worker, bool can_wait) const;
  OwnedWorker* FindWorker(const Reserve& reserve, bool can_wait);

  // Runs; see worker_runs.cc.
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
  uint64_t refreshed_view_ = 0;  // The view at the last RefreshOwned.
  CapacityIndex capacity_index_;
  std::vector<OwnedWorker*> indexed_workers_;               // By CapacityIndex::Id.
  std::map<std::string, std::vector<OwnedWorker*>> racks_;  // By rack name in the platform's list.
  std::map<RunId, OwnedWorker*> held_by_;                   // The worker of each hold.
  DeadlineQueue<QueuedReserve> queue_;
  std::map<RunId, DeadlineQueue<QueuedReserve>::Id> queued_;
  // The admission decision for a gang. Its members arrive one by one and share it.
  struct GangAdmission {
    bool admitted = true;
    TimePoint expires_at{};
  };

  std::map<RequestKey, GangAdmission> gang_admissions_;
  AdmissionControl admission_;
  RunTimes run_times_;
  Quarantine quarantine_;
  bool capacity_freed_ = false;  // Since the last PlaceQueued.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_WORKER_ROLE_H_
