// Rendezvous (highest random weight) hashing: assigns a key to one of several candidates. All hosts with the same
// candidates pick the same one, and when a candidate is removed only its own keys move.
#ifndef HIBISCUSSTAND_RENDEZVOUS_H_
#define HIBISCUSSTAND_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscus {

// Returns the score of a candidate for a key. The highest score wins.
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// Returns the candidate with the highest score, the alphabetically first on a tie; empty if there are no candidates.
std::string RendezvousPick(std::string_view key, const std::vector<std::string>& candidates);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_RENDEZVOUS_H_
