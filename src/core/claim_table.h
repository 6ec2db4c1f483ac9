// Records which home host has claimed a request that may have an earlier attempt. A claim fences all other home hosts
// at the hosts that answered it: these refuse to reserve for or start that request on behalf of any other home host.
#ifndef HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
#define HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_

#include <algorithm>
#include <map>
#include <vector>

#include "core/context.h"

namespace hibiscus {

using ClaimAnswers = std::map<HostName, ClaimAnswer>;  // The last answer of each host.

// True if every reachable host has confirmed under this host's view and holds the leases of all of its workers.
inline bool AllHostsConfirmed(const CoreContext& context, const ClaimAnswers& answers) {
  return std::all_of(context.reachable.begin(), context.reachable.end(), [&](const HostName& host) {
    const auto answer = answers.find(host);
    return answer != answers.end() && answer->second.view == context.view && answer->second.covered;
  });
}

// True if some host has a run of the request on its workers.
inline bool HasRuns(const ClaimAnswers& answers) {
  return std::any_of(answers.begin(), answers.end(), [](const auto& entry) { return !entry.second.runs.empty(); });
}

class ClaimTable {
 public:
  explicit ClaimTable(const CoreContext& context) : context_(context) {}

  // Adds a claim, which takes precedence over all earlier ones.
  void Put(const RequestKey& key, const HostName& home, uint64_t claim) {
    std::vector<Entry>& entries = claims_[key];
    std::erase_if(entries, [&](const Entry& entry) { return entry.home == home; });
    entries.push_back(Entry{home, claim, context_.Now()});
  }

  // Removes a claim as if it had never been made.
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

  // True if `home` may act on the request, as far as this host knows.
  bool Allows(const RequestKey& key, const HostName& home) const {
    const HostName claimant = ClaimantOf(key);
    return claimant.empty() || claimant == home;
  }

  // The host that has claimed the request; empty if none has.
  HostName ClaimantOf(const RequestKey& key) const {
    const auto entries = claims_.find(key);
    return entries == claims_.end() ? HostName() : entries->second.back().home;
  }

  void OnTick() {
    std::erase_if(claims_, [&](const auto& entries) {
      return context_.Now() - entries.second.back().claimed_at > context_.settings.result_retention;
    });
  }

 private:
  struct Entry {
    HostName home;
    uint64_t claim = 0;
    TimePoint claimed_at;
  };

  const CoreContext& context_;
  std::map<RequestKey, std::vector<Entry>> claims_;  // Vectors are never empty; the last entry is in force.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CLAIM_TABLE_H_
