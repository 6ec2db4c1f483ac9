#include "hibiscusstand/quarantine.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr double kBadFailureShare = 0.9;       // Assumed failure share of a bad target.
constexpr double kMinUsualFailureShare = 0.1;  // Lower bound of the usual share: one failure proves nothing.
constexpr double kRepeatedFailureShare = 0.7;  // Usual share assumed for a request that failed on other targets too.
constexpr double kPriorRuns = 4;               // Weight of the minimum usual share as a prior, in runs.
constexpr double kMaxCountedRuns = 60;         // Runs of a class on a target; beyond it both counts are halved.
constexpr double kQuarantineEvidence = 6;      // Three failures while other targets succeed.
constexpr double kMaxEvidence = 2 * kQuarantineEvidence;
constexpr double kUnreliableEvidence = 4;        // Two failures while other targets succeed.
constexpr size_t kQuarantineDivisor = 3;         // One in this many targets may be quarantined.
constexpr Duration kMaxProbeInterval = 60s;      // Upper bound of the doubling interval between probes.
constexpr Duration kProbeTimeout = 30s;          // After this a probe that has not ended is abandoned.
constexpr Duration kMaxTimeWithoutProbe = 5min;  // Then an unprobed target is released.
constexpr Duration kFailedRequestTtl = 2min;     // How long failed requests are remembered.
constexpr size_t kMaxFailedRequests = 10'000;    // Remembered failed requests; bounds memory.

}  // namespace

void Quarantine::RunCounts::Add(bool failure) {
  if (all >= kMaxCountedRuns) {
    all /= 2;
    failed /= 2;
  }
  all += 1;
  failed += failure ? 1 : 0;
}

// Returns the failure share of the class on all other targets. The target itself is excluded: a bad one that attracts
// most of the work would otherwise define what is usual.
double Quarantine::UsualFailureShare(const std::string& target, const std::string& class_name) const {
  RunCounts others{kPriorRuns, kPriorRuns * kMinUsualFailureShare};
  if (const auto of_class = run_counts_.find(class_name); of_class != run_counts_.end()) {
    for (const auto& [name, counts] : of_class->second) {
      others.all += name == target ? 0 : counts.all;
      others.failed += name == target ? 0 : counts.failed;
    }
  }
  return std::max(others.failed / others.all, kMinUsualFailureShare);
}

void Quarantine::RecordSuccess(const std::string& target, const std::string& class_name, TimePoint now) {
  run_counts_[class_name][target].Add(false);
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Target& state = found->second;
  state.probe_interval = std::max(kMinProbeInterval, state.probe_interval / 2);
  state.failures = 0;
  if (state.evidence == 0 && !IsQuarantined(target)) {
    return;
  }
  const double usual = std::min(UsualFailureShare(target, class_name), kBadFailureShare);
  state.evidence = std::max(0.0, state.evidence + std::log((1 - kBadFailureShare) / (1 - usual)));
  if (IsQuarantined(target)) {
    state.evidence = std::min(state.evidence, kQuarantineEvidence / 2);
    Release(target);
  }
  UpdateState(target, now);
}

void Quarantine::RecordFailure(const std::string& target,
                               const std::string& class_name,
                               const std::string& request,
                               TimePoint now) {
  ForgetOldRequests(now);
  const auto [entry, first] = requests_.try_emplace(request);
  FailedRequest& failed = entry->second;
  if (first) {
    failed.at = now;
    requests_by_age_.push_back(request);
  }
  if (failed.weights.contains(target)) {
    return;
  }
  run_counts_[class_name][target].Add(true);
  Target& state = targets_[target];
  const double min_weight = std::log(kBadFailureShare / kRepeatedFailureShare);
  const double share = UsualFailureShare(target, class_name);
  const double own_weight = std::max(0.0, std::log(kBadFailureShare / share));
  const double weight = failed.weights.empty() ? own_weight : std::min(own_weight, min_weight);
  for (auto& [other, other_weight] : failed.weights) {
    targets_[other].evidence = std::max(0.0, targets_[other].evidence - std::max(0.0, other_weight - min_weight));
    other_weight = std::min(other_weight, min_weight);
    UpdateState(other, now);
  }
  failed.weights[target] = weight;
  state.evidence = std::min(state.evidence + weight, kMaxEvidence);
  ++state.failures;
  if (IsQuarantined(target)) {
    state.probe_interval = std::min(state.probe_interval * 2, kMaxProbeInterval);
    state.next_probe = now + state.probe_interval;
  }
  UpdateState(target, now);
}

