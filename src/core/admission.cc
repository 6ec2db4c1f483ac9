#include "hibiscusstand/admission.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr double kMargin = 0.15;        // Room for error, as a share of the shortest start target.
constexpr double kRateMemory = 4.0;     // Seconds over which work is averaged.
constexpr double kSharedBeyond = 0.5;   // Of the longest wait: a shorter queue takes a burst of any class.
constexpr double kOverShare = 1.05;     // A class may have this many times its share, so that no capacity is left over.
constexpr int kRefinements = 3;         // Steps of the estimate of what comes meanwhile.
constexpr double kForgotten = 1e-9;     // Work below this is rounding.
constexpr Duration kLeastRetry = 50ms;  // Bounds of RetryAfter.
constexpr Duration kMostRetry = 30s;
constexpr Duration kMostWait = 24h;        // Predictions beyond it mean nothing.
constexpr Duration kLeastLearned = 100ms;  // Predictions below it are not learned from.
constexpr double kLearnWeight = 0.02;      // Of one wait in the correction.
constexpr double kLeastCorrection = 1;
constexpr double kMostCorrection = 3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

void AdmissionControl::Queued(const Demand& demand, TimePoint now) {
  Backlog& backlog = classes_[demand.class_name];
  if (backlog.target == 0us) {  // The first of its class.
    backlog.width = std::max(Duration(1ms), (demand.start_by - now) / 32);
  }
  backlog.target = std::max(backlog.target, demand.start_by - now);
  backlog.work += demand.cost;
  backlog.tenants[demand.tenant] += demand.cost;
  backlog.buckets[BucketOf(backlog, demand.start_by)] += demand.cost;
}

void AdmissionControl::Offered(const Demand& demand, TimePoint now) {
  classes_[demand.class_name].offered.Add(demand.cost, now);
}

void AdmissionControl::Admitted(const Demand& demand, TimePoint now) {
  classes_[demand.class_name].admitted.Add(demand.cost, now);
}

void AdmissionControl::Dequeued(const Demand& demand) {
  const auto found = classes_.find(demand.class_name);
  if (found == classes_.end()) {
    return;
  }
  Backlog& backlog = found->second;
  const auto take = [&](double& from) { from = std::max(0.0, from - demand.cost); };
  take(backlog.work);
  take(backlog.buckets[BucketOf(backlog, demand.start_by)]);
  const auto tenant = backlog.tenants.find(demand.tenant);
  if (tenant == backlog.tenants.end()) {
    return;  // What waited had no known cost.
  }
  take(tenant->second);
  if (tenant->second < kForgotten) {
    backlog.tenants.erase(tenant);
  }
}

Duration AdmissionControl::Wait(const Demand& demand, double capacity, TimePoint now) const {
  if (capacity <= 0) {
    return kMostWait;
  }
  double ahead = 0;
  const auto own = classes_.find(demand.class_name);
  if (own != classes_.end()) {
    const auto mine = own->second.tenants.find(demand.tenant);
    const double share = (mine == own->second.tenants.end() ? 0 : mine->second) + demand.cost;
    for (const auto& [tenant, work] : own->second.tenants) {
      ahead += tenant == demand.tenant ? work : std::min(work, share);
    }
  }
  for (const auto& [name, backlog] : classes_) {
    ahead += name == demand.class_name ? 0 : Before(backlog, demand.start_by, now);
  }
  double wait = ahead / capacity;
  for (int i = 0; i < kRefinements; ++i) {
    double meanwhile = 0;
    for (const auto& [name, backlog] : classes_) {
      const double lead = Seconds(demand.start_by - now - backlog.target);
      const bool overtakes = name != demand.class_name && lead > 0 && backlog.work > kForgotten;
      meanwhile += overtakes ? backlog.admitted.At(now) * std::min(lead, wait) : 0;
    }
    wait = (ahead + meanwhile) / capacity;
  }
  return FromSeconds(std::min(wait * correction_, Seconds(kMostWait)));
}

// Short waits say little, and both are known only roughly.
void AdmissionControl::Learn(Duration predicted, Duration waited) {
  if (predicted < kLeastLearned) {
    return;
  }
  const double ratio = std::clamp(Seconds(waited) / Seconds(predicted), 0.2, 5.0);
  correction_ = std::clamp(correction_ * std::pow(ratio, kLearnWeight), kLeastCorrection, kMostCorrection);
}

bool AdmissionControl::Admits(const Demand& demand, double capacity, TimePoint now) const {
  const Duration wait = Wait(demand, capacity, now);
  const Duration most = demand.start_by - now - Margin();
  const bool short_queue = wait <= FromSeconds(Seconds(most) * kSharedBeyond);
  return wait <= most && (short_queue || !ExceedsFairShare(demand, capacity, now));
}

Duration AdmissionControl::RetryAfter(const Demand& demand, double capacity, TimePoint now) const {
  const Duration over = Wait(demand, capacity, now) + Margin() - (demand.start_by - now);
  return std::clamp(over, kLeastRetry, kMostRetry);
}

// The same for all classes: else those with longer targets would be refused first.
Duration AdmissionControl::Margin() const {
  Duration shortest = Duration::max();
  for (const auto& [name, backlog] : classes_) {
    shortest = backlog.target > 0us ? std::min(shortest, backlog.target) : shortest;
  }
  return shortest == Duration::max() ? 0us : FromSeconds(Seconds(shortest) * kMargin);
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
  return own->second.admitted.At(now) > kOverShare * own->second.offered.At(now) * capacity / offered;
}

void AdmissionControl::Rate::Add(double work, TimePoint now) {
  value = At(now) + work / kRateMemory;
  at = now;
}

double AdmissionControl::Rate::At(TimePoint now) const {
  return value * std::exp(-Seconds(now - at) / kRateMemory);
}

size_t AdmissionControl::BucketOf(const Backlog& backlog, TimePoint start_by) {
  return static_cast<size_t>(start_by.time_since_epoch() / backlog.width) % kBuckets;
}

// Work whose deadline comes before another one's.
double AdmissionControl::Before(const Backlog& backlog, TimePoint deadline, TimePoint now) {
  if (backlog.work < kForgotten || deadline >= now + backlog.target) {
    return backlog.work;
  }
  double sum = 0;
  const int64_t last = deadline.time_since_epoch() / backlog.width;
  for (int64_t bucket = now.time_since_epoch() / backlog.width; bucket <= last; ++bucket) {
    sum += backlog.buckets[static_cast<size_t>(bucket) % kBuckets];
  }
  return sum;
}

}  // namespace hibiscus
