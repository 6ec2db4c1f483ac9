// The strategies that a host uses. They are not settings for operators, who state targets instead: benchmarks and tests
// switch them for comparison.
#ifndef HIBISCUSSTAND_POLICY_H_
#define HIBISCUSSTAND_POLICY_H_

#include "hibiscusstand/choice.h"
#include "hibiscusstand/deadline_queue.h"

namespace hibiscus {

struct Policy {
  QueueOrder queue = QueueOrder::kDeadline;
  bool admission = true;                   // False: any request may queue until its start target.
  ChoiceRule choice = ChoiceRule::kLeast;  // Among owners, and backend servers with a free slot.
  bool best_fit = true;                    // False: tasks go by `choice` to any worker they fit on.
  bool avoid_slow = true;                  // False: slow backend servers are used like any other.
  bool quarantine = true;                  // False: failing workers are used like any other.
  bool retry_budget = true;  // False: only each request's maximum of attempts bounds retries, and backoff is constant.

  friend bool operator==(const Policy&, const Policy&) = default;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_POLICY_H_
