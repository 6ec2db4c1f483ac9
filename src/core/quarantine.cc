#include "hibiscusstand/quarantine.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr double kBadShare = 0.9;             // Failure share of a bad target.
constexpr double kLeastUsualShare = 0.1;      // What counts as usual at least: one failure proves nothing.
constexpr double kSuspectRequestShare = 0.7;  // Usual for a request that has failed elsewhere.
constexpr double kPriorEnds = 4;              // Ends that the least usual share is worth while little is known.
constexpr double kMostEnds = 60;              // Ends of one class on one target, before both counts are halved.
constexpr double kEnough = 6;                 // Evidence that quarantines: three failures beside sound targets.
constexpr double kMostEvidence = 2 * kEnough;
constexpr double kSuspicion = 4;          // Evidence of a suspect: two failures beside sound targets.
constexpr size_t kOneOf = 3;              // Of so many targets one may be quarantined.
constexpr Duration kLongestPause = 60s;   // Between probes.
constexpr Duration kProbePatience = 30s;  // A probe without an end is given up.
constexpr Duration kUnprobed = 5min;      // Then a target for which no probe came along is tried as any other.
constexpr Duration kRequestAge = 2min;    // For which failed requests are remembered.
constexpr size_t kMostRequests = 10'000;  // Failed requests that are remembered.

}  // namespace

void Quarantine::Ends::Add(bool failure) {
  if (all >= kMostEnds) {
    all /= 2;
    failed /= 2;
  }
  all += 1;
  failed += failure ? 1 : 0;
}

// At the other targets: a bad one that draws most of the work must not pass for usual.
double Quarantine::UsualShare(const std::string& target, const std::string& class_name) const {
  Ends others{kPriorEnds, kPriorEnds * kLeastUsualShare};
  if (const auto of_class = ends_.find(class_name); of_class != ends_.end()) {
    for (const auto& [name, ends] : of_class->second) {
      others.all += name == target ? 0 : ends.all;
      others.failed += name == target ? 0 : ends.failed;
    }
  }
  return std::max(others.failed / others.all, kLeastUsualShare);
}

void Quarantine::RecordSuccess(const std::string& target, const std::string& class_name, TimePoint now) {
  ends_[class_name][target].Add(false);
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Target& of_target = found->second;
  of_target.pause = std::max(kFirstPause, of_target.pause / 2);
  of_target.failures = 0;
  if (of_target.evidence == 0 && !IsQuarantined(target)) {
    return;
  }
  const double usual = std::min(UsualShare(target, class_name), kBadShare);
  of_target.evidence = std::max(0.0, of_target.evidence + std::log((1 - kBadShare) / (1 - usual)));
  if (IsQuarantined(target)) {
    of_target.evidence = std::min(of_target.evidence, kEnough / 2);
    Release(target);
  }
  UpdateState(target, now);
}

void Quarantine::Failed(const std::string& target,
                        const std::string& class_name,
                        const std::string& request,
                        TimePoint now) {
  ForgetOldRequests(now);
  const auto [entry, first] = requests_.try_emplace(request);
  FailedRequest& failed = entry->second;
  if (first) {
    failed.at = now;
    by_age_.push_back(request);
  }
  if (failed.counted.contains(target)) {
    return;
  }
  ends_[class_name][target].Add(true);
  Target& of_target = targets_[target];
  const double least = std::log(kBadShare / kSuspectRequestShare);
  const double share = UsualShare(target, class_name);
  const double alone = std::max(0.0, std::log(kBadShare / share));
  const double counts = failed.counted.empty() ? alone : std::min(alone, least);
  for (auto& [other, counted] : failed.counted) {
    targets_[other].evidence = std::max(0.0, targets_[other].evidence - std::max(0.0, counted - least));
    counted = std::min(counted, least);
    UpdateState(other, now);
  }
  failed.counted[target] = counts;
  of_target.evidence = std::min(of_target.evidence + counts, kMostEvidence);
  ++of_target.failures;
  if (IsQuarantined(target)) {
    of_target.pause = std::min(of_target.pause * 2, kLongestPause);
    of_target.next_probe = now + of_target.pause;
  }
  UpdateState(target, now);
}

// Quarantines or lets go, by the evidence.
void Quarantine::UpdateState(const std::string& target, TimePoint now) {
  Target& of_target = targets_[target];
  if (IsQuarantined(target) && of_target.evidence < kEnough / 2) {
    Release(target);
  } else if (!IsQuarantined(target) && of_target.evidence >= kEnough && quarantined_.size() < Most()) {
    quarantined_.insert(target);
    of_target.entered = of_target.since = now;
    of_target.next_probe = now + of_target.pause;
  }
  if (of_target.evidence > 0) {
    suspects_.insert(target);
  } else {
    suspects_.erase(target);
  }
}

void Quarantine::Release(const std::string& target) {
  quarantined_.erase(target);
}

size_t Quarantine::Most() const {
  return size_ < 2 ? 0 : std::max<size_t>(1, size_ / kOneOf);
}

void Quarantine::SetTargetCount(size_t targets) {
  size_ = targets;
  while (quarantined_.size() > Most()) {
    const auto least = std::min_element(quarantined_.begin(), quarantined_.end(), [&](const auto& a, const auto& b) {
      return targets_.at(a).evidence < targets_.at(b).evidence;
    });
    Release(std::string(*least));
  }
}

void Quarantine::Judge(TimePoint now) {
  for (const std::string& target : std::set<std::string>(quarantined_)) {
    Target& of_target = targets_.at(target);
    if (now - of_target.since >= kUnprobed) {
      of_target.evidence = std::min(of_target.evidence, kSuspicion);
      Release(target);
    }
  }
}

void Quarantine::Forget(const std::string& target) {
  targets_.erase(target);
  quarantined_.erase(target);
  suspects_.erase(target);
  for (auto& [name, ends] : ends_) {
    ends.erase(target);
  }
  for (auto& [request, failed] : requests_) {
    failed.counted.erase(target);
  }
}

bool Quarantine::TakeProbe(const std::string& target, TimePoint now) {
  if (!IsQuarantined(target)) {
    return false;
  }
  Target& of_target = targets_.at(target);
  if (now < of_target.next_probe) {
    return false;
  }
  of_target.since = now;
  of_target.next_probe = now + std::max(of_target.pause, kProbePatience);
  return true;
}

bool Quarantine::IsUnreliable(const std::string& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.evidence >= kSuspicion;
}

std::vector<std::string> Quarantine::TargetsFailedOn(const std::string& request) const {
  std::vector<std::string> targets;
  if (const auto found = requests_.find(request); found != requests_.end()) {
    for (const auto& [target, counted] : found->second.counted) {
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
    state.quarantined_for = now - found->second.entered;
    state.probe_in = std::max(found->second.next_probe - now, Duration(0));
  }
  return state;
}

void Quarantine::ForgetOldRequests(TimePoint now) {
  while (!by_age_.empty() &&
         (by_age_.size() >= kMostRequests || now - requests_.at(by_age_.front()).at >= kRequestAge)) {
    requests_.erase(by_age_.front());
    by_age_.pop_front();
  }
}

}  // namespace hibiscus
