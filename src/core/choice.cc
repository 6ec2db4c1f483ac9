#include "hibiscusstand/choice.h"

namespace hibiscus {

namespace {

class LeastLoaded final : public ChoiceStrategy {
 public:
  size_t Pick(const std::vector<double>& loads, std::mt19937_64& random) const override {
    size_t best = 0;
    size_t ties = 1;
    for (size_t i = 1; i < loads.size(); ++i) {
      ties = loads[i] < loads[best] ? 1 : ties + (loads[i] == loads[best] ? 1 : 0);
      const bool replaces = loads[i] == loads[best] && random() % ties == 0;
      best = loads[i] < loads[best] || replaces ? i : best;
    }
    return best;
  }
};

class FirstChoice final : public ChoiceStrategy {
 public:
  size_t Pick(const std::vector<double>&, std::mt19937_64&) const override { return 0; }
};

class RandomChoice final : public ChoiceStrategy {
 public:
  size_t Pick(const std::vector<double>& loads, std::mt19937_64& random) const override {
    return random() % loads.size();
  }
};

class TwoChoices final : public ChoiceStrategy {
 public:
  size_t Pick(const std::vector<double>& loads, std::mt19937_64& random) const override {
    const size_t a = random() % loads.size();
    const size_t b = random() % loads.size();
    return loads[b] < loads[a] ? b : a;
  }
};

}  // namespace

const ChoiceStrategy& ChoiceFor(ChoiceRule rule) {
  static const LeastLoaded kLeast;
  static const FirstChoice kFirst;
  static const RandomChoice kRandom;
  static const TwoChoices kTwo;
  switch (rule) {
    case ChoiceRule::kFirst:
      return kFirst;
    case ChoiceRule::kRandom:
      return kRandom;
    case ChoiceRule::kTwoRandom:
      return kTwo;
    case ChoiceRule::kLeast:
      break;
  }
  return kLeast;
}

}  // namespace hibiscus
