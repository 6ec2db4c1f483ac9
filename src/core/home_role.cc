// Lifecycle of requests: acceptance, joining of repeats, refusals, deadlines and timers.
#include "core/home_role.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

namespace hibiscus {

namespace {

// To confirm that no other host runs an accepted request before refusing it.
constexpr Duration kRefusalClaimTimeout = 2s;
constexpr int kSecondAttempt = 2;

// Whether two attempts request the same work. Their attempt numbers and waiting modes may differ.
bool SameWork(const Request& a, const Request& b) {
  return a.class_name == b.class_name && a.size == b.size && a.members == b.members && a.payload == b.payload;
}

}  // namespace

HomeRole::HomeRole(CoreContext& context, Membership& membership, ClaimTable& claims, const DigestRole& digests)
    : context_(context), membership_(membership), claims_(claims), digests_(digests) {}

void HomeRole::OnForward(const HostName& from, const ForwardRequest& forward) {
  Job* job = Find(forward.request.key);
  if (job == nullptr && context_.IsRecovering()) {
    const Answer answer{forward.request.key, ResultCode::kHostRecovering, Verdict::kNotRun, {}, kDefaultRetryAfter};
    context_.Send(from, ForwardAnswer{forward.forward_id, answer});
    return;
  }
  if (job == nullptr) {
    Accept(from, forward);
    return;
  }
  if (!SameWork(job->request, forward.request)) {
    const Answer answer{forward.request.key, ResultCode::kIdReused, Verdict::kNotRun, {}, 0us};
    context_.Send(from, ForwardAnswer{forward.forward_id, answer});
    return;
  }
  if (job->phase == JobPhase::kEnded && job->claim_incomplete && job->stops.empty()) {
    ClaimForRepeat(from, forward);
    return;
  }
  if (job->phase == JobPhase::kEnded) {
    context_.Send(from, ForwardAnswer{forward.forward_id, job->answer});
    return;
  }
  if (job->accepted) {
    context_.Send(from, ForwardAnswer{forward.forward_id, InProgress(forward.request.key)});
    return;
  }
  job->waiters.push_back(Waiter{from, forward.forward_id});
}

void HomeRole::OnQuery(const HostName& from, const ForwardQuery& query) {
  const Job* job = Find(query.key);
  const bool needs_log = job == nullptr || IsRefused(*job) || (job->request.deferred && job->phase != JobPhase::kEnded);
  if (needs_log && !context_.OwnerOf(kLogWriterKey).empty()) {
    // Another host may have taken over the request, and its answer may be in the log.
    LookUpInLog(query.key, PendingLookup{PendingLookup::Kind::kQuery, Waiter{from, query.forward_id}, {}, {}, {}});
    return;
  }
  if (job == nullptr || IsRefused(*job)) {
    return;
  }
  const bool ended = job->phase == JobPhase::kEnded;
  context_.Send(from, ForwardAnswer{query.forward_id, ended ? job->answer : InProgress(query.key)});
}

Answer HomeRole::InProgress(const RequestKey& key) {
  return Answer{key, ResultCode::kAccepted, Verdict::kUnknown, {}, kDefaultRetryAfter};
}

// A refusal answers only the forwards received so far. A later forward is tried afresh, and an earlier attempt may be
// in the log, so queries treat a refused request as absent.
bool HomeRole::IsRefused(const Job& job) {
  return job.phase == JobPhase::kEnded && job.answer.verdict == Verdict::kNotRun && !job.accepted;
}

void HomeRole::OnCancel(const HostName& from, const ForwardCancel& cancel) {
  Job* job = Find(cancel.key);
  if (job == nullptr || IsRefused(*job)) {
    LookUpInLog(cancel.key, PendingLookup{PendingLookup::Kind::kCancel, Waiter{from, cancel.forward_id}, {}, {}, {}});
    return;
  }
  if (job->phase == JobPhase::kEnded) {
    context_.Send(from, ForwardAnswer{cancel.forward_id, job->answer});
    return;
  }
  job->waiters.push_back(Waiter{from, cancel.forward_id});
  if (IsLookingUp(*job) && job->request.deferred) {
    return;  // Its answer is in the log and is being read.
  }
  if (job->phase == JobPhase::kClaiming) {
    RetractClaim(*job);
  }
  if (job->phase == JobPhase::kRecording && job->step == LogStep::kAccepting) {
    job->cancel_requested = true;  // The accepted record is in flight: the cancellation follows it.
  } else if (job->phase != JobPhase::kSaving) {
    StopMembers(*job);
    End(*job, ResultCode::kCancelled, Verdict::kCancelled, {});
  }
}

void HomeRole::Accept(const HostName& from, const ForwardRequest& forward) {
  context_.ReportStep(Step::kRequestAccepted);
  const Request& request = forward.request;
  const ClassSpec* spec = context_.configuration.FindClass(request.class_name);
  if (spec == nullptr) {
    const Answer answer{request.key, ResultCode::kUnknownClass, Verdict::kNotRun, {}, 0us};
    context_.Send(from, ForwardAnswer{forward.forward_id, answer});
    return;
  }
  if (RedirectFromLeavingHost(from, forward) || RedirectToClaimant(from, forward)) {
    return;
  }
  Job& job = jobs_[request.key];
  ++active_;
  touched_.push_back(request.key);
  job.request = request;
  job.spec = *spec;
  job.verified_at = context_.Now();
  job.start_by = context_.Now() + spec->start_within;
  job.finish_by = context_.Now() + spec->finish_within;
  job.waiters = {Waiter{from, forward.forward_id}};
  job.members.resize(static_cast<size_t>(request.members));
  job.nonce = context_.RandomNumber();

  const bool first = request.attempt == 1 && !forward.resubmit;
  job.known_first = first;
  const bool idempotent_call = spec->kind == WorkKind::kCall && spec->may_run_twice;
  const bool fenced = !claims_.Allows(request.key, context_.settings.name);
  job.claim_id = context_.RandomNumber();
  if (request.deferred || (!fenced && !spec->may_run_twice)) {
    StartRecorded(job, forward.resubmit);
    return;
  }
  if (!fenced && (first || idempotent_call)) {
    StartJob(job);
    return;
  }
  if (fenced) {
    job.request.attempt = 0;  // Another host claimed it, so it is not the first attempt, whatever it is marked as.
  }
  StartClaim(job);
}

// The claim of the earlier attempt was not completed in time. This attempt is a repeat, whatever it is marked as.
void HomeRole::ClaimForRepeat(const HostName& from, const ForwardRequest& forward) {
  Forget(forward.request.key);
  ForwardRequest repeat = forward;
  repeat.request.attempt = std::max(kSecondAttempt, forward.request.attempt);
  Accept(from, repeat);
}

// Once every peer knows that this host is leaving, no host selects it as the home of a request, so a request can only
// have been late or directed here by an old claim. It would delay the planned stop up to its finish target. The next
// home host accepts a resubmitted request itself, so that the redirect ends there. If the redirect is lost, the entry
// host's poll or the caller's repeat finds a home host.
bool HomeRole::RedirectFromLeavingHost(const HostName& from, const ForwardRequest& forward) {
  if (!context_.HasAnnouncedLeave() || context_.live.empty()) {
    return false;
  }
  context_.Send(from, ForwardMoved{forward.forward_id, context_.HomeOf(forward.request.key)});
  return true;
}

// Redirects the entry host to the home host that has claimed the request. Only once per request, so that two hosts that
// name each other do not redirect it endlessly.
bool HomeRole::RedirectToClaimant(const HostName& from, const ForwardRequest& forward) {
  const HostName home = claims_.ClaimantOf(forward.request.key);
  if (forward.resubmit || home.empty() || home == context_.settings.name || !context_.IsReachable(home)) {
    return false;
  }
  context_.Send(from, ForwardMoved{forward.forward_id, home});
  return true;
}

void HomeRole::Forget(const RequestKey& key) {
  const auto job = jobs_.find(key);
  if (job->second.phase != JobPhase::kEnded) {
    --active_;
  }
  timers_.erase({job->second.wake, key});
  jobs_.erase(job);
}

void HomeRole::StartJob(Job& job) {
  job.step = LogStep::kNone;
  job.phase = JobPhase::kActive;
  if (context_.Now() >= job.finish_by) {
    Refuse(job, ResultCode::kStartTargetMissed);  // This host paused meanwhile.
    return;
  }
  if (job.run_count == 0) {
    retry_budgets_[job.spec.name].OnFirstTry();
  }
  if (job.spec.kind == WorkKind::kCall) {
    DispatchCall(job);
  } else {
    StartTasks(job);
  }
}

// Takes a retry from the class's budget; false if none is left.
bool HomeRole::TakeRetry(const Job& job) {
  return !context_.settings.policy.retry_budget || retry_budgets_[job.spec.name].TakeRetry(context_.Now());
}

void HomeRole::End(Job& job, ResultCode code, Verdict verdict, std::string body, Duration retry_after) {
  context_.ReportStep(Step::kRequestEnded);
  HIBISCUS_INVARIANT(job.phase != JobPhase::kEnded && job.phase != JobPhase::kSaving, job.request.key.ToString(),
                     "A request has one final answer: check the phase before calling End.");
  if (job.spec.kind == WorkKind::kCall) {
    ReleaseCall(job.members.front());
  }
  job.answer = Answer{job.request.key, code, verdict, std::move(body), retry_after};
  if (job.accepted) {
    SaveAnswer(job);
    return;
  }
  Finish(job);
}

// The answer is final and may be sent.
void HomeRole::Finish(Job& job) {
  job.phase = JobPhase::kEnded;
  --active_;
  job.ended_at = context_.Now();
  Observe(job, RequestObservation::Milestone::kEnded);
  AnswerWaiters(job, job.answer);
}

void HomeRole::AnswerWaiters(Job& job, const Answer& answer) {
  for (const Waiter& waiter : job.waiters) {
    context_.Send(waiter.host, ForwardAnswer{waiter.forward_id, answer});
  }
  job.waiters.clear();
}

void HomeRole::Observe(const Job& job, RequestObservation::Milestone what) {
  const TimePoint accepted = job.start_by - job.spec.start_within;
  context_.AddAction(RequestObservation{what, job.request.key.tenant, job.spec.name, context_.Now() - accepted});
}

void HomeRole::Refuse(Job& job, ResultCode code, Duration retry_after) {
  for (const Member& member : job.members) {
    HIBISCUS_INVARIANT(member.phase != MemberPhase::kCommitted && member.phase != MemberPhase::kRunning,
                       job.request.key.ToString(), "Only what never started may be refused as not run.");
  }
  ReleaseMembers(job);
  if (ShouldBackOff(job, code)) {
    job.phase = JobPhase::kRecording;
    job.step = LogStep::kBackoff;
    job.next_append = context_.Now() + kDefaultRetryAfter;
  } else if (job.accepted && job.pending_refusal == ResultCode::kOk) {
    job.pending_refusal = code;
    job.finish_by = std::max(job.finish_by, context_.Now() + kRefusalClaimTimeout);
    StartClaim(job);
  } else {
    EndRefused(job, code, retry_after);
  }
}

void HomeRole::EndRefused(Job& job, ResultCode code, Duration retry_after) {
  const Duration delay = retry_after > 0us ? retry_after : kDefaultRetryAfter;
  if (job.outcome_unknown || job.resumed) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
  } else if (job.run_started) {
    End(job, ResultCode::kTaskFailed, Verdict::kFailed, {});
  } else {
    WithdrawIntent(job);
    End(job, code, Verdict::kNotRun, {}, InfoOf(code).come_back ? delay : 0us);
  }
}

