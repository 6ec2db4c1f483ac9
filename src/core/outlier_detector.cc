#include "hibiscusstand/outlier_detector.h"

#include <algorithm>
#include <vector>

namespace hibiscus {

namespace {

constexpr double kSampleWeight = 0.2;       // Weight of a new sample in the mean.
constexpr int kMinSamples = 5;              // Samples before a target is classified.
constexpr double kSlowThreshold = 2.2;      // Multiple of the median above which a target becomes slow.
constexpr double kRecoveryThreshold = 1.5;  // Multiple below which it recovers; the gap is hysteresis.
constexpr Duration kTrialInterval = 500ms;  // For each slow target.

}  // namespace

void OutlierDetector::Record(const std::string& target, double ratio) {
  Target& state = targets_[target];
  const double weight = std::max(kSampleWeight, 1.0 / (state.samples + 1));
  state.ratio += (ratio - state.ratio) * weight;
  ++state.samples;
}

void OutlierDetector::UpdateSlowTargets() {
  std::vector<double> ratios;
  for (const auto& [name, target] : targets_) {
    if (target.samples >= kMinSamples) {
      ratios.push_back(target.ratio);
    }
  }
  if (ratios.size() < 3) {
    return;  // Too few targets for a meaningful median.
  }
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  median_ = *middle;
  for (auto& [name, target] : targets_) {
    const double limit = median_ * (target.slow ? kRecoveryThreshold : kSlowThreshold);
    target.slow = target.samples >= kMinSamples && target.ratio > limit;
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
  found->second.next_trial = now + kTrialInterval;
  return true;
}

}  // namespace hibiscus
