// The home host's use of the log: intents of requests that may not run twice, and the accepted, started and done
// records of deferred requests.
//
// Safety rule: a record that is or may still get into the log is never treated as absent where that could make a
// refusal false or let a second run start.
#include <algorithm>
#include <utility>

#include "core/home_role.h"

namespace hibiscus {

namespace {

// Limit for requests marked as the first attempt, which may start without their record.
constexpr Duration kFirstAttemptIntentTimeout = 400ms;
constexpr Duration kRecordTimeout = 2s;        // For requests that must not continue without their record.
constexpr Duration kAnswerLookupTimeout = 1s;  // For the lookup of a repeat's answer.
// The writer answers within its timeout; allows for the network delay of its reply.
constexpr Duration kReplyGrace = 300ms;
constexpr Duration kAppendRetryDelay = 1s;      // After a failure to write a required record.
constexpr Duration kResumeClaimTimeout = 5s;    // To find the run of a resumed request whose finish target has passed.
constexpr Duration kPendingLookupTimeout = 5s;  // After this a lookup counts as lost.
constexpr size_t kMaxStoredBytes = 262'144;     // Limit for the payload and the answer of a deferred request.

LogRecordKind KindOf(LogStep step) {
  switch (step) {
    case LogStep::kAccepting:
      return LogRecordKind::kAccepted;
    case LogStep::kStarting:
      return LogRecordKind::kStarted;
    case LogStep::kSaving:
      return LogRecordKind::kDone;
    default:
      return LogRecordKind::kIntent;
  }
}

}  // namespace

void HomeRole::StartRecorded(Job& job, bool resubmit) {
  const Request& request = job.request;
  const bool marked_repeat = request.attempt > 1 || (request.attempt == 1 && resubmit);
  if (request.deferred && request.payload.size() > kMaxStoredBytes) {
    Refuse(job, ResultCode::kTooLarge);
  } else if (request.deferred) {
    StartAppend(job, LogStep::kAccepting, std::min(kRecordTimeout, job.spec.finish_within / 2));
  } else if (marked_repeat) {
    StartClaim(job);
  } else {
    const Duration timeout = request.attempt == 1 ? kFirstAttemptIntentTimeout : kRecordTimeout;
    StartAppend(job, LogStep::kIntent, std::min(timeout, job.spec.start_within * 3 / 4));
  }
}

void HomeRole::StartAppend(Job& job, LogStep step, Duration timeout) {
  job.phase = step == LogStep::kSaving ? JobPhase::kSaving : JobPhase::kRecording;
  job.step = step;
  job.append_sends = 0;
  job.log_deadline = context_.Now() + timeout + kReplyGrace;
  SendAppend(job);
}

LogAppend HomeRole::MakeAppend(LogRecordKind kind,
                               const RequestKey& key,
                               uint64_t nonce,
                               Duration timeout,
                               bool repeated) const {
  LogAppend append{{}, timeout, repeated};
  append.record.kind = kind;
  append.record.key = key;
  append.record.nonce = nonce;
  append.record.home = context_.settings.name;
  return append;
}

void HomeRole::SendAppend(Job& job) {
  job.next_append = context_.Now() + kAppendResendInterval;
  const HostName writer = context_.OwnerOf(kLogWriterKey);
  if (writer.empty()) {
    return;
  }
  const Duration timeout = std::max(job.log_deadline - kReplyGrace - context_.Now(), Duration(kReplyGrace));
  LogAppend append = MakeAppend(KindOf(job.step), job.request.key, job.nonce, timeout, job.append_sends > 0);
  append.record.data_centre = context_.settings.data_centre;
  if (job.step == LogStep::kAccepting) {
    append.record.request = job.request;
  } else if (job.step == LogStep::kSaving) {
    append.record.answer = job.answer;
  }
  ++job.append_sends;
  context_.ReportStep(Step::kAppendSent);
  context_.Send(writer, append);
}

void HomeRole::TickLog(Job& job) {
  const TimePoint now = context_.Now();
  if (job.step == LogStep::kBackoff) {
    if (now >= job.next_append) {
      job.run_count = 0;
      for (Member& member : job.members) {
        member.refused_by.clear();
      }
      StartJob(job);
    }
  } else if (now >= job.log_deadline) {
    if (job.step == LogStep::kLookingUp) {
      OnAnswerNotFound(job);
    } else {
      OnNotRecorded(job, true);  // A required record is sent again.
    }
  } else if (now >= job.next_append && job.step != LogStep::kLookingUp) {
    SendAppend(job);
  }
}

TimePoint HomeRole::NextLogWake(const Job& job) const {
  switch (job.step) {
    case LogStep::kBackoff:
    case LogStep::kStarting:
      return job.next_append;
    case LogStep::kLookingUp:
      return job.log_deadline;
    default:
      return std::min(job.next_append, job.log_deadline);
  }
}

void HomeRole::OnLogAppended(const LogAppended& appended) {
  if (appended.kind == LogRecordKind::kWithdrawn) {
    OnWithdrawn(appended);
    return;
  }
  Job* job = Find(appended.key);
  const bool awaits_append = job != nullptr &&
                             (job->phase == JobPhase::kRecording || job->phase == JobPhase::kSaving) &&
                             job->step != LogStep::kLookingUp && job->step != LogStep::kBackoff;
  if (!awaits_append || job->nonce != appended.nonce || KindOf(job->step) != appended.kind) {
    return;
  }
  switch (appended.outcome) {
    case LogOutcome::kRecorded:
      OnRecorded(*job);
      return;
    case LogOutcome::kDuplicate:
      OnDuplicate(*job, appended.found);
      return;
    case LogOutcome::kNotRecorded:
      // This reply covers one send only; others may be in flight.
      job->append_sends = job->append_sends == 1 ? 0 : job->append_sends;
      OnNotRecorded(*job, job->append_sends > 0);
      return;
    case LogOutcome::kUnknown:
      OnNotRecorded(*job, true);
      return;
    case LogOutcome::kTooLarge:
      if (job->step == LogStep::kSaving) {
        job->answer = Answer{job->request.key, ResultCode::kTooLarge, Verdict::kFailed, {}, 0us};
        StartAppend(*job, LogStep::kSaving, kRecordTimeout);
      } else {
        Refuse(*job, ResultCode::kTooLarge);
      }
      return;
  }
}

void HomeRole::OnRecorded(Job& job) {
  switch (job.step) {
    case LogStep::kAccepting:
      job.accepted = true;
      job.acceptance_unknown = false;
      job.start_by = context_.Now() + job.spec.start_within;  // Writing the record may have taken long.
      job.finish_by = context_.Now() + job.spec.finish_within;
      if (job.cancel_requested) {
        End(job, ResultCode::kCancelled, Verdict::kCancelled, {});
        return;
      }
      AnswerWaiters(job, InProgress(job.request.key));
      if (job.spec.may_run_twice) {
        StartJob(job);
      } else {
        StartAppend(job, LogStep::kStarting, kRecordTimeout);
      }
      return;
    case LogStep::kSaving:
      OnAnswerSaved(job);
      return;
    case LogStep::kIntent:
      job.intent_may_be_logged = true;
      job.known_first = true;
      StartJob(job);
      return;
    default:
      job.start_recorded = true;
      job.known_first = true;
      StartJob(job);
      return;
  }
}

// The log has another record of the same request: this is a repeat, whatever the caller marked it as.
void HomeRole::OnDuplicate(Job& job, const LogEntry& found) {
  job.acceptance_unknown = false;
  switch (job.step) {
    case LogStep::kAccepting:
      if (found.state == LogEntry::State::kDone) {
        LookUpAnswer(job);
      } else if (found.state == LogEntry::State::kIntent) {
        End(job, ResultCode::kIdReused, Verdict::kNotRun, {});
      } else {
        DropInFavourOfLog(job);
      }
      return;
    case LogStep::kSaving:
      LookUpAnswer(job);  // Waiting callers get the answer from the log.
      return;
    case LogStep::kStarting:  // Another host has it and will record its answer.
      DropInFavourOfLog(job);
      return;
    default:
      job.known_first = false;
      job.request.attempt = 0;  // The first one may have come through another data centre.
      StartClaim(job);
      return;
  }
}

void HomeRole::LookUpAnswer(Job& job) {
  job.phase = JobPhase::kRecording;
  job.step = LogStep::kLookingUp;
  job.log_deadline = context_.Now() + kAnswerLookupTimeout;
  const HostName writer = context_.OwnerOf(kLogWriterKey);
  if (!writer.empty()) {
    context_.Send(writer, LogLookup{job.nonce, job.request.key});
  }
}

void HomeRole::OnNotRecorded(Job& job, bool may_be_recorded) {
  switch (job.step) {
    case LogStep::kAccepting:
      if (may_be_recorded && !job.acceptance_unknown) {
        job.acceptance_unknown = true;
        job.answer = Answer{job.request.key, ResultCode::kUnknownOutcome, Verdict::kUnknown, {}, kDefaultRetryAfter};
        AnswerWaiters(job, job.answer);
      } else if (!job.acceptance_unknown) {
        Refuse(job, ResultCode::kStoreUnavailable);
        return;
      }
      break;
    case LogStep::kIntent:
      job.intent_may_be_logged = may_be_recorded;
      if (job.request.attempt == 1) {
        StartJob(job);
      } else {
        Refuse(job, ResultCode::kStoreUnavailable);
      }
      return;
    default:
      break;
  }
  job.log_deadline = context_.Now() + kRecordTimeout + kReplyGrace;
  job.next_append = context_.Now() + kAppendRetryDelay;
}

// The claim is complete and the data centre has no run of the request.
void HomeRole::OnNoEarlierRun(Job& job) {
  const bool too_late = job.resumed && context_.Now() >= job.start_by;
  if (job.pending_refusal != ResultCode::kOk || too_late) {
    EndRefused(job, too_late ? ResultCode::kFinishTargetMissed : job.pending_refusal);
  } else if (MayStart(job)) {
    StartJob(job);
  } else if (!job.accepted) {
    LookUpAnswer(job);
  } else if (job.may_have_started || job.committed) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
  } else {
    StartAppend(job, LogStep::kStarting, kRecordTimeout);
  }
}

