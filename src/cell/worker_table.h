// The owner's table of workers: their current lives, the runs that may be on each, the lease each is known to hold, and
// its free resources. Sends all orders to workers, and derives from answers, timeouts and clocks when a run is
// certainly over. A life is one incarnation of a worker process, identified by its id and born_ms.
//
// An order without an answer may still be carried out seconds later. A start can no longer take effect once its
// deadline has passed on the worker's clock, or once a stop of the same run was answered. A hold may extend the lease
// of what runs up to the hold's deadline; a silent worker therefore gets no further deadlines, and all its runs are
// over once the last deadline has passed on the slowest permitted clock.
//
// A copy of a start is open until it is answered, is shown by a list to have been carried out, or can no longer be
// carried out (OpenCopy::until). An answer names no life, so a copy that a later life than the known one may have
// carried out stays open until a list of the known life shows that it had not ended by then. A next life of its worker
// may carry it out whatever the earlier one answered or listed: it knows neither a stop nor a token of before. So a run
// with open copies stays placed although it is over, and its task gets no other worker until then (PlacedRun::over). In
// the meantime the same run is sent again to the same worker, which carries out one copy at most. And an end is not
// named to its worker as received while a copy of its run's start is open, or of a start of the same gang: the run may
// begin again.
//
// A hold that names ends to forget may also reach the next life, which numbers its ends anew, and make it forget the
// end of a run that the owner has not received. So it is sent only while no start can be on its way to the worker, and
// the worker gets no start until it has answered; if it doesn't answer, later starts bear a higher token, and a life
// that has taken one of them refuses the hold.
//
// A new life under the same id has seen no token, knows of no stop and has its own clock, on which old deadlines lie
// far ahead. A start that reaches it may run there although an earlier life stopped it. Such a start is voided: it is
// stopped in the new life. A late hold or start also extends the lease of what runs there. So orders to a new life bear
// a higher token than those to earlier ones, and it gets starts only once it has answered a hold with that token: it
// refuses all late orders from then on.
#ifndef HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_
#define HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/context.h"
#include "cell/job_table.h"
#include "cell/records.h"
#include "cell/tenant_quota.h"

namespace hibiscus::cell {

// An owner in doubt whether it is still the owner stops acting after this time, whatever its workers say. Covers the
// longest outages of the store for single hosts.
inline constexpr Duration kMaxDoubt = 12s;
// The same for an owner that has released the cell, since the release. A successor that cannot fence the earlier owner,
// as half of the workers have left, waits no longer for the release than for fenced workers: kWitnessValidity.
inline constexpr Duration kMaxReleasedDoubt = 2s;

enum class PlacedPhase {
  kStarting,   // The start was sent.
  kRunning,    // The worker has confirmed the start.
  kAbandoned,  // The start was not confirmed, and a stop was sent, or the run is over.
  kStopping,   // A stop was requested.
};

// Why a run is over although the worker listed no end for it.
enum class GoneReason {
  kNeverRan,         // Its start was not carried out and never will be.
  kLeaseExpired,     // The worker was silent until its lease had expired.
  kWorkerRestarted,  // The worker process has restarted.
  kNotListed,        // The worker no longer lists it.
  kEnded,            // It had ended, and copies of its start were open until now.
};
const char* NameOf(GoneReason reason);

// What a run takes, and of whose quota.
struct RunDemand {
  Resources size;        // Of its worker's capacity.
  Resources quota_size;  // Of its tenant's maximum.
  std::string tenant;
  int suspicion = 0;     // Number of earlier runs of its task under which a worker crashed.
  bool lasting = false;  // Runs until its job is cancelled.

  friend bool operator==(const RunDemand&, const RunDemand&) = default;
};
RunDemand DemandOf(const StepRun& step);
RunDemand DemandOf(const StepRun& step, int index);

// A copy of a start that its worker may still carry out, or has carried out in a life that is not known.
struct OpenCopy {
  int number = 0;  // Of the copies of its start, from 1.
  TimePoint sent_at{};
  TimePoint until{};      // It is carried out before this time, by whatever life of the worker, or never.
  bool answered = false;  // It was carried out before `until`.

