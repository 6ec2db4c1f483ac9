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
  int bad_ends = 0;  // Runs that failed, or of which nothing is known.
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
  kLooking,    // A repeat that no live host knows: what the log says.
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
  Answer answer;                 // Once ended.
  std::vector<Member> members;   // Tasks, or the one call.
  ClaimAnswers claim_answers;    // While claiming.
  std::set<DataCentre> cleared;  // While claiming: the other data centres that gave their word.
  uint64_t claim = 0;            // Drawn for the claim.
  size_t claim_rounds = 0;
  TimePoint next_claim{};
  TimePoint claim_began{};     // The last round of questions.
  TimePoint verified{};        // When it was surely nowhere else.
  HostName gang_owner;         // Who is asked for all members of a gang at once.
  bool gang_spread = false;    // The next try takes room wherever it is, since no single owner had it.
  int runs = 0;                // Tries begun.
  bool surely_first = false;   // No earlier attempt can exist.
  bool committed = false;      // A run of it may have started, by this host's order.
  bool ran = false;            // A run of it surely started.
  bool in_doubt = false;       // What became of a run of it will never be known.
  bool unclaimed = false;      // Ended as unknown since its claim was never whole: a repeat may still find its runs.
  std::vector<StopRun> stops;  // Runs to be stopped, repeated until their end is reported.
  TimePoint next_stop{};
  TimePoint wake = TimePoint::max();  // Its place among the timers; max: none.

  // The log.
  LogStep step = LogStep::kNone;
  uint64_t nonce = 0;                    // Of this host's records of the request.
  ResultCode refusal = ResultCode::kOk;  // Accepted: refused with this, once a claim says that nobody else runs it.
  bool accepted = false;                 // Deferred, and its accepted record stands in the log.
  bool resumed = false;                  // Taken over from a home host that is gone.
  bool started = false;                  // Resumed: the former home host may have run it.
  bool doubted = false;                  // A pause went by: another host may have answered it.
  bool start_recorded = false;           // The started record is this host's.
  bool intent = false;                   // An intent stands in the log, or may come to stand there.
  int sends = 0;                         // Of the present record, as far as one of them may still be written.
  bool cancelled = false;                // To be cancelled once it is accepted.
  bool unsettled = false;                // The caller was told "unknown" while the accepted record was on its way.
  TimePoint log_until{};                 // Then the log counts as out of reach.
  TimePoint next_append{};
};

// A question to the log that a message from another host waits for.
struct LogQuestion {
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
  TimePoint until{};   // Then it is given up: a repeat will be answered as unknown.
  bool asked = false;  // A writer has it, or had it.
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
  bool Knows(const RequestKey& key) const;
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
  static bool MayBegin(const Job& job) { return job.spec.may_run_twice || (job.surely_first && !job.committed); }
  static bool IsLooking(const Job& job) { return job.phase == JobPhase::kRecording && job.step == LogStep::kLooking; }
  static bool IsRefused(const Job& job);
  static Answer InProgress(const RequestKey& key);
  void Accept(const HostName& from, const ForwardRequest& forward);
  bool PassOn(const HostName& from, const ForwardRequest& forward);
  void Begin(Job& job);
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
  bool IsForgotten(const Job& job) const;

  // The log: home_log.cc.
  void BeginRecorded(Job& job, bool resubmit);
  void Append(Job& job, LogStep step, Duration patience);
  LogAppend AppendOf(LogRecordKind kind, const RequestKey& key, uint64_t nonce, Duration patience, bool repeated) const;
  void SendAppend(Job& job);
  void Withdraw(const Job& job);
  void SendWithdrawal(uint64_t nonce, Withdrawal& withdrawal);
  void TickWithdrawals();
  void OnWithdrawn(const LogAppended& appended);
  void TickLog(Job& job);
  TimePoint NextLogWake(const Job& job) const;
  void OnRecorded(Job& job);
  void OnDuplicate(Job& job, const LogEntry& found);
  void OnNotRecorded(Job& job, bool maybe);
  void OnNoEarlierRun(Job& job);
  void Look(Job& job);
  void OnRepeatFound(Job& job, const LogFound& found);
  void OnNothingFound(Job& job);
  void LeaveToLog(Job& job);
  void Save(Job& job);
  void Saved(Job& job);
  void AnswerWaiters(Job& job, const Answer& answer);
  bool BacksOff(const Job& job, ResultCode code) const;
  bool HandsOver(const Job& job) const;
  void HandOver();
  static bool MayAcknowledge(const Job& job, const RunReport& report);
  void AskAboutOrphan(const HostName& from, const RunReport& report, const Job* job);
  void AskLog(const RequestKey& key, LogQuestion question);
  static Answer AnswerOfHeld(const Job& job, const LogFound& found);
  void OnQuestionAnswered(const LogQuestion& question, const LogFound& found);

