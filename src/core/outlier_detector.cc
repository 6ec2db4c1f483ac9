#include "hibiscusstand/outlier_detector.h"

#include <algorithm>
#include <vector>

namespace hibiscus {

namespace {

constexpr double kWeight = 0.2;          // Of a new sample.
constexpr int kLeastSamples = 5;         // Before a target is judged.
constexpr double kSlowBeyond = 2.2;      // Times the median.
constexpr double kSoundBelow = 1.5;      // Times the median; between the two nothing changes.
constexpr Duration kTrialEvery = 500ms;  // For each slow target.

}  // namespace

void OutlierDetector::Record(const std::string& target, double ratio) {
  Target& of_target = targets_[target];
  const double weight = std::max(kWeight, 1.0 / (of_target.samples + 1));
  of_target.ratio += (ratio - of_target.ratio) * weight;
  ++of_target.samples;
}

void OutlierDetector::Judge() {
  std::vector<double> ratios;
  for (const auto& [name, target] : targets_) {
    if (target.samples >= kLeastSamples) {
      ratios.push_back(target.ratio);
    }
  }
  if (ratios.size() < 3) {
    return;  // Too few to tell who differs.
  }
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  median_ = *middle;
  for (auto& [name, target] : targets_) {
    const double limit = median_ * (target.slow ? kSoundBelow : kSlowBeyond);
    target.slow = target.samples >= kLeastSamples && target.ratio > limit;
  }
}

bool OutlierDetector::IsSlow(const std::string& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.slow;
}

double OutlierDetector::Slowness(const std::string& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 1 : found->second.ratio;
}

bool OutlierDetector::TakeTrial(const std::string& target, TimePoint now) {
  const auto found = targets_.find(target);
  if (found == targets_.end() || !found->second.slow || now < found->second.next_trial) {
    return false;
  }
  found->second.next_trial = now + kTrialEvery;
  return true;
}

}  // namespace hibiscus
