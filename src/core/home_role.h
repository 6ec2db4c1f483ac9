// The home host's part: one table of requests, so that repeats join the first attempt, and the life of each request
// from acceptance to its one final answer.
//
// The rule that carries this file: a second run begins only when the first surely ended or surely never started.
// Nothing but a report of the worker's present owner, who holds the worker's lease, can say so.
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

// Where one task of a request stands.
enum class MemberPhase {
  kIdle,       // Nothing is out; a reservation may be asked for.
  kReserving,  // An owner was asked for room.
  kHeld,       // Room is held; nothing has started.
  kCommitted,  // The start was ordered; whether it happened is not known yet.
  kRunning,    // The worker's owner reported the start.
  kEnded,      // It ran to its end; the body is here.
};

struct Member {
  MemberPhase phase = MemberPhase::kIdle;
  RunId run;       // Of the present try.
  HostName owner;  // Who was asked last.
  WorkerName worker;
  uint64_t token = 0;     // The worker's lease under which room is held.
  TimePoint since{};      // When the phase began.
  TimePoint next_send{};  // Next reservation, or repeat of the commit.
  std::map<HostName, ResultCode> refused_by;
  Duration retry_after{};  // The longest that a refusing owner named.
  std::set<WorkerName> failed_on;
  int failed_runs = 0;  // Runs that failed, or of which nothing is known.
  std::string body;
};

enum class JobPhase {
  kClaiming,   // Asking whether an earlier attempt exists.
  kRecording,  // Nothing is out; the log is asked, or the next try is due later.
  kActive,
  kSaving,  // Ended; the answer is told once it stands in the log.
  kEnded,
};

// What a request waits for, while kRecording or kSaving.
enum class LogStep {
  kNone,
  kAccepting,  // A deferred request: the accepted record.
  kIntent,     // A request that may not run twice: the intent.
  kStarting,   // An accepted request that may not run twice: the started record.
  kLookingUp,  // A repeat that no live host knows: what the log says.
  kBackoff,    // An accepted request that found no room: the next try.
  kSaving,     // An accepted request: its answer.
};

// Someone who waits for the answer: a forward of an entry host.
struct Waiter {
  HostName host;
  uint64_t forward_id = 0;
};

// A request and all that is known of it.
struct Job {
  Request request;
  ClassSpec spec;
  JobPhase phase = JobPhase::kActive;
  TimePoint start_by{};
  TimePoint finish_by{};
  TimePoint ended{};
  std::vector<Waiter> waiters;
  Answer answer;                         // Once ended.
  std::vector<Member> members;           // Tasks, or the one call.
  ClaimAnswers claim_answers;            // While claiming.
  std::set<DataCentre> cleared_centres;  // While claiming: the other data centres that gave their word.
  uint64_t claim_id = 0;                 // Drawn for the claim.
  size_t claim_rounds = 0;
  TimePoint next_claim{};
  TimePoint claim_round_at{};     // The last round of questions.
  TimePoint verified_at{};        // When it was surely nowhere else.
  HostName gang_owner;            // Who is asked for all members of a gang at once.
  bool gang_spread = false;       // The next try takes room wherever it is, since no single owner had it.
  int runs = 0;                   // Tries begun.
  bool known_first = false;       // No earlier attempt can exist.
  bool committed = false;         // A run of it may have started, by this host's order.
  bool run_started = false;       // A run of it surely started.
  bool outcome_unknown = false;   // What became of a run of it will never be known.
  bool claim_incomplete = false;  // Ended as unknown since its claim was never whole: a repeat may still find its runs.
  std::vector<StopRun> stops;     // Runs to be stopped, repeated until their end is reported.
  TimePoint next_stop{};
  TimePoint wake = TimePoint::max();  // Its place among the timers; max: none.