  // Claims: home_claims.cc.
  void StartClaim(Job& job);
  void ClaimAgain(Job& job);
  void RetractClaim(const Job& job);
  void FinishClaim(Job& job);
  void AskCentre(const Job& job, const DataCentre& centre);
  bool ClaimIsWhole(const Job& job) const;

  // Calls: home_calls.cc.
  void BeginCall(Job& job);
  void TickCall(Job& job);
  HostName PickCallOwner(const Member& member);
  double CallLoadOf(const HostName& host);
  void LeaveCallOwner(Member& member);
  void OnCallUnknown(Job& job);

  // Tasks: home_tasks.cc.
  void BeginTasks(Job& job);
  void TickTasks(Job& job);
  void TickMember(Job& job, Member& member);
  void AskForRoom(Job& job, Member& member);
  HostName PickOwnerFor(Job& job, const Member& member);
  HostName PickTaskOwner(const Job& job, const Member& member);
  static Duration MostHold(const Job& job);
  static bool AnyStarted(const Job& job);
  void RefuseGangAt(Job& job, const HostName& owner, const Reserved& reserved);
  void GiveUpGangTry(Job& job);
  void OnAllRefused(Job& job, Member& member);
  void CommitMember(Job& job, Member& member);
  void SendCommit(Job& job, Member& member);
  void ReleaseMembers(Job& job);
  static void NoteRun(Job& job, RunPhase phase);
  void OnRunEnded(Job& job, Member& member, const RunReport& report);
  void OnRunFailed(Job& job, Member& member, const RunReport& report);
  bool MayRerun(const Job& job, Member& member);
  void OnRunGone(Job& job, Member& member);
  void Rerun(Member& member, Duration after);
  void AdoptRun(Job& job, const RunReport& report);
  void StopMembers(Job& job);
  void TickStops(Job& job);
  void FinishIfAllEnded(Job& job);
  static TimePoint NextWakeOf(const Job& job, const Member& member);
  static void Enter(Member& member, MemberPhase phase, TimePoint now);

  RunId NewRun(Job& job, int member);
  Job* Find(const RequestKey& key);
  Member* FindMember(Job& job, const RunId& run);

  static constexpr Duration kResend = 500ms;  // A record for the log without an answer.

  CoreContext& context_;
  Membership& membership_;
  ClaimTable& claims_;
  const DigestRole& digests_;
  // Calls of this host at an owner, to correct what its last heartbeat said.
  struct CallsAt {
    int now = 0;
    int then = 0;       // When the heartbeat came.
    TimePoint heard{};  // When that was.
  };

  std::map<RequestKey, Job> jobs_;
  std::map<std::string, RetryBudget> retry_budgets_;  // By class.
  std::map<uint64_t, LogQuestion> questions_;
  std::map<HostName, CallsAt> calls_at_;
  std::map<uint64_t, Withdrawal> withdrawals_;                      // By the intent's nonce.
  std::deque<std::pair<TimePoint, uint64_t>> withdrawals_to_send_;  // When each is sent again, the soonest first.
  size_t active_ = 0;                                               // Jobs that have not ended.
  std::set<std::pair<TimePoint, RequestKey>> timers_;  // When a job next needs a look, if no event comes before.
  std::vector<RequestKey> touched_;                    // Jobs that an event concerned since the last tick.
  std::vector<HostName> seen_live_;                    // Of the last tick: a change concerns every job.
  std::vector<HostName> seen_reachable_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_HOME_ROLE_H_