void HomeRole::OnLogFound(const LogFound& found) {
  if (const auto lookup = pending_lookups_.extract(found.reference); !lookup.empty()) {
    OnLookupResult(lookup.mapped(), found);
    return;
  }
  Job* job = Find(found.key);
  if (job != nullptr && IsLookingUp(*job) && job->nonce == found.reference) {
    OnAnswerLookedUp(*job, found);
  }
}

void HomeRole::OnAnswerLookedUp(Job& job, const LogFound& found) {
  job.accepted = false;  // Nothing is left to save: the answer is in the log, or there is none.
  switch (found.found.state) {
    case LogEntry::State::kDone:
      if (found.current) {
        const Answer& answer = found.found.answer;
        End(job, answer.code, answer.verdict, answer.body, answer.retry_after);
        return;
      }
      break;
    case LogEntry::State::kOpen:
      DropInFavourOfLog(job);
      return;
    default:
      break;
  }
  OnAnswerNotFound(job);
}

// A deferred request was looked up because its answer is in the log. A failed read leaves the outcome to later queries.
void HomeRole::OnAnswerNotFound(Job& job) {
  if (job.request.deferred) {
    DropInFavourOfLog(job);
  } else {
    End(job, ResultCode::kRepeatOfUnknown, Verdict::kUnknown, {});
  }
}

