// All inputs and outputs of the core: events, actions and the messages between hosts. Nothing here does I/O. The ports
// translate these types: gRPC for peers, HTTP and JSON for everything else.
//
// Index:
//   1. Ids
//   2. The platform's list
//   3. Workers
//   4. Backend servers
//   5. The store
//   6. Records of the log
//   7. Peers
//   8. Callers and operators
//   9. Events and actions
#ifndef HIBISCUSSTAND_SRC_CORE_MESSAGES_H_
#define HIBISCUSSTAND_SRC_CORE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus {

// ---------------------------------------------------------------------------------------------------------------------
// 1. Ids
// ---------------------------------------------------------------------------------------------------------------------

// One task: a member of a request. A request that is not a gang has only member 0.
struct TaskId {
  RequestKey key;
  int member = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  std::string ToString() const { return key.ToString() + "/" + std::to_string(member); }
};

// One execution of a task. The home host chooses the run number at random and never reuses it.
struct RunId {
  TaskId task;
  uint64_t run = 0;

  friend auto operator<=>(const RunId&, const RunId&) = default;
  std::string ToString() const { return task.ToString() + "#" + std::to_string(run); }
};

// Identifies a call to a worker, backend server or the store, so that its reply reaches the role that made it.
using CallId = uint64_t;

// Whether a call was answered and, if not, whether it may have taken effect.
enum class Delivery {
  kAnswered,  // The reply arrived.
  kNotSent,   // The call certainly never reached the remote side.
  kUnknown,   // The call may have taken effect.
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. The platform's list
// ---------------------------------------------------------------------------------------------------------------------

enum class ListKind { kEntryHost, kWorker, kServer };

// One entry of the platform's list. The list lags: an entry may have been gone or leaving for seconds.
struct ListEntry {
  ListKind kind = ListKind::kWorker;
  std::string name;
  DataCentre data_centre;
  std::string rack;
  std::string address;   // "ip:port".
  bool leaving = false;  // True: assign it no new work.

