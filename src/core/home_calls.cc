// Calls: one exchange with a backend server, through the host that owns the server.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {
constexpr int kMostCallTries = 3;        // Owners asked for one call.
constexpr Duration kOwnerGrace = 300ms;  // The owner answers by the finish target; this is for the way back.
}  // namespace

void HomeRole::BeginCall(Job& job) {
  context_.Pass(Step::kCallDispatched);
  Member& member = job.members.front();
  member.owner = PickCallOwner(member);
  if (member.owner.empty()) {
    Refuse(job, ResultCode::kNoCapacity);
    return;
  }
  member.run = NewRun(job, 0);
  Enter(member, MemberPhase::kCommitted, context_.Now());
  ++calls_at_[member.owner].now;
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
      loads.push_back(CallLoadOf(host));
    }
  }
  if (hosts.empty()) {
    return {};
  }
  const ChoiceRule rule = context_.settings.policy.choice;
  return hosts[ChoiceFor(rule == ChoiceRule::kFirst ? ChoiceRule::kLeast : rule).Pick(loads, context_.random)];
}

// The other hosts are taken to have sent as many calls since as this one.
double HomeRole::CallLoadOf(const HostName& host) {
  const double said = -membership_.LoadOf(host)->free_slots;
  if (host == context_.settings.name) {
    return said;
  }
  CallsAt& calls = calls_at_[host];
  const TimePoint heard = membership_.HeardAt(host);
  if (heard != calls.heard) {
    calls.heard = heard;
    calls.then = calls.now;
  }
  return said + static_cast<double>(calls.now - calls.then) * static_cast<double>(context_.live.size());
}

void HomeRole::LeaveCallOwner(Member& member) {
  if (member.phase == MemberPhase::kCommitted) {
    --calls_at_[member.owner].now;
    Enter(member, MemberPhase::kIdle, context_.Now());
  }
}

void HomeRole::OnCallResult(const HostName& from, const CallResult& result) {
  Job* job = Find(result.run.task.key);
  Member* member = job == nullptr || job->phase != JobPhase::kActive ? nullptr : FindMember(*job, result.run);
  if (member == nullptr) {
    return;  // An older try, or the caller has its answer.
  }
  LeaveCallOwner(*member);
  switch (result.verdict) {
    case Verdict::kNotRun:
      member->refused_by[from] = result.code;
      if (job->runs < kMostCallTries && !PickCallOwner(*member).empty() && context_.Now() < job->start_by &&
          TakeRetry(*job)) {
        BeginCall(*job);
      } else {
        Refuse(*job, result.code, result.retry_after);
      }
      return;
    case Verdict::kUnknown:
      OnCallUnknown(*job);
      return;
    default:
      Enter(*member, MemberPhase::kEnded, context_.Now());
      End(*job, result.code, result.verdict, result.body);
      return;
  }
}

// Only a class that may run twice gets another try after an unknown outcome.
void HomeRole::OnCallUnknown(Job& job) {
  Member& member = job.members.front();
  job.in_doubt = true;
  const bool time_left = context_.Now() + kOwnerGrace < job.finish_by;
  if (!job.spec.may_run_twice || job.runs >= kMostCallTries || !time_left || !TakeRetry(job)) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
    return;
  }
  LeaveCallOwner(member);
  BeginCall(job);
}

}  // namespace hibiscus
