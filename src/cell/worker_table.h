// The owner's view of the workers: which lives there are, what may be running on each, how long each is surely held,
// and how much room is left. Sends every order, and works out from answers, silence and clocks when a run is surely
// over.
//
// What silence leaves possible: an order without an answer may be carried out seconds later. A start is void once its
// deadline has passed on the worker's clock, or once a stop of the same run was answered. A hold may lengthen what runs
// up to its deadline, so a silent worker gets no further deadlines, and all its runs are over when the last one has
// passed on the slowest clock. A new life under the same id has a clock of its own, on which old deadlines lie far
// ahead: starts that the old life did not confirm are stopped in the new one.
#ifndef HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_
#define HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/context.h"
#include "cell/records.h"

namespace hibiscus::cell {

enum class PlacedPhase {
  kStarting,   // The start is under way.
  kRunning,    // The worker said so.
  kAbandoned,  // The start had no answer; it is being stopped.
  kStopping,   // To be stopped.
};

// Why a run is over without an end that the worker listed.
enum class GoneReason {
  kNeverRan,         // Its start was not carried out and never will be.
  kLeaseExpired,     // The worker was silent past everything it was ever allowed.
  kWorkerRestarted,  // The worker has started anew.
  kNotListed,        // The worker lists it no longer.
};
const char* NameOf(GoneReason reason);

// A run that takes room on a worker, surely or possibly.
struct PlacedRun {
  Resources size;
  PlacedPhase phase = PlacedPhase::kStarting;
  Duration absence_valid_after =
      0us;  // Worker's clock: an answer later than this and without the run shows that it is over.
  TimePoint placed_at{};
  bool confirmed = false;  // The worker has shown that it carried the start out.
  bool size_known = true;  // False: found running, and its job is not known any more.

  friend bool operator==(const PlacedRun&, const PlacedRun&) = default;
};

class Worker {
 public:
  explicit Worker(size_t its_number) : number(its_number) {}

  const size_t number;  // Never used again for another worker of this table.
  WorkerEntry entry;
  bool listed = false;          // Its entry stands in the store.
  TimePoint unlisted_since{};   // If not listed.
  bool hold_confirmed = false;  // This life has answered under the owner's token.
  bool silent = false;          // The last call had no answer.
  bool in_roster = false;       // The stored roster names this life: it may be given starts.
  bool unsettled = false;       // Runs of an earlier owner may be there that are not known yet.
  TimePoint avoid_until{};      // Refused work lately.
  std::map<RunRef, PlacedRun> placed;

  const Resources& used() const { return used_; }
  Resources free() const { return entry.capacity - used_; }
  bool UsableAt(TimePoint now) const;
  // The worker's clock now, if it runs at the right speed.
  Duration ClockAt(TimePoint now) const;

 private:
  friend class WorkerTable;

  Resources used_;
  int unknown_size_runs_ = 0;  // Runs whose size is not known: nothing else may be started beside them.
  bool clock_known_ = false;
  Duration last_clock_{};                          // Worker's clock in its last answer.
  TimePoint last_clock_at_{};                      // When that answer came.
  TimePoint lease_until_{};                        // Whatever runs there is over by then.
  Duration lists_clock_{};                         // Worker's clock of the newest lists that were taken.
  bool hold_in_flight_ = false;                    // A hold is under way.
  uint64_t hold_timer_ = 0;                        // Only the newest timer counts.
  int64_t last_end_seen_ = 0;                      // Ends up to this number were seen.
  int64_t last_end_acknowledged_ = 0;              // And stand in the store.
  std::map<RunRef, TimePoint> unanswered_starts_;  // Starts that had no answer, and when that was noted.
  std::set<RunRef> starts_to_void_;                // Starts to be stopped in this life, in case they still arrive.
};

class WorkerTable {
 public:
  // What happened to runs. Called from inside answers; may place and stop runs.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnRunning(Worker& worker, const RunningRun& row) = 0;  // Listed as running and already placed.
    // Listed as running and not placed yet; true: keep it. `size` stays empty if it is not known.
    virtual bool OnFound(Worker& worker, const RunningRun& row, std::optional<Resources>& size) = 0;
    virtual void OnEnded(Worker& worker, const EndedRun& row) = 0;
    virtual void OnGone(Worker& worker, const RunRef& run, GoneReason reason) = 0;
    virtual void OnStarted(Worker& worker, const RunRef& run) = 0;
    virtual void OnRefused(Worker& worker, const RunRef& run, OrderStatus status) = 0;
    virtual void OnEndsSeen(Worker& worker) = 0;  // There are ends to acknowledge once they stand in the store.
    virtual void OnSettled(Worker& worker) = 0;   // `unsettled` became false.
    virtual void OnChanged(Worker& worker) = 0;   // Room, usability or roster.
    virtual void OnRetired(Worker& worker) = 0;   // The roster need not name it any more.
    virtual void OnFenced() = 0;                  // A worker has seen a higher token.
  };

