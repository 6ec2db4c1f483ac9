// Load balancing: chooses one of several candidates by load. The strategies share one interface so that they can be
// compared.
#ifndef HIBISCUSSTAND_CHOICE_H_
#define HIBISCUSSTAND_CHOICE_H_

#include <cstddef>
#include <random>
#include <vector>

namespace hibiscus {

enum class ChoiceRule {
  kLeast,      // The least loaded; ties are broken at random.
  kFirst,      // The first.
  kRandom,     // A random one.
  kTwoRandom,  // The less loaded of two random ones (power of two choices).
};

class ChoiceStrategy {
 public:
  virtual ~ChoiceStrategy() = default;

  // Returns the index of the chosen candidate. `loads` must not be empty; lower is better.
  virtual size_t Pick(const std::vector<double>& loads, std::mt19937_64& random) const = 0;
};

// Returns the strategy for a rule: stateless, with static lifetime.
const ChoiceStrategy& ChoiceFor(ChoiceRule rule);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_CHOICE_H_
