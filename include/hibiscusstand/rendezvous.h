// Rendezvous hashing: which of several candidates a key falls to. Every host that sees the same candidates picks the
// same one, and when a candidate goes only its own keys move.
#ifndef HIBISCUSSTAND_RENDEZVOUS_H_
#define HIBISCUSSTAND_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscus {

// The score of a candidate for a key; the highest wins.
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// The candidate with the highest score; empty if there is none.
std::string RendezvousPick(std::string_view key, const std::vector<std::string>& candidates);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_RENDEZVOUS_H_
