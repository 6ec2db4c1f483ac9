// Admission: predicts when a request would start, from the work that waits and the rate at which it is served, so that
// what cannot start in time is refused at once and the caller learns when to come back.
//
// Work is counted in seconds of the whole capacity's unit: a call is one slot for its run time, a task is its share of
// the scarcest resource for its run time. It matches the order of DeadlineQueue: a request waits for its tenant's fair
// share of its own class, for what other classes have with an earlier deadline, and for what they will send meanwhile.
#ifndef HIBISCUSSTAND_ADMISSION_H_
#define HIBISCUSSTAND_ADMISSION_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus {

// A request, as far as admission goes.
struct Demand {
  std::string class_name;
  std::string tenant;
  TimePoint start_by{};
  double cost = 0;  // Seconds of one unit of capacity.
};

class AdmissionControl {
 public:
  // Every request must be noted with Offered, and with Admitted if it starts or queues.
  void Offered(const Demand& demand, TimePoint now);
  void Admitted(const Demand& demand, TimePoint now);

  // What queues must also be noted with Queued, and with Dequeued once it started, expired or was cancelled.
  void Queued(const Demand& demand, TimePoint now);
  void Dequeued(const Demand& demand);

  // What a wait came to that was predicted once: corrects the predictions to come.
  void Learn(Duration predicted, Duration waited);

  // How long a new request would wait. `capacity` is in units: slots, or 1 for all workers together.
  Duration Wait(const Demand& demand, double capacity, TimePoint now) const;

  // True if it would start in time, with some room for error, and its class has not had more than its share: under
  // overload each class gets capacity in proportion to what it offers.
  bool Admits(const Demand& demand, double capacity, TimePoint now) const;

  // When a refused request had best come back: the queue will be short enough by then.
  Duration RetryAfter(const Demand& demand, double capacity, TimePoint now) const;

 private:
  static constexpr size_t kBuckets = 64;

  // Work a second, decayed.
  struct Rate {
    double value = 0;
    TimePoint at{};

    void Add(double work, TimePoint now);
    double At(TimePoint now) const;
  };

  struct Backlog {
    Duration target = 0us;                   // Longest time to start seen.
    double work = 0;                         // All that waits.
    std::map<std::string, double> tenants;   // Of each tenant.
    std::array<double, kBuckets> buckets{};  // By deadline; a ring.
    Duration width = 1ms;                    // Of a bucket.
    Rate offered;
    Rate admitted;
  };

  static size_t BucketOf(const Backlog& backlog, TimePoint start_by);
  static double Before(const Backlog& backlog, TimePoint deadline, TimePoint now);
  Duration Margin() const;
  bool ExceedsFairShare(const Demand& demand, double capacity, TimePoint now) const;

  std::map<std::string, Backlog> classes_;
  double correction_ = 1;  // Waits over predictions, decayed.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_ADMISSION_H_