  friend bool operator==(const OpenCopy&, const OpenCopy&) = default;
};

// A run that uses, or may be using, resources of a worker.
struct PlacedRun {
  RunDemand demand;
  PlacedPhase phase = PlacedPhase::kStarting;
  // On the worker's clock: lists later than this that lack the run prove that it is over.
  Duration absence_valid_after = 0us;
  TimePoint placed_at{};  // When the newest copy of its start was sent, or when it was reserved or found.
  int sends = 0;          // Number of copies of its start that were sent.
  std::shared_ptr<const StartOrder> order = nullptr;  // Its start, to be sent again; empty once that is not needed.
  bool sent = true;                                   // False: its start was not sent yet, see WorkerTable::Reserve.
  bool confirmed = false;                             // The worker has confirmed that it carried out the start.
  // The confirmation came from the current life: a list, or an answer that names the life or bears its clock.
  bool in_current_life = false;
  bool demand_known = true;  // False for a run found on the worker whose job is unknown to the owner.
  std::vector<OpenCopy> open_copies = {};
  bool copy_answered = false;    // The worker has carried out a copy that is not among the open ones.
  bool carried_out = false;      // The worker has begun the run, in whatever life.
  bool check_scheduled = false;  // Whether its start is answered is checked soon.
  bool over = false;             // It is not running in the life that is known. Stays placed until no copy is open.
  GoneReason over_reason = GoneReason::kNeverRan;
  bool overdue = false;   // Its start has had no answer for so long that it is stored for the next owner.
  bool unwanted = false;  // Found there and not kept: its task waits until it is over.

  // When the last open copy can no longer be carried out. TimePoint{}: none is open.
  TimePoint OpenUntil() const;
  bool HasUnansweredCopy() const;
  friend bool operator==(const PlacedRun&, const PlacedRun&) = default;
};

// A run that was on a worker whose process has crashed.
struct CrashedRun {
  RunRef run;
  bool certain = false;  // It certainly ran there when the process crashed.
  Duration ran{};        // From its placement to the first sign of the crash.

  friend bool operator==(const CrashedRun&, const CrashedRun&) = default;
};

// One copy of a start as it was sent.
struct SentStart {
  RunRef run;
  uint64_t token = 0;
  int copy = 0;  // From 1.
  TimePoint sent_at{};

  friend bool operator==(const SentStart&, const SentStart&) = default;
};

class Worker {
 public:
  explicit Worker(size_t its_number) : number(its_number) {}

  const size_t number;  // Never reused for another worker of this table.
  WorkerEntry entry;
  bool listed = false;          // Its entry is in the store.
  TimePoint unlisted_since{};   // Valid while not listed.
  bool hold_confirmed = false;  // This life has answered a hold with the owner's token.
  bool silent = false;          // The last call got no answer.
  bool in_roster = false;       // The stored roster contains this life, so it may receive starts.
  bool unsettled = false;       // It may have runs of an earlier owner that are not known yet.
  bool inherited = false;       // An earlier owner may have sent it orders.
  bool recheck = false;         // Gets no starts and no longer lease until it answers a hold sent after a pause.
  TimePoint avoid_until{};      // Receives no starts until then because it refused one.
  TimePoint witnessed_at{};     // When the newest hold was sent that this life has answered with the owner's token.
  std::map<RunRef, PlacedRun> placed;

  const Resources& used() const { return used_; }
  Resources free() const { return entry.capacity - used_; }
  int suspicion() const { return suspicion_; }  // Sum of its runs.
  bool UsableAt(TimePoint now) const;
  // Estimates the worker's clock at `now`, assuming that it runs at the nominal rate.
  Duration ClockAt(TimePoint now) const;

 private:
  friend class WorkerTable;

