#include "cell/wait_order.h"

#include <algorithm>
#include <tuple>

namespace hibiscus::cell {

namespace {

constexpr int kExpiryObjectives = 3;  // In objectives: the result of a job older than this is worthless to its caller.

struct SortKey {
  bool expired = false;
  bool beyond_share = false;
  int priority = 0;
  bool late = false;  // It can no longer meet its objective.
  TimePoint due;
  StepRun* step = nullptr;
};

SortKey SortKeyOf(StepRun& step, TimePoint now, const Policies& policies) {
  const Job& job = *step.job;
  const Duration age = now - job.accepted_at;
  const bool lasts = step.spec->long_running;  // It is of use to its caller however late it starts.
  return SortKey{policies.expired_last && !lasts && age > job.objective * kExpiryObjectives,
                 policies.tenant_shares && !lasts && job.beyond_share,
                 policies.priority ? job.queue.priority : 0,
                 policies.late_last && !lasts && age + job.critical_path_time > job.objective,
                 job.accepted_at + (policies.due_first ? job.objective : Duration(0)),
                 &step};
}

bool ComesBefore(const SortKey& a, const SortKey& b) {
  return std::tie(a.expired, a.beyond_share, a.priority, a.late, a.due, a.step->job->id(), a.step->step) <
         std::tie(b.expired, b.beyond_share, b.priority, b.late, b.due, b.step->job->id(), b.step->step);
}

}  // namespace

bool IsReadyToStart(const StepRun& step) {
  const bool gang_partly_started = step.spec->gang && step.waiting < step.spec->count;
  return step.open && step.waiting > 0 && !step.gang_ending && !gang_partly_started;
}

std::vector<StepRun*> SortByUrgency(const std::vector<StepRun*>& waiting, TimePoint now, const Policies& policies) {
  std::vector<SortKey> keys;
  keys.reserve(waiting.size());
  for (StepRun* step : waiting) {
    keys.push_back(SortKeyOf(*step, now, policies));
  }
  std::sort(keys.begin(), keys.end(), ComesBefore);
  std::vector<StepRun*> steps;
  steps.reserve(keys.size());
  for (const SortKey& key : keys) {
    steps.push_back(key.step);
  }
  return steps;
}

}  // namespace hibiscus::cell
