#include "core/centre_claims.h"

#include <algorithm>

namespace hibiscus {

namespace {
constexpr Duration kAskKept = 2s;  // The claimant asks again sooner.
}  // namespace

void CentreClaims::OnAsk(const HostName& from, const CentreClaim& claim) {
  asks_[AskId{claim.key, from}] = Ask{{}, context_.Now() + kAskKept};
  for (const HostName& host : context_.reachable) {
    context_.Send(host, Claim{claim.key, context_.view, claim.claim, from});
  }
}

void CentreClaims::OnAnswer(const HostName& from, const ClaimAnswer& answer) {
  const AskId id{answer.key, answer.home};
  const auto ask = asks_.find(id);
  if (ask == asks_.end()) {
    return;
  }
  if (answer.known_elsewhere) {
    Answer(id, from);
    return;
  }
  ask->second.answers[from] = answer;
  if (!AllGaveTheirWord(context_, ask->second.answers)) {
    return;
  }
  if (!AnyRuns(ask->second.answers)) {
    Answer(id, {});
    return;
  }
  // Its runs are on workers of this data centre, so a host of this data centre becomes its home.
  claims_.Put(answer.key, context_.settings.name, 0);
  Answer(id, context_.settings.name);
}

void CentreClaims::OnRetract(const HostName& from, const ClaimRetract& retract) {
  const HostName& home = retract.home.empty() ? from : retract.home;
  claims_.Retract(retract.key, home, retract.claim);
  if (!retract.spread) {
    return;
  }
  asks_.erase(AskId{retract.key, home});
  for (const HostName& host : context_.reachable) {
    context_.Send(host, ClaimRetract{retract.key, retract.claim, home, false});
  }
}

void CentreClaims::OnTick() {
  std::erase_if(asks_, [&](const auto& entry) { return context_.Now() >= entry.second.until; });
}

void CentreClaims::Answer(const AskId& id, const HostName& home) {
  context_.Send(id.home, CentreClaimAnswer{id.key, context_.settings.data_centre, home});
  asks_.erase(id);
}

}  // namespace hibiscus
