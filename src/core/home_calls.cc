// Calls: one exchange with a backend server, through the host that owns the server.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {
constexpr int kMaxCallAttempts = 3;           // Owners asked for one call.
constexpr Duration kOwnerReplyGrace = 300ms;  // The owner answers by the finish target; this is for the way back.
}  // namespace

void HomeRole::DispatchCall(Job& job) {
  context_.Pass(Step::kCallDispatched);
  Member& member = job.members.front();
  member.owner = PickCallOwner(member);
  if (member.owner.empty()) {
    Refuse(job, ResultCode::kNoCapacity);
    return;
  }
  member.run = NewRun(job, 0);
  EnterPhase(member, MemberPhase::kCommitted, context_.Now());
  ++call_counts_[member.owner].now;
  const Duration start_within = std::max(job.start_by - context_.Now(), Duration(0));
  const Duration finish_within = job.finish_by - context_.Now();
  context_.Send(member.owner,
                CallDispatch{member.run, job.spec.name, job.request.payload, start_within, finish_within});
}

void HomeRole::TickCall(Job& job) {
  const Member& member = job.members.front();
  if (member.phase == MemberPhase::kCommitted && !context_.IsReachable(member.owner)) {
    OnCallUnknown(job);
  }
}

// The live host with the most free slots, by its last heartbeat and what this host has sent and got back since.
HostName HomeRole::PickCallOwner(const Member& member) {
  std::vector<HostName> hosts;
  std::vector<double> loads;
  for (const HostName& host : context_.live) {
    if (membership_.LoadOf(host) != nullptr && !member.refused_by.contains(host)) {
      hosts.push_back(host);
      loads.push_back(EstimateCallLoad(host));
    }
  }
  if (hosts.empty()) {
    return {};
  }
  const ChoiceRule rule = context_.settings.policy.choice;
  return hosts[ChoiceFor(rule == ChoiceRule::kFirst ? ChoiceRule::kLeast : rule).Pick(loads, context_.random)];
}

// The other hosts are taken to have sent as many calls since as this one.
double HomeRole::EstimateCallLoad(const HostName& host) {
  const double reported = -membership_.LoadOf(host)->free_slots;
  if (host == context_.settings.name) {
    return reported;
  }
  CallCount& calls = call_counts_[host];
  const TimePoint heard = membership_.HeardAt(host);
  if (heard != calls.heard) {
    calls.heard = heard;
    calls.then = calls.now;
  }
  return reported + static_cast<double>(calls.now - calls.then) * static_cast<double>(context_.live.size());
}

void HomeRole::ReleaseCall(Member& member) {
  if (member.phase == MemberPhase::kCommitted) {
    --call_counts_[member.owner].now;
    EnterPhase(member, MemberPhase::kIdle, context_.Now());
  }
}

void HomeRole::OnCallResult(const HostName& from, const CallResult& result) {
  Job* job = Find(result.run.task.key);
  Member* member = job == nullptr || job->phase != JobPhase::kActive ? nullptr : FindMember(*job, result.run);
  if (member == nullptr) {
    return;  // An older try, or the caller has its answer.
  }
  ReleaseCall(*member);
  switch (result.verdict) {
    case Verdict::kNotRun:
      member->refused_by[from] = result.code;
      if (job->runs < kMaxCallAttempts && !PickCallOwner(*member).empty() && context_.Now() < job->start_by &&
          TakeRetry(*job)) {
        DispatchCall(*job);
      } else {
        Refuse(*job, result.code, result.retry_after);
      }
      return;
    case Verdict::kUnknown:
      OnCallUnknown(*job);
      return;
    default:
      EnterPhase(*member, MemberPhase::kEnded, context_.Now());
      End(*job, result.code, result.verdict, result.body);
      return;
  }
}

// Only a class that may run twice gets another try after an unknown outcome.
void HomeRole::OnCallUnknown(Job& job) {
  Member& member = job.members.front();
  job.outcome_unknown = true;
  const bool time_left = context_.Now() + kOwnerReplyGrace < job.finish_by;
  if (!job.spec.may_run_twice || job.runs >= kMaxCallAttempts || !time_left || !TakeRetry(job)) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
    return;
  }
  ReleaseCall(member);
  DispatchCall(job);
}

}  // namespace hibiscus
