// Which strategies a host decides with. Operators never see these: they state targets. Benches and tests swap them.
#ifndef HIBISCUSSTAND_POLICY_H_
#define HIBISCUSSTAND_POLICY_H_

#include "hibiscusstand/choice.h"
#include "hibiscusstand/deadline_queue.h"

namespace hibiscus {

struct Policy {
  QueueOrder queue = QueueOrder::kDeadline;
  bool admission = true;                   // False: whatever comes may queue until its target.
  ChoiceRule choice = ChoiceRule::kLeast;  // Of owners, and of backend servers with a free slot.
  bool best_fit = true;                    // False: tasks go by `choice` to any worker with room.
  bool avoid_slow = true;                  // False: slow backend servers are used like any other.
  bool quarantine = true;                  // False: workers that fail what others run are used like any other.
  bool retry_budget = true;                // False: a request's most tries alone bound retries; no growing pauses.

  friend bool operator==(const Policy&, const Policy&) = default;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_POLICY_H_