// Drops the job: later queries are answered from the log.
void HomeRole::DropInFavourOfLog(Job& job) {
  AnswerWaiters(job, InProgress(job.request.key));
  const RequestKey key = job.request.key;
  Forget(key);
}

void HomeRole::SaveAnswer(Job& job) {
  if (job.answer.body.size() > kMaxStoredBytes) {
    job.answer = Answer{job.request.key, ResultCode::kTooLarge, Verdict::kFailed, {}, 0us};
  }
  StartAppend(job, LogStep::kSaving, kRecordTimeout);
}

void HomeRole::OnAnswerSaved(Job& job) {
  context_.ReportStep(Step::kAnswerSaved);
  job.step = LogStep::kNone;
  Finish(job);
}

// An accepted request without capacity is retried until its start target.
bool HomeRole::ShouldBackOff(const Job& job, ResultCode code) const {
  const bool may_begin = job.spec.may_run_twice || !(job.outcome_unknown || job.run_started);
  return job.accepted && may_begin && code != ResultCode::kRepeatUnverified && InfoOf(code).come_back &&
         context_.Now() + kDefaultRetryAfter < job.start_by;
}

void HomeRole::OnResume(const HostName& from, const LogResume& resume) {
  const RequestKey& key = resume.request.key;
  if (Job* known = Find(key); known != nullptr && known->phase == JobPhase::kEnded && !known->accepted) {
    Forget(key);  // It was answered "unknown" here, but its accepted record was written after all.
  }
  const ClassSpec* spec = context_.configuration.FindClass(resume.request.class_name);
  if (Job* known = Find(key); known != nullptr) {
    if (known->accepted && known->phase != JobPhase::kClaiming) {
      context_.Send(from, LogResumed{key, context_.settings.name});
    }
    return;
  }
  if (context_.leaving) {
    context_.Send(from, LogResumed{key, {}});
    return;
  }
  if (spec == nullptr || context_.IsRecovering()) {
    return;
  }
  context_.ReportStep(Step::kRequestResumed);
  Job& job = jobs_[key];
  ++active_;
  touched_.push_back(key);
  job.request = resume.request;
  job.spec = *spec;
  job.start_by = context_.Now() + spec->finish_within - resume.age;
  job.finish_by = std::max(job.start_by, context_.Now() + kResumeClaimTimeout);
  job.members.resize(static_cast<size_t>(resume.request.members));
  job.nonce = context_.RandomNumber();
  job.claim_id = context_.RandomNumber();
  job.accepted = true;
  job.resumed = true;
  job.may_have_started = resume.started;
  StartClaim(job);
}