void HomeRole::OnDeadline(Job& job) {
  const bool unclear = job.phase == JobPhase::kClaiming || (job.resumed && job.step == LogStep::kStarting);
  if (job.phase == JobPhase::kClaiming) {
    RetractClaim(job);
  }
  if (job.accepted && unclear) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
    return;
  }
  const bool refusable = job.spec.may_run_twice || job.known_first;
  if (job.phase == JobPhase::kClaiming && !job.committed && refusable) {
    Refuse(job, ResultCode::kRepeatUnverified);
    return;
  }
  if (job.phase == JobPhase::kClaiming) {
    job.claim_incomplete = true;
    End(job, ResultCode::kRepeatOfUnknown, Verdict::kUnknown, {});
    return;
  }
  if (job.step == LogStep::kAccepting) {
    OnNotRecorded(job, true);
    return;
  }
  if (job.phase == JobPhase::kRecording) {
    Refuse(job, ResultCode::kStartTargetMissed);
    return;
  }
  if (job.spec.kind != WorkKind::kCall && !AnyStarted(job)) {
    Refuse(job, ResultCode::kStartTargetMissed);
    return;
  }
  StopMembers(job);
  End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
}

void HomeRole::OnPause() {
  for (auto& [key, job] : jobs_) {
    job.paused_meanwhile = true;
    const bool task = job.phase == JobPhase::kActive && job.spec.kind != WorkKind::kCall;
    const bool recording = job.phase == JobPhase::kRecording && job.step == LogStep::kIntent;
    if (task || recording) {
      job.request.attempt = 0;  // A repeat may have arrived through another data centre meanwhile.
      job.cleared_centres.clear();
      job.claim_id = context_.RandomNumber();
      StartClaim(job);
    }
    touched_.push_back(key);
  }
}

