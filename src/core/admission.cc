#include "hibiscusstand/admission.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr double kMarginShare = 0.15;             // Safety margin, as a share of the shortest start target.
constexpr double kRateTimeConstantSeconds = 4.0;  // Of the decaying averages of offered and admitted work.
constexpr double kFairShareThreshold = 0.5;       // Share of the longest allowed wait below which any class may burst.
constexpr double kFairShareTolerance = 1.05;  // Multiple of its share a class may use, so that no capacity stays idle.
constexpr int kWaitIterations = 3;            // Of the estimate of work that arrives during the wait.
constexpr double kWorkEpsilon = 1e-9;         // Work below this is a rounding error.
constexpr Duration kMinRetryAfter = 50ms;     // Lower bound of RetryAfter.
constexpr Duration kMaxRetryAfter = 30s;      // Upper bound of RetryAfter.
constexpr Duration kMaxPredictedWait = 24h;   // Longer predictions are meaningless.
constexpr Duration kMinCalibrationWait = 100ms;  // Shorter predictions don't update the correction.
constexpr double kCalibrationWeight = 0.02;      // Weight of one wait in the correction.
constexpr double kMinCorrection = 1;
constexpr double kMaxCorrection = 3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

void AdmissionControl::OnQueued(const Demand& demand, TimePoint now) {
  Backlog& backlog = classes_[demand.class_name];
  if (backlog.longest_target == 0us) {  // The first request of its class.
    backlog.bucket_width = std::max(Duration(1ms), (demand.start_by - now) / 32);
  }
  backlog.longest_target = std::max(backlog.longest_target, demand.start_by - now);
  backlog.work += demand.cost;
  backlog.tenants[demand.tenant] += demand.cost;
  backlog.buckets[BucketOf(backlog, demand.start_by)] += demand.cost;
}

void AdmissionControl::OnOffered(const Demand& demand, TimePoint now) {
  classes_[demand.class_name].offered.Add(demand.cost, now);
}

void AdmissionControl::OnAdmitted(const Demand& demand, TimePoint now) {
  classes_[demand.class_name].admitted.Add(demand.cost, now);
}

void AdmissionControl::OnDequeued(const Demand& demand) {
  const auto found = classes_.find(demand.class_name);
  if (found == classes_.end()) {
    return;
  }
  Backlog& backlog = found->second;
  const auto subtract = [&](double& from) { from = std::max(0.0, from - demand.cost); };
  subtract(backlog.work);
  subtract(backlog.buckets[BucketOf(backlog, demand.start_by)]);
  const auto tenant = backlog.tenants.find(demand.tenant);
  if (tenant == backlog.tenants.end()) {
    return;  // The queued work had no known cost.
  }
  subtract(tenant->second);
  if (tenant->second < kWorkEpsilon) {
    backlog.tenants.erase(tenant);
  }
}

Duration AdmissionControl::PredictWait(const Demand& demand, double capacity, TimePoint now) const {
  if (capacity <= 0) {
    return kMaxPredictedWait;
  }
  double ahead = 0;
  const auto own = classes_.find(demand.class_name);
  if (own != classes_.end()) {
    const auto own_tenant = own->second.tenants.find(demand.tenant);
    const double share = (own_tenant == own->second.tenants.end() ? 0 : own_tenant->second) + demand.cost;
    for (const auto& [tenant, work] : own->second.tenants) {
      ahead += tenant == demand.tenant ? work : std::min(work, share);
    }
  }
  for (const auto& [name, backlog] : classes_) {
    ahead += name == demand.class_name ? 0 : WorkDueBefore(backlog, demand.start_by, now);
  }
  double wait = ahead / capacity;
  for (int i = 0; i < kWaitIterations; ++i) {
    double arriving = 0;
    for (const auto& [name, backlog] : classes_) {
      const double lead = Seconds(demand.start_by - now - backlog.longest_target);
      const bool overtakes = name != demand.class_name && lead > 0 && backlog.work > kWorkEpsilon;
      arriving += overtakes ? backlog.admitted.At(now) * std::min(lead, wait) : 0;
    }
    wait = (ahead + arriving) / capacity;
  }
  return FromSeconds(std::min(wait * correction_, Seconds(kMaxPredictedWait)));
}

// Short waits carry little information, and both values are rough, so each ratio is clamped and weighted lightly.
void AdmissionControl::RecordWait(Duration predicted, Duration waited) {
  if (predicted < kMinCalibrationWait) {
    return;
  }
  const double ratio = std::clamp(Seconds(waited) / Seconds(predicted), 0.2, 5.0);
  correction_ = std::clamp(correction_ * std::pow(ratio, kCalibrationWeight), kMinCorrection, kMaxCorrection);
}

bool AdmissionControl::Admits(const Demand& demand, double capacity, TimePoint now) const {
  const Duration wait = PredictWait(demand, capacity, now);
  const Duration max_wait = demand.start_by - now - SafetyMargin();
  const bool short_queue = wait <= FromSeconds(Seconds(max_wait) * kFairShareThreshold);
  return wait <= max_wait && (short_queue || !ExceedsFairShare(demand, capacity, now));
}

Duration AdmissionControl::RetryAfter(const Demand& demand, double capacity, TimePoint now) const {
  const Duration over = PredictWait(demand, capacity, now) + SafetyMargin() - (demand.start_by - now);
  return std::clamp(over, kMinRetryAfter, kMaxRetryAfter);
}

// The margin is the same for all classes; otherwise classes with longer targets would be refused first.
Duration AdmissionControl::SafetyMargin() const {
  Duration shortest = Duration::max();
  for (const auto& [name, backlog] : classes_) {
    shortest = backlog.longest_target > 0us ? std::min(shortest, backlog.longest_target) : shortest;
  }
  return shortest == Duration::max() ? 0us : FromSeconds(Seconds(shortest) * kMarginShare);
}

bool AdmissionControl::ExceedsFairShare(const Demand& demand, double capacity, TimePoint now) const {
  double offered = 0;
  for (const auto& [name, backlog] : classes_) {
    offered += backlog.offered.At(now);
  }
  const auto own = classes_.find(demand.class_name);
  if (offered <= capacity || own == classes_.end()) {
    return false;
  }
  return own->second.admitted.At(now) > kFairShareTolerance * own->second.offered.At(now) * capacity / offered;
}

void AdmissionControl::Rate::Add(double work, TimePoint now) {
  value = At(now) + work / kRateTimeConstantSeconds;
  at = now;
}

double AdmissionControl::Rate::At(TimePoint now) const {
  return value * std::exp(-Seconds(now - at) / kRateTimeConstantSeconds);
}

size_t AdmissionControl::BucketOf(const Backlog& backlog, TimePoint start_by) {
  return static_cast<size_t>(start_by.time_since_epoch() / backlog.bucket_width) % kBuckets;
}

// Returns the queued work of a class that is due before `deadline`.
double AdmissionControl::WorkDueBefore(const Backlog& backlog, TimePoint deadline, TimePoint now) {
  if (backlog.work < kWorkEpsilon || deadline >= now + backlog.longest_target) {
    return backlog.work;
  }
  double sum = 0;
  const int64_t last = deadline.time_since_epoch() / backlog.bucket_width;
  for (int64_t bucket = now.time_since_epoch() / backlog.bucket_width; bucket <= last; ++bucket) {
    sum += backlog.buckets[static_cast<size_t>(bucket) % kBuckets];
  }
  return sum;
}

}  // namespace hibiscus
