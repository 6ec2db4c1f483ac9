// Admission control: predicts when a request would start from the queued work and the capacity, so that a request that
// cannot start in time is refused at once and the caller learns when to retry.
//
// Work is measured in seconds of one unit of capacity: a call takes one slot for its run time, a task takes its share
// of the scarcest resource for its run time. Predictions follow the order of DeadlineQueue: a request waits for its
// tenant's fair share of its own class, for queued work of other classes with an earlier deadline, and for such work
// that arrives during the wait.
#ifndef HIBISCUSSTAND_ADMISSION_H_
#define HIBISCUSSTAND_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

// The properties of a request that admission depends on.
struct Demand {
  std::string class_name;
  std::string tenant;
  TimePoint start_by{};
  double cost = 0;  // Seconds of one unit of capacity.
};

class AdmissionControl {
 public:
  // Call OnOffered for every request, and OnAdmitted if it starts or is queued.
  void OnOffered(const Demand& demand, TimePoint now);
  void OnAdmitted(const Demand& demand, TimePoint now);

  // Call OnQueued when a request is queued, and OnDequeued with the same demand when it starts, expires or is
  // cancelled.
  void OnQueued(const Demand& demand, TimePoint now);
  void OnDequeued(const Demand& demand);

  // Reports how long a queued request waited, beside its prediction. Corrects later predictions.
  void RecordWait(Duration predicted, Duration waited);

  // Returns how long a new request would wait, 24 h at most. `capacity` is in units: slots, or 1 for all workers
  // together.
  Duration PredictWait(const Demand& demand, double capacity, TimePoint now) const;

  // True if the request would start in time, with a safety margin, and its class has not exceeded its share. Under
  // overload each class gets capacity in proportion to the work it offers.
  bool Admits(const Demand& demand, double capacity, TimePoint now) const;

  // Returns after which time the queue should be short enough to admit a refused request: 50 ms to 30 s.
  Duration RetryAfter(const Demand& demand, double capacity, TimePoint now) const;

 private:
  static constexpr size_t kBuckets = 64;

  // Exponentially decaying average of work per second.
  struct Rate {
    double value = 0;
    TimePoint at{};

    void Add(double work, TimePoint now);
    double At(TimePoint now) const;
  };

  struct Backlog {
    Duration longest_target = 0us;           // The longest start target seen.
    double work = 0;                         // All queued work.
    std::map<std::string, double> tenants;   // Queued work by tenant.
    std::array<double, kBuckets> buckets{};  // Queued work by deadline; a ring buffer.
    Duration bucket_width = 1ms;             // Time span of one bucket.
    Rate offered;
    Rate admitted;
  };

  static size_t BucketOf(const Backlog& backlog, TimePoint start_by);
  static double WorkDueBefore(const Backlog& backlog, TimePoint deadline, TimePoint now);
  Duration SafetyMargin() const;
  bool ExceedsFairShare(const Demand& demand, double capacity, TimePoint now) const;

  std::map<std::string, Backlog> classes_;
  double correction_ = 1;  // Decaying mean of actual over predicted waits.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_ADMISSION_H_
