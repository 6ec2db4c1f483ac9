// Claims: confirm that no earlier attempt runs or can still start before a repeat is started.
#include <algorithm>

#include "core/home_role.h"

namespace hibiscus {

namespace {

constexpr Duration kClaimRetryInterval = 250ms;  // Between rounds of claim messages.

// A request that is marked as the first attempt has arrived only through this data centre.
bool MayBeKnownInOtherCentres(const Request& request) {
  return request.attempt != 1;
}

}  // namespace

void HomeRole::StartClaim(Job& job) {
  context_.ReportStep(Step::kClaimAsked);
  job.phase = JobPhase::kClaiming;
  job.claim_answers.clear();
  job.claim_round_at = context_.Now();
  job.next_claim = context_.Now() + kClaimRetryInterval;
  claims_.Put(job.request.key, context_.settings.name, job.claim_id);
  for (const HostName& host : context_.reachable) {
    context_.Send(host, Claim{job.request.key, context_.view, job.claim_id, {}});
  }
  if (MayBeKnownInOtherCentres(job.request)) {
    for (const DataCentre& centre : digests_.OtherDataCentres()) {
      if (!job.cleared_centres.contains(centre)) {
        SendCentreClaim(job, centre);
      }
    }
  }
  ++job.claim_rounds;
}

// An owner leased its worker after the request was verified; another home host may have claimed the request before that
// without this host's knowledge. The next heartbeat reports the new lease, so the claim waits for one.
void HomeRole::RestartClaim(Job& job) {
  ReleaseMembers(job);
  job.request.attempt = 0;
  job.cleared_centres.clear();
  job.claim_id = context_.RandomNumber();
  job.claim_answers.clear();
  job.phase = JobPhase::kClaiming;
  job.next_claim = context_.Now() + context_.settings.heartbeat_interval + kClaimRetryInterval;
}

void HomeRole::SendCentreClaim(const Job& job, const DataCentre& centre) {
  const HostName contact = digests_.SelectContact(centre, job.claim_rounds);
  if (!contact.empty()) {
    context_.Send(contact, CentreClaim{job.request.key, job.claim_id});
  }
}

// The claim was never complete, so nothing depends on it: lifts its fences.
void HomeRole::RetractClaim(const Job& job) {
  const RequestKey& key = job.request.key;
  for (const HostName& host : context_.reachable) {
    context_.Send(host, ClaimRetract{key, job.claim_id, {}, false});
  }
  if (!MayBeKnownInOtherCentres(job.request)) {
    return;
  }
  for (const DataCentre& centre : digests_.OtherDataCentres()) {
    if (const HostName contact = digests_.SelectContact(centre, job.claim_rounds); !contact.empty()) {
      context_.Send(contact, ClaimRetract{key, job.claim_id, {}, true});
    }
  }
}

void HomeRole::OnCentreClaimAnswer(const CentreClaimAnswer& answer) {
  Job* job = Find(answer.key);
  if (job == nullptr || job->phase != JobPhase::kClaiming) {
    return;
  }
  if (!answer.home.empty()) {
    YieldClaim(answer.key, answer.home);
    return;
  }
  job->cleared_centres.insert(answer.data_centre);
  FinishClaimIfComplete(*job);
}

void HomeRole::OnClaimAnswer(const HostName& from, const ClaimAnswer& answer) {
  Job* job = Find(answer.key);
  if (job == nullptr || job->phase != JobPhase::kClaiming) {
    return;
  }
  if (answer.known_elsewhere) {
    YieldClaim(answer.key, from);
    return;
  }
  job->claim_answers[from] = answer;
  FinishClaimIfComplete(*job);
}

// A claim is complete when every reachable host, including those that are leaving, has confirmed it under the same
// view, every worker is leased, and the same holds in every other data centre through which the request may have
// arrived. Then each earlier run is either listed in an answer or can never start. If an answer lists a run, the other
// data centres need not confirm: an earlier claim there would have prevented the run from starting, and a later one
// finds it.
bool HomeRole::IsClaimComplete(const Job& job) const {
  if (!AllHostsConfirmed(context_, job.claim_answers)) {
    return false;
  }
  const std::vector<DataCentre> others = digests_.OtherDataCentres();
  const bool all_cleared = digests_.HasReceivedList() &&
                           std::all_of(others.begin(), others.end(),
                                       [&](const DataCentre& centre) { return job.cleared_centres.contains(centre); });
  return HasRuns(job.claim_answers) || all_cleared || !MayBeKnownInOtherCentres(job.request);
}

void HomeRole::FinishClaimIfComplete(Job& job) {
  if (!IsClaimComplete(job)) {
    return;
  }
  context_.ReportStep(Step::kClaimHeld);
  job.verified_at = job.claim_round_at;
  bool adopted = false;
  for (Member& member : job.members) {
    if (member.phase != MemberPhase::kEnded) {
      EnterPhase(member, MemberPhase::kIdle, context_.Now());
    }
  }
  job.outcome_unknown = job.outcome_unknown || job.committed;
  const ClaimAnswers answers = std::move(job.claim_answers);
  job.phase = JobPhase::kActive;
  for (const auto& [host, answer] : answers) {
    for (const RunReport& run : answer.runs) {
      adopted = true;
      AdoptRun(job, run);
    }
  }
  if (job.resumed) {
    context_.Send(context_.OwnerOf(kLogWriterKey), LogResumed{job.request.key, context_.settings.name});
  }
  const bool all_found = std::none_of(job.members.begin(), job.members.end(),
                                      [](const Member& member) { return member.phase == MemberPhase::kIdle; });
  if (!adopted) {
    OnNoEarlierRun(job);
  } else if (all_found || MayStart(job)) {
    FinishIfAllEnded(job);
  } else {
    StopMembers(job);  // The members without a known run may have run.
    End(job, ResultCode::kRepeatOfUnknown, Verdict::kUnknown, {});
  }
}

void HomeRole::YieldClaim(const RequestKey& key, const HostName& to) {
  context_.ReportStep(Step::kClaimYielded);
  const auto job = jobs_.find(key);
  for (const Waiter& waiter : job->second.waiters) {
    context_.Send(waiter.host, ForwardMoved{waiter.forward_id, to});
  }
  RetractClaim(job->second);
  claims_.Put(key, to, 0);
  if (job->second.accepted) {
    context_.Send(context_.OwnerOf(kLogWriterKey), LogResumed{key, to});
  }
  Forget(key);
}

}  // namespace hibiscus
