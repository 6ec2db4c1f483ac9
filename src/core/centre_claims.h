// Claims for home hosts of other data centres: the host that is asked claims the request inside its own data centre on
// behalf of the claimant, and answers for all of it. It stays silent while it cannot answer for every live host.
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
