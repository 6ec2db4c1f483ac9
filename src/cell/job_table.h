// Jobs in the owner's memory: steps that wait for others, tasks that wait, are placed or done, and what of it the store
// has to know.
#ifndef HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_
#define HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

struct Job;

enum class TaskPhase { kWaiting, kPlaced, kDone };

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;                // Highest number given to a start so far.
  std::set<int> failed_runs;  // Starts that failed. Their ends may be listed twice, and in any order.
  std::string worker;         // Where it is placed.
  std::string checkpoint;
  TimePoint placed_at{};
  int percent = 0;            // How far it is, as its worker said last.
  TimePoint progressed_at{};  // When that last changed.
  bool stopping = false;      // Placed, and told to stop.

  friend bool operator==(const TaskState&, const TaskState&) = default;
};

// What the advice service said about a step.
struct StepAdvice {
  enum class Verdict { kNotAsked, kRefused, kAllowed };  // kRefused: not on this worker, ever.
  struct Permit {
    Verdict verdict = Verdict::kNotAsked;
    std::string ticket;
    TimePoint valid_until{};

    friend bool operator==(const Permit&, const Permit&) = default;
  };

  int pending_requests = 0;          // Requests that are not answered yet.
  bool has_answer = false;           // At least one request was answered.
  TimePoint last_request_at{};       // The last request.
  std::map<size_t, Permit> permits;  // By the worker's number: those that were asked about, a small part of all.

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
  int waiting = 0;  // Tasks in that phase.
  int done = 0;
  bool open = false;  // The steps before it are done, and its job stands in the store.
  TimePoint opened_at{};
  std::map<std::string, int> on_worker;  // Placed tasks by worker.

  int gang_run = 0;                // Number of the gang's last start.
  std::set<int> gang_failed_runs;  // Starts of the gang that failed, as above.
  bool gang_ending = false;  // The members of the last start are on their way out; none may start before all are gone.
  std::string gang_checkpoint;

  StepAdvice advice;
  std::map<size_t, int>
      tentative_members;  // By worker's number: members for which room is set aside until tickets come.

  bool finished() const { return done == spec->count; }
  int placed() const { return spec->count - waiting - done; }
  TaskRef RefOf(int index) const;
  // What one task takes of a worker.
  Resources task_size() const;
};

struct Occurrence {
  std::vector<std::unique_ptr<StepRun>> steps;
  int finished = 0;  // Steps.
};

struct Job {
  JobRecord record;
  QueueSpec queue;                        // As the newest configuration that knew it stated it.
  TimePoint accepted_at{};                // On this host's clock.
  std::map<int, Occurrence> occurrences;  // Begun and not finished.
  int occurrences_done = 0;               // All before this one are done.
  std::set<int> done_out_of_order;        // Done out of order.
  int next_occurrence = 0;                // Not begun yet.
  bool started = false;                   // Some task was started once.
  bool final = false;
  JobState final_state = JobState::kCompleted;

  Duration objective{};           // From its acceptance; refreshed with the queue.
  Duration critical_path_time{};  // Longest chain of declared run times.

  TimePoint caller_deadline{};  // While it is not stored: until then a caller waits to know whether it will be.
  bool spec_stored = false;
  std::string spec_key;                                   // Batch of the log that has the job itself. Empty: none yet.
  std::string progress_key;                               // Batch that has how far it is. Empty: none yet.
  bool dirty = false;                                     // Something of it is new to the store.
  bool in_batch = false;                                  // Part of the batch on its way to the store.
  std::vector<std::function<void()>> on_stored;           // Waits for the next batch that has it.
  std::vector<std::function<void()>> on_batch_committed;  // Waits for the batch on its way.

  const std::string& id() const { return record.spec.id; }
  int occurrence_count() const { return record.spec.occurrences == 0 ? 1 : record.spec.occurrences; }
  std::vector<std::function<void(Duration retry_after)>>
      on_withdrawn;  // Submitters, while it was never sent to the store.

  // Calls back once all that is known of it now stands in the store.
  void WhenStored(std::function<void()> done);
  JobState visible_state() const { return started ? JobState::kRunning : JobState::kQueued; }
};

// Makes the steps of one occurrence; `run_base` is where the numbers of its starts begin.
Occurrence MakeOccurrence(Job& job, int number, int run_base);

// True if every step that this one waits for is finished.
bool DependenciesFinished(const Occurrence& occurrence, const StepRun& step);

// The longest chain of declared run times through the steps.
Duration CriticalPathTime(const JobSpec& spec);

// What is known of a job, to be stored; and back into a fresh one.
ProgressRecord ProgressOf(const Job& job);
void ApplyProgress(Job& job, const ProgressRecord& progress, int run_base);

// A sentence on what is wrong with a job that a caller handed in; empty if it is good.
std::string ProblemOf(const JobSpec& spec);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_JOB_TABLE_H_
