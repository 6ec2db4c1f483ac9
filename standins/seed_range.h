// Parses the seeds to run from text: "first..last" or a single number.
#ifndef HIBISCUSSTAND_STANDINS_SEED_RANGE_H_
#define HIBISCUSSTAND_STANDINS_SEED_RANGE_H_

#include <compare>
#include <cstdint>
#include <string>

namespace hibiscus {

struct SeedRange {
  uint64_t first = 1;
  uint64_t last = 1;  // Inclusive.

  friend auto operator<=>(const SeedRange&, const SeedRange&) = default;
};

// Throws std::invalid_argument if either part does not start with a number.
inline SeedRange ParseSeeds(const std::string& text) {
  const size_t dots = text.find("..");
  const uint64_t first = std::stoull(text.substr(0, dots));
  return SeedRange{first, dots == std::string::npos ? first : std::stoull(text.substr(dots + 2))};
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_SEED_RANGE_H_
