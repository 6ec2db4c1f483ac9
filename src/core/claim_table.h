// Which home host has claimed a request whose earlier attempt may exist. A claim fences every other home host at the
// hosts that answered it: they refuse to hold or start anything of that request for anybody else.
#ifndef HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
#define HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_

#include <map>

#include "core/context.h"

namespace hibiscus {

class ClaimTable {
 public:
  explicit ClaimTable(const CoreContext& context) : context_(context) {}

  void Put(const RequestKey& key, const HostName& home) { claims_[key] = Entry{home, context_.Now()}; }

  // True: `home` may act on the request, as far as this host knows.
  bool Allows(const RequestKey& key, const HostName& home) const {
    const auto claim = claims_.find(key);
    return claim == claims_.end() || claim->second.home == home;
  }

  void OnTick() {
    std::erase_if(claims_,
                  [&](const auto& claim) { return context_.Now() - claim.second.since > context_.settings.remember; });
  }

 private:
  struct Entry {
    HostName home;
    TimePoint since;
  };

  const CoreContext& context_;
  std::map<RequestKey, Entry> claims_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