  // Orders go out through `orders`.
  WorkerTable(Context& context, WorkerPort& orders, uint64_t token, Listener& listener);
  ~WorkerTable();
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  // A worker that an earlier owner may have given orders to.
  void AddFromRoster(const WorkerInstanceRecord& life);
  // Its entry was written, or is gone.
  void OnEntry(const WorkerEntry& entry);
  void OnEntryGone(const std::string& id);

  void Start(Worker& worker, StartOrder order, const Resources& size);
  void Stop(Worker& worker, const RunRef& run);

  // Ends up to the number seen now, to be passed to Acknowledge once they stand.
  int64_t seen(const Worker& worker) const { return worker.last_end_seen_; }
  int64_t acknowledged(const Worker& worker) const { return worker.last_end_acknowledged_; }
  void Acknowledge(const std::string& id, int64_t born_ms, int64_t number);

  Worker* Find(const std::string& id);
  Worker* FindByNumber(size_t number);  // By Worker::number.
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
  size_t max_number() const { return max_number_; }  // No worker has a higher one.
  bool AnyUnsettled() const { return unsettled_ > 0; }
  // How long starts take to be answered, smoothed: what this host is behind with its calls. 0 if none was lately.
  Duration start_delay() const;
  // Lives that starts were or may be given to, to be stored. The others get none until they are part of a later roster.
  std::vector<WorkerInstanceRecord> TakeRoster();

  // Looks for workers whose time has run out. Call it a few times a second.
  void Sweep();

 private:
  std::unique_ptr<Worker> MakeWorker();  // With the next number.
  void BeginLife(Worker& worker, int64_t born_ms);
  void ScheduleHold(Worker& worker, Duration delay);
  void SendHold(Worker& worker);
  void OnHoldAnswer(Worker& worker, const OrderAnswer& answer);
  // False if the table is gone: a listener has dropped it.
  bool ApplyLists(Worker& worker, const OrderAnswer& answer);
  void ApplyEnded(Worker& worker, const OrderAnswer& answer);
  void ApplyRunning(Worker& worker, const OrderAnswer& answer);
  void ApplyAbsent(Worker& worker, const OrderAnswer& answer);
  void CheckOverdueStart(Worker& worker, const RunRef& run);
  void OnStartAnswer(Worker& worker, const RunRef& run, const OrderAnswer& answer);
  void AbandonStart(Worker& worker, const RunRef& run);
  void SendStop(Worker& worker, const RunRef& run);
  bool RecordAnswer(Worker& worker, const OrderAnswer& answer);
  void MarkSilent(Worker& worker);
  void RecordStartDelay(Duration delay);
  void AddRun(Worker& worker, const RunRef& run, const PlacedRun& placed);
  void RemoveRun(Worker& worker, const RunRef& run);
  void RemoveAllRuns(Worker& worker, GoneReason reason);
  void StopVoidedStarts(Worker& worker);
  void MarkSettled(Worker& worker);
  bool HasDeparted(const Worker& worker, TimePoint now) const;
  void Retire(Worker& worker);
  // Allowed until this time on the worker's clock; the table remembers when that is over for sure.
  void ExtendLease(Worker& worker, Duration deadline);
  WorkerTarget TargetOf(const Worker& worker) const {
    return {worker.entry.id, worker.entry.address, worker.entry.data_centre};
  }

  Context& context_;
  WorkerPort& orders_;
  const uint64_t token_;
  Listener& listener_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  int unsettled_ = 0;
  size_t max_number_ = 0;
  std::unordered_map<size_t, Worker*> by_number_;
  Duration start_delay_{};
  TimePoint start_delay_updated_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_
