// The home host's dealings with the log: intents of requests that may not run twice, and deferred requests, which are
// accepted, started and answered in the log.
//
// The rule that carries this file: a record that may stand in the log, or may come to stand there, is never treated as
// absent where that could make a refusal false or let a second run begin.
#include <algorithm>
#include <utility>

#include "core/home_role.h"

namespace hibiscus {

namespace {

constexpr Duration kIntentPatience = 400ms;  // A marked first attempt waits no longer for its record.
constexpr Duration kRecordPatience = 2s;     // Requests that need their record.
constexpr Duration kLookPatience = 1s;       // A repeat that asks what the log says.
constexpr Duration kWayBack = 300ms;         // The writer answers by its patience; this is for the way back.
constexpr Duration kRetry = 1s;              // A record that must stand in the log, after a failure.
constexpr Duration kResumeClaim = 5s;        // To find the run of a request whose finish target passed meanwhile.
constexpr Duration kQuestionTimeout = 5s;    // A lost question to the log.
constexpr size_t kMostKeptBytes = 262'144;   // Payload or answer of a deferred request.

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

void HomeRole::BeginRecorded(Job& job, bool resubmit) {
  const Request& request = job.request;
  const bool marked_repeat = request.attempt > 1 || (request.attempt == 1 && resubmit);
  if (request.deferred && request.payload.size() > kMostKeptBytes) {
    Refuse(job, ResultCode::kTooLarge);
  } else if (request.deferred) {
    Append(job, LogStep::kAccepting, std::min(kRecordPatience, job.spec.finish_within / 2));
  } else if (marked_repeat) {
    StartClaim(job);
  } else {
    const Duration patience = request.attempt == 1 ? kIntentPatience : kRecordPatience;
    Append(job, LogStep::kIntent, std::min(patience, job.spec.start_within * 3 / 4));
  }
}

void HomeRole::Append(Job& job, LogStep step, Duration patience) {
  job.phase = step == LogStep::kSaving ? JobPhase::kSaving : JobPhase::kRecording;
  job.step = step;
  job.sends = 0;
  job.log_until = context_.Now() + patience + kWayBack;
  SendAppend(job);
}

LogAppend HomeRole::AppendOf(LogRecordKind kind,
                             const RequestKey& key,
                             uint64_t nonce,
                             Duration patience,
                             bool repeated) const {
  LogAppend append{{}, patience, repeated};
  append.record.kind = kind;
  append.record.key = key;
  append.record.nonce = nonce;
  append.record.home = context_.settings.name;
  return append;
}

void HomeRole::SendAppend(Job& job) {
  job.next_append = context_.Now() + kResend;
  const HostName writer = context_.OwnerOf(kLogName);
  if (writer.empty()) {
    return;
  }
  const Duration patience = std::max(job.log_until - kWayBack - context_.Now(), Duration(kWayBack));
  LogAppend append = AppendOf(KindOf(job.step), job.request.key, job.nonce, patience, job.sends > 0);
  append.record.data_centre = context_.settings.data_centre;
  if (job.step == LogStep::kAccepting) {
    append.record.request = job.request;
  } else if (job.step == LogStep::kSaving) {
    append.record.answer = job.answer;
  }
  ++job.sends;
  context_.Pass(Step::kAppendSent);
  context_.Send(writer, append);
}

void HomeRole::TickLog(Job& job) {
  const TimePoint now = context_.Now();
  if (job.step == LogStep::kBackoff) {
    if (now >= job.next_append) {
      job.runs = 0;
      for (Member& member : job.members) {
        member.refused_by.clear();
      }
      Begin(job);
    }
  } else if (now >= job.log_until) {
    if (job.step == LogStep::kLooking) {
      OnNothingFound(job);
    } else {
      OnNotRecorded(job, true);  // What must stand is asked for again.
    }
  } else if (now >= job.next_append && job.step != LogStep::kLooking) {
    SendAppend(job);
  }
}

TimePoint HomeRole::NextLogWake(const Job& job) const {
  switch (job.step) {
    case LogStep::kBackoff:
    case LogStep::kStarting:
      return job.next_append;
    case LogStep::kLooking:
      return job.log_until;
    default:
      return std::min(job.next_append, job.log_until);
  }
}

void HomeRole::OnLogAppended(const LogAppended& appended) {
  if (appended.kind == LogRecordKind::kWithdrawn) {
    OnWithdrawn(appended);
    return;
  }
  Job* job = Find(appended.key);
  const bool waits = job != nullptr && (job->phase == JobPhase::kRecording || job->phase == JobPhase::kSaving) &&
                     job->step != LogStep::kLooking && job->step != LogStep::kBackoff;
  if (!waits || job->nonce != appended.nonce || KindOf(job->step) != appended.kind) {
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
      job->sends = job->sends == 1 ? 0 : job->sends;  // Its word holds for one sending; others may be on their way.
      OnNotRecorded(*job, job->sends > 0);
      return;
    case LogOutcome::kUnknown:
      OnNotRecorded(*job, true);
      return;
    case LogOutcome::kTooLarge:
      if (job->step == LogStep::kSaving) {
        job->answer = Answer{job->request.key, ResultCode::kTooLarge, Verdict::kFailed, {}, 0us};
        Append(*job, LogStep::kSaving, kRecordPatience);
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
      job.unsettled = false;
      job.start_by = context_.Now() + job.spec.start_within;  // The record may have taken long.
      job.finish_by = context_.Now() + job.spec.finish_within;
      if (job.cancelled) {
        End(job, ResultCode::kCancelled, Verdict::kCancelled, {});
        return;
      }
      AnswerWaiters(job, InProgress(job.request.key));
      if (job.spec.may_run_twice) {
        Begin(job);
      } else {
        Append(job, LogStep::kStarting, kRecordPatience);
      }
      return;
    case LogStep::kSaving:
      Saved(job);
      return;
    case LogStep::kIntent:
      job.intent = true;
      job.surely_first = true;
      Begin(job);
      return;
    default:
      job.start_recorded = true;
      job.surely_first = true;
      Begin(job);
      return;
  }
}

// Another record of the same request goes before ours: this is a repeat, whatever the caller said.
void HomeRole::OnDuplicate(Job& job, const LogEntry& found) {
  job.unsettled = false;
  switch (job.step) {
    case LogStep::kAccepting:
      if (found.state == LogEntry::State::kDone) {
        Look(job);
      } else if (found.state == LogEntry::State::kIntent) {
        End(job, ResultCode::kIdReused, Verdict::kNotRun, {});
      } else {
        LeaveToLog(job);
      }
      return;
    case LogStep::kSaving:
      Look(job);  // Who waits is told what stands in the log.
      return;
    case LogStep::kStarting:  // Somebody else has it and will answer it in the log.
      LeaveToLog(job);
      return;
    default:
      job.surely_first = false;
      job.request.attempt = 0;  // The first one may have come through another data centre.
      StartClaim(job);
      return;
  }
}

void HomeRole::Look(Job& job) {
  job.phase = JobPhase::kRecording;
  job.step = LogStep::kLooking;
  job.log_until = context_.Now() + kLookPatience;
  const HostName writer = context_.OwnerOf(kLogName);
  if (!writer.empty()) {
    context_.Send(writer, LogLookup{job.nonce, job.request.key});
  }
}

void HomeRole::OnNotRecorded(Job& job, bool maybe) {
  switch (job.step) {
    case LogStep::kAccepting:
      if (maybe && !job.unsettled) {
        job.unsettled = true;
        job.answer = Answer{job.request.key, ResultCode::kUnknownOutcome, Verdict::kUnknown, {}, kComeBack};
        AnswerWaiters(job, job.answer);
      } else if (!job.unsettled) {
        Refuse(job, ResultCode::kStoreUnavailable);
        return;
      }
      break;
    case LogStep::kIntent:
      job.intent = maybe;
      if (job.request.attempt == 1) {
        Begin(job);
      } else {
        Refuse(job, ResultCode::kStoreUnavailable);
      }
      return;
    default:
      break;
  }
  job.log_until = context_.Now() + kRecordPatience + kWayBack;
  job.next_append = context_.Now() + kRetry;
}

// The claim holds and no run of the request is left anywhere in the data centre.
void HomeRole::OnNoEarlierRun(Job& job) {
  const bool too_late = job.resumed && context_.Now() >= job.start_by;
  if (job.refusal != ResultCode::kOk || too_late) {
    EndRefused(job, too_late ? ResultCode::kFinishTargetMissed : job.refusal);
  } else if (MayBegin(job)) {
    Begin(job);
  } else if (!job.accepted) {
    Look(job);
  } else if (job.started || job.committed) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
  } else {
    Append(job, LogStep::kStarting, kRecordPatience);
  }
}

void HomeRole::OnLogFound(const LogFound& found) {
  if (const auto question = questions_.extract(found.reference); !question.empty()) {
    OnQuestionAnswered(question.mapped(), found);
    return;
  }
  Job* job = Find(found.key);
  if (job != nullptr && IsLooking(*job) && job->nonce == found.reference) {
    OnRepeatFound(*job, found);
  }
}

void HomeRole::OnRepeatFound(Job& job, const LogFound& found) {
  job.accepted = false;  // Nothing more is to be saved: the answer stands in the log, or there is none.
  switch (found.found.state) {
    case LogEntry::State::kDone:
      if (found.current) {
        const Answer& answer = found.found.answer;
        End(job, answer.code, answer.verdict, answer.body, answer.retry_after);
        return;
      }
      break;
    case LogEntry::State::kOpen:
      LeaveToLog(job);
      return;
    default:
      break;
  }
  OnNothingFound(job);
}

// A deferred request was looked up because its answer stands in the log: that it cannot be read now is no answer.
void HomeRole::OnNothingFound(Job& job) {
  if (job.request.deferred) {
    LeaveToLog(job);
  } else {
    End(job, ResultCode::kRepeatOfUnknown, Verdict::kUnknown, {});
  }
}

// Whoever asks again is told what stands in the log.
void HomeRole::LeaveToLog(Job& job) {
  AnswerWaiters(job, InProgress(job.request.key));
  const RequestKey key = job.request.key;
  Forget(key);
}

void HomeRole::Save(Job& job) {
  if (job.answer.body.size() > kMostKeptBytes) {
    job.answer = Answer{job.request.key, ResultCode::kTooLarge, Verdict::kFailed, {}, 0us};
  }
  Append(job, LogStep::kSaving, kRecordPatience);
}

void HomeRole::Saved(Job& job) {
  context_.Pass(Step::kAnswerSaved);
  job.step = LogStep::kNone;
  Finish(job);
}

// An accepted request that finds no room waits for it until its start target.
bool HomeRole::BacksOff(const Job& job, ResultCode code) const {
  const bool may_begin = job.spec.may_run_twice || !(job.in_doubt || job.ran);
  return job.accepted && may_begin && code != ResultCode::kRepeatUnverified && InfoOf(code).come_back &&
         context_.Now() + kComeBack < job.start_by;
}

void HomeRole::OnResume(const HostName& from, const LogResume& resume) {
  const RequestKey& key = resume.request.key;
  if (Job* known = Find(key); known != nullptr && known->phase == JobPhase::kEnded && !known->accepted) {
    Forget(key);  // It was told "unknown" here, and was accepted after all.
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
  context_.Pass(Step::kRequestResumed);
  Job& job = jobs_[key];
  ++active_;
  touched_.push_back(key);
  job.request = resume.request;
  job.spec = *spec;
  job.start_by = context_.Now() + spec->finish_within - resume.age;
  job.finish_by = std::max(job.start_by, context_.Now() + kResumeClaim);
  job.members.resize(static_cast<size_t>(resume.request.members));
  job.nonce = context_.RandomNumber();
  job.claim = context_.RandomNumber();
  job.accepted = true;
  job.resumed = true;
  job.started = resume.started;
  StartClaim(job);
}

// In a planned stop accepted requests go to other hosts. Calls in progress finish here, and so do requests that may not
// run twice while they are between the started record and the start.
bool HomeRole::HandsOver(const Job& job) const {
  const bool settled = job.phase == JobPhase::kActive || job.phase == JobPhase::kClaiming ||
                       (job.phase == JobPhase::kRecording && job.step == LogStep::kBackoff);
  if (job.unsettled) {
    return true;  // If it comes to stand in the log, the next home host finds it there.
  }
  if (!job.accepted || !settled) {
    return false;
  }
  const bool active = job.phase != JobPhase::kClaiming;
  const bool may_begin_elsewhere = job.spec.may_run_twice || !job.start_recorded;
  const bool runs = std::all_of(job.members.begin(), job.members.end(), [](const Member& member) {
    return member.phase == MemberPhase::kRunning || member.phase == MemberPhase::kEnded;
  });
  const bool in_call = job.spec.kind == WorkKind::kCall && job.members.front().phase == MemberPhase::kCommitted;
  return !in_call && ((!active && may_begin_elsewhere) || job.spec.may_run_twice || runs);
}

void HomeRole::HandOver() {
  if (!context_.leaving) {
    return;
  }
  std::vector<RequestKey> keys;
  for (const auto& [key, job] : jobs_) {
    if (HandsOver(job)) {
      keys.push_back(key);
    }
  }
  for (const RequestKey& key : keys) {
    context_.Pass(Step::kHandedOver);
    ReleaseMembers(jobs_.at(key));
    const HostName writer = context_.OwnerOf(kLogName);
    if (!writer.empty()) {
      context_.Send(writer, LogResumed{key, {}});
    }
    Forget(key);
  }
}

// The worker forgets a run once its end is acknowledged, so the answer of an accepted request must stand in the log by
// then.
bool HomeRole::MayAcknowledge(const Job& job, const RunReport& report) {
  return !job.accepted || job.phase == JobPhase::kEnded || report.phase != RunPhase::kDone;
}

// A run that no home host knows may be forgotten once the log has the answer to its request.
void HomeRole::AskAboutOrphan(const HostName& from, const RunReport& report, const Job* job) {
  if (job == nullptr && report.phase == RunPhase::kDone) {
    AskLog(report.run.task.key, LogQuestion{LogQuestion::Kind::kReport, {}, report, from, {}});
  }
}

void HomeRole::AskLog(const RequestKey& key, LogQuestion question) {
  std::erase_if(questions_, [&](const auto& entry) { return context_.Now() - entry.second.asked > kQuestionTimeout; });
  const HostName writer = context_.OwnerOf(kLogName);
  if (writer.empty()) {
    return;
  }
  question.asked = context_.Now();
  const uint64_t reference = context_.RandomNumber();
  questions_[reference] = std::move(question);
  context_.Send(writer, LogLookup{reference, key});
}

// To a question for a request that this host has. Of one that it took over, or that may be a repeat, only the log knows
// what was told before.
Answer HomeRole::AnswerOfHeld(const Job& job, const LogFound& found) {
  if (job.phase == JobPhase::kEnded) {
    return job.answer;
  }
  if (found.current && found.found.state == LogEntry::State::kDone) {
    return found.found.answer;
  }
  const bool saving = job.phase == JobPhase::kSaving && job.sends > 0;  // The answer may stand there already.
  const bool done = found.found.state == LogEntry::State::kDone;
  const bool claiming = job.phase == JobPhase::kClaiming;
  const bool shared = job.resumed || job.doubted || !job.accepted;  // Another host may have had it, or has it.
  const bool doubtful = !found.current && (shared || claiming || saving || done);
  const ResultCode code = doubtful ? ResultCode::kStoreUnavailable : ResultCode::kAccepted;
  return Answer{job.request.key, code, Verdict::kUnknown, {}, kComeBack};
}

void HomeRole::OnQuestionAnswered(const LogQuestion& question, const LogFound& found) {
  const bool open = found.found.state == LogEntry::State::kOpen;
  const HostName& self = context_.settings.name;
  if (open && found.found.home == self && Find(found.key) == nullptr) {
    context_.Send(context_.OwnerOf(kLogName), LogResumed{found.key, {}});  // The writer believes that we have it.
  }
  if (question.kind == LogQuestion::Kind::kReport) {
    if (found.found.state == LogEntry::State::kDone) {
      context_.Send(question.reporter, RunReportAck{question.report.run, question.report.worker});
    }
    return;
  }
  const Waiter& waiter = question.waiter;
  const Job* job = Find(found.key);
  if (job != nullptr && !IsRefused(*job) && question.kind == LogQuestion::Kind::kQuery) {
    context_.Send(waiter.host, ForwardAnswer{waiter.forward_id, AnswerOfHeld(*job, found)});
    return;
  }
  if (open && found.found.home != self && context_.IsReachable(found.found.home)) {
    context_.Send(waiter.host, ForwardMoved{waiter.forward_id, found.found.home});
    return;
  }
  Answer answer{found.key, ResultCode::kNotFound, Verdict::kUnknown, {}, 0us};
  if (!found.current) {
    answer.code = ResultCode::kStoreUnavailable;
    answer.retry_after = kComeBack;
  } else if (found.found.state == LogEntry::State::kDone) {
    answer = found.found.answer;
  } else if (open) {
    const bool query = question.kind == LogQuestion::Kind::kQuery;
    answer.code = query ? ResultCode::kAccepted : ResultCode::kHostRecovering;
    answer.retry_after = kComeBack;
  } else if (found.found.state == LogEntry::State::kIntent) {
    answer.code = ResultCode::kUnknownOutcome;
  }
  context_.Send(waiter.host, ForwardAnswer{waiter.forward_id, answer});
}

}  // namespace hibiscus
