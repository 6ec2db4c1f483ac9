// How one of several candidates is chosen by its load. Strategies behind one interface, so that they can be compared.
#ifndef HIBISCUSSTAND_CHOICE_H_
#define HIBISCUSSTAND_CHOICE_H_

#include <cstddef>
#include <random>
#include <vector>

namespace hibiscus {

enum class ChoiceRule {
  kLeast,      // The least loaded; a draw is decided at random.
  kFirst,      // The first.
  kRandom,     // Any.
  kTwoRandom,  // The less loaded of two random ones.
};

class ChoiceStrategy {
 public:
  virtual ~ChoiceStrategy() = default;

  // The index of the chosen candidate. `loads` must not be empty; less is better.
  virtual size_t Pick(const std::vector<double>& loads, std::mt19937_64& random) const = 0;
};

// The strategy for a rule. It has no state and lives as long as the program.
const ChoiceStrategy& ChoiceFor(ChoiceRule rule);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_CHOICE_H_