// Processes only the jobs whose timer is due or that an event concerned.
void HomeRole::OnTick() {
  HandOverJobs();
  TickWithdrawals();
  WakeAllIfPeersChanged();
  while (!timers_.empty() && timers_.begin()->first <= context_.Now()) {
    touched_.push_back(timers_.begin()->second);
    jobs_.at(timers_.begin()->second).wake = TimePoint::max();
    timers_.erase(timers_.begin());
  }
  for (const RequestKey& key : std::exchange(touched_, {})) {
    Wake(key);
  }
}

// Which owners and peers are reachable matters in every phase.
void HomeRole::WakeAllIfPeersChanged() {
  if (last_live_ == context_.live && last_reachable_ == context_.reachable) {
    return;
  }
  last_live_ = context_.live;
  last_reachable_ = context_.reachable;
  for (const auto& [key, job] : jobs_) {
    touched_.push_back(key);
  }
}

void HomeRole::Wake(const RequestKey& key) {
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) {
    return;
  }
  Job& job = found->second;
  if (job.phase != JobPhase::kEnded) {
    TickJob(job);
    if (!jobs_.contains(key)) {
      return;  // Dropped: the log answers later queries.
    }
  }
  TickStops(job);
  if (!MayForget(job)) {
    Schedule(job);
    return;
  }
  Forget(key);
}

