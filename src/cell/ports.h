// Interfaces to the external systems that the cell scheduler uses: the store, the workers, the advice service and the
// other hosts. Implementations invoke each callback exactly once, on the control thread, and never from inside the
// call.
#ifndef HIBISCUSSTAND_SRC_CELL_PORTS_H_
#define HIBISCUSSTAND_SRC_CELL_PORTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "cell/values.h"
#include "hibiscusstand/connection_budget.h"

namespace hibiscus::cell {

// --- The store -------------------------------------------------------------------------------------------------------

struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;  // Revision of its last change.
  uint64_t lease = 0;     // 0: none.
  bool removed = false;   // Only in answers to Watch.

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// Requires that the key was last changed at this revision; 0: that it does not exist.
struct RevisionCheck {
  std::string key;
  uint64_t revision = 0;

  friend bool operator==(const RevisionCheck&, const RevisionCheck&) = default;
};

struct StoreWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // The key is removed when this lease ends. 0: no lease.

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

// Applied atomically if every revision check holds, otherwise not at all.
struct StoreTransaction {
  std::vector<RevisionCheck> expected;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;

  size_t entries() const { return expected.size() + writes.size() + removals.size(); }
  friend bool operator==(const StoreTransaction&, const StoreTransaction&) = default;
};

// Maximum number of revision checks, writes and removals in one transaction.
inline constexpr size_t kMaxTransactionEntries = 32;

enum class StoreStatus {
  kOk,
  kConflict,     // A revision check failed; `items` holds the current state of the checked keys.
  kNoLease,      // The lease has ended.
  kNotFound,     // No such key.
  kHistoryLost,  // Watch: the store no longer has the changes; all items must be read again.
  kNotDone,      // Refused or not sent; nothing was changed.
  kUnknown,      // No answer; it may have been applied, or may still be if its checks hold.
};
const char* NameOf(StoreStatus status);

struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  uint64_t revision = 0;         // Of the transaction, or of the store at the time of the read.
  uint64_t lease = 0;            // Answer to GrantLease.
  std::vector<StoreItem> items;  // Answers to Read, Range and Watch, and conflicts.
  bool has_more = false;         // Range: another page follows the last key.

  friend bool operator==(const StoreAnswer&, const StoreAnswer&) = default;
};

// Number of a call to the store that can be cancelled.
using StoreCall = uint64_t;

// Over which connection a call is sent. One that was used before may be dead without a sign of it, so its calls are
// given up early; an answer over a new one may be as late as a crowded link makes it.
enum class StoreConnection { kAny, kNew };

class StorePort {
 public:
  using Done = std::function<void(const StoreAnswer&)>;
  // Called from time to time while a large answer arrives; never for one of a few packets.
  using Progress = std::function<void()>;

  virtual ~StorePort() = default;
  virtual void Read(const std::string& key, Done done) = 0;
  // Reads one page of the items with this prefix whose keys follow `after`.
  virtual void Range(const std::string& prefix, const std::string& after, Done done) = 0;
  // Returns the changes after a revision. Waits up to `wait` for the first one.
  virtual void Watch(const std::string& prefix, uint64_t after, Duration wait, Done done) = 0;
  // Reads of one item whose value may be large. Such a call goes on as long as its answer arrives.
  virtual StoreCall ReadLarge(const std::string& key, Progress progress, Done done) = 0;
  virtual StoreCall WatchLarge(const std::string& key, uint64_t after, Duration wait, Progress progress, Done done) = 0;
  // Answers with the item if `revision` is not that of its last change, and without items otherwise.
  virtual StoreCall ReadLargeIfChanged(const std::string& key,
                                       uint64_t revision,
                                       StoreConnection connection,
                                       Progress progress,
                                       Done done) = 0;
  // Ends a large read, of which nothing more arrives then. Its callbacks are not invoked any more.
  virtual void Cancel(StoreCall call) = 0;
  virtual void Commit(const StoreTransaction& transaction, Done done) = 0;
  virtual void GrantLease(Duration ttl, Done done) = 0;
  virtual void KeepLease(uint64_t lease, Done done) = 0;
  virtual void EndLease(uint64_t lease, Done done) = 0;
};

// --- Workers ---------------------------------------------------------------------------------------------------------

// A worker, by its id. Orders name no instance of it: one on its way may reach a later instance under the same id.
struct WorkerTarget {
  std::string id;
  std::string address;     // "ip:port".
  DataCentre data_centre;  // Empty: unknown.

  friend auto operator<=>(const WorkerTarget&, const WorkerTarget&) = default;
};

enum class OrderStatus {
  kOk,
  kFenced,         // The worker has seen a higher fencing token.
  kStale,          // The worker has already stopped or ended this run or a later one.
  kLate,           // The deadline of the order has passed.
  kNoRoom,         // The worker lacks free capacity.
  kNoTicket,       // The ticket is missing or has expired.
  kMalformed,      // The worker could not parse the order.
  kUnhealthy,      // Refused by an unhealthy worker; nothing was executed.
  kOtherInstance,  // Another instance of a worker answers at that address.
  kNotSent,        // Never reached the worker.
  kUnknown,        // No answer; it may have been executed, or may still be.
};
const char* NameOf(OrderStatus status);

