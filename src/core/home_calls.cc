// Calls: one exchange with a backend server, through the host that owns the server.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {
constexpr int kMostCallTries = 3;        // Owners asked for one call.
constexpr Duration kOwnerGrace = 300ms;  // The owner answers by the finish target; this is for the way back.
}  // namespace

void HomeRole::BeginCall(Job& job) {
  Member& member = job.members.front();
  member.owner = PickCallOwner(member);
  if (member.owner.empty()) {
    Refuse(job, ResultCode::kNoCapacity);
    return;
  }
  member.run = NewRun(job, 0);
  Enter(member, MemberPhase::kCommitted, context_.Now());
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

// The host with the most free slots, counted by its last heartbeat; this host wins a draw.
HostName HomeRole::PickCallOwner(const Member& member) {
  HostName best;
  int best_slots = 0;
  for (const HostName& host : context_.live) {
    const Heartbeat* load = membership_.LoadOf(host);
    if (load == nullptr || member.refused_by.contains(host)) {
      continue;
    }
    const bool better = load->free_slots > best_slots || host == context_.settings.name;
    if (best.empty() || (better && load->free_slots >= best_slots)) {
      best = host;
      best_slots = load->free_slots;
    }
  }
  return best;
}

void HomeRole::OnCallResult(const HostName& from, const CallResult& result) {
  Job* job = Find(result.run.task.key);
  Member* member = job == nullptr || job->phase != JobPhase::kActive ? nullptr : FindMember(*job, result.run);
  if (member == nullptr) {
    return;  // An older try, or the caller has its answer.
  }
  switch (result.verdict) {
    case Verdict::kNotRun:
      Enter(*member, MemberPhase::kIdle, context_.Now());
      member->refused_by[from] = result.code;
      if (job->runs < kMostCallTries && !PickCallOwner(*member).empty() && context_.Now() < job->start_by) {
        BeginCall(*job);
      } else {
        Refuse(*job, result.code);
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
  if (!job.spec.may_run_twice || job.runs >= kMostCallTries || !time_left) {
    End(job, ResultCode::kUnknownOutcome, Verdict::kUnknown, {});
    return;
  }
  Enter(member, MemberPhase::kIdle, context_.Now());
  BeginCall(job);
}

}  // namespace hibiscus
