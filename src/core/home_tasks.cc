// Tasks on workers: reserve, then commit. A gang reserves for all of its members before it commits any.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {

constexpr Duration kReservationRetryDelay = 200ms;  // Between attempts of a gang, or after an owner was lost.
// An owner answers by the start target; allows for the network delay of its reply.
constexpr Duration kReservationReplyGrace = 500ms;
constexpr Duration kGangHoldTime = 1s;   // Least time that a held member waits for the others.
constexpr size_t kMaxFailedWorkers = 3;  // A task that fails on this many workers is reported as a poison job.
constexpr int kMaxFailedRuns = 3;        // Runs of one task that failed or whose outcome is unknown.
constexpr Duration kFailureRetryDelay = 300ms;

}  // namespace

void HomeRole::StartTasks(Job& job) {
  for (Member& member : job.members) {
    member.next_send = context_.Now();
  }
  TickTasks(job);
}

void HomeRole::TickTasks(Job& job) {
  for (Member& member : job.members) {
    TickMember(job, member);
    if (job.phase != JobPhase::kActive) {
      return;
    }
  }
}

void HomeRole::TickMember(Job& job, Member& member) {
  const TimePoint now = context_.Now();
  switch (member.phase) {
    case MemberPhase::kIdle:
      if (now >= member.next_send) {
        SendReserve(job, member);
      }
      return;
    case MemberPhase::kReserving:
      if (!context_.IsReachable(member.owner) || now > std::max(member.since, job.start_by) + kReservationReplyGrace) {
        context_.Send(member.owner, ReleaseHold{member.run});
        ScheduleRetry(member, kReservationRetryDelay);
      }
      return;
    case MemberPhase::kHeld:
      if (now - member.since > MaxHold(job) && !job.gang_spread && job.spec.kind == WorkKind::kGang) {
        AbortGangAttempt(job);
      } else if (now - member.since > MaxHold(job)) {
        context_.Send(member.owner, ReleaseHold{member.run});
        ScheduleRetry(member, kReservationRetryDelay + Duration(context_.RandomNumber() % 200'000));
      }
      return;
    case MemberPhase::kCommitted:
      if (now >= member.next_send) {
        SendCommit(job, member);
      }
      return;
    case MemberPhase::kRunning:
      if (context_.OwnerOf(member.worker) != member.owner) {
        SendCommit(job, member);  // The worker has a new owner: asks it for the state of the run.
      }
      return;
    case MemberPhase::kEnded:
      return;
  }
}

// When TickMember next has work if no event arrives before. Calls wait for events only.
TimePoint HomeRole::NextWakeOf(const Job& job, const Member& member) {
  if (job.spec.kind == WorkKind::kCall) {
    return TimePoint::max();
  }
  switch (member.phase) {
    case MemberPhase::kIdle:
    case MemberPhase::kCommitted:
      return member.next_send;
    case MemberPhase::kReserving:
      return std::max(member.since, job.start_by) + kReservationReplyGrace + 1us;
    case MemberPhase::kHeld:
      return member.since + MaxHold(job) + 1us;
    case MemberPhase::kRunning:
    case MemberPhase::kEnded:
      break;
  }
  return TimePoint::max();
}

void HomeRole::SendReserve(Job& job, Member& member) {
  member.owner = PickOwner(job, member);
  if (member.owner.empty()) {
    OnAllRefused(job, member);
    return;
  }
  context_.ReportStep(Step::kRoomAsked);
  member.run = NewRun(job, static_cast<int>(&member - job.members.data()));
  EnterPhase(member, MemberPhase::kReserving, context_.Now());
  const bool queue = job.spec.kind != WorkKind::kGang || !job.gang_spread;
  const Duration start_within = std::max(job.start_by - context_.Now(), Duration(0));
  context_.Send(member.owner,
                Reserve{member.run, job.spec.name, job.spec.kind, job.request.size, job.request.run_time, start_within,
                        queue, job.request.members, membership_.LeaseCountKnownAt(member.owner, job.verified_at)});
}

// Asks one owner for all members of a gang, so that two gangs cannot deadlock by each holding, at different owners,
// capacity that the other needs. If no single owner has enough, the next attempt reserves at several owners, without
// waiting in any queue.
HostName HomeRole::PickOwner(Job& job, const Member& member) {
  if (job.spec.kind != WorkKind::kGang || job.gang_spread) {
    return PickTaskOwner(job, member);
  }
  if (!context_.IsLive(job.gang_owner) || member.refused_by.contains(job.gang_owner)) {
    job.gang_owner = PickTaskOwner(job, member);
  }
  return job.gang_owner;
}

// How long a member keeps its reservation while it waits for the others.
Duration HomeRole::MaxHold(const Job& job) {
  return job.gang_spread ? kGangHoldTime : std::max(kGangHoldTime, job.spec.start_within / 2);
}

bool HomeRole::AnyStarted(const Job& job) {
  return std::any_of(job.members.begin(), job.members.end(), [](const Member& member) {
    return member.phase == MemberPhase::kCommitted || member.phase == MemberPhase::kRunning ||
           member.phase == MemberPhase::kEnded;
  });
}

// An owner that refuses one member refuses the whole gang.
void HomeRole::OnGangRefused(Job& job, const HostName& owner, const Reserved& reserved) {
  ReleaseMembers(job);
  job.gang_owner.clear();
  for (Member& member : job.members) {
    member.refused_by[owner] = reserved.code;
    member.retry_after = std::max(member.retry_after, reserved.retry_after);
    member.next_send = context_.Now();
  }
}

void HomeRole::AbortGangAttempt(Job& job) {
  ReleaseMembers(job);
  job.gang_owner.clear();
  job.gang_spread = !job.gang_spread;
  const Duration pause = kReservationRetryDelay + Duration(context_.RandomNumber() % 200'000);
  for (Member& member : job.members) {
    if (member.phase == MemberPhase::kIdle) {
      member.refused_by.clear();
      member.next_send = context_.Now() + pause;
    }
  }
}

// Prefers owners with a worker that the task fits on, then the most free CPU. Skips owners that have refused.
HostName HomeRole::PickTaskOwner(const Job& job, const Member& member) {
  HostName best;
  bool best_fits = false;
  int64_t best_free = 0;
  for (const HostName& host : context_.live) {
    const Heartbeat* load = membership_.LoadOf(host);
    if (load == nullptr || member.refused_by.contains(host)) {
      continue;
    }
    const bool fits = job.request.size.FitsIn(load->largest);
    const bool better = fits > best_fits || (fits == best_fits && load->free.cpu_millis > best_free);
    if (best.empty() || better) {
      best = host;
      best_fits = fits;
      best_free = load->free.cpu_millis;
    }
  }
  return best;
}

void HomeRole::OnAllRefused(Job& job, Member& member) {
  const auto all_refused_with = [&](auto... codes) {
    return !member.refused_by.empty() &&
           std::all_of(member.refused_by.begin(), member.refused_by.end(),
                       [&](const auto& refusal) { return ((refusal.second == codes) || ...); });
  };
  if (!AnyStarted(job) && all_refused_with(ResultCode::kNeverFits)) {
    Refuse(job, ResultCode::kNeverFits);
  } else if (!AnyStarted(job) && all_refused_with(ResultCode::kNeverFits, ResultCode::kOverloaded)) {
    Refuse(job, ResultCode::kOverloaded, member.retry_after);
  } else if (!AnyStarted(job) && context_.Now() >= job.start_by) {
    Refuse(job, ResultCode::kNoCapacity);
  } else if (!AnyStarted(job) && job.spec.kind == WorkKind::kGang) {
    AbortGangAttempt(job);
  } else {
    member.refused_by.clear();
    member.next_send = context_.Now() + kReservationRetryDelay;
  }
}

void HomeRole::OnReserved(const HostName& from, const Reserved& reserved) {
  Job* job = Find(reserved.run.task.key);
  Member* member = job == nullptr || job->phase != JobPhase::kActive ? nullptr : FindMember(*job, reserved.run);
  if (member == nullptr || member->phase != MemberPhase::kReserving) {
    if (reserved.code == ResultCode::kOk) {
      context_.Send(from, ReleaseHold{reserved.run});
    }
    return;
  }
  if (reserved.code == ResultCode::kRepeatUnverified) {
    RestartClaim(*job);
    return;
  }
  if (reserved.code != ResultCode::kOk) {
    member->refused_by[from] = reserved.code;
    member->retry_after = std::max(member->retry_after, reserved.retry_after);
    ScheduleRetry(*member, 0us);
    if (job->spec.kind == WorkKind::kGang && !job->gang_spread && !AnyStarted(*job)) {
      OnGangRefused(*job, from, reserved);
    }
    TickTasks(*job);
    return;
  }
  member->worker = reserved.worker;
  member->token = reserved.token;
  EnterPhase(*member, MemberPhase::kHeld, context_.Now());
  context_.ReportStep(Step::kRoomHeld);
  const bool all_held = std::none_of(job->members.begin(), job->members.end(), [](const Member& other) {
    return other.phase == MemberPhase::kIdle || other.phase == MemberPhase::kReserving;
  });
  if (!all_held) {
    return;
  }
  if (job->members.size() > 1) {
    context_.ReportStep(Step::kGangHeld);
  }
  for (Member& each : job->members) {
    if (each.phase == MemberPhase::kHeld) {
      CommitMember(*job, each);
    }
  }
}

void HomeRole::CommitMember(Job& job, Member& member) {
  EnterPhase(member, MemberPhase::kCommitted, context_.Now());
  SendCommit(job, member);
}

void HomeRole::SendCommit(Job& job, Member& member) {
  context_.ReportStep(Step::kCommitSent);
  job.committed = true;
  member.next_send = context_.Now() + context_.settings.resend_interval;
  if (member.phase == MemberPhase::kRunning || !context_.IsReachable(member.owner)) {
    member.owner = context_.OwnerOf(member.worker);
  }
  context_.Send(member.owner, Commit{member.run, member.worker, member.token, job.spec.name, job.request.size,
                                     job.request.run_time, job.request.payload});
}

void HomeRole::OnReport(const HostName& from, const RunReport& report) {
  const bool ended = report.phase != RunPhase::kStarted;
  Job* job = Find(report.run.task.key);
  if (job == nullptr || job->claim_incomplete || job->phase == JobPhase::kClaiming ||
      job->phase == JobPhase::kRecording) {
    LookUpOrphan(from, report, job);
    return;  // Not acknowledged: the host that ordered the run may still ask for it, and a claim may find it.
  }
  UpdateRunFlags(*job, report.phase);
  if (ended) {
    if (MayAcknowledgeEnd(*job, report)) {
      context_.Send(from, RunReportAck{report.run, report.worker});
    }
    std::erase_if(job->stops, [&](const StopRun& stop) { return stop.run == report.run; });
  }
  Member* member = job->phase != JobPhase::kActive ? nullptr : FindMember(*job, report.run);
  if (member == nullptr || member->phase == MemberPhase::kEnded || member->phase == MemberPhase::kIdle) {
    return;
  }
  if (ended) {
    OnRunEnded(*job, *member, report);
    return;
  }
  member->owner = from;
  member->worker = report.worker;
  if (member->phase != MemberPhase::kRunning) {
    EnterPhase(*member, MemberPhase::kRunning, context_.Now());
    Observe(*job, RequestObservation::Milestone::kStarted);
  }
}

void HomeRole::UpdateRunFlags(Job& job, RunPhase phase) {
  job.outcome_unknown = job.outcome_unknown || phase == RunPhase::kGone;
  job.run_started = job.run_started || (phase != RunPhase::kGone && phase != RunPhase::kNotStarted);
}

void HomeRole::OnRunEnded(Job& job, Member& member, const RunReport& report) {
  switch (report.phase) {
    case RunPhase::kDone:
      member.body = report.body;
      EnterPhase(member, MemberPhase::kEnded, context_.Now());
      FinishIfAllEnded(job);
      return;
    case RunPhase::kFailed:
    case RunPhase::kStopped:
      OnRunFailed(job, member, report);
      return;
    case RunPhase::kNotStarted:
      ScheduleRetry(member, kReservationRetryDelay);
      return;
    case RunPhase::kGone:
      OnRunGone(job, member);
      return;
    case RunPhase::kStarted:
      return;
  }
}

void HomeRole::OnRunFailed(Job& job, Member& member, const RunReport& report) {
  member.failed_on.insert(report.worker);
  const bool poison = member.failed_on.size() >= kMaxFailedWorkers;
  if (CountFailureAndTakeRetry(job, member)) {
    ScheduleRetry(member, kFailureRetryDelay);
    return;
  }
  EnterPhase(member, MemberPhase::kIdle, context_.Now());
  StopMembers(job);
  End(job, poison ? ResultCode::kPoisonJob : ResultCode::kTaskFailed, Verdict::kFailed, report.body);
}

// Counts the failed run and, if a retry is allowed, takes it from the budget.
bool HomeRole::CountFailureAndTakeRetry(const Job& job, Member& member) {
  ++member.failed_runs;
  return job.spec.may_run_twice && member.failed_runs < kMaxFailedRuns && TakeRetry(job);
}

void HomeRole::OnRunGone(Job& job, Member& member) {
  if (CountFailureAndTakeRetry(job, member)) {
    ScheduleRetry(member, kFailureRetryDelay);
    return;
  }
  EnterPhase(member, MemberPhase::kIdle, context_.Now());
  StopMembers(job);
  End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
}

void HomeRole::ScheduleRetry(Member& member, Duration after) {
  EnterPhase(member, MemberPhase::kIdle, context_.Now());
  member.next_send = context_.Now() + after;
}

void HomeRole::AdoptRun(Job& job, const RunReport& report) {
  context_.ReportStep(Step::kRunAdopted);
  const auto index = static_cast<size_t>(report.run.task.member);
  if (index >= job.members.size()) {
    return;
  }
  Member& member = job.members[index];
  job.run_started = true;
  job.committed = true;
  member.run = report.run;
  member.worker = report.worker;
  member.token = report.token;
  member.owner = context_.OwnerOf(report.worker);
  EnterPhase(member, MemberPhase::kCommitted, context_.Now());  // The commit gives the owner the new home host.
  if (report.phase == RunPhase::kDone) {
    member.body = report.body;
    EnterPhase(member, MemberPhase::kEnded, context_.Now());
  }
}

void HomeRole::StopMembers(Job& job) {
  ReleaseMembers(job);
  for (Member& member : job.members) {
    const bool may_run = member.phase == MemberPhase::kCommitted || member.phase == MemberPhase::kRunning;
    if (may_run && job.spec.kind != WorkKind::kCall) {
      job.stops.push_back(StopRun{member.run, member.worker});
    }
  }
}

void HomeRole::TickStops(Job& job) {
  if (job.stops.empty() || context_.Now() < job.next_stop) {
    return;
  }
  job.next_stop = context_.Now() + context_.settings.resend_interval;
  for (const StopRun& stop : job.stops) {
    context_.Send(context_.OwnerOf(stop.worker), stop);
  }
}

void HomeRole::ReleaseMembers(Job& job) {
  for (Member& member : job.members) {
    if (member.phase == MemberPhase::kReserving || member.phase == MemberPhase::kHeld) {
      context_.Send(member.owner, ReleaseHold{member.run});
      EnterPhase(member, MemberPhase::kIdle, context_.Now());
    }
  }
}

void HomeRole::FinishIfAllEnded(Job& job) {
  const auto ended = [](const Member& member) { return member.phase == MemberPhase::kEnded; };
  if (!std::all_of(job.members.begin(), job.members.end(), ended)) {
    return;
  }
  std::string body;
  for (const Member& member : job.members) {
    body += member.body;
  }
  End(job, ResultCode::kOk, Verdict::kDone, body);
}

void HomeRole::EnterPhase(Member& member, MemberPhase phase, TimePoint now) {
  member.phase = phase;
  member.since = now;
}

}  // namespace hibiscus
