// hibiscusstand: embeddable components for distributed coordination. This header includes all of them; link the library
// `hibiscus`. examples/tour.cc shows how to use each component.
//
// The components do no I/O, start no threads and have no global state: the application owns the objects and passes the
// current time as an argument. They are not thread-safe: use each object from a single thread.
//
// Index:
//   1. Time        clock.h             Clock, ManualClock: every component takes the time as an argument
//   2. Values      types.h, result.h   requests, classes, sizes, answers; numbered result codes and verdicts
//   3. Ownership   rendezvous.h        owner of a key, without communication; only the keys of a lost owner move
//   4. Leases      lease.h             one holder at a time, safe under clock drift, with fencing tokens
//   5. Queue       deadline_queue.h    earliest deadline first, fair between tenants, entries expire
//   6. Admission   admission.h         refuses at once requests that cannot start in time, with a retry time
//   7. Choice      choice.h            selects by load: least loaded, random, better of two random choices
//   8. Outliers    outlier_detector.h  detects slow targets and probes them occasionally
//   9. Quarantine  quarantine.h        excludes targets that fail work that others complete; probes and releases them
//  10. Placement   placement.h         index of free capacity: best fit, or spread over racks
//  11. Retries     retry_budget.h      limits retries to a share of first attempts
//  12. Policy      policy.h            selects which of these strategies a host uses
//  13. Connections connection_budget.h bounds the connections to each address; calls above the bound wait in order
#ifndef HIBISCUSSTAND_HIBISCUSSTAND_H_
#define HIBISCUSSTAND_HIBISCUSSTAND_H_

#include "hibiscusstand/admission.h"          // IWYU pragma: export
#include "hibiscusstand/choice.h"             // IWYU pragma: export
#include "hibiscusstand/clock.h"              // IWYU pragma: export
#include "hibiscusstand/connection_budget.h"  // IWYU pragma: export
#include "hibiscusstand/deadline_queue.h"     // IWYU pragma: export
#include "hibiscusstand/lease.h"              // IWYU pragma: export
#include "hibiscusstand/outlier_detector.h"   // IWYU pragma: export
#include "hibiscusstand/placement.h"          // IWYU pragma: export
#include "hibiscusstand/policy.h"             // IWYU pragma: export
#include "hibiscusstand/quarantine.h"         // IWYU pragma: export
#include "hibiscusstand/rendezvous.h"         // IWYU pragma: export
#include "hibiscusstand/result.h"             // IWYU pragma: export
#include "hibiscusstand/retry_budget.h"       // IWYU pragma: export
#include "hibiscusstand/types.h"              // IWYU pragma: export

#endif  // HIBISCUSSTAND_HIBISCUSSTAND_H_
