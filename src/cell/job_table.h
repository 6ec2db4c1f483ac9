// In-memory state of the owner's jobs: step dependencies, task phases, and what has yet to be stored.
#ifndef HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_
#define HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cell/messages.h"
#include "cell/records.h"
#include "cell/waiting_gate.h"

namespace hibiscus::cell {

struct Job;

// Identifies a call of another host: its address and the id that it chose.
using CallId = std::pair<std::string, uint64_t>;

enum class TaskPhase { kWaiting, kPlaced, kDone };

// Crashes of workers under the runs of a task, by run number.
struct CrashHistory {
  std::set<int> certain;      // The worker had confirmed the run, and its process was replaced before the lease ended.
  std::set<int> prompt;       // Of `certain`: soon after the start.
  std::set<int> unconfirmed;  // The worker crashed soon after the start, perhaps without having carried it out.
  // The worker fell silent soon after it had confirmed the start. No evidence of a crash until another life shows.
  std::map<int, SuspectedCrash> suspected;
  // Starts after the first crash, stored before they are sent: the worker may crash unseen by any owner. Until the run
  // is over, or has run long enough that a crash need not be due to it.
  std::map<int, SuspectedCrash> started;

  size_t evidence() const { return certain.size() + unconfirmed.size(); }
  size_t suspicion() const { return evidence() + suspected.size(); }
  bool empty() const { return suspicion() == 0 && started.empty(); }
  // Returns false if nothing new was learnt.
  bool RecordCertain(int run, bool is_prompt);
  bool RecordUnconfirmed(int run);
  friend bool operator==(const CrashHistory&, const CrashHistory&) = default;
};

// The last run of a task that is over, for logs.
struct EarlierRun {
  int run = 0;  // 0: none.
  std::string worker;
  std::string_view over;  // How it ended, or why it counts as over.

  friend bool operator==(const EarlierRun&, const EarlierRun&) = default;
};

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;                // Highest run number assigned to a start so far.
  std::set<int> failed_runs;  // Run numbers that failed: a set, since ends may be listed twice and in any order.
  std::string worker;         // Worker on which it is placed.
  std::string checkpoint;
  TimePoint placed_at{};
  int percent = 0;            // Progress last reported by its worker.
  TimePoint progressed_at{};  // When `percent` last changed.
  bool stopping = false;      // Placed, and a stop was sent.
  CrashHistory crashes;
  EarlierRun earlier;

  friend bool operator==(const TaskState&, const TaskState&) = default;
};

// Advice received for a step.
struct StepAdvice {
  enum class Verdict { kNotAsked, kRefused, kAllowed };  // kRefused is final for this worker.
  struct Permit {
    Verdict verdict = Verdict::kNotAsked;
    std::string ticket;
    TimePoint valid_until{};
    TimePoint expires_at{};  // No worker accepts the ticket from then on.

    friend bool operator==(const Permit&, const Permit&) = default;
  };

  int pending_requests = 0;          // Number of unanswered requests.
  bool has_answer = false;           // At least one request was answered.
  TimePoint last_request_at{};       // Time of the last request.
  std::map<size_t, Permit> permits;  // By worker number; only workers asked about, a small part of all.

  const Permit& For(size_t worker) const;
  Permit& At(size_t worker) { return permits[worker]; }
};

// One step of one occurrence.
struct StepRun {
  Job* job = nullptr;
  int occurrence = 0;
  int step = 0;
  const StepSpec* spec = nullptr;
  std::vector<TaskState> tasks;
  int waiting = 0;  // Number of tasks in phase kWaiting.
  int done = 0;
  bool open = false;  // Its dependencies are finished and its job is stored.
  TimePoint opened_at{};
  TimePoint waiting_since{};             // Since when it has been open with at least one waiting task.
  std::map<std::string, int> on_worker;  // Number of placed tasks by worker id.

  int gang_run = 0;                // Run number of the gang's last start.
  std::set<int> gang_failed_runs;  // Run numbers that failed, as in TaskState.
  bool gang_ending = false;        // The last start is being stopped; no member may start until all are gone.
  std::string gang_checkpoint;
  // Runs of the gang under which a worker crashed, as stored by a version that did not record under which members.
  std::set<int> unattributed_crashes;

