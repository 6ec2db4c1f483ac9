// Whether a job is taken, by when it would be finished. Pure functions.
//
// Load pattern: more work than the workers hold, for longer than jobs may wait. Without a limit every job is accepted
// and most end too late, and those that end in time are fewer than at a lower load.
#ifndef HIBISCUSSTAND_SRC_CELL_ADMISSION_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_ADMISSION_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// Work of accepted jobs that has not been started.
class WaitingWork {
 public:
  // `processor_time` in thousandths of a core times the declared run time.
  void Add(int priority, double processor_time) { by_priority_[priority] += processor_time; }
  void Clear() { by_priority_.clear(); }
  // What is placed before a new job of this priority, or beside it.
  double Before(int priority) const;

 private:
  std::map<int, double> by_priority_;  // 0 goes first. Thousandths of a core times microseconds.
};

// Work for a task of this size and declared run time, as WaitingWork counts it.
inline double ProcessorTime(int64_t cpu_millis, Duration takes) {
  return static_cast<double>(cpu_millis) * static_cast<double>(takes.count());
}

// What a new job asks for.
struct AdmissionRequest {
  int priority = 0;
  Duration chain{};      // Longest chain of declared run times.
  Duration objective{};  // From its acceptance to its end.

  friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

// None if the job may still end within its objective, as far as declared run times can tell; else the time after which
// it might, if nothing else came.
std::optional<Duration> RetryIfTooLate(const AdmissionRequest& request,
                                       const WaitingWork& waiting,
                                       int64_t capacity_cpu_millis);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADMISSION_POLICY_H_