  friend bool operator==(const ListEntry&, const ListEntry&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. Workers
// ---------------------------------------------------------------------------------------------------------------------

enum class RunState { kRunning, kDone, kFailed };

// A run as its worker knows it.
struct WorkerTask {
  RunId run;
  std::string class_name;
  HostName home;  // Receives the report when the run ends.
  Resources size;
  RunState state = RunState::kRunning;
  std::string body;  // The complete output, after the run ended.

  friend bool operator==(const WorkerTask&, const WorkerTask&) = default;
};

enum class WorkerOp {
  kAcquire,  // Acquire or renew the control lease; also renews the run leases and waits for runs to end.
  kStart,    // Start a run under the token.
  kStop,     // Stop a run under the token.
  kRelease,  // Release the control lease.
};

struct WorkerCall {
  WorkerOp op = WorkerOp::kAcquire;
  HostName holder;
  uint64_t token = 0;  // Fencing token; 0 asks for a new lease.
  Duration ttl = 0us;  // Duration of the control lease.
  // Renewal and start: runs end this long after the last renewal. A new lease alone does not renew them.
  Duration run_ttl = 0us;
  Duration wait = 0us;      // Acquire: answer only after this long, or when a run ends.
  std::vector<RunId> acks;  // Acquire: ended runs that the worker may discard.
  WorkerTask task;          // Start and stop.
  Duration run_time = 0us;  // Start: declared run time.
  std::string payload;      // Start: the task's input.

  friend bool operator==(const WorkerCall&, const WorkerCall&) = default;
};

enum class WorkerStatus {
  kOk,
  kHeldByOther,           // Another host holds the control lease.
  kStaleToken,            // The token is outdated; nothing was done.
  kInsufficientCapacity,  // Start: the task does not fit; nothing was done.
  kDuplicate,             // Start: the task already runs here; nothing was done.
  kNoSuchRun,             // Stop: the worker has no such run.
};

struct WorkerReply {
  WorkerStatus status = WorkerStatus::kOk;
  uint64_t token = 0;  // Acquire: the lease's token.
  Resources capacity;  // Acquire with a new token.
  bool full = false;   // True: `tasks` contains all runs; false: only ended ones.
  std::vector<WorkerTask> tasks;

  friend bool operator==(const WorkerReply&, const WorkerReply&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 4. Backend servers
// ---------------------------------------------------------------------------------------------------------------------

enum class ServerOp { kProbe, kExecute };

struct ServerCall {
  ServerOp op = ServerOp::kProbe;
  RunId run;
  std::string payload;
  Duration deadline = 0us;  // The server discards the call if it has not started by then.

  friend bool operator==(const ServerCall&, const ServerCall&) = default;
};

enum class ServerStatus {
  kOk,
  kRefused,  // Busy or leaving: the call did not run.
  kFailed,   // The call ran and failed.
};

struct ServerReply {
  ServerStatus status = ServerStatus::kOk;
  bool leaving = false;
  int slots = 0;     // Probe: number of concurrent calls that the server accepts.
  std::string body;  // Complete: the port verifies the length.

  friend bool operator==(const ServerReply&, const ServerReply&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 5. The store
// ---------------------------------------------------------------------------------------------------------------------

enum class StoreOp { kGet, kPut, kDelete, kWatch };

struct StoreCall {
  StoreOp op = StoreOp::kGet;
  std::string key;
  std::string value;
  uint64_t expected = 0;  // Put: the revision to replace, 0 if none. Watch: answer when the revision differs.
  Duration wait = 0us;    // Watch: answer no later than this.

  friend bool operator==(const StoreCall&, const StoreCall&) = default;
};

enum class StoreStatus { kOk, kConflict, kAbsent };

struct StoreReply {
  StoreStatus status = StoreStatus::kOk;
  std::string value;
  uint64_t revision = 0;

  friend bool operator==(const StoreReply&, const StoreReply&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 6. Records of the log
// ---------------------------------------------------------------------------------------------------------------------

enum class LogRecordKind {
  kIntent,     // A request that must not run twice is about to run.
  kAccepted,   // A deferred request was accepted.
  kStarted,    // An accepted request that must not run twice is about to run.
  kDone,       // The final answer to an accepted request.
  kWithdrawn,  // The request of the intent with the same nonce did not run and never will.
};

struct LogRecord {
  LogRecordKind kind = LogRecordKind::kIntent;
  RequestKey key;
  // Chosen by the home host for each request; distinguishes its records from those of other attempts.
  uint64_t nonce = 0;
  HostName home;
  DataCentre data_centre;
  Duration accepted_at = 0us;  // Accepted: log time; filled in by the writer.
  uint64_t started_by = 0;     // Accepted, if rewritten to outlive the log horizon: the nonce that started it.
  Request request;             // Accepted.
  Answer answer;               // Done.

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

// The state of one key in the log.
struct LogEntry {
  enum class State { kNone, kIntent, kOpen, kDone };

  State state = State::kNone;
  HostName home;  // Open: the home host, as far as the writer knows.
  Answer answer;  // Done.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 7. Peers
// ---------------------------------------------------------------------------------------------------------------------

// Sent to every host of the own data centre at a fixed interval.
struct Heartbeat {
  DataCentre data_centre;
  uint64_t incarnation = 0;  // Random number chosen at start; distinguishes a restart from a pause.
  bool leaving = false;
  uint64_t config_version = 0;  // A peer with a newer version pushes its configuration.
  Resources free;               // Sum over the sender's workers.
  Resources largest;            // The largest free capacity of a single worker.
  int free_slots = 0;           // Free backend server slots minus queued calls.
  uint64_t lease_count = 0;     // Worker leases that the sender has acquired since its start.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Entry host to home host: a caller's request. Answered by ForwardAnswer, possibly much later.
struct ForwardRequest {
  uint64_t forward_id = 0;
  Request request;
  bool resubmit = false;  // True: an earlier home host may have processed it.

  friend bool operator==(const ForwardRequest&, const ForwardRequest&) = default;
};

struct ForwardAnswer {
  uint64_t forward_id = 0;
  Answer answer;

  friend bool operator==(const ForwardAnswer&, const ForwardAnswer&) = default;
};

// Home host to entry host: another host is the home of this request; forward to that host.
struct ForwardMoved {
  uint64_t forward_id = 0;
  HostName home;

  friend bool operator==(const ForwardMoved&, const ForwardMoved&) = default;
};

// Entry host to home host: cancel, or ask for the result. Answered by ForwardAnswer.
struct ForwardCancel {
  uint64_t forward_id = 0;
  RequestKey key;

  friend bool operator==(const ForwardCancel&, const ForwardCancel&) = default;
};

struct ForwardQuery {
  uint64_t forward_id = 0;
  RequestKey key;

  friend bool operator==(const ForwardQuery&, const ForwardQuery&) = default;
};

// Home host to owner: reserve capacity on one of the owner's workers. Nothing starts before the commit.
struct Reserve {
  RunId run;
  std::string class_name;
  WorkKind kind = WorkKind::kBatch;
  Resources size;
  Duration run_time = 0us;
  Duration start_within = 0us;  // Time left until the start target; the owner may queue the request until then.
  bool queue = true;            // False: answer at once.
  int members = 1;              // Size of the gang; the owner admits all members or none.
  // The receiver's lease count at a time when the request was certainly not held by another host. Workers leased later
  // are refused, since the request may have been claimed and started on them before. The default accepts every worker.
  uint64_t lease_count = std::numeric_limits<uint64_t>::max();

  friend bool operator==(const Reserve&, const Reserve&) = default;
};

// Owner to home host: the reservation, or the reason for its refusal.
struct Reserved {
  RunId run;
  ResultCode code = ResultCode::kOk;
  WorkerName worker;
  uint64_t token = 0;
  Duration retry_after = 0us;

  friend bool operator==(const Reserved&, const Reserved&) = default;
};

// Home host to the worker's current owner: start the run that was reserved under this token. Repeated until a report
// arrives: an owner that finds the run reports its state, an owner that certainly never started it reports kNotStarted.
struct Commit {
  RunId run;
  WorkerName worker;
  uint64_t token = 0;
  std::string class_name;
  Resources size;
  Duration run_time = 0us;
  std::string payload;

  friend bool operator==(const Commit&, const Commit&) = default;
};

// Home host to owner: release the reservation. The run will never be committed.
struct ReleaseHold {
  RunId run;

  friend bool operator==(const ReleaseHold&, const ReleaseHold&) = default;
};

// Home host to the worker's current owner: stop the run.
struct StopRun {
  RunId run;
  WorkerName worker;

  friend bool operator==(const StopRun&, const StopRun&) = default;
};

enum class RunPhase {
  kStarted,
  kNotStarted,  // Certainly never started.
  kDone,
  kFailed,
  kStopped,  // Certainly ended, without an answer.
  kGone,     // Certainly not running now; it may have run on a worker that has lost its state since.
};

// Owner to home host. Ends are repeated until acknowledged.
struct RunReport {
  RunId run;
  WorkerName worker;
  uint64_t token = 0;
  RunPhase phase = RunPhase::kStarted;
  std::string body;

  friend bool operator==(const RunReport&, const RunReport&) = default;
};

struct RunReportAck {
  RunId run;
  WorkerName worker;

  friend bool operator==(const RunReportAck&, const RunReportAck&) = default;
};

// Home host to owner of a backend server: execute a call.
struct CallDispatch {
  RunId run;
  std::string class_name;
  std::string payload;
  Duration start_within = 0us;
  Duration finish_within = 0us;

  friend bool operator==(const CallDispatch&, const CallDispatch&) = default;
};

struct CallResult {
  RunId run;
  ResultCode code = ResultCode::kOk;
  Verdict verdict = Verdict::kNotRun;
  std::string body;
  Duration retry_after = 0us;

  friend bool operator==(const CallResult&, const CallResult&) = default;
};

// Home host to every live host of the data centre: claims the right to run this request and asks for earlier attempts.
// A receiver that knows of none refuses the request to every other home host from then on.
struct Claim {
  RequestKey key;
  uint64_t view = 0;   // Hash of the sender's live hosts.
  uint64_t claim = 0;  // Random id of the claim, the same in all of its rounds.
  HostName home;       // The claimant, if it is a host of another data centre; empty: the sender.

  friend bool operator==(const Claim&, const Claim&) = default;
};

struct ClaimAnswer {
  RequestKey key;
  uint64_t view = 0;             // Hash of the answering host's live hosts.
  bool covered = false;          // True: the answering host holds the leases of all workers assigned to it.
  bool known_elsewhere = false;  // True: another home host has the request.
  std::vector<RunReport> runs;   // Runs of this request on the answering host's workers.
  HostName home;                 // Copied from the claim.

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

// The complete configuration, sent to a peer with an older version.
struct ConfigPush {
  Configuration configuration;

  friend bool operator==(const ConfigPush&, const ConfigPush&) = default;
};

// One host in the digest of its data centre.
struct DigestHost {
  HostName name;
  int free_slots = 0;  // Free backend server slots minus queued calls, rounded.

  friend bool operator==(const DigestHost&, const DigestHost&) = default;
};

// Summary of a data centre's state. One of its hosts sends it to one host of another data centre, on change and as a
// keepalive; the receiver relays it inside its own data centre.
struct Digest {
  DataCentre data_centre;
  bool relayed = false;              // Relayed inside the receiver's data centre.
  bool wants_configuration = false;  // True: the receiver should send its configuration.
  uint64_t config_version = 0;
  Resources free;                 // Sum over the data centre's workers, rounded.
  Resources largest;              // The largest free capacity of a single worker, rounded.
  std::vector<DigestHost> hosts;  // The live hosts.

  friend bool operator==(const Digest&, const Digest&) = default;
};

// Home host to one host of another data centre: claims this request from all hosts of that data centre on behalf of the
// sender. Answered once all live hosts there have granted the claim, or one of them reports another home host.
struct CentreClaim {
  RequestKey key;
  uint64_t claim = 0;

  friend bool operator==(const CentreClaim&, const CentreClaim&) = default;
};

struct CentreClaimAnswer {
  RequestKey key;
  DataCentre data_centre;  // The answering host's data centre.
  HostName home;           // The home host there; empty: none, and only the claimant may take the request.

  friend bool operator==(const CentreClaimAnswer&, const CentreClaimAnswer&) = default;
};

// A home host abandoned its claim before it was granted; hosts that were refused because of it may claim again.
struct ClaimRetract {
  RequestKey key;
  uint64_t claim = 0;
  HostName home;        // The claimant; empty: the sender.
  bool spread = false;  // True: the receiver relays it inside its data centre.

  friend bool operator==(const ClaimRetract&, const ClaimRetract&) = default;
};

// Rendezvous key by which the hosts of a data centre select their log writer.
inline constexpr char kLogWriterKey[] = "log";

// Home host to its data centre's log writer: append this record. Repeated with the same nonce until answered.
struct LogAppend {
  LogRecord record;
  Duration patience = 0us;  // Timeout after which a record that is not being written to the store is returned.
  bool repeated = false;    // True: an earlier writer may be writing it.

  friend bool operator==(const LogAppend&, const LogAppend&) = default;
};

enum class LogOutcome {
  kRecorded,     // The record is in the log, and no other record of its key precedes it.
  kDuplicate,    // The log already contains another record of its key: `found`.
  kNotRecorded,  // The store is unavailable; the record is not in the log and never will be.
  kUnknown,      // The record may be in the log, or may still be written to it.
  kTooLarge,     // The record exceeds the store's size limit.
};

struct LogAppended {
  LogRecordKind kind = LogRecordKind::kIntent;
  RequestKey key;
  uint64_t nonce = 0;
  LogOutcome outcome = LogOutcome::kRecorded;
  LogEntry found;

  friend bool operator==(const LogAppended&, const LogAppended&) = default;
};

// Any host to the log writer: look up a key in the log. `reference` is copied to the answer.
struct LogLookup {
  uint64_t reference = 0;
  RequestKey key;

  friend bool operator==(const LogLookup&, const LogLookup&) = default;
};

struct LogFound {
  uint64_t reference = 0;
  RequestKey key;
  bool current = false;  // False: the writer has not read the whole log, so `found` is not reliable.
  LogEntry found;

  friend bool operator==(const LogFound&, const LogFound&) = default;
};

// Log writer to the new home host: this accepted request lost its home host. Repeated until answered.
struct LogResume {
  Request request;
  Duration age = 0us;    // Since its acceptance.
  bool started = false;  // True: the former home host may have run it.

  friend bool operator==(const LogResume&, const LogResume&) = default;
};

struct LogResumed {
  RequestKey key;
  HostName home;  // The current home host.

  friend bool operator==(const LogResumed&, const LogResumed&) = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 ForwardRequest,
                                 ForwardAnswer,
                                 ForwardMoved,
                                 ForwardCancel,
                                 ForwardQuery,
                                 Reserve,
                                 Reserved,
                                 Commit,
                                 ReleaseHold,
                                 StopRun,
                                 RunReport,
                                 RunReportAck,
                                 CallDispatch,
                                 CallResult,
                                 Claim,
                                 ClaimAnswer,
                                 ConfigPush,
                                 Digest,
                                 CentreClaim,
                                 CentreClaimAnswer,
                                 ClaimRetract,
                                 LogAppend,
                                 LogAppended,
                                 LogLookup,
                                 LogFound,
                                 LogResume,
                                 LogResumed>;

// ---------------------------------------------------------------------------------------------------------------------
// 8. Callers and operators
// ---------------------------------------------------------------------------------------------------------------------

// Identifies an open exchange with a caller or operator on this host.
using ExchangeId = uint64_t;

struct CallerSubmit {
  ExchangeId exchange = 0;
  Request request;
};

struct CallerQuery {
  ExchangeId exchange = 0;
  RequestKey key;
};

struct CallerCancel {
  ExchangeId exchange = 0;
  RequestKey key;
};

// A new configuration from an operator, to replace `expected_version`.
struct OperatorConfigSet {
  ExchangeId exchange = 0;
  uint64_t expected_version = 0;
  Configuration configuration;
};

// An operator's query for past configurations, latest first.
struct OperatorHistory {
  ExchangeId exchange = 0;
  int limit = 10;  // Number of versions, 1 to kMaxConfigHistory.
};

inline constexpr int kMaxConfigHistory = 100;  // Versions retained in the store.

// ---------------------------------------------------------------------------------------------------------------------
// 9. Events and actions
// ---------------------------------------------------------------------------------------------------------------------

struct TickEvent {};

// The platform asked this host to leave.
struct LeaveEvent {};

struct ListEvent {
  std::vector<ListEntry> entries;
};

struct PeerEvent {
  HostName from;
  PeerMessage message;
};

struct WorkerEvent {
  CallId call = 0;
  Delivery delivery = Delivery::kAnswered;
  WorkerReply reply;
};

struct ServerEvent {
  CallId call = 0;
  Delivery delivery = Delivery::kAnswered;
  ServerReply reply;
};

struct StoreEvent {
  CallId call = 0;
  Delivery delivery = Delivery::kAnswered;
  StoreReply reply;
};

using Event = std::variant<TickEvent,
                           LeaveEvent,
                           ListEvent,
                           PeerEvent,
                           WorkerEvent,
                           ServerEvent,
                           StoreEvent,
                           CallerSubmit,
                           CallerQuery,
                           CallerCancel,
                           OperatorConfigSet,
                           OperatorHistory>;

struct SendPeer {
  HostName to;
  PeerMessage message;
};

struct SendWorker {
  CallId call = 0;
  WorkerName worker;
  std::string address;
  WorkerCall request;
  Duration timeout = 0us;
};

struct SendServer {
  CallId call = 0;
  ServerName server;
  std::string address;
  ServerCall request;
  Duration timeout = 0us;
};

struct SendStore {
  CallId call = 0;
  StoreCall request;
  Duration timeout = 0us;
};

struct AnswerCaller {
  ExchangeId exchange = 0;
  Answer answer;
};

struct AnswerOperator {
  ExchangeId exchange = 0;
  ResultCode code = ResultCode::kOk;
  Configuration configuration;
};

struct AnswerHistory {
  ExchangeId exchange = 0;
  ResultCode code = ResultCode::kOk;
  std::vector<Configuration> versions;  // Latest first.
};

// A line for the log.
struct LogLine {
  std::string component;  // Name of the component, the fixed prefix of the line.
  std::string text;
};

// The planned stop is complete: no requests are open, or its time limit has passed.
struct Exit {};

// A milestone of a request, recorded in the metrics.
struct RequestObservation {
  enum class Milestone {
    kStarted,  // A task or call started, `elapsed` after acceptance.
    kEnded,    // The request received its final answer, `elapsed` after acceptance.
  };

  Milestone milestone = Milestone::kStarted;
  std::string tenant;
  std::string class_name;
  Duration elapsed = 0us;
};

using Action = std::variant<SendPeer,
                            SendWorker,
                            SendServer,
                            SendStore,
                            AnswerCaller,
                            AnswerOperator,
                            LogLine,
                            Exit,
                            RequestObservation,
                            AnswerHistory>;

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_MESSAGES_H_
