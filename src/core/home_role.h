// The home host's role: one table of requests, so that repeats join the first attempt, and the lifecycle of each
// request from acceptance to its single final answer.
//
// Safety rule: a second run starts only when the first is known to have ended or never to have started. Only a report
// of the worker's current owner, which holds the worker's lease, can establish that.
#ifndef HIBISCUSSTAND_SRC_CORE_HOME_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_HOME_ROLE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/claim_table.h"
#include "core/context.h"
#include "core/digest_role.h"
#include "core/membership.h"
#include "hibiscusstand/retry_budget.h"

namespace hibiscus {

// State of one task of a request.
enum class MemberPhase {
  kIdle,       // Nothing is pending; a reservation may be requested.
  kReserving,  // A reservation was requested from an owner.
  kHeld,       // The reservation is held; nothing has started.
  kCommitted,  // The start was ordered; its outcome is not known yet.
  kRunning,    // The worker's owner reported the start.
  kEnded,      // Completed; `body` is set.
};

struct Member {
  MemberPhase phase = MemberPhase::kIdle;
  RunId run;       // Of the current attempt.
  HostName owner;  // The owner that was asked last.
  WorkerName worker;
  uint64_t token = 0;     // The worker's lease under which the reservation is held.
  TimePoint since{};      // Start of the phase.
  TimePoint next_send{};  // When to send the next reservation, or to repeat the commit.
  std::map<HostName, ResultCode> refused_by;
  Duration retry_after{};  // Longest delay that a refusing owner returned.
  std::set<WorkerName> failed_on;
  int failed_runs = 0;  // Runs that failed or whose outcome is unknown.
  std::string body;
};

enum class JobPhase {
  kClaiming,   // Asking the other hosts whether an earlier attempt exists.
  kRecording,  // No run is pending: waits for the log, or for the next attempt.
  kActive,
  kSaving,  // Ended; the answer is sent once it is in the log.
  kEnded,
};

// What a request is waiting for while it is in kRecording or kSaving.
enum class LogStep {
  kNone,
  kAccepting,  // A deferred request: its accepted record.
  kIntent,     // A request that may not run twice: its intent record.
  kStarting,   // An accepted request that may not run twice: its started record.
  kLookingUp,  // A repeat that no live host has: its entry in the log.
  kBackoff,    // An accepted request that found no capacity: its next attempt.
  kSaving,     // An accepted request: the record of its answer.
};

// An entry host's forward that is waiting for the answer.
struct Waiter {
  HostName host;
  uint64_t forward_id = 0;
};

// A request and its state on the home host.
struct Job {
  Request request;
  ClassSpec spec;
  JobPhase phase = JobPhase::kActive;
  TimePoint start_by{};
  TimePoint finish_by{};
  TimePoint ended_at{};
  std::vector<Waiter> waiters;
  Answer answer;                         // Set once ended.
  std::vector<Member> members;           // The tasks, or the single call.
  ClaimAnswers claim_answers;            // Answers from this data centre to the current claim.
  std::set<DataCentre> cleared_centres;  // Other data centres that confirmed the current claim.
  uint64_t claim_id = 0;                 // Random id of the current claim.
  size_t claim_rounds = 0;
  TimePoint next_claim{};
  TimePoint claim_round_at{};    // When the last round of claim messages was sent.
  TimePoint verified_at{};       // Latest time when the request was known to be on no other host.
  HostName gang_owner;           // The owner that is asked for all members of a gang.
  bool gang_spread = false;      // The next attempt may reserve at several owners, since no single one had capacity.
  int run_count = 0;             // Runs attempted.
  bool known_first = false;      // No earlier attempt can exist.
  bool committed = false;        // This host ordered a run, which may have started.
  bool run_started = false;      // A run is known to have started.
  bool outcome_unknown = false;  // The outcome of a run can never be known.
  // Ended as unknown because its claim was never complete: a repeat may still find its runs.
  bool claim_incomplete = false;
  std::vector<StopRun> stops;  // Runs to stop; sent repeatedly until their end is reported.
  TimePoint next_stop{};
  TimePoint wake = TimePoint::max();  // Time of its entry in timers_; max: no entry.

  // The log.
  LogStep step = LogStep::kNone;
  uint64_t nonce = 0;  // Identifies this host's log records of the request.
  // An accepted request to be refused with this code once a claim confirms that no other host runs it.
  ResultCode pending_refusal = ResultCode::kOk;
  bool accepted = false;              // Deferred, and its accepted record is in the log.
  bool resumed = false;               // Taken over from a lost home host.
  bool may_have_started = false;      // Resumed: the former home host may have run it.
  bool paused_meanwhile = false;      // This host paused since: another host may have answered the request.
  bool start_recorded = false;        // The started record in the log is this host's.
  bool intent_may_be_logged = false;  // An intent is in the log, or may still be written.
  int append_sends = 0;               // Sends of the current record, while one of them may still be written.
  bool cancel_requested = false;      // To be cancelled once it is accepted.
  bool acceptance_unknown = false;    // The caller was answered "unknown" while the accepted record was in flight.
  TimePoint log_deadline{};           // From then on the log counts as unreachable.
  TimePoint next_append{};
};

// A lookup in the log whose result is needed to answer a message from another host.
struct PendingLookup {
  enum class Kind { kQuery, kCancel, kReport };