// Quarantines or releases the target according to its evidence.
void Quarantine::UpdateState(const std::string& target, TimePoint now) {
  Target& state = targets_[target];
  if (IsQuarantined(target) && state.evidence < kQuarantineEvidence / 2) {
    Release(target);
  } else if (!IsQuarantined(target) && state.evidence >= kQuarantineEvidence &&
             quarantined_.size() < MaxQuarantined()) {
    quarantined_.insert(target);
    state.quarantined_at = state.waiting_since = now;
    state.next_probe = now + state.probe_interval;
  }
  if (state.evidence > 0) {
    suspects_.insert(target);
  } else {
    suspects_.erase(target);
  }
}

void Quarantine::Release(const std::string& target) {
  quarantined_.erase(target);
}

size_t Quarantine::MaxQuarantined() const {
  return target_count_ < 2 ? 0 : std::max<size_t>(1, target_count_ / kQuarantineDivisor);
}

void Quarantine::SetTargetCount(size_t targets) {
  target_count_ = targets;
  while (quarantined_.size() > MaxQuarantined()) {
    const auto weakest = std::min_element(quarantined_.begin(), quarantined_.end(), [&](const auto& a, const auto& b) {
      return targets_.at(a).evidence < targets_.at(b).evidence;
    });
    Release(std::string(*weakest));
  }
}

void Quarantine::ReleaseUnprobed(TimePoint now) {
  for (const std::string& target : std::set<std::string>(quarantined_)) {
    Target& state = targets_.at(target);
    if (now - state.waiting_since >= kMaxTimeWithoutProbe) {
      state.evidence = std::min(state.evidence, kUnreliableEvidence);
      Release(target);
    }
  }
}

void Quarantine::Forget(const std::string& target) {
  targets_.erase(target);
  quarantined_.erase(target);
  suspects_.erase(target);
  for (auto& [name, counts_by_target] : run_counts_) {
    counts_by_target.erase(target);
  }
  for (auto& [request, failed] : requests_) {
    failed.weights.erase(target);
  }
}

bool Quarantine::TakeProbe(const std::string& target, TimePoint now) {
  if (!IsQuarantined(target)) {
    return false;
  }
  Target& state = targets_.at(target);
  if (now < state.next_probe) {
    return false;
  }
  state.waiting_since = now;
  state.next_probe = now + std::max(state.probe_interval, kProbeTimeout);
  return true;
}

bool Quarantine::IsUnreliable(const std::string& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.evidence >= kUnreliableEvidence;
}

std::vector<std::string> Quarantine::TargetsFailedOn(const std::string& request) const {
  std::vector<std::string> targets;
  if (const auto found = requests_.find(request); found != requests_.end()) {
    for (const auto& [target, weight] : found->second.weights) {
      targets.push_back(target);
    }
  }
  return targets;
}

QuarantineState Quarantine::StateOf(const std::string& target, TimePoint now) const {
  QuarantineState state;
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return state;
  }
  state.quarantined = IsQuarantined(target);
  state.failures = found->second.failures;
  if (state.quarantined) {
    state.quarantined_for = now - found->second.quarantined_at;
    state.probe_in = std::max(found->second.next_probe - now, Duration(0));
  }
  return state;
}

void Quarantine::ForgetOldRequests(TimePoint now) {
  while (!requests_by_age_.empty() && (requests_by_age_.size() >= kMaxFailedRequests ||
                                       now - requests_.at(requests_by_age_.front()).at >= kFailedRequestTtl)) {
    requests_.erase(requests_by_age_.front());
    requests_by_age_.pop_front();
  }
}

}  // namespace hibiscus
