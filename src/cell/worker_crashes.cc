// Recognises that a worker's process has crashed, and reports the runs that were on it. Silence is no proof: a worker
// may be cut off. Proof is a later life under the same id, or another instance at the worker's address.
#include <algorithm>

#include "cell/worker_table.h"

namespace hibiscus::cell {

std::vector<CrashedRun> WorkerTable::RunsAtCrash(const Worker& worker) const {
  const TimePoint crashed_at = worker.silent ? worker.silent_since_ : context_.Now();
  std::vector<CrashedRun> runs;
  for (const auto& [run, placed] : worker.placed) {
    if (placed.sent && !placed.over) {
      runs.push_back(CrashedRun{run, placed.confirmed && placed.in_current_life, crashed_at - placed.placed_at});
    }
  }
  return runs;
}

std::vector<CrashedRun> WorkerTable::TakeSuspectRuns(Worker& worker) const {
  std::vector<CrashedRun> runs = RunsAtCrash(worker);
  runs.insert(runs.end(), worker.lapsed_.begin(), worker.lapsed_.end());
  worker.lapsed_.clear();
  return runs;
}

void WorkerTable::ReportCrash(Worker& worker) {
  const std::vector<CrashedRun> runs = TakeSuspectRuns(worker);
  const bool has_left = worker.entry.draining;
  if (!has_left && !runs.empty()) {
    listener_.OnCrashed(worker, runs);
  }
}

void WorkerTable::ReportNoCrash(Worker& worker) {
  listener_.OnAnswers(worker, TakeSuspectRuns(worker));
}

// The runs that the worker confirmed ended with its process. The other starts may still arrive if the worker begins
// another life under its id: they count until its lease has expired.
void WorkerTable::OnReplaced(Worker& worker) {
  if (worker.replaced_) {
    return;
  }
  worker.replaced_ = true;
  CountFencedWorker(worker);
  context_.Log("worker", "event=worker_replaced worker={} address={} runs={}", worker.entry.id, worker.entry.address,
               worker.placed.size());
  ReportCrash(worker);
  std::vector<RunRef> lost;
  std::vector<RunRef> open;
  for (const auto& [run, placed] : worker.placed) {
    if (placed.confirmed && !placed.over) {
      (placed.open_copies.empty() ? lost : open).push_back(run);
    }
  }
  for (const RunRef& run : open) {
    MarkOver(worker, run, GoneReason::kWorkerRestarted);
  }
  RemoveLostRuns(worker, lost);
}

bool WorkerTable::HasLaterInstance(const Worker& worker, int64_t born_ms) const {
  return worker.replaced_ || std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
           const WorkerEntry& entry = each.second->entry;
           return entry.address == worker.entry.address && entry.born_ms > born_ms;
         });
}

void WorkerTable::ReplaceWorkersAt(const WorkerEntry& entry) {
  for (const auto& [id, worker] : workers_) {
    if (worker->silent && worker->entry.address == entry.address && worker->entry.born_ms < entry.born_ms) {
      OnReplaced(*worker);
    }
  }
}

}  // namespace hibiscus::cell