void HomeRole::Schedule(Job& job) {
  const TimePoint wake = NextWake(job);
  if (wake != job.wake) {
    timers_.erase({job.wake, job.request.key});
    timers_.insert({wake, job.request.key});
    job.wake = wake;
  }
}

TimePoint HomeRole::NextWake(const Job& job) const {
  TimePoint wake = job.stops.empty() ? TimePoint::max() : job.next_stop;
  if (job.phase == JobPhase::kEnded) {
    return std::min(wake, job.ended_at + context_.settings.result_retention);
  }
  if (job.phase == JobPhase::kSaving || job.acceptance_unknown) {
    return std::min(wake, job.next_append);
  }
  if (job.phase == JobPhase::kRecording) {
    return std::min({wake, job.finish_by, NextLogWake(job)});
  }
  const bool claiming = job.phase == JobPhase::kClaiming;
  wake = std::min({wake, claiming && !job.committed && !job.accepted ? job.start_by : job.finish_by,
                   claiming ? job.next_claim : TimePoint::max()});
  for (const Member& member : job.members) {
    wake = std::min(wake, NextWakeOf(job, member));
  }
  return wake;
}

bool HomeRole::MayForget(const Job& job) const {
  // A refused request is dropped at once so that a repeat starts afresh, unless the refusal is in the log: then a late
  // LogResume must find it here.
  const Duration retention = IsRefused(job) ? 0us : context_.settings.result_retention;
  return job.phase == JobPhase::kEnded && job.stops.empty() && context_.Now() - job.ended_at >= retention;
}

void HomeRole::TickJob(Job& job) {
  const bool superseded = job.accepted && IsLookingUp(job);
  if (job.phase == JobPhase::kSaving || job.acceptance_unknown || superseded) {
    TickLog(job);
    return;
  }
  const bool unstarted_claim = job.phase == JobPhase::kClaiming && !job.committed && !job.accepted;
  const TimePoint deadline = unstarted_claim ? job.start_by : job.finish_by;
  if (context_.Now() >= deadline) {
    OnDeadline(job);
  } else if (job.phase == JobPhase::kClaiming) {
    if (context_.Now() >= job.next_claim) {
      StartClaim(job);
    }
  } else if (job.phase == JobPhase::kRecording) {
    TickLog(job);
  } else if (job.spec.kind == WorkKind::kCall) {
    TickCall(job);
  } else {
    TickTasks(job);
  }
}

bool HomeRole::HasRequest(const RequestKey& key) const {
  const auto job = jobs_.find(key);
  if (job == jobs_.end() || job->second.phase == JobPhase::kClaiming) {
    return false;
  }
  // Until it is accepted it does not count, and it may turn out to be a repeat of the claimant's request.
  return job->second.phase != JobPhase::kRecording || job->second.step != LogStep::kAccepting;
}

bool HomeRole::IsClaiming(const RequestKey& key) const {
  const auto job = jobs_.find(key);
  return job != jobs_.end() && job->second.phase == JobPhase::kClaiming;
}

RunId HomeRole::NewRun(Job& job, int member) {
  ++job.run_count;
  return RunId{TaskId{job.request.key, member}, context_.RandomNumber()};
}

Job* HomeRole::Find(const RequestKey& key) {
  const auto job = jobs_.find(key);
  if (job == jobs_.end()) {
    return nullptr;
  }
  touched_.push_back(key);  // The event may change the job: the next tick processes it.
  return &job->second;
}

Member* HomeRole::FindMember(Job& job, const RunId& run) {
  const auto index = static_cast<size_t>(run.task.member);
  if (index >= job.members.size() || job.members[index].run != run) {
    return nullptr;
  }
  return &job.members[index];
}

}  // namespace hibiscus
