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

  void OnAsk(const HostName& from, const CentreClaim& claim);
  void OnAnswer(const HostName& from, const ClaimAnswer& answer);
  void OnRetract(const HostName& from, const ClaimRetract& retract);
  void OnTick();

 private:
  struct AskId {
    RequestKey key;
    HostName home;  // The claimant, in another data centre.

    friend auto operator<=>(const AskId&, const AskId&) = default;
  };
  struct Ask {
    ClaimAnswers answers;
    TimePoint until{};
  };

  void Answer(const AskId& id, const HostName& home);

  CoreContext& context_;
  ClaimTable& claims_;
  std::map<AskId, Ask> asks_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CENTRE_CLAIMS_H_