  // The log.
  LogStep step = LogStep::kNone;
  uint64_t nonce = 0;  // Of this host's records of the request.
  ResultCode pending_refusal =
      ResultCode::kOk;                // Accepted: refused with this, once a claim says that nobody else runs it.
  bool accepted = false;              // Deferred, and its accepted record stands in the log.
  bool resumed = false;               // Taken over from a home host that is gone.
  bool started = false;               // Resumed: the former home host may have run it.
  bool paused_meanwhile = false;      // A pause went by: another host may have answered it.
  bool start_recorded = false;        // The started record is this host's.
  bool intent_may_be_logged = false;  // An intent stands in the log, or may come to stand there.
  int append_sends = 0;               // Of the present record, as far as one of them may still be written.
  bool cancel_requested = false;      // To be cancelled once it is accepted.
  bool acceptance_unknown = false;    // The caller was told "unknown" while the accepted record was on its way.
  TimePoint log_deadline{};           // Then the log counts as out of reach.
  TimePoint next_append{};
};

// A question to the log that a message from another host waits for.
struct PendingLookup {
  enum class Kind { kQuery, kCancel, kReport };

  Kind kind = Kind::kQuery;
  Waiter waiter;     // Query and cancel.
  RunReport report;  // Report.
  HostName reporter;
  TimePoint asked{};
};

// The intent of a refused request, to be taken back in the log.
struct Withdrawal {
  RequestKey key;
  TimePoint deadline{};  // Then it is given up: a repeat will be answered as unknown.
  bool asked = false;    // A writer has it, or had it.
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

  // After a pause other hosts may have taken requests over: asks before anything else is done with them.
  void OnPause();

  // Has this host the request, in any phase but claiming?
  bool HasRequest(const RequestKey& key) const;
  // Does this host itself claim the request?
  bool IsClaiming(const RequestKey& key) const;
  // Gives up its own claim in favour of another host's.
  void YieldClaim(const RequestKey& key, const HostName& to);

  size_t active() const { return active_; }
  // Intents of refused requests that the log does not know to be withdrawn yet.
  size_t withdrawals() const { return withdrawals_.size(); }
  RequestExplanation Explain(const RequestKey& key) const;  // In explain.cc.

 private:
  // Admission and endings: home_role.cc.
  // Whether the job's first run may begin: no earlier attempt counts, or none can have started.
  static bool MayStart(const Job& job) { return job.spec.may_run_twice || (job.known_first && !job.committed); }
  static bool IsLookingUp(const Job& job) {
    return job.phase == JobPhase::kRecording && job.step == LogStep::kLookingUp;
  }
  static bool IsRefused(const Job& job);
  static Answer InProgress(const RequestKey& key);
  void Accept(const HostName& from, const ForwardRequest& forward);
  bool RedirectToClaimant(const HostName& from, const ForwardRequest& forward);
  void StartJob(Job& job);
  void Finish(Job& job);
  void End(Job& job, ResultCode code, Verdict verdict, std::string body, Duration retry_after = 0us);
  void Refuse(Job& job, ResultCode code, Duration retry_after = 0us);
  void EndRefused(Job& job, ResultCode code, Duration retry_after = 0us);
  bool TakeRetry(const Job& job);
  void Observe(const Job& job, Observed::What what);
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

  static constexpr Duration kAppendResendInterval = 500ms;  // A record for the log without an answer.

  CoreContext& context_;
  Membership& membership_;
  ClaimTable& claims_;
  const DigestRole& digests_;
  // Calls of this host at an owner, to correct what its last heartbeat said.
  struct CallCount {
    int now = 0;
    int then = 0;       // When the heartbeat came.
    TimePoint heard{};  // When that was.
  };

  std::map<RequestKey, Job> jobs_;
  std::map<std::string, RetryBudget> retry_budgets_;  // By class.
  std::map<uint64_t, PendingLookup> pending_lookups_;
  std::map<HostName, CallCount> call_counts_;
  std::map<uint64_t, Withdrawal> withdrawals_;                     // By the intent's nonce.
  std::deque<std::pair<TimePoint, uint64_t>> withdrawal_resends_;  // When each is sent again, the soonest first.
  size_t active_ = 0;                                              // Jobs that have not ended.
  std::set<std::pair<TimePoint, RequestKey>> timers_;  // When a job next needs a look, if no event comes before.
  std::vector<RequestKey> touched_;                    // Jobs that an event concerned since the last tick.
  std::vector<HostName> last_live_;                    // Of the last tick: a change concerns every job.
  std::vector<HostName> last_reachable_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_HOME_ROLE_H_