  Kind kind = Kind::kQuery;
  Waiter waiter;     // For kQuery and kCancel.
  RunReport report;  // For kReport.
  HostName reporter;
  TimePoint sent_at{};
};

// The intent of a refused request, to be withdrawn from the log.
struct Withdrawal {
  RequestKey key;
  TimePoint deadline{};  // Afterwards the withdrawal is abandoned and a repeat is answered as unknown.
  bool sent = false;     // A log writer may have received it.
};

struct RequestExplanation;

class HomeRole {
 public:
  HomeRole(CoreContext& context, Membership& membership, ClaimTable& claims, const DigestRole& digests);

  void OnForward(const HostName& from, const ForwardRequest& forward);
  void OnQuery(const HostName& from, const ForwardQuery& query);
  void OnCancel(const HostName& from, const ForwardCancel& cancel);
  void OnReserved(const HostName& from, const Reserved& reserved);
  void OnReport(const HostName& from, const RunReport& report);
  void OnCallResult(const HostName& from, const CallResult& result);
  void OnClaimAnswer(const HostName& from, const ClaimAnswer& answer);
  void OnLogAppended(const LogAppended& appended);
  void OnLogFound(const LogFound& found);
  void OnResume(const HostName& from, const LogResume& resume);
  void OnCentreClaimAnswer(const CentreClaimAnswer& answer);
  void OnTick();

  // During a pause other hosts may have taken over requests: claims them again before any other action on them.
  void OnPause();

  // True if this host has the request in any phase but claiming.
  bool HasRequest(const RequestKey& key) const;
  // True if this host is claiming the request itself.
  bool IsClaiming(const RequestKey& key) const;
  // Gives up this host's claim in favour of another host's.
  void YieldClaim(const RequestKey& key, const HostName& to);

  size_t active() const { return active_; }
  // Intents of refused requests whose withdrawal the log has not confirmed yet.
  size_t withdrawals() const { return withdrawals_.size(); }
  RequestExplanation Explain(const RequestKey& key) const;  // In explain.cc.

 private:
  // Admission and endings: home_role.cc.
  // Whether a run may start: repeated runs are allowed, or no earlier run can have started.
  static bool MayStart(const Job& job) { return job.spec.may_run_twice || (job.known_first && !job.committed); }
  static bool IsLookingUp(const Job& job) {
    return job.phase == JobPhase::kRecording && job.step == LogStep::kLookingUp;
  }
  static bool IsRefused(const Job& job);
  static Answer InProgress(const RequestKey& key);
  void Accept(const HostName& from, const ForwardRequest& forward);
  bool RedirectFromLeavingHost(const HostName& from, const ForwardRequest& forward);
  bool RedirectToClaimant(const HostName& from, const ForwardRequest& forward);
  void StartJob(Job& job);
  void Finish(Job& job);
  void End(Job& job, ResultCode code, Verdict verdict, std::string body, Duration retry_after = 0us);
  void Refuse(Job& job, ResultCode code, Duration retry_after = 0us);
  void EndRefused(Job& job, ResultCode code, Duration retry_after = 0us);
  bool TakeRetry(const Job& job);
  void Observe(const Job& job, RequestObservation::Milestone what);
  void OnDeadline(Job& job);
  void TickJob(Job& job);
  void WakeAllIfPeersChanged();
  void Wake(const RequestKey& key);
  void Schedule(Job& job);
  TimePoint NextWake(const Job& job) const;
  void Forget(const RequestKey& key);
  void ClaimForRepeat(const HostName& from, const ForwardRequest& forward);
  bool MayForget(const Job& job) const;