  Resources used_;
  int suspicion_ = 0;
  int unknown_demand_runs_ = 0;  // Runs of unknown demand: nothing may be started beside them.
  bool clock_known_ = false;
  Duration last_clock_{};                         // Latest worker clock received.
  TimePoint last_clock_at_{};                     // Local time at which it was received.
  TimePoint lease_until_{};                       // All its runs are over by then.
  Duration latest_deadline_{};                    // Of the orders to this life, on its clock. For logs.
  Duration lists_clock_{};                        // Worker clock of the newest lists applied.
  TimePoint lists_requested_at_{};                // Local time at which they were requested.
  TimePoint newest_answered_at_{};                // When the newest call was sent that this life has answered.
  bool fence_counted_ = false;                    // See WorkerTable::CountFencedWorker.
  bool replaced_ = false;                         // Another instance has its address: its process has ended.
  TimePoint silent_since_{};                      // Valid while silent.
  TimePoint unanswered_at_{};                     // When the newest call without an answer was given up.
  TimePoint start_answered_at_{};                 // When the newest answer to a start was received.
  int refused_connections_ = 0;                   // By the worker, since it last answered a hold.
  std::vector<CrashedRun> lapsed_;                // Runs whose lease expired; it may have crashed under them before.
  bool hold_in_flight_ = false;                   // A hold awaits its answer.
  uint64_t hold_timer_ = 0;                       // Number of the newest hold timer; older ones are ignored.
  int64_t last_end_seen_ = 0;                     // Ends up to this number were received.
  int64_t last_end_acknowledged_ = 0;             // Ends up to this number are stored.
  int64_t last_end_forgotten_ = 0;                // The worker has confirmed that it forgot ends up to this number.
  TimePoint acknowledgement_sent_at_{};           // Newest hold that named ends to forget.
  bool acknowledgement_in_flight_ = false;        // A hold that names ends awaits its answer.
  TimePoint starts_blocked_until_{};              // Such a hold with the current token may still arrive until then.
  std::optional<TimePoint> ends_deferred_since_;  // Starts in flight keep ends from being named since then.
  uint64_t token_ = 0;                            // Of the orders to it: the highest so far.
  uint64_t earlier_lives_token_ = 0;              // The highest of the orders to earlier lives; 0: none.
  bool fenced_ = false;                           // This life has answered a hold with a higher token than that.
  uint64_t hold_number_ = 0;                      // Of the newest hold sent.
  TimePoint inherited_at_{};                      // When it was taken over from an earlier owner.
  std::map<int64_t, RunRef> held_ends_;           // By number; not named while copies of starts may run again.
  std::optional<TimePoint> late_starts_since_;    // Late starts keep ends from being named since then.
};

// Until when the owner may act for the cell.
struct Authority {
  TimePoint sole_until = TimePoint::max();  // No other host can own the cell before.
  // It may start tasks and extend leases before: it is the sole owner, or more than half of the workers were not
  // fenced.
  TimePoint active_until = TimePoint::max();

  friend bool operator==(const Authority&, const Authority&) = default;
};

// Another host may own the cell while this owner cannot reach the store. Then both must not act on the same run, even
// if each reaches other workers. The workers are witnesses: an owner in doubt extends leases and starts tasks only for
// kWitnessValidity after more than half of the stored roster has answered its holds, and for kMaxDoubt at most, or
// kMaxReleasedDoubt once it releases the cell. Its successor takes the runs of a worker that it cannot reach for over
// only once it has fenced half of the roster, and that time and the longest lease have passed since, or once the
// longest lease has passed since all earlier owners have certainly stopped acting. An owner that releases the cell
// hands on when that is the case.
class WorkerTable {
 public:
  using LateEnds = std::function<void(const std::vector<EndedRun>& ends)>;

