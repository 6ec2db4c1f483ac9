// Looks in a CellWorld for accepted work that waits although it could run: the platform's rule LOST, judged from what
// workers and callers see and not from the state of the scheduler.
//
// Once no disruption is left and the platform's allowed time has passed, a job must not have nothing running for three
// seconds while the turn of one of its tasks has come, there is room for twice what is to start, its tenant uses under
// half of its maximum and under half of the cell's capacity is in use. For tasks that last it holds for each task.
// Nothing is expected of a job that somebody has cancelled or that was shown as ended.
#ifndef HIBISCUSSTAND_STANDINS_CELL_WAITING_CHECK_H_
#define HIBISCUSSTAND_STANDINS_CELL_WAITING_CHECK_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/ports.h"
#include "cell/values.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CellWorld;
class FakeWorker;

// Work that waited although it could run.
struct LostWork {
  std::string job;
  // So many of its runs have failed or crashed their workers that its job may end as failed instead.
  bool may_be_given_up = false;
  std::string text;

  friend auto operator<=>(const LostWork&, const LostWork&) = default;
};

class WaitingCheck {
 public:
  explicit WaitingCheck(const CellWorld& world) : world_(world) {}

  // Checks, at most once in each interval of the check.
  void RunDue();
  TimePoint next_check() const { return next_check_; }
  // Notes the disruptions that last.
  void Observe();
  TimePoint disturbed_at() const { return disturbed_at_; }  // Of the last disruption that was noted.
  // A disruption that lasts no time, such as a restart. The check notices by itself what goes on for a while.
  void NoteDisruption();
  // Nothing is expected of this job any longer.
  void Close(const std::string& job) { closed_.insert(job); }
  void NoteRunEnded(const RunRef& run, EndKind how);

  // The first finding of each job.
  const std::vector<LostWork>& found() const { return found_; }

 private:
  // Runs and free resources of all workers at one time.
  struct Usage {
    std::vector<const FakeWorker*> eligible;  // Up, listed, not draining and sound.
    std::map<const FakeWorker*, Resources> free;
    Resources capacity;  // Of all workers that are up.
    Resources used;
    std::map<std::string, Resources> used_by_tenant;
    std::set<std::string> running_jobs;
  };

  bool IsDisturbed() const;
  bool IsSound(const FakeWorker& worker) const;
  Usage MeasureUsage() const;
  void CheckJob(const JobSpec& job, const Usage& usage);
  void CheckStep(const JobSpec& job, const TaskRef& step, const Usage& usage);
  // The task waits at this time, and everything is there for it. Reports it if that has been so for too long.
  void NoteCouldRun(const JobSpec& job, const TaskRef& task);
  bool IsOver(const JobSpec& job) const;
  bool IsDue(const JobSpec& job, int occurrence) const;
  bool IsStepDone(const JobSpec& job, const TaskRef& step) const;
  bool MayBeGivenUp(const JobSpec& job) const;
  bool HasRoomTwice(const JobSpec& job, const TaskRef& step, const Usage& usage) const;
  bool IsWithinHalfOfMaximum(const JobSpec& job, const StepSpec& step, const Usage& usage) const;
  // The lowest of the configurations that may be in force. Components of 0 are unlimited.
  Resources MaximumOf(const std::string& tenant) const;

  const CellWorld& world_;
  TimePoint next_check_{};
  TimePoint disturbed_at_{};
  std::set<std::string> closed_;
  std::map<TaskRef, TimePoint> last_ends_;        // Of tasks that last.
  std::map<TaskRef, std::set<int>> failed_runs_;  // Run numbers; of a gang by its first task.
  std::map<TaskRef, TimePoint> waiting_since_;    // Tasks that can run and do not; index 0 for all of an ordinary step.
  std::set<TaskRef> still_waiting_;               // In the present check.
  std::vector<LostWork> found_;
  std::set<std::string> found_jobs_;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_WAITING_CHECK_H_
