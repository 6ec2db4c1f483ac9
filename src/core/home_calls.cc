// Calls: one request-response exchange with a backend server, through the host that owns the server.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {
constexpr int kMaxCallAttempts = 3;  // Owners tried for one call.
// The owner answers by the finish target; allows for the network delay of its reply.
constexpr Duration kOwnerReplyGrace = 300ms;
}  // namespace

void HomeRole::DispatchCall(Job& job) {
  context_.ReportStep(Step::kCallDispatched);
  Member& member = job.members.front();
  member.owner = PickCallOwner(member);
  if (member.owner.empty()) {
    Refuse(job, ResultCode::kNoCapacity);
    return;
  }
  member.run = NewRun(job, 0);
  EnterPhase(member, MemberPhase::kCommitted, context_.Now());
  ++call_counts_[member.owner].in_flight;
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

// Picks by free slots: those in each live host's last heartbeat, corrected by this host's calls since.
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

// Assumes that every live host has sent the owner as many calls since its last heartbeat as this one.
double HomeRole::EstimateCallLoad(const HostName& host) {
  const double reported = -membership_.LoadOf(host)->free_slots;
  if (host == context_.settings.name) {
    return reported;
  }
  CallCount& calls = call_counts_[host];
  const TimePoint heartbeat_at = membership_.LastHeartbeatAt(host);
  if (heartbeat_at != calls.heartbeat_at) {
    calls.heartbeat_at = heartbeat_at;
    calls.in_flight_at_heartbeat = calls.in_flight;
  }
  return reported + static_cast<double>(calls.in_flight - calls.in_flight_at_heartbeat) *
                        static_cast<double>(context_.live.size());
}

void HomeRole::ReleaseCall(Member& member) {
  if (member.phase == MemberPhase::kCommitted) {
    --call_counts_[member.owner].in_flight;
    EnterPhase(member, MemberPhase::kIdle, context_.Now());
  }
}

void HomeRole::OnCallResult(const HostName& from, const CallResult& result) {
  Job* job = Find(result.run.task.key);
  Member* member = job == nullptr || job->phase != JobPhase::kActive ? nullptr : FindMember(*job, result.run);
  if (member == nullptr) {
    return;  // From an older attempt, or the caller has its answer already.
  }
  ReleaseCall(*member);
  switch (result.verdict) {
    case Verdict::kNotRun:
      member->refused_by[from] = result.code;
      if (job->run_count < kMaxCallAttempts && !PickCallOwner(*member).empty() && context_.Now() < job->start_by &&
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

// After an unknown outcome only classes that may run twice are retried.
void HomeRole::OnCallUnknown(Job& job) {
  Member& member = job.members.front();
  job.outcome_unknown = true;
  const bool time_left = context_.Now() + kOwnerReplyGrace < job.finish_by;
  if (!job.spec.may_run_twice || job.run_count >= kMaxCallAttempts || !time_left || !TakeRetry(job)) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
    return;
  }
  ReleaseCall(member);
  DispatchCall(job);
}

}  // namespace hibiscus