  // Receives events about workers and runs. Called while answers are processed; may start and stop runs.
  class Listener {
   public:
    virtual ~Listener() = default;
    // A run already placed there is listed as running.
    virtual void OnRunning(Worker& worker, const RunningRun& row) = 0;
    // A run not yet placed there is listed as running. Returns true to keep it; leaves `demand` empty if unknown.
    virtual bool OnFound(Worker& worker, const RunningRun& row, std::optional<RunDemand>& demand) = 0;
    virtual void OnEnded(Worker& worker, const EndedRun& row) = 0;
    virtual void OnGone(Worker& worker, const RunRef& run, GoneReason reason) = 0;
    // The worker's process has crashed with these runs; OnGone follows for each once it is certainly over.
    virtual void OnCrashed(Worker& worker, const std::vector<CrashedRun>& crashed) = 0;
    virtual void OnSilent(Worker& worker, const std::vector<CrashedRun>& runs) = 0;   // It may have crashed with these.
    virtual void OnAnswers(Worker& worker, const std::vector<CrashedRun>& runs) = 0;  // It has not.
    virtual void OnStarted(Worker& worker, const RunRef& run) = 0;
    // Whether a start without an answer may be sent again. Brings its ticket up to date.
    virtual bool MayRepeat(Worker& worker, StartOrder& order) = 0;
    virtual void OnRefused(Worker& worker, const RunRef& run, OrderStatus status) = 0;
    virtual void OnEndsSeen(Worker& worker) = 0;  // New ends were received; acknowledge them once they are stored.
    virtual void OnSettled(Worker& worker) = 0;   // `unsettled` became false.
    virtual void OnChanged(Worker& worker) = 0;   // Its entry, usability or roster eligibility changed.
    virtual void OnRetired(Worker& worker) = 0;   // It may be dropped from the roster.
    virtual void OnTokenNeeded() = 0;             // A worker gets no starts until a further batch is stored.
    virtual void OnFenced() = 0;                  // A worker has seen a higher token.
    virtual void OnOpenStartsChanged() = 0;       // Store open_starts() soon.
    virtual bool MayBeGang(const RunRef& run) const = 0;  // True if its job is not known.
    // A start of an earlier owner may still be carried out; OnGone follows once that is excluded. Returns false
    // if its task is placed with another run, and may not start again before that.
    virtual bool OnOpenStart(Worker& worker, const RunRef& run) = 0;
  };

  // Sends orders through `orders`.
  // `on_late_ends` receives the ends of answers that arrive when the table no longer exists.
  WorkerTable(Context& context, WorkerPort& orders, uint64_t token, Listener& listener, LateEnds on_late_ends = {});
  ~WorkerTable();
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  // All earlier owners have stopped acting by then. Call before AddFromRoster.
  void SetEarlierOwners(TimePoint inactive_by);
  // Adds a worker to which an earlier owner may have sent orders.
  void AddFromRoster(const WorkerInstanceRecord& life);
  // Adds a start of an earlier owner that may still be carried out. Call after AddFromRoster.
  void AddOpenStart(const OpenStartRecord& start);
  // The starts that have no answer for long enough to be stored for the next owner, or all without an answer.
  std::vector<OpenStartRecord> open_starts(bool all) const;
  // Changes whenever open_starts(false) has other starts than before, or their times have grown.
  uint64_t open_starts_version() const { return open_starts_version_; }
  // Called when a worker's entry in the store was written or removed.
  void OnEntry(const WorkerEntry& entry);
  void OnEntryGone(const std::string& id);

  void Start(Worker& worker, StartOrder order, const RunDemand& demand);
  // Start in two parts: places the run, and sends its start later unless it is stopped or its worker lost by then.
  void Reserve(Worker& worker, const RunRef& run, const RunDemand& demand);
  void StartReserved(Worker& worker, StartOrder order);
  void Stop(Worker& worker, const RunRef& run);

  // Number of the last end received. Pass it to Acknowledge once the ends up to it are stored.
  int64_t seen(const Worker& worker) const { return worker.last_end_seen_; }
  int64_t acknowledged(const Worker& worker) const { return worker.last_end_acknowledged_; }
  // True if the process of the worker's life `born_ms` has ended: the worker has begun another life, or another
  // instance has its address.
  bool HasLaterInstance(const Worker& worker, int64_t born_ms) const;
  void Acknowledge(const std::string& id, int64_t born_ms, int64_t number);
  // Called when a batch of this owner was stored at `revision`. Revisions of its batches are higher than the token of
  // its ownership and lower than that of any successor, so they serve as higher tokens.
  void OnCommitted(uint64_t revision);

