// Claims on behalf of home hosts in other data centres: the receiving host claims the request within its own data
// centre and answers for the whole of it. It sends no answer until every live host has confirmed.
#ifndef HIBISCUSSTAND_SRC_CORE_CENTRE_CLAIMS_H_
#define HIBISCUSSTAND_SRC_CORE_CENTRE_CLAIMS_H_

#include <compare>
#include <map>

#include "core/claim_table.h"
#include "core/context.h"

namespace hibiscus {

class CentreClaims {
 public:
  CentreClaims(CoreContext& context, ClaimTable& claims) : context_(context), claims_(claims) {}

  void OnCentreClaim(const HostName& from, const CentreClaim& claim);
  void OnAnswer(const HostName& from, const ClaimAnswer& answer);
  void OnRetract(const HostName& from, const ClaimRetract& retract);
  void OnTick();

 private:
  struct PendingId {
    RequestKey key;
    HostName home;  // The claimant, in another data centre.

    friend auto operator<=>(const PendingId&, const PendingId&) = default;
  };
  struct PendingClaim {
    ClaimAnswers answers;
    TimePoint expires_at{};
  };

  void SendAnswer(const PendingId& id, const HostName& home);

  CoreContext& context_;
  ClaimTable& claims_;
  std::map<PendingId, PendingClaim> pending_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CENTRE_CLAIMS_H_
