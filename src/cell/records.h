// Records that the cell scheduler stores, and their encoding (MessagePack).
//
// Keys below kCellPrefix:
//   head            epoch and number of the last batch; every batch expects the revision of this key, so that only the
//                   newest owner can write
//   live/owner      the owner of the cell; expires with the owner's lease
//   live/host/N     host N; expires with that host's lease
//   data/log/E-B    batch B of epoch E: accepted jobs and the progress of jobs; the newest record of a job counts
//   data/ended/E-B  ended jobs, from one batch or merged from several
//   data/cancelled/E-B  ids that were cancelled while no such job was known
//   data/roster     worker instances to which the owner may have given orders
#ifndef HIBISCUSSTAND_SRC_CELL_RECORDS_H_
#define HIBISCUSSTAND_SRC_CELL_RECORDS_H_

#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "cell/values.h"

namespace hibiscus::cell {

inline const std::string kCellPrefix = "hibiscus/cell/";
inline const std::string kDataPrefix = kCellPrefix + "data/";
inline const std::string kLogPrefix = kDataPrefix + "log/";
inline const std::string kEndedPrefix = kDataPrefix + "ended/";
inline const std::string kCancelledPrefix = kDataPrefix + "cancelled/";  // Earlier versions neither read nor write it.
inline const std::string kRosterKey = kDataPrefix + "roster";
inline const std::string kOpenStartsKey = kDataPrefix + "open_starts";  // Earlier versions neither read nor write it.
inline const std::string kHeadKey = kCellPrefix + "head";
inline const std::string kLivePrefix = kCellPrefix + "live/";
inline const std::string kOwnerKey = kLivePrefix + "owner";
inline const std::string kHostPrefix = kLivePrefix + "host/";

// Key of a batch. Keys sort by epoch, then by batch number.
std::string BatchKey(const std::string& prefix, uint64_t epoch, uint64_t batch);

// The current owner of the cell.
struct OwnerRecord {
  HostName host;
  std::string address;       // Peer address of the host.
  uint64_t incarnation = 0;  // Random id of the owner's process.
  uint64_t epoch = 0;        // Increases by one with each takeover.
  bool released = false;     // The owner has stepped down; the cell may be claimed.
  // Once the released record is written, this owner and all earlier ones act for this time at most. Earlier versions do
  // not write it.
  Duration owners_act_for = Duration::max();

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

// The last committed batch.
struct HeadRecord {
  uint64_t epoch = 0;
  uint64_t batch = 0;

  friend auto operator<=>(const HeadRecord&, const HeadRecord&) = default;
};

// A live host, which accepts requests of callers.
struct HostRecord {
  HostName host;
  std::string address;       // Peer address.
  uint64_t incarnation = 0;  // Random id of the host's process.
  int processor_millis = 0;  // Processor capacity in thousandths of a core; 0 if unknown.
  DataCentre data_centre;    // Empty if unknown.

  friend auto operator<=>(const HostRecord&, const HostRecord&) = default;
};

// One instance of a worker: a single run of its process.
struct WorkerInstanceRecord {
  std::string id;
  std::string address;
  int64_t born_ms = 0;  // Start of this instance, in milliseconds since 1970.
  Resources capacity;   // Upper bound of what may be running there.

  friend auto operator<=>(const WorkerInstanceRecord&, const WorkerInstanceRecord&) = default;
};

// A start that may still be carried out. Stored for the next owner, as a next life of the worker may do so.
struct OpenStartRecord {
  RunRef run;
  std::string worker;
  Duration open_for{};  // Since the record was stored.

  friend bool operator==(const OpenStartRecord&, const OpenStartRecord&) = default;
};

// A job as it was accepted.
struct JobRecord {
  uint64_t epoch = 0;          // Epoch of the owner that accepted the job.
  int64_t accepted_at_ms = 0;  // Milliseconds since 1970.
  JobSpec spec;
  QueueSpec queue;     // The queue when the job was accepted; used if the queue is removed from the configuration.
  std::string tenant;  // Whose API key submitted it; empty if it needed none.

  friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

// A run during which its worker instance may have crashed.
struct SuspectedCrash {
  int run = 0;
  std::string worker;
  int64_t born_ms = 0;  // Identifies the instance.

  friend bool operator==(const SuspectedCrash&, const SuspectedCrash&) = default;
};

// Crashes of workers under the runs of one task, by run number: see CrashHistory.
struct CrashRecord {
  std::vector<int> certain;
  std::vector<int> prompt;
  std::vector<int> unconfirmed;
  std::vector<SuspectedCrash> suspected;
  std::vector<SuspectedCrash> started;  // Earlier versions do not write it.

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

// Progress of one step of one occurrence. Steps without progress are not stored.
struct StepProgress {
  int occurrence = 0;
  int step = 0;
  bool all_done = false;
  std::vector<int> done;                   // Indices of the tasks that are done; empty if all_done.
  std::map<int, std::vector<int>> failed;  // Run numbers that failed, by task index; a gang's are at index 0.
  std::map<int, std::string> checkpoints;  // By task index; a gang's is at index 0.
  // Run numbers under which a worker certainly crashed, by task index; a gang's are at index 0, whatever the member.
  std::map<int, std::vector<int>> crashed;
  // Run numbers whose worker fell silent. Written by earlier versions and no longer used.
  std::map<int, std::vector<int>> possibly_crashed;
  std::map<int, CrashRecord> crash_records;  // By task index, also of a gang. Earlier versions do not write it.

  bool HasContent() const {
    return all_done || !done.empty() || !failed.empty() || !checkpoints.empty() || !crashed.empty() ||
           !crash_records.empty();
  }

  friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

// Progress of one job.
struct ProgressRecord {
  bool cancelled = false;
  int occurrences_done = 0;  // All occurrences with a lower number are done.
  std::vector<StepProgress> steps;

  friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

// Progress of the job with this id.
struct JobProgress {
  std::string id;
  ProgressRecord progress;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

// Contents of one batch of the log.
struct LogRecord {
  std::vector<JobRecord> jobs;
  std::vector<JobProgress> progress;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

// A job that has ended, and its final state.
struct EndedJob {
  std::string id;
  std::string queue;
  JobState state = JobState::kCompleted;
  int64_t ended_at_ms = 0;  // Milliseconds since 1970.
  std::string tenant;
  Resources still_running;  // Of its tenant's maximum: runs that were being stopped when it ended.

  friend bool operator==(const EndedJob&, const EndedJob&) = default;
};

// A job that was cancelled while no such job was known.
struct CancelledId {
  std::string id;
  std::string queue;
  std::string tenant;  // Whose API key cancelled it; empty if the queue needs none.

  friend auto operator<=>(const CancelledId&, const CancelledId&) = default;
};

// Encode a record, and decode it; bytes that cannot be decoded give an error message.
template <class Record>
std::string EncodeRecord(const Record& record);
template <class Record>
tl::expected<Record, std::string> DecodeRecord(const std::string& bytes);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_RECORDS_H_
