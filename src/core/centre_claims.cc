#include "core/centre_claims.h"

#include <algorithm>

namespace hibiscus {

namespace {
constexpr Duration kPendingTimeout = 2s;  // The claimant repeats its claim sooner than that.
}  // namespace

void CentreClaims::OnCentreClaim(const HostName& from, const CentreClaim& claim) {
  pending_[PendingId{claim.key, from}] = PendingClaim{{}, context_.Now() + kPendingTimeout};
  for (const HostName& host : context_.reachable) {
    context_.Send(host, Claim{claim.key, context_.view, claim.claim, from});
  }
}

void CentreClaims::OnAnswer(const HostName& from, const ClaimAnswer& answer) {
  const PendingId id{answer.key, answer.home};
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return;
  }
  if (answer.known_elsewhere) {
    SendAnswer(id, from);
    return;
  }
  pending->second.answers[from] = answer;
  if (!AllHostsConfirmed(context_, pending->second.answers)) {
    return;
  }
  if (!HasRuns(pending->second.answers)) {
    SendAnswer(id, {});
    return;
  }
  // Its runs are on workers of this data centre, so this host becomes the request's home host.
  claims_.Put(answer.key, context_.settings.name, 0);
  SendAnswer(id, context_.settings.name);
}

void CentreClaims::OnRetract(const HostName& from, const ClaimRetract& retract) {
  const HostName& home = retract.home.empty() ? from : retract.home;
  claims_.Retract(retract.key, home, retract.claim);
  if (!retract.spread) {
    return;
  }
  pending_.erase(PendingId{retract.key, home});
  for (const HostName& host : context_.reachable) {
    context_.Send(host, ClaimRetract{retract.key, retract.claim, home, false});
  }
}

void CentreClaims::OnTick() {
  std::erase_if(pending_, [&](const auto& entry) { return context_.Now() >= entry.second.expires_at; });
}

void CentreClaims::SendAnswer(const PendingId& id, const HostName& home) {
  context_.Send(id.home, CentreClaimAnswer{id.key, context_.settings.data_centre, home});
  pending_.erase(id);
}

}  // namespace hibiscus
