#include "core/explain.h"

#include <algorithm>

#include "core/host_core.h"

namespace hibiscus {

RequestExplanation HomeRole::Explain(const RequestKey& key) const {
  RequestExplanation view;
  view.key = key;
  view.host = context_.settings.name;
  view.home = context_.HomeOf(key);
  const auto found = jobs_.find(key);
  if (found == jobs_.end()) {
    return view;
  }
  const Job& job = found->second;
  const TimePoint now = context_.Now();
  view.known = true;
  view.phase = job.phase;
  view.code = job.answer.code;
  view.accepted_ago = now - (job.start_by - job.spec.start_within);
  view.start_left = job.start_by - now;
  view.finish_left = job.finish_by - now;
  view.runs = job.run_count;
  for (const Member& member : job.members) {
    view.members.push_back(MemberExplanation{member.phase, now - member.since, member.owner, member.worker,
                                             member.refused_by, static_cast<int>(member.failed_on.size())});
  }
  return view;
}

WorkerExplanation WorkerRole::Explain(const WorkerName& name) const {
  WorkerExplanation view;
  view.worker = name;
  view.host = context_.settings.name;
  view.owner = context_.OwnerOf(name);
  const auto found = workers_.find(name);
  if (found == workers_.end()) {
    return view;
  }
  const OwnedWorker& worker = found->second;
  view.listed = true;
  view.entry = worker.entry;
  view.leased = HasLease(worker);
  if (view.leased) {
    view.lease_left = worker.lease_expiry - context_.Now();
    view.free = worker.ledger.free();
    view.runs = worker.runs.size();
    view.holds = worker.holds.size();
    view.quarantine = quarantine_.StateOf(name, context_.Now());
  }
  return view;
}

RequestExplanation HostCore::ExplainRequest(const RequestKey& key) const {
  return home_.Explain(key);
}

WorkerExplanation HostCore::ExplainWorker(const WorkerName& name) const {
  return workers_.Explain(name);
}

}  // namespace hibiscus