// In a planned stop accepted requests are handed over to other hosts. Calls in progress finish here, and so do requests
// that may not run twice while they are between the started record and the start.
bool HomeRole::MayHandOver(const Job& job) const {
  const bool settled = job.phase == JobPhase::kActive || job.phase == JobPhase::kClaiming ||
                       (job.phase == JobPhase::kRecording && job.step == LogStep::kBackoff);
  if (job.acceptance_unknown) {
    return true;  // If the record is written, the next home host finds it in the log.
  }
  if (!job.accepted || !settled) {
    return false;
  }
  const bool active = job.phase != JobPhase::kClaiming;
  const bool may_begin_elsewhere = job.spec.may_run_twice || !job.start_recorded;
  const bool all_started = std::all_of(job.members.begin(), job.members.end(), [](const Member& member) {
    return member.phase == MemberPhase::kRunning || member.phase == MemberPhase::kEnded;
  });
  const bool in_call = job.spec.kind == WorkKind::kCall && job.members.front().phase == MemberPhase::kCommitted;
  return !in_call && ((!active && may_begin_elsewhere) || job.spec.may_run_twice || all_started);
}

void HomeRole::HandOverJobs() {
  if (!context_.leaving) {
    return;
  }
  std::vector<RequestKey> keys;
  for (const auto& [key, job] : jobs_) {
    if (MayHandOver(job)) {
      keys.push_back(key);
    }
  }
  for (const RequestKey& key : keys) {
    context_.ReportStep(Step::kHandedOver);
    ReleaseMembers(jobs_.at(key));
    const HostName writer = context_.OwnerOf(kLogWriterKey);
    if (!writer.empty()) {
      context_.Send(writer, LogResumed{key, {}});
    }
    Forget(key);
  }
}

// The worker forgets a run once its end is acknowledged, so the answer to an accepted request must be in the log first.
bool HomeRole::MayAcknowledgeEnd(const Job& job, const RunReport& report) {
  return !job.accepted || job.phase == JobPhase::kEnded || report.phase != RunPhase::kDone;
}

