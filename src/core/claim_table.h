// Which home host has claimed a request whose earlier attempt may exist. A claim fences every other home host at the
// hosts that answered it: they refuse to hold or start anything of that request for anybody else.
#ifndef HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
#define HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_

#include <algorithm>
#include <map>
#include <vector>

#include "core/context.h"

namespace hibiscus {

using ClaimAnswers = std::map<HostName, ClaimAnswer>;  // The last one of each host.

// Every reachable host gave its word, under this host's view, and has each of its workers under a lease.
inline bool AllHostsConfirmed(const CoreContext& context, const ClaimAnswers& answers) {
  return std::all_of(context.reachable.begin(), context.reachable.end(), [&](const HostName& host) {
    const auto answer = answers.find(host);
    return answer != answers.end() && answer->second.view == context.view && answer->second.covered;
  });
}

// Some host has a run of the request on its workers.
inline bool HasRuns(const ClaimAnswers& answers) {
  return std::any_of(answers.begin(), answers.end(), [](const auto& entry) { return !entry.second.runs.empty(); });
}

class ClaimTable {
 public:
  explicit ClaimTable(const CoreContext& context) : context_(context) {}

  // The last claim goes before all earlier ones.
  void Put(const RequestKey& key, const HostName& home, uint64_t claim) {
    std::vector<Entry>& entries = claims_[key];
    std::erase_if(entries, [&](const Entry& entry) { return entry.home == home; });
    entries.push_back(Entry{home, claim, context_.Now()});
  }

  // As if that claim had never been made.
  void Retract(const RequestKey& key, const HostName& home, uint64_t claim) {
    const auto entries = claims_.find(key);
    if (entries == claims_.end()) {
      return;
    }
    std::erase_if(entries->second, [&](const Entry& entry) { return entry.home == home && entry.claim == claim; });
    if (entries->second.empty()) {
      claims_.erase(entries);
    }
  }

  // True: `home` may act on the request, as far as this host knows.
  bool Allows(const RequestKey& key, const HostName& home) const {
    const HostName claimant = ClaimantOf(key);
    return claimant.empty() || claimant == home;
  }

  // Who has claimed the request; empty if nobody did.
  HostName ClaimantOf(const RequestKey& key) const {
    const auto entries = claims_.find(key);
    return entries == claims_.end() ? HostName() : entries->second.back().home;
  }

  void OnTick() {
    std::erase_if(claims_, [&](const auto& entries) {
      return context_.Now() - entries.second.back().claimed_at > context_.settings.remember;
    });
  }

 private:
  struct Entry {
    HostName home;
    uint64_t claim = 0;
    TimePoint claimed_at;
  };

  const CoreContext& context_;
  std::map<RequestKey, std::vector<Entry>> claims_;  // Never empty; the last one counts.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