  Worker* Find(const std::string& id);
  Worker* FindByNumber(size_t number);  // By Worker::number.
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
  size_t max_number() const { return max_number_; }  // Highest worker number assigned so far.
  bool AnyUnsettled() const { return unsettled_ > 0; }
  // True if the run is over and an open copy of its start may begin it again: OnGone follows once that is excluded.
  bool MayStartAgain(const Worker& worker, const RunRef& run) const;
  // True if that holds for a run of this step, identified by a task with index 0.
  bool MayStartAgain(const TaskRef& step) const { return over_of_step_.contains(step); }
  // When the last such start can no longer be carried out. Empty if there is none.
  std::optional<TimePoint> StartsOverAt(const TaskRef& step) const;
  // True if a run of this step that the owner did not keep is not over yet: it is being stopped, or may still begin.
  bool HasUnwantedRun(const TaskRef& step) const { return unwanted_of_step_.contains(step); }
  // When all earlier owners have certainly stopped acting.
  TimePoint EarlierOwnersInactiveAt() const;
  // When the runs of an earlier owner on a worker that was not reached are certainly over.
  TimePoint InheritedRunsOverAt() const;
  // By when every start sent so far is answered, or its call given up. Not later than now if all are.
  TimePoint StartsAnsweredBy() const;
  // When an owner in doubt stops acting, whatever its workers say.
  TimePoint DoubtOverAt() const { return authority_.sole_until + kMaxDoubt; }
  bool AnyUnknownDemand() const { return unknown_demand_runs_ > 0; }
  // Resources of all runs that may exist and whose tenant is known.
  const TenantUsage& tenant_usage() const { return tenant_usage_; }
  const TenantUsage& lasting_usage() const { return lasting_usage_; }  // Part of tenant_usage: of runs that last.
  // Upper bound of the resources of the other runs that may exist: the free capacity of workers that may have runs the
  // owner does not know. Empty if the capacity of one of them is unknown.
  std::optional<Resources> UnaccountedResources() const;
  // Smoothed response time of starts, a measure of how far this host lags behind with its calls. 0 without recent
  // starts.
  Duration start_delay() const;
  // Returns the lives that may have received or may receive starts, to be stored. All others receive none until a later
  // roster contains them.
  std::vector<WorkerInstanceRecord> TakeRoster();

  // Called after a pause of this process, in which another host may have become the owner and workers may have started
  // again: each worker must answer a new hold before it receives further starts.
  void RecheckAll();

  // Handles workers whose lease has expired and drops those no longer listed. Call a few times a second.
  void Sweep();

  // The workers to which a successor would look as witnesses. Call when a roster was read, sent and stored.
  void SetStoredRoster(const std::vector<WorkerInstanceRecord>& roster);
  void SetPendingRoster(const std::vector<WorkerInstanceRecord>& roster);
  // Until when the answers received so far let an owner in doubt act.
  TimePoint WitnessedUntil() const;
  void SetAuthority(const Authority& authority) { authority_ = authority; }
  bool IsInDoubt() const { return context_.Now() > authority_.sole_until; }
  bool MayAct() const { return context_.Now() <= authority_.active_until; }

