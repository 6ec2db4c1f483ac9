// What one host knows about a request or a worker, for operators: who is home, who owns it, and what it waits for.
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
  Duration since = 0us;  // How long in this phase.
  HostName owner;        // Who was asked last.
  WorkerName worker;
  std::map<HostName, ResultCode> refused_by;
  int failed_on = 0;  // Workers on which it failed.
};

struct RequestExplanation {
  RequestKey key;
  HostName host;       // Who explains.
  HostName home;       // Where the request belongs, as this host sees it.
  bool known = false;  // The rest is filled in only if this host has the request.
  JobPhase phase = JobPhase::kActive;
  ResultCode code = ResultCode::kOk;  // Once ended.
  Duration accepted_ago = 0us;
  Duration start_left = 0us;   // Until the start target; below zero if it has passed.
  Duration finish_left = 0us;  // Until the finish target.
  int runs = 0;                // Tries begun.
  std::vector<MemberExplanation> members;
};

struct WorkerExplanation {
  WorkerName worker;
  HostName host;        // Who explains.
  HostName owner;       // Whom the worker falls to, as this host sees it.
  bool listed = false;  // The platform's list names it in this data centre.
  ListEntry entry;
  bool leased = false;  // Under this host's lease; the rest is filled in only then.
  Duration lease_left = 0us;
  Resources free;
  size_t runs = 0;   // Starting, running, or ended and not yet reported.
  size_t holds = 0;  // Reservations without a commit.
  QuarantineState quarantine;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_EXPLAIN_H_
