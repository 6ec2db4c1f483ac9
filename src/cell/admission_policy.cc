#include "cell/admission_policy.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

constexpr double kPacking = 0.8;             // Share of the processors that tasks of unlike sizes fill.
constexpr Duration kLeastRetryAfter = 1s;    // Callers are told whole seconds.
constexpr Duration kLongestRetryAfter = 5s;  // The backlog is not known further ahead: callers and workers change.

}  // namespace

double WaitingWork::Before(int priority) const {
  double sum = 0;
  for (const auto& [its_priority, work] : by_priority_) {
    sum += its_priority <= priority ? work : 0;
  }
  return sum;
}

std::optional<Duration> RetryIfTooLate(const AdmissionRequest& request,
                                       const WaitingWork& waiting,
                                       int64_t capacity_cpu_millis) {
  if (capacity_cpu_millis <= 0) {
    return std::nullopt;  // No worker is known yet: nothing can be foretold.
  }
  const double wait = waiting.Before(request.priority) / (kPacking * static_cast<double>(capacity_cpu_millis));
  const Duration end = Duration(static_cast<int64_t>(wait)) + request.chain;
  const Duration latest = request.objective * 3 / 2;  // Declared run times are off by up to half.
  if (end <= latest) {
    return std::nullopt;
  }
  return std::clamp<Duration>(end - latest, kLeastRetryAfter, kLongestRetryAfter);
}

}  // namespace hibiscus::cell