 private:
  std::unique_ptr<Worker> MakeWorker();  // Assigns the next number.
  void BeginLife(Worker& worker, int64_t born_ms, int64_t earlier_born_ms);
  // Orders to earlier lives may still arrive: raises the token, so that the new life refuses them once it has seen it.
  void FenceEarlierLives(Worker& worker);
  // Call when the worker's current life has answered a hold that bore this token.
  void NoteTokenSeen(Worker& worker, uint64_t token);
  void ScheduleHold(Worker& worker, Duration delay);
  void SendHold(Worker& worker);
  // Calls `done` with the answer, or passes its ends on if this table no longer exists by then.
  WorkerPort::Done OrLateEnds(WorkerPort::Done done) const;
  int64_t EndsToAcknowledge(Worker& worker);
  // Starts that were sent to the worker and may still be carried out, or have been by a life that is not known yet.
  enum class StartsInTransit { kNone, kRecent, kLate };
  StartsInTransit StartsTo(const Worker& worker) const;
  bool MayReceiveStart(const Worker& worker) const { return StartsTo(worker) != StartsInTransit::kNone; }
  // True if a copy of the start of this run, or of another member of its gang, is open.
  bool MayRunAgain(const RunRef& ended) const;
  // The first end that must not be named yet, as its run may run again.
  int64_t FirstHeldEnd(Worker& worker);
  // Orders that the worker gets from now on bear a higher token than those before. If no higher one is known yet, the
  // worker gets no starts until then, or until such an order can no longer arrive.
  void RaiseToken(Worker& worker);
  void OnAcknowledgementAnswer(Worker& worker, int64_t acknowledged, const OrderAnswer& answer);
  // True if the refusal shows that another owner has fenced the worker, and not only a later order of this one.
  bool IsFencedByOther(const Worker& worker, uint64_t order_token, const OrderAnswer& answer) const;
  // A hold to an earlier life was answered after one had been sent to the current life.
  void OnOldHoldAnswer(Worker& worker, const OrderAnswer& answer);
  void OnHoldAnswer(Worker& worker, TimePoint sent_at, const HoldOrder& order, const OrderAnswer& answer);
  // Returns false if a listener has destroyed this table.
  bool ApplyLists(Worker& worker, TimePoint requested_at, const OrderAnswer& answer);
  void ApplyEnded(Worker& worker, const OrderAnswer& answer);
  void ApplyRunning(Worker& worker, const OrderAnswer& answer);
  // Takes runs that the lists lack for over if their starts can no longer take effect.
  void ApplyAbsent(Worker& worker, TimePoint requested_at, const OrderAnswer& answer);
  void HandleAbsent(Worker& worker, const RunRef& run, TimePoint requested_at);
  void ScheduleStartCheck(Worker& worker, const RunRef& run);
  void CheckOverdueStart(Worker& worker, const RunRef& run);
  // Sends a copy of a start, and keeps it in case it has to be sent again.
  void SendStart(Worker& worker, StartOrder order);
  // A copy was answered, by whatever life of the worker.
  void CloseCopy(Worker& worker, const SentStart& start, const OrderAnswer& answer);
  // A list shows that a copy was carried out: closes it if no other one can be meant.
  void NoteCarriedOut(const RunRef& run, PlacedRun& placed);
  // No copy of the run's start is open any more.
  void ForgetOpenRun(const RunRef& run, PlacedRun& placed);
  // Every copy of the run's start is answered.
  void ForgetOverdueStart(PlacedRun& placed);
  // Copies that cannot be carried out later than at `time` are open no longer.
  void ExpireCopies(Worker& worker, TimePoint time);
  // The run is not running in the life that is known; its task waits for its open copies.
  void MarkOver(Worker& worker, const RunRef& run, GoneReason reason);
  // What is over takes no resources: a life that may carry out an open copy gets no other start before it is seen.
  void ReleaseDemand(Worker& worker, PlacedRun& placed);
  // When the run is certainly over although its worker does not answer.
  TimePoint OverAt(const Worker& worker, const PlacedRun& placed) const;
  Duration LongestLease() const;
  void LapseRuns(Worker& worker, TimePoint now);
  // The worker's lists lack a run whose start has no answer.
  void RepeatOrAbandonStart(Worker& worker, const RunRef& run);
  // A copy of the start was refused; earlier ones have no answer.
  void OnCopyRefused(Worker& worker, const SentStart& start, const OrderAnswer& answer);
  void OnStartAnswer(Worker& worker, const SentStart& start, const OrderAnswer& answer);
  void AbandonStart(Worker& worker, const RunRef& run);
  void SendStop(Worker& worker, const RunRef& run);
  // Updates clock and state from an answer. Returns false if there was none or it came from another life. A call
  // without an answer makes the worker silent, unless it has answered one that was sent later.
  bool RecordAnswer(Worker& worker, const OrderAnswer& answer, bool has_answered_since = false);
  bool IsFromCurrentLife(const Worker& worker, const OrderAnswer& answer) const;
  // True if no later life than the known one can have sent the answer.
  bool IsFromKnownLife(const Worker& worker, const OrderAnswer& answer) const;
  void MarkSilent(Worker& worker, const OrderAnswer& answer);
  // How long to wait before the next hold to a worker that did not answer the last one.
  Duration RetryDelay(Worker& worker, const OrderAnswer& answer);
  // Another instance answers at the worker's address, or is listed with it: the worker's process has ended.
  void OnReplaced(Worker& worker);
  void ReplaceWorkersAt(const WorkerEntry& entry);
  // Reports the runs under which the worker's process has crashed. Call before a new life begins.
  void ReportCrash(Worker& worker);
  void ReportNoCrash(Worker& worker);
  std::vector<CrashedRun> RunsAtCrash(const Worker& worker) const;
  // The runs there and those whose lease expired before, which are then no longer remembered.
  std::vector<CrashedRun> TakeSuspectRuns(Worker& worker) const;
  void RecordStartDelay(Duration delay);
  void AddRun(Worker& worker, const RunRef& run, const PlacedRun& placed);
  void RemoveRun(Worker& worker, const RunRef& run);
  void MarkUnwanted(Worker& worker, const RunRef& run);
  void SubtractDemand(Worker& worker, const PlacedRun& placed);
  static bool HasRuns(const Worker& worker);  // That are not over.
  // Removes runs that ended with the worker's process.
  void RemoveLostRuns(Worker& worker, const std::vector<RunRef>& lost);
  void MarkSettled(Worker& worker);
  bool HasDeparted(const Worker& worker, TimePoint now) const;
  TimePoint WitnessedUntil(const std::vector<WorkerInstanceRecord>& roster) const;
  // Call when an earlier owner can no longer get an answer from the life of the worker that it knew.
  void CountFencedWorker(Worker& worker);
  void Retire(Worker& worker);
  // Records that the worker may run tasks until `deadline` on its clock: extends lease_until_ accordingly.
  void ExtendLease(Worker& worker, Duration deadline);
  // The worker may run tasks for as long as its longest lease from now on.
  void ExtendLeaseToMaximum(Worker& worker);
  WorkerTarget TargetOf(const Worker& worker) const {
    return {worker.entry.id, worker.entry.address, worker.entry.data_centre};
  }