// A run without a home host may be acknowledged once the log has the answer to its request.
void HomeRole::LookUpOrphan(const HostName& from, const RunReport& report, const Job* job) {
  if (job == nullptr && report.phase == RunPhase::kDone) {
    LookUpInLog(report.run.task.key, PendingLookup{PendingLookup::Kind::kReport, {}, report, from, {}});
  }
}

void HomeRole::LookUpInLog(const RequestKey& key, PendingLookup lookup) {
  std::erase_if(pending_lookups_,
                [&](const auto& entry) { return context_.Now() - entry.second.sent_at > kPendingLookupTimeout; });
  const HostName writer = context_.OwnerOf(kLogWriterKey);
  if (writer.empty()) {
    return;
  }
  lookup.sent_at = context_.Now();
  const uint64_t reference = context_.RandomNumber();
  pending_lookups_[reference] = std::move(lookup);
  context_.Send(writer, LogLookup{reference, key});
}

// Answers a query for a request that this host has. If the request was taken over or may be a repeat, only the log
// shows what was answered before.
Answer HomeRole::AnswerForJob(const Job& job, const LogFound& found) {
  if (job.phase == JobPhase::kEnded) {
    return job.answer;
  }
  if (found.current && found.found.state == LogEntry::State::kDone) {
    return found.found.answer;
  }
  const bool saving = job.phase == JobPhase::kSaving && job.append_sends > 0;  // The answer may be in the log already.
  const bool done = found.found.state == LogEntry::State::kDone;
  const bool claiming = job.phase == JobPhase::kClaiming;
  // Another host may have or have had the request.
  const bool possibly_elsewhere = job.resumed || job.paused_meanwhile || !job.accepted;
  const bool uncertain = !found.current && (possibly_elsewhere || claiming || saving || done);
  const ResultCode code = uncertain ? ResultCode::kStoreUnavailable : ResultCode::kAccepted;
  return Answer{job.request.key, code, Verdict::kUnknown, {}, kDefaultRetryAfter};
}

void HomeRole::OnLookupResult(const PendingLookup& lookup, const LogFound& found) {
  const bool open = found.found.state == LogEntry::State::kOpen;
  const HostName& self = context_.settings.name;
  if (open && found.found.home == self && Find(found.key) == nullptr) {
    context_.Send(context_.OwnerOf(kLogWriterKey),
                  LogResumed{found.key, {}});  // The writer assumes that this host has it.
  }
  if (lookup.kind == PendingLookup::Kind::kReport) {
    if (found.found.state == LogEntry::State::kDone) {
      context_.Send(lookup.reporter, RunReportAck{lookup.report.run, lookup.report.worker});
    }
    return;
  }
  const Waiter& waiter = lookup.waiter;
  const Job* job = Find(found.key);
  if (job != nullptr && !IsRefused(*job) && lookup.kind == PendingLookup::Kind::kQuery) {
    context_.Send(waiter.host, ForwardAnswer{waiter.forward_id, AnswerForJob(*job, found)});
    return;
  }
  if (open && found.found.home != self && context_.IsReachable(found.found.home)) {
    context_.Send(waiter.host, ForwardMoved{waiter.forward_id, found.found.home});
    return;
  }
  Answer answer{found.key, ResultCode::kNotFound, Verdict::kUnknown, {}, 0us};
  if (!found.current) {
    answer.code = ResultCode::kStoreUnavailable;
    answer.retry_after = kDefaultRetryAfter;
  } else if (found.found.state == LogEntry::State::kDone) {
    answer = found.found.answer;
  } else if (open) {
    const bool query = lookup.kind == PendingLookup::Kind::kQuery;
    answer.code = query ? ResultCode::kAccepted : ResultCode::kHostRecovering;
    answer.retry_after = kDefaultRetryAfter;
  } else if (found.found.state == LogEntry::State::kIntent) {
    answer.code = ResultCode::kUnknownOutcome;
  }
  context_.Send(waiter.host, ForwardAnswer{waiter.forward_id, answer});
}

}  // namespace hibiscus
