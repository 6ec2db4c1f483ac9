// What the cell scheduler speaks of: jobs and their steps, queues, workers and the ends of runs. Plain comparable
// values.
#ifndef HIBISCUSSTAND_SRC_CELL_VALUES_H_
#define HIBISCUSSTAND_SRC_CELL_VALUES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus::cell {

// One task of one occurrence of a job.
struct TaskRef {
  std::string job;     // The caller's id of the job.
  int occurrence = 0;  // 0 for a job that is not repeated.
  int step = 0;
  int index = 0;  // Within the step.

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// One start of a task.
struct RunRef {
  TaskRef task;
  int run = 0;  // From 1; rises with each start of the task. The members of a gang share it.

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// A set of like tasks of a job.
struct StepSpec {
  int count = 1;
  Resources size;                      // Of each task.
  Duration estimate = 0us;             // Declared run time of a task; often far off.
  std::vector<int> after;              // Earlier steps that must be done first.
  bool checkpoints = false;            // A stopped run can be resumed.
  bool gang = false;                   // All tasks work together or not at all.
  bool same_rack = false;              // Slower when its tasks lie on several racks.
  std::string required_label;          // Empty: any worker.
  std::string data_rack;               // Slower on any other rack. Empty: anywhere.
  int max_per_worker = 0;              // 0: no limit.
  bool speculative = false;            // Copies of a task may run at the same time.
  bool long_running = false;           // Runs until the job is cancelled.
  std::string image;                   // Tasks of one image behave alike.
  Duration tail_latency_target = 0us;  // Long-running: bound on the tail of its response times.
  bool best_effort = false;            // Uses processors that others leave idle; its processors are not counted.
  int max_unavailable = 0;             // Long-running: tasks that the system may keep from work at the same time.

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

// A job as its caller handed it in.
struct JobSpec {
  std::string id;
  std::string queue;    // Name of the queue that accepted it.
  std::string payload;  // What the workers are told to run, unread.
  std::vector<StepSpec> steps;
  int64_t first_due_ms = 0;  // Repeated jobs: milliseconds since 1970.
  Duration interval = 0us;   // Repeated jobs: between two occurrences.
  int occurrences = 0;       // 0: once, at once.

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// How the advice service behaves for a queue.
struct AdviceSpec {
  Duration base = 0us;        // Of one question.
  Duration per_worker = 0us;  // For each worker named in it.
  Duration valid = 0us;       // How long a ticket may be used.

  friend auto operator<=>(const AdviceSpec&, const AdviceSpec&) = default;
};

// What operators state for one queue.
struct QueueSpec {
  std::string name;
  std::string host;     // Of the requests that it takes.
  std::string prefix;   // Of their paths.
  std::string service;  // Whose workers run its tasks.
  Duration timeout = 0us;
  Duration target_latency = 0us;
  int priority = 0;  // 0 goes first.
  int max_attempts = 1;
  double stretch = 1;  // The objective is this times the longest chain of work, and the target latency more.
  std::optional<AdviceSpec> advice;

  friend bool operator==(const QueueSpec&, const QueueSpec&) = default;
};

struct ServiceSpec {
  std::string name;
  bool enforces_capacity = false;  // Its workers refuse what does not fit.

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

// The operators' configuration of the cell. Replaced as a whole; the version only grows.
struct CellConfiguration {
  uint64_t version = 0;  // 0: none known yet.
  std::vector<QueueSpec> queues;
  std::vector<ServiceSpec> services;
  size_t body_limit = 0;  // Bytes of a request's body; 0: not stated.

  friend bool operator==(const CellConfiguration&, const CellConfiguration&) = default;
  const QueueSpec* FindQueue(const std::string& name) const;
  // The queue of a request: its host, and the longest prefix that the path begins with.
  const QueueSpec* FindQueueForPath(const std::string& host, const std::string& path) const;
};

// A worker as its own entry in the store describes it.
struct WorkerEntry {
  std::string id;
  int64_t born_ms = 0;  // Begin of this life, milliseconds since 1970.
  std::string service;
  std::string address;  // "ip:port".
  DataCentre data_centre;
  bool draining = false;
  Duration min_time_left = 0us;  // Draining: the least time that is left.
  Resources capacity;
  std::vector<std::string> labels;  // Its kind, then its rack.

  friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
  bool HasLabel(const std::string& label) const;
  std::string_view rack() const { return labels.empty() ? std::string_view() : labels.back(); }
};

// How a run ended.
enum class EndKind {
  kDone,
  kFailed,           // Through its own fault or the worker's; counts as an attempt.
  kStopped,          // By an order.
  kHoldExpired,      // The worker's hold ran out.
  kGangMemberEnded,  // Another member of the gang ended.
  kGangIncomplete,   // The rest of the gang did not come in time.
};
const char* NameOf(EndKind kind);

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* NameOf(JobState state);
inline bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed || state == JobState::kCancelled;
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_VALUES_H_