// True if the order was not executed and never will be.
bool IsDefinitelyNotExecuted(OrderStatus status);

struct RunningRun {
  RunRef run;
  std::string checkpoint;  // Empty: none.
  int percent = 0;         // Progress; a long-running task reports 100 once it is serving.

  friend bool operator==(const RunningRun&, const RunningRun&) = default;
};

struct EndedRun {
  int64_t number = 0;  // Sequence number of the end, from 1 in each worker instance.
  RunRef run;
  EndKind how = EndKind::kDone;
  std::string checkpoint;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

// Maximum number of ended runs in one answer; more follow once these are acknowledged.
inline constexpr size_t kMaxEndedRuns = 500;

struct OrderAnswer {
  OrderStatus status = OrderStatus::kUnknown;
  Duration worker_clock = 0us;      // The worker's clock when it answered.
  int64_t born_ms = 0;              // Start time of the worker instance that answered; 0: unknown.
  std::vector<RunningRun> running;  // Only in answers to Hold.
  std::vector<EndedRun> ended;      // Only in answers to Hold.
  UnansweredReason reason = UnansweredReason::kSilence;
  // Index in `ended` from which rows may follow an end that could not be read; -1: all were read. The rows stay in the
  // list for hosts of the version before, which would take runs whose ends it lacks for lost. Answers that such a host
  // relays come without this field, as if all had been read.
  int unreadable_from = -1;

  friend bool operator==(const OrderAnswer&, const OrderAnswer&) = default;
};

// An answer that carries only a status.
inline OrderAnswer AnswerOf(OrderStatus status) {
  OrderAnswer answer;
  answer.status = status;
  return answer;
}

struct StartOrder {
  RunRef run;
  std::string payload;
  Duration deadline = 0us;  // On the worker's clock; the worker refuses a later order.
  uint64_t token = 0;
  std::string checkpoint;  // Empty: start from the beginning.
  std::string ticket;      // Empty: the queue needs none.
  // The worker refuses the ticket from then on, at the latest. Not part of the message.
  TimePoint ticket_expires_at = TimePoint::max();

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

struct HoldOrder {
  uint64_t token = 0;
  int64_t acknowledged = 0;  // The worker may discard ends up to this number.
  Duration deadline = 0us;   // On the worker's clock; it then kills all its runs. 0: unchanged.
  Duration wait = 0us;       // How long the worker waits for a run to end before it answers.

  friend bool operator==(const HoldOrder&, const HoldOrder&) = default;
};

class WorkerPort {
 public:
  using Done = std::function<void(const OrderAnswer&)>;

  virtual ~WorkerPort() = default;
  virtual void Start(const WorkerTarget& worker, const StartOrder& order, Done done) = 0;
  virtual void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, Done done) = 0;
  virtual void Hold(const WorkerTarget& worker, const HoldOrder& order, Done done) = 0;
  // Closes the connections to all workers, whose number at each worker is limited, once the orders in flight have
  // ended.
  virtual void Disconnect() = 0;
};

// --- Advice ----------------------------------------------------------------------------------------------------------

struct Ticket {
  std::string worker;
  std::string ticket;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

struct AdviceAnswer {
  bool answered = false;
  std::vector<Ticket> allowed;  // The queried workers that may run the step.

  friend bool operator==(const AdviceAnswer&, const AdviceAnswer&) = default;
};

// Maximum number of workers in one question.
inline constexpr size_t kMaxWorkersPerQuestion = 100;

class AdvicePort {
 public:
  using Done = std::function<void(const AdviceAnswer&)>;

  virtual ~AdvicePort() = default;
  // `step` identifies the job, occurrence and step; its index is ignored.
  virtual void Ask(const TaskRef& step, const std::vector<std::string>& workers, Duration timeout, Done done) = 0;
};

// --- Other hosts -----------------------------------------------------------------------------------------------------

class PeerPort {
 public:
  virtual ~PeerPort() = default;
  // Sends without blocking. A message may be lost, delayed or duplicated.
  virtual void Send(const std::string& address, std::string message) = 0;
};

// --- The platform's entries in the store -----------------------------------------------------------------------------

// Keys of the entries that operators and workers write, and their decoders. A decoding error is returned as one
// sentence.
class DirectoryPort {
 public:
  virtual ~DirectoryPort() = default;
  virtual std::string configuration_key() const = 0;
  virtual std::string worker_prefix() const = 0;
  virtual tl::expected<CellConfiguration, std::string> ReadConfiguration(const StoreItem& item) const = 0;
  virtual tl::expected<WorkerEntry, std::string> ReadWorker(const StoreItem& item) const = 0;
};

// --- Time of day and the log -----------------------------------------------------------------------------------------

// The time of day, which may jump. Used only for due times of repeated jobs.
class WallClock {
 public:
  virtual ~WallClock() = default;
  virtual int64_t NowMs() const = 0;  // Milliseconds since 1970.
};

// Log of the scheduler's decisions, one line of key=value pairs each. Must not block.
class EventLog {
 public:
  virtual ~EventLog() = default;
  // Returns false if the component has used up its lines for this second, so that the caller can skip formatting.
  virtual bool Accepts(const char* component) = 0;
  virtual void Write(const char* component, const std::string& text) = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PORTS_H_
