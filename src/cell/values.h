// Value types of the cell scheduler: jobs and their steps, queues, workers and the ways in which runs end.
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
  std::string job;     // Job id, chosen by the caller.
  int occurrence = 0;  // 0 if the job is not repeated.
  int step = 0;
  int index = 0;  // Index within the step.

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// One run of a task. Each start makes a new run.
struct RunRef {
  TaskRef task;
  int run = 0;  // Run number: from 1, increases with each start. The members of a gang share it.

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// One step of a job: a set of identical tasks.
struct StepSpec {
  int count = 1;                       // Number of tasks.
  Resources size;                      // Resources of each task.
  Duration estimate = 0us;             // Declared run time of a task; often inaccurate.
  std::vector<int> after;              // Indices of earlier steps that must be done first.
  bool checkpoints = false;            // A stopped run can be resumed from its checkpoint.
  bool gang = false;                   // The tasks run all at the same time or not at all.
  bool same_rack = false;              // Runs slower if its tasks are on different racks.
  std::string required_label;          // Label that the worker must have; empty for any worker.
  std::string data_rack;               // Rack that holds the data, others are slower; empty if there is none.
  int max_per_worker = 0;              // Maximum number of tasks on one worker; 0 for no limit.
  bool speculative = false;            // Copies of a task may run at the same time.
  bool long_running = false;           // Runs until the job is cancelled.
  std::string image;                   // Name of the image; tasks of one image behave alike.
  Duration tail_latency_target = 0us;  // Long-running: upper bound of the tail of its response times.
  bool best_effort = false;            // Runs on idle processor time only; its processors are not counted as used.
  int max_unavailable = 0;             // Long-running: how many tasks the system may make unavailable at the same time.

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

// A job as submitted by its caller.
struct JobSpec {
  std::string id;
  std::string queue;    // Name of the queue that accepted it.
  std::string payload;  // What the workers are to run; the scheduler does not interpret it.
  std::vector<StepSpec> steps;
  int64_t first_due_ms = 0;  // Repeated jobs: time of the first occurrence, in milliseconds since 1970.
  Duration interval = 0us;   // Repeated jobs: time between two occurrences.
  int occurrences = 0;       // Number of occurrences; 0 for a job that runs once and immediately.

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// Timing of the advice service for a queue.
struct AdviceSpec {
  Duration base = 0us;        // Fixed time of one call.
  Duration per_worker = 0us;  // Additional time for each worker named in the call.
  Duration valid = 0us;       // Time for which a ticket is valid.

  friend auto operator<=>(const AdviceSpec&, const AdviceSpec&) = default;
};

// Operators' configuration of one queue.
struct QueueSpec {
  std::string name;
  std::string host;     // Host of the requests that the queue accepts.
  std::string prefix;   // Prefix of the paths of those requests.
  std::string service;  // Service whose workers run the tasks.
  Duration timeout = 0us;
  Duration target_latency = 0us;
  int priority = 0;  // 0 is the highest.
  int max_attempts = 1;
  double stretch = 1;  // A job's objective is target_latency + stretch * (run time of its longest chain of steps).
  std::optional<AdviceSpec> advice;  // None: starts need no ticket of the advice service.
  bool is_public = false;            // Its requests need no API key.

  friend bool operator==(const QueueSpec&, const QueueSpec&) = default;
};

// Operators' configuration of one service.
struct ServiceSpec {
  std::string name;
  bool enforces_capacity = false;  // Its workers refuse tasks that exceed their capacity.

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

// Digest by which an API key is known to the cell: it identifies the key and does not reveal it. Empty for no key.
using KeyDigest = std::string;
// The part of the digest that is logged: enough to tell keys apart.
std::string LoggedDigits(const KeyDigest& key);

// Operators' configuration of one tenant.
struct TenantSpec {
  std::string name;
  std::vector<KeyDigest> keys;  // The API keys that are valid now.
  double jobs_per_second = 0;   // Rate of jobs that the tenant is owed when the cell is full; 0: not configured.
  Resources maximum;            // Of its running tasks, in the whole cell. A component of 0 is unlimited.

  friend bool operator==(const TenantSpec&, const TenantSpec&) = default;
};

// Operators' configuration of the cell. It is always replaced as a whole, and its version only increases.
struct CellConfiguration {
  uint64_t version = 0;  // 0: no configuration is known yet.
  std::vector<QueueSpec> queues;
  std::vector<ServiceSpec> services;
  size_t body_limit = 0;    // Maximum size of a request's body in bytes; 0 if not configured.
  bool needs_keys = false;  // Requests carry a tenant's API key, except on public queues.
  std::vector<TenantSpec> tenants;

  friend bool operator==(const CellConfiguration&, const CellConfiguration&) = default;
  const QueueSpec* FindQueue(const std::string& name) const;
  // The queue for a request to this host and path: the one with the longest matching prefix. Null if none matches.
  const QueueSpec* FindQueueForPath(const std::string& host, const std::string& path) const;
  const TenantSpec* FindTenant(const std::string& name) const;
  // The tenant to which an API key belongs. Null if no tenant has this key.
  const TenantSpec* FindTenantByKey(const KeyDigest& key) const;
  // Whether requests to this queue must carry an API key; a queue that is not configured counts as not public.
  bool NeedsKey(const QueueSpec* queue) const { return needs_keys && (queue == nullptr || !queue->is_public); }
};

// A worker as described by its own entry in the store.
struct WorkerEntry {
  std::string id;
  int64_t born_ms = 0;  // Start of this instance of the worker, in milliseconds since 1970.
  std::string service;
  std::string address;  // "ip:port".
  DataCentre data_centre;
  bool draining = false;
  Duration min_time_left = 0us;  // Draining: the worker stays for at least this long.
  Resources capacity;
  std::vector<std::string> labels;  // The kind of the worker, then its rack.

  friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
  bool HasLabel(const std::string& label) const;
  std::string_view rack() const { return labels.empty() ? std::string_view() : labels.back(); }
};

// The ways in which a run ends.
enum class EndKind {
  kDone,
  kFailed,           // By a fault of the task or the worker; counts as an attempt.
  kStopped,          // Stopped by an order.
  kHoldExpired,      // The worker's hold expired.
  kGangMemberEnded,  // Another member of the gang ended.
  kGangIncomplete,   // The other members of the gang did not start in time.
};
const char* NameOf(EndKind kind);

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* NameOf(JobState state);
inline bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed || state == JobState::kCancelled;
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_VALUES_H_