  StepAdvice advice;
  std::map<size_t, int> tentative_members;  // Tentatively allocated members by worker number.

  WaitingGate left_by = WaitingGate::kPlacement;  // Why the last pass left tasks waiting.
  GateHold hold;                                  // The gate that holds the waiting tasks, as of the last check.

  bool finished() const { return done == spec->count; }
  int placed() const { return spec->count - waiting - done; }
  TaskRef RefOf(int index) const;
  const CrashHistory& CrashesOf(int index) const { return tasks[static_cast<size_t>(index)].crashes; }
  CrashHistory& CrashesOf(int index) { return tasks[static_cast<size_t>(index)].crashes; }
  // Resources that one task takes on a worker.
  Resources task_size() const;
  // Resources of one task that count against its tenant's maximum.
  const Resources& quota_size() const { return spec->size; }
  const std::string& tenant() const;
};

struct Occurrence {
  bool due = true;  // False: an earlier owner has begun it, and it is not due yet by this host's clock.
  std::vector<std::unique_ptr<StepRun>> steps;
  int finished = 0;  // Number of finished steps.
};

struct Job {
  JobRecord record;
  QueueSpec queue;                        // From the newest configuration that contains it.
  TimePoint accepted_at{};                // On this host's clock.
  std::map<int, Occurrence> occurrences;  // Begun and not finished.
  int occurrences_done = 0;               // All occurrences before this number are done.
  std::set<int> done_out_of_order;        // Later occurrences that finished out of order.
  int next_occurrence = 0;                // The next occurrence to begin.
  bool started = false;                   // At least one task was started.
  bool final = false;
  JobState final_state = JobState::kCompleted;

  Duration objective{};           // Target time since acceptance; updated with the queue.
  Duration critical_path_time{};  // Longest chain of declared run times.

  bool beyond_share = false;  // Its tenant sent more than the rate that it is owed.

  TimePoint caller_deadline{};  // While the job is not stored: until when a caller waits to learn whether it will be.
  bool spec_stored = false;
  std::string spec_key;                                   // Log batch that contains the job itself. Empty: none yet.
  std::string progress_key;                               // Log batch that contains its progress. Empty: none yet.
  bool dirty = false;                                     // Has changes that are in no batch yet.
  bool in_batch = false;                                  // Part of the batch being written.
  std::vector<std::function<void()>> on_stored;           // Called once the next batch that contains it is stored.
  std::vector<std::function<void()>> on_batch_committed;  // Called once the batch being written is stored.

  const std::string& id() const { return record.spec.id; }
  // True if the occurrence was begun, or may have been begun by an earlier owner, and is not finished.
  bool MayHaveBegun(int occurrence) const {
    return !final && occurrence >= occurrences_done && occurrence < occurrence_count() &&
           !done_out_of_order.contains(occurrence);
  }
  int occurrence_count() const { return record.spec.occurrences == 0 ? 1 : record.spec.occurrences; }
  // Callbacks of submitters until the job is first sent to the store.
  std::vector<std::function<void(Duration retry_after)>> on_withdrawn;
  std::set<CallId> submissions;  // Calls of this job that were authorized: copies that come later are not judged again.

  // Calls `done` once the current state of the job is stored.
  void WhenStored(std::function<void()> done);
  JobState visible_state() const { return started ? JobState::kRunning : JobState::kQueued; }
};

// Creates the steps of one occurrence; run numbers continue after `run_base`.
Occurrence MakeOccurrence(Job& job, int number, int run_base);

// Returns true if all steps that this one depends on are finished.
bool DependenciesFinished(const Occurrence& occurrence, const StepRun& step);

// Returns the longest chain of declared run times through the steps.
Duration CriticalPathTime(const JobSpec& spec);

// Returns the number of tasks of the widest step.
int WidestStep(const JobSpec& spec);

// Converts the progress of a job to its stored form, and restores it into a newly created job.
ProgressRecord ProgressOf(const Job& job);
void ApplyProgress(Job& job, const ProgressRecord& progress, int run_base);

// True if it may be the id of a job.
bool IsJobId(const std::string& id);

// Validates a submitted job: returns an error message in one sentence, or an empty string if the job is valid.
std::string ProblemOf(const JobSpec& spec);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_
