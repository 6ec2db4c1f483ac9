// What the cell scheduler needs from outside, as interfaces: the store, the workers, the advice service and the other
// hosts. An implementation calls back on the control thread, once for each call, never from inside the call itself.
#ifndef HIBISCUSSTAND_SRC_CELL_PORTS_H_
#define HIBISCUSSTAND_SRC_CELL_PORTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "cell/values.h"

namespace hibiscus::cell {

// --- The store -------------------------------------------------------------------------------------------------------

struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;  // Of its last change.
  uint64_t lease = 0;     // 0: none.
  bool removed = false;   // Only in answers to Watch.

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// A key must have been changed last at this revision; 0: it must not exist.
struct RevisionCheck {
  std::string key;
  uint64_t revision = 0;

  friend bool operator==(const RevisionCheck&, const RevisionCheck&) = default;
};

struct StoreWrite {
  std::string key;
  std::string value;
  uint64_t lease = 0;  // The key goes when this lease ends. 0: it stays.

  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};

// Carried out as a whole, if every expectation holds, or not at all.
struct StoreTransaction {
  std::vector<RevisionCheck> expected;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;

  size_t entries() const { return expected.size() + writes.size() + removals.size(); }
  friend bool operator==(const StoreTransaction&, const StoreTransaction&) = default;
};

// What one transaction may hold.
inline constexpr size_t kMaxTransactionEntries = 32;

enum class StoreStatus {
  kOk,
  kConflict,     // An expectation did not hold; `items` holds the expected keys as they are.
  kNoLease,      // The lease has ended.
  kNotFound,     // No such key.
  kHistoryLost,  // A watch: the changes since are gone; read everything again.
  kNotDone,      // Refused or not sent: nothing was done.
  kUnknown,      // No answer: it may have been done, or be done later if its expectations still hold.
};
const char* NameOf(StoreStatus status);

struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  uint64_t revision = 0;         // Of the transaction, or of the store when it read.
  uint64_t lease = 0;            // GrantLease.
  std::vector<StoreItem> items;  // Reads, watches and conflicts.
  bool has_more = false;         // Range: another page follows the last key.

  friend bool operator==(const StoreAnswer&, const StoreAnswer&) = default;
};

class StorePort {
 public:
  using Done = std::function<void(const StoreAnswer&)>;

  virtual ~StorePort() = default;
  virtual void Read(const std::string& key, Done done) = 0;
  // One page of the keys with this prefix, after `after`.
  virtual void Range(const std::string& prefix, const std::string& after, Done done) = 0;
  // Changes after a revision, waiting up to `wait` for the first.
  virtual void Watch(const std::string& prefix, uint64_t after, Duration wait, Done done) = 0;
  virtual void Commit(const StoreTransaction& transaction, Done done) = 0;
  virtual void GrantLease(Duration ttl, Done done) = 0;
  virtual void KeepLease(uint64_t lease, Done done) = 0;
  virtual void EndLease(uint64_t lease, Done done) = 0;
};

// --- Workers ---------------------------------------------------------------------------------------------------------

// One life of a worker: its orders reach no later one.
struct WorkerTarget {
  std::string id;
  std::string address;     // "ip:port".
  DataCentre data_centre;  // Empty: not known.

  friend auto operator<=>(const WorkerTarget&, const WorkerTarget&) = default;
};

enum class OrderStatus {
  kOk,
  kFenced,         // It has seen a higher token.
  kStale,          // The run is not higher than one that was stopped or ended there.
  kLate,           // The deadline of the order has passed.
  kNoRoom,         // It would not fit.
  kNoTicket,       // The ticket is missing or no longer valid.
  kMalformed,      // It could not be read.
  kUnhealthy,      // Refused by an unhealthy worker; nothing was done.
  kOtherInstance,  // Another life answers at that address.
  kNotSent,        // Surely never reached it.
  kUnknown,        // No answer: it may have been carried out, or be carried out later.
};
const char* NameOf(OrderStatus status);

// True if the order was surely not carried out and never will be.
bool IsDefinitelyNotExecuted(OrderStatus status);

struct RunningRun {
  RunRef run;
  std::string checkpoint;  // Empty: none.
  int percent = 0;         // How far a task is; of a long-running one 100 once it is at work.

