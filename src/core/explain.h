// A host's view of a request or worker, for operators: its home host or owner, its state and what it waits for.
#ifndef HIBISCUSSTAND_SRC_CORE_EXPLAIN_H_
#define HIBISCUSSTAND_SRC_CORE_EXPLAIN_H_

#include <map>
#include <string>
#include <vector>

#include "core/home_role.h"
#include "core/messages.h"
#include "hibiscusstand/quarantine.h"

namespace hibiscus {

struct MemberExplanation {
  MemberPhase phase = MemberPhase::kIdle;
  Duration since = 0us;  // Time spent in this phase.
  HostName owner;        // The owner that was asked last.
  WorkerName worker;
  std::map<HostName, ResultCode> refused_by;
  int failed_on = 0;  // Number of workers on which it failed.
};

struct RequestExplanation {
  RequestKey key;
  HostName host;       // The host that reports.
  HostName home;       // The request's home host in this host's view.
  bool known = false;  // False: this host does not have the request, and the fields below are unset.
  JobPhase phase = JobPhase::kActive;
  ResultCode code = ResultCode::kOk;  // Once ended.
  Duration accepted_ago = 0us;
  Duration start_left = 0us;   // Until the start target; negative if it has passed.
  Duration finish_left = 0us;  // Until the finish target.
  int runs = 0;                // Runs attempted.
  std::vector<MemberExplanation> members;
};

struct WorkerExplanation {
  WorkerName worker;
  HostName host;        // The host that reports.
  HostName owner;       // The worker's owner in this host's view.
  bool listed = false;  // The platform's list has the worker in this data centre.
  ListEntry entry;
  bool leased = false;  // This host holds the worker's lease; the fields below are set only then.
  Duration lease_left = 0us;
  Resources free;
  size_t runs = 0;   // Starting, running, or ended and not yet reported.
  size_t holds = 0;  // Reservations without a commit.
  QuarantineState quarantine;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_EXPLAIN_H_
