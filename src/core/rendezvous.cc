#include "hibiscusstand/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hibiscus {

uint64_t RendezvousScore(std::string_view key, std::string_view candidate) {
  const uint64_t seed = XXH3_64bits(candidate.data(), candidate.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

std::string RendezvousPick(std::string_view key, const std::vector<std::string>& candidates) {
  const std::string* best = nullptr;
  uint64_t best_score = 0;
  for (const std::string& candidate : candidates) {
    const uint64_t score = RendezvousScore(key, candidate);
    if (best == nullptr || score > best_score || (score == best_score && candidate < *best)) {
      best = &candidate;
      best_score = score;
    }
  }
  return best == nullptr ? std::string() : *best;
}

}  // namespace hibiscus
