// What the cell scheduler keeps in the store, and the bytes it is kept as (MessagePack).
//
// Keys, below the prefix of the cell:
//   head          epoch and number of the last batch; every batch expects its revision, so that nobody but the newest
//                 owner can write
//   live/owner    who owns the cell; hangs on the owner's lease
//   live/host/N   host N, on its own lease
//   data/log/E-B    batch B of epoch E: jobs that were accepted, and how far jobs are; the later word on a job goes
//   first data/ended/E-B  jobs that ended, of one batch or of several merged data/roster     worker lives that the
//   owner may have given orders to
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
inline const std::string kRosterKey = kDataPrefix + "roster";
inline const std::string kHeadKey = kCellPrefix + "head";
inline const std::string kLivePrefix = kCellPrefix + "live/";
inline const std::string kOwnerKey = kLivePrefix + "owner";
inline const std::string kHostPrefix = kLivePrefix + "host/";

// Sorts as epochs and batches do.
std::string BatchKey(const std::string& prefix, uint64_t epoch, uint64_t batch);

// Who owns the cell.
struct OwnerRecord {
  HostName host;
  std::string address;       // For peers.
  uint64_t incarnation = 0;  // Of the owner's process.
  uint64_t epoch = 0;        // Counts owners; rises by one with each takeover.
  bool released = false;     // The owner has stepped back; the cell is free.

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

struct HeadRecord {
  uint64_t epoch = 0;
  uint64_t batch = 0;

  friend auto operator<=>(const HeadRecord&, const HeadRecord&) = default;
};

// A host that serves callers.
struct HostRecord {
  HostName host;
  std::string address;  // For peers.
  uint64_t incarnation = 0;
  int processor_millis = 0;  // Thousandths of a core that the host has. 0: not known.
  DataCentre data_centre;    // Empty: not known.

  friend auto operator<=>(const HostRecord&, const HostRecord&) = default;
};

struct WorkerInstanceRecord {
  std::string id;
  std::string address;
  int64_t born_ms = 0;

  friend auto operator<=>(const WorkerInstanceRecord&, const WorkerInstanceRecord&) = default;
};

struct JobRecord {
  uint64_t epoch = 0;          // Of the owner that accepted it.
  int64_t accepted_at_ms = 0;  // Milliseconds since 1970.
  JobSpec spec;
  QueueSpec queue;  // As it was then: the configuration may drop it before the job ends.

  friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

// How far one step of one occurrence is. Steps of which nothing is known are left out.
struct StepProgress {
  int occurrence = 0;
  int step = 0;
  bool all_done = false;
  std::vector<int> done;                   // Indices, where not all are.
  std::map<int, std::vector<int>> failed;  // Numbers of the starts that failed, by index; of a gang at index 0.
  std::map<int, std::string> checkpoints;  // By index; of a gang at index 0.

  friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

struct ProgressRecord {
  bool cancelled = false;
  int occurrences_done = 0;  // All before this one are done.
  std::vector<StepProgress> steps;

  friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

struct JobProgress {
  std::string id;
  ProgressRecord progress;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

// One batch of the log.
struct LogRecord {
  std::vector<JobRecord> jobs;
  std::vector<JobProgress> progress;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

struct EndedJob {
  std::string id;
  std::string queue;
  JobState state = JobState::kCompleted;
  int64_t ended_at_ms = 0;  // Milliseconds since 1970.

  friend bool operator==(const EndedJob&, const EndedJob&) = default;
};

// The bytes of a record, and back; unreadable bytes are an error in one sentence.
template <class Record>
std::string EncodeRecord(const Record& record);
template <class Record>
tl::expected<Record, std::string> DecodeRecord(const std::string& bytes);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_RECORDS_H_