  Context& context_;
  WorkerPort& orders_;
  const uint64_t token_;    // Of the ownership.
  uint64_t highest_token_;  // Token of the ownership or revision of the newest batch known to be stored.
  std::vector<std::string> awaiting_token_;  // Ids of workers that need a higher token.
  Listener& listener_;
  const LateEnds on_late_ends_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  Authority authority_;
  std::vector<WorkerInstanceRecord> stored_roster_;
  std::optional<std::vector<WorkerInstanceRecord>> pending_roster_;  // Sent to the store, no answer yet.
  size_t inherited_ = 0;                                             // Workers to which an earlier owner had access.
  size_t fenced_ = 0;                                                // Of them, those that obey this owner.
  TimePoint inherited_at_{};
  TimePoint earlier_inactive_by_ = TimePoint::max();  // As the owner before has stored.
  std::optional<TimePoint> half_fenced_at_;
  int unsettled_ = 0;
  int unknown_demand_runs_ = 0;  // On all workers.
  TenantUsage tenant_usage_;
  TenantUsage lasting_usage_;
  std::map<RunRef, std::string> open_runs_;  // Placed runs with open copies, and their workers.
  uint64_t open_starts_version_ = 0;
  std::map<TaskRef, int> over_of_step_;      // Number of placed runs that are over, by step.
  std::map<TaskRef, int> unwanted_of_step_;  // Number of placed runs that are unwanted, by step.
  TimePoint recheck_since_{};                // Time of the last RecheckAll.
  size_t max_number_ = 0;
  std::unordered_map<size_t, Worker*> by_number_;
  Duration start_delay_{};
  TimePoint start_delay_updated_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WORKER_TABLE_H_