  // The log: home_log.cc.
  void StartRecorded(Job& job, bool resubmit);
  void StartAppend(Job& job, LogStep step, Duration timeout);
  LogAppend MakeAppend(LogRecordKind kind,
                       const RequestKey& key,
                       uint64_t nonce,
                       Duration timeout,
                       bool repeated) const;
  void SendAppend(Job& job);
  void WithdrawIntent(const Job& job);
  void SendWithdrawal(uint64_t nonce, Withdrawal& withdrawal);
  void TickWithdrawals();
  void OnWithdrawn(const LogAppended& appended);
  void TickLog(Job& job);
  TimePoint NextLogWake(const Job& job) const;
  void OnRecorded(Job& job);
  void OnDuplicate(Job& job, const LogEntry& found);
  void OnNotRecorded(Job& job, bool may_be_recorded);
  void OnNoEarlierRun(Job& job);
  void LookUpAnswer(Job& job);
  void OnAnswerLookedUp(Job& job, const LogFound& found);
  void OnAnswerNotFound(Job& job);
  void DropInFavourOfLog(Job& job);
  void SaveAnswer(Job& job);
  void OnAnswerSaved(Job& job);
  void AnswerWaiters(Job& job, const Answer& answer);
  bool ShouldBackOff(const Job& job, ResultCode code) const;
  bool MayHandOver(const Job& job) const;
  void HandOverJobs();
  static bool MayAcknowledgeEnd(const Job& job, const RunReport& report);
  void LookUpOrphan(const HostName& from, const RunReport& report, const Job* job);
  void LookUpInLog(const RequestKey& key, PendingLookup lookup);
  static Answer AnswerForJob(const Job& job, const LogFound& found);
  void OnLookupResult(const PendingLookup& lookup, const LogFound& found);

  // Claims: home_claims.cc.
  void StartClaim(Job& job);
  void RestartClaim(Job& job);
  void RetractClaim(const Job& job);
  void FinishClaimIfComplete(Job& job);
  void SendCentreClaim(const Job& job, const DataCentre& centre);
  bool IsClaimComplete(const Job& job) const;

  // Calls: home_calls.cc.
  void DispatchCall(Job& job);
  void TickCall(Job& job);
  HostName PickCallOwner(const Member& member);
  double EstimateCallLoad(const HostName& host);
  void ReleaseCall(Member& member);
  void OnCallUnknown(Job& job);

  // Tasks: home_tasks.cc.
  void StartTasks(Job& job);
  void TickTasks(Job& job);
  void TickMember(Job& job, Member& member);
  void SendReserve(Job& job, Member& member);
  HostName PickOwner(Job& job, const Member& member);
  HostName PickTaskOwner(const Job& job, const Member& member);
  static Duration MaxHold(const Job& job);
  static bool AnyStarted(const Job& job);
  void OnGangRefused(Job& job, const HostName& owner, const Reserved& reserved);
  void AbortGangAttempt(Job& job);
  void OnAllRefused(Job& job, Member& member);
  void CommitMember(Job& job, Member& member);
  void SendCommit(Job& job, Member& member);
  void ReleaseMembers(Job& job);
  static void UpdateRunFlags(Job& job, RunPhase phase);
  void OnRunEnded(Job& job, Member& member, const RunReport& report);
  void OnRunFailed(Job& job, Member& member, const RunReport& report);
  bool CountFailureAndTakeRetry(const Job& job, Member& member);
  void OnRunGone(Job& job, Member& member);
  void ScheduleRetry(Member& member, Duration after);
  void AdoptRun(Job& job, const RunReport& report);
  void StopMembers(Job& job);
  void TickStops(Job& job);
  void FinishIfAllEnded(Job& job);
  static TimePoint NextWakeOf(const Job& job, const Member& member);
  static void EnterPhase(Member& member, MemberPhase phase, TimePoint now);

  RunId NewRun(Job& job, int member);
  Job* Find(const RequestKey& key);
  Member* FindMember(Job& job, const RunId& run);

  static constexpr Duration kAppendResendInterval = 500ms;  // For log records without an answer.

  CoreContext& context_;
  Membership& membership_;
  ClaimTable& claims_;
  const DigestRole& digests_;
  // This host's calls in flight at an owner, to correct the load in the owner's last heartbeat.
  struct CallCount {
    int in_flight = 0;
    int in_flight_at_heartbeat = 0;  // Value of in_flight when the last heartbeat arrived.
    TimePoint heartbeat_at{};        // When the last heartbeat arrived.
  };

  std::map<RequestKey, Job> jobs_;
  std::map<std::string, RetryBudget> retry_budgets_;  // By class.
  std::map<uint64_t, PendingLookup> pending_lookups_;
  std::map<HostName, CallCount> call_counts_;
  std::map<uint64_t, Withdrawal> withdrawals_;                     // By the intent's nonce.
  std::deque<std::pair<TimePoint, uint64_t>> withdrawal_resends_;  // Resend times, earliest first.
  size_t active_ = 0;                                              // Jobs that have not ended.
  // When each job is next processed if no event concerns it before.
  std::set<std::pair<TimePoint, RequestKey>> timers_;
  std::vector<RequestKey> touched_;  // Jobs that an event concerned since the last tick.
  std::vector<HostName> last_live_;  // At the last tick: a change concerns every job.
  std::vector<HostName> last_reachable_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_HOME_ROLE_H_
