// hibiscusstand: coordination parts to embed. This header is the tour: include it, link the library `hibiscus`, and
// read examples/tour.cc, which uses every part.
//
// The parts do no I/O, start no thread and keep no hidden state: you hold the objects, you pass the time in. They are
// not synchronised: use each from one thread.
//
// Index:
//   1. Time        clock.h             Clock, ManualClock: every part takes the time as an argument
//   2. Values      types.h, result.h   requests, classes, sizes, answers; numbered result codes and verdicts
//   3. Ownership   rendezvous.h        who owns a key, agreed without a message; only a lost owner's keys move
//   4. Leases      lease.h             one holder at a time by both sides' clocks, with fencing tokens
//   5. Queue       deadline_queue.h    earliest deadline first, fair between tenants, expiry at its moment
//   6. Admission   admission.h         refuse at once what cannot start in time, and say when to come back
//   7. Choice      choice.h            pick by load: least, random, two random
//   8. Outliers    outlier_detector.h  notice slow targets, try them now and then
//   9. Quarantine  quarantine.h        keep off targets that fail what others run, probe them, release them
//  10. Placement   placement.h         an index of rooms: tightest fit, or spread over racks
//  11. Retries     retry_budget.h      bound retries to a share of first tries
//  12. Policy      policy.h            which of the strategies above a host uses
#ifndef HIBISCUSSTAND_HIBISCUSSTAND_H_
#define HIBISCUSSTAND_HIBISCUSSTAND_H_

#include "hibiscusstand/admission.h"         // IWYU pragma: export
#include "hibiscusstand/choice.h"            // IWYU pragma: export
#include "hibiscusstand/clock.h"             // IWYU pragma: export
#include "hibiscusstand/deadline_queue.h"    // IWYU pragma: export
#include "hibiscusstand/lease.h"             // IWYU pragma: export
#include "hibiscusstand/outlier_detector.h"  // IWYU pragma: export
#include "hibiscusstand/placement.h"         // IWYU pragma: export
#include "hibiscusstand/policy.h"            // IWYU pragma: export
#include "hibiscusstand/quarantine.h"        // IWYU pragma: export
#include "hibiscusstand/rendezvous.h"        // IWYU pragma: export
#include "hibiscusstand/result.h"            // IWYU pragma: export
#include "hibiscusstand/retry_budget.h"      // IWYU pragma: export
#include "hibiscusstand/types.h"             // IWYU pragma: export

#endif  // HIBISCUSSTAND_HIBISCUSSTAND_H_