  friend bool operator==(const RunningRun&, const RunningRun&) = default;
};

struct EndedRun {
  int64_t number = 0;  // From 1 in each life of a worker, rising.
  RunRef run;
  EndKind how = EndKind::kDone;
  std::string checkpoint;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

// Most rows of ends in one answer; more follow once these are acknowledged.
inline constexpr size_t kMaxEndedRuns = 500;

struct OrderAnswer {
  OrderStatus status = OrderStatus::kUnknown;
  Duration worker_clock = 0us;      // The worker's own clock when it answered.
  int64_t born_ms = 0;              // Of the life that answered; 0: not said.
  std::vector<RunningRun> running;  // Only of Hold.
  std::vector<EndedRun> ended;      // Only of Hold.

  friend bool operator==(const OrderAnswer&, const OrderAnswer&) = default;
};

// An answer without lists.
inline OrderAnswer AnswerOf(OrderStatus status) {
  OrderAnswer answer;
  answer.status = status;
  return answer;
}

struct StartOrder {
  RunRef run;
  std::string payload;
  Duration deadline = 0us;  // On the worker's clock: refused when it arrives later.
  uint64_t token = 0;
  std::string checkpoint;  // Empty: from the beginning.
  std::string ticket;      // Empty: the queue needs none.

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

struct HoldOrder {
  uint64_t token = 0;
  int64_t acknowledged = 0;  // Ends up to this number may be forgotten.
  Duration deadline = 0us;   // On the worker's clock: all its runs are killed then. 0: left as it is.
  Duration wait = 0us;       // For an end, before it answers.

  friend bool operator==(const HoldOrder&, const HoldOrder&) = default;
};

class WorkerPort {
 public:
  using Done = std::function<void(const OrderAnswer&)>;

  virtual ~WorkerPort() = default;
  virtual void Start(const WorkerTarget& worker, const StartOrder& order, Done done) = 0;
  virtual void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, Done done) = 0;
  virtual void Hold(const WorkerTarget& worker, const HoldOrder& order, Done done) = 0;
};

// --- Advice ----------------------------------------------------------------------------------------------------------

struct Ticket {
  std::string worker;
  std::string ticket;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

struct AdviceAnswer {
  bool answered = false;
  std::vector<Ticket> allowed;  // The workers asked about that may run the step.

  friend bool operator==(const AdviceAnswer&, const AdviceAnswer&) = default;
};

// Most workers that one question may name.
inline constexpr size_t kMaxWorkersPerQuestion = 100;

class AdvicePort {
 public:
  using Done = std::function<void(const AdviceAnswer&)>;

  virtual ~AdvicePort() = default;
  // `step` names job, occurrence and step; its index is unused.
  virtual void Ask(const TaskRef& step, const std::vector<std::string>& workers, Duration timeout, Done done) = 0;
};

// --- Other hosts -----------------------------------------------------------------------------------------------------

class PeerPort {
 public:
  virtual ~PeerPort() = default;
  // Sends without waiting; a message may be lost, late or twice.
  virtual void Send(const std::string& address, std::string message) = 0;
};

// --- The platform's own entries in the store
// --------------------------------------------------------------------------

// Where operators and workers write, and how to read it. Unreadable bytes are an error in one sentence.
class DirectoryPort {
 public:
  virtual ~DirectoryPort() = default;
  virtual std::string configuration_key() const = 0;
  virtual std::string worker_prefix() const = 0;
  virtual tl::expected<CellConfiguration, std::string> ReadConfiguration(const StoreItem& item) const = 0;
  virtual tl::expected<WorkerEntry, std::string> ReadWorker(const StoreItem& item) const = 0;
};

// --- Time of day and the log -----------------------------------------------------------------------------------------

// The time of day. It may jump; used only for due times of repeated jobs.
class WallClock {
 public:
  virtual ~WallClock() = default;
  virtual int64_t NowMs() const = 0;  // Since 1970.
};

// Takes one line for each decision; key=value words. Must not block.
class EventLog {
 public:
  virtual ~EventLog() = default;
  // False: the part has used up its lines of this second, so the caller need not make the text.
  virtual bool Accepts(const char* component) = 0;
  virtual void Write(const char* component, const std::string& text) = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PORTS_H_
