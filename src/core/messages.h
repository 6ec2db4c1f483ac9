// Every value that enters or leaves the core: events in, actions out, and the messages between the hosts of the system.
// Nothing here does I/O. Ports translate: gRPC for peers, HTTP and JSON for everything else.
//
// Index:
//   1. Ids
//   2. The platform's list
//   3. Workers
//   4. Backend servers
//   5. The store
//   6. Peers
//   7. Callers and operators
//   8. Events and actions
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

// One task: a member of a request. Requests that are no gangs have the member 0 only.
struct TaskId {
  RequestKey key;
  int member = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  std::string ToString() const { return key.ToString() + "/" + std::to_string(member); }
};

// One execution of a task. The run number is drawn at random by the home host and never used twice.
struct RunId {
  TaskId task;
  uint64_t run = 0;

  friend auto operator<=>(const RunId&, const RunId&) = default;
  std::string ToString() const { return task.ToString() + "#" + std::to_string(run); }
};

// Identifies an outside call, so that its reply finds the part that made it.
using CallId = uint64_t;

// How far an outside call got when no reply came.
enum class Delivery {
  kAnswered,  // The reply is here.
  kNotSent,   // It surely never reached the far side.
  kUnknown,   // It may have taken effect.
};

// ---------------------------------------------------------------------------------------------------------------------
// 2. The platform's list
// ---------------------------------------------------------------------------------------------------------------------

enum class ListKind { kEntryHost, kWorker, kServer };

// One line of the platform's list. It lags: an entry may be gone or leaving for seconds already.
struct ListEntry {
  ListKind kind = ListKind::kWorker;
  std::string name;
  DataCentre data_centre;
  std::string rack;
  std::string address;   // "ip:port".
  bool leaving = false;  // True: give it nothing new.

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
  HostName home;  // Who is told of its end.
  Resources size;
  RunState state = RunState::kRunning;
  std::string body;  // The whole output, once ended.

  friend bool operator==(const WorkerTask&, const WorkerTask&) = default;
};

enum class WorkerOp {
  kAcquire,  // Take or renew the control lease; renews the run leases too and waits for ended runs.
  kStart,    // Start a run under the token.
  kStop,     // Stop a run under the token.
  kRelease,  // Give the control lease back.
};

struct WorkerCall {
  WorkerOp op = WorkerOp::kAcquire;
  HostName holder;
  uint64_t token = 0;  // Fencing token; 0 asks for a new lease.
  Duration ttl = 0us;  // Length of the control lease.
  Duration run_ttl =
      0us;  // Renewal and start: runs end this long after the last one. A new lease alone does not renew them.
  Duration wait = 0us;      // Acquire: answer only after this long, or when a run ends.
  std::vector<RunId> acks;  // Acquire: ended runs that the worker may forget.
  WorkerTask task;          // Start and stop.
  Duration run_time = 0us;  // Start: declared run time.
  std::string payload;      // Start: the task's input.

  friend bool operator==(const WorkerCall&, const WorkerCall&) = default;
};

enum class WorkerStatus {
  kOk,
  kHeldByOther,           // The control lease belongs to another host.
  kStaleToken,            // The token is old: nothing was done.
  kInsufficientCapacity,  // Start: does not fit: nothing was done.
  kDuplicate,             // Start: the task runs here already: nothing was done.
  kNoSuchRun,             // Stop: no such run here.
};

struct WorkerReply {
  WorkerStatus status = WorkerStatus::kOk;
  uint64_t token = 0;  // Acquire: the lease's token.
  Resources capacity;  // Acquire with a new token.
  bool full = false;   // True: `tasks` lists all runs; false: only those that ended.
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
  Duration deadline = 0us;  // The server drops the call if it has not begun by then.

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
  int slots = 0;     // Probe: how many calls it serves at once.
  std::string body;  // Whole: the port checks the length.

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
  uint64_t expected = 0;  // Put: the revision it replaces, 0 for none. Watch: answer when the revision differs.
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
  kIntent,     // A request that may not run twice is about to run.
  kAccepted,   // A deferred request was accepted.
  kStarted,    // An accepted request that may not run twice is about to run.
  kDone,       // The final answer to an accepted request.
  kWithdrawn,  // The intent of the same nonce surely did not run and never will.
};

struct LogRecord {
  LogRecordKind kind = LogRecordKind::kIntent;
  RequestKey key;
  uint64_t nonce = 0;  // Drawn by the home host for each request; tells its records from those of other attempts.
  HostName home;
  DataCentre data_centre;
  Duration accepted_at = 0us;  // Accepted: log time; filled in by the writer.
  uint64_t started_by = 0;     // Accepted, when it is written anew to outlive the horizon: the nonce that started it.
  Request request;             // Accepted.
  Answer answer;               // Done.

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

// What the log knows of one key.
struct LogEntry {
  enum class State { kNone, kIntent, kOpen, kDone };

  State state = State::kNone;
  HostName home;  // Open: who has the request, as far as the writer knows.
  Answer answer;  // Done.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// ---------------------------------------------------------------------------------------------------------------------
// 7. Peers
// ---------------------------------------------------------------------------------------------------------------------

// Sent to every host of the own data centre at a fixed beat.
struct Heartbeat {
  DataCentre data_centre;
  uint64_t incarnation = 0;  // Drawn at start; tells a restart from a pause.
  bool leaving = false;
  uint64_t config_version = 0;  // A peer that knows less asks for more.
  Resources free;               // Sum over the sender's workers.
  Resources largest;            // The most that one of its workers has free.
  int free_slots = 0;           // Backend server slots, less the calls that wait.
  uint64_t lease_count = 0;     // Leases of workers that the sender has taken since its start.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Entry host to home host: a caller's request. Answered by ForwardAnswer, maybe much later.
struct ForwardRequest {
  uint64_t forward_id = 0;
  Request request;
  bool resubmit = false;  // True: an earlier home host may have acted on it.

  friend bool operator==(const ForwardRequest&, const ForwardRequest&) = default;
};

struct ForwardAnswer {
  uint64_t forward_id = 0;
  Answer answer;

  friend bool operator==(const ForwardAnswer&, const ForwardAnswer&) = default;
};

// Home host to entry host: another host has this request, ask there.
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

// Home host to owner: find room on one of your workers and hold it. Nothing starts before the commit.
struct Reserve {
  RunId run;
  std::string class_name;
  WorkKind kind = WorkKind::kBatch;
  Resources size;
  Duration run_time = 0us;
  Duration start_within = 0us;  // What is left of the start target; the owner may queue until then.
  bool queue = true;            // False: answer at once.
  int members = 1;              // Of the gang that it belongs to: the owner admits all or none.
  // The receiver's lease count when the request was surely nowhere else: room on a worker leased later is refused,
  // since the request may have been claimed and started elsewhere before that. A sender that does not say is taken at
  // its word.
  uint64_t lease_count = std::numeric_limits<uint64_t>::max();

  friend bool operator==(const Reserve&, const Reserve&) = default;
};

// Owner to home host: the hold, or why there is none.
struct Reserved {
  RunId run;
  ResultCode code = ResultCode::kOk;
  WorkerName worker;
  uint64_t token = 0;
  Duration retry_after = 0us;

  friend bool operator==(const Reserved&, const Reserved&) = default;
};

// Home host to the worker's present owner: start the run that is held under this token. Repeated until a report comes:
// an owner that finds the run reports its state, one that surely never started it says so.
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

// Home host to owner: forget the hold. The run will never be committed.
struct ReleaseHold {
  RunId run;

  friend bool operator==(const ReleaseHold&, const ReleaseHold&) = default;
};

// Home host to the worker's present owner: stop the run.
struct StopRun {
  RunId run;
  WorkerName worker;

  friend bool operator==(const StopRun&, const StopRun&) = default;
};

enum class RunPhase {
  kStarted,
  kNotStarted,  // Surely never started.
  kDone,
  kFailed,
  kStopped,  // Surely ended, without an answer.
  kGone,     // Surely does not run now; it may have run, on a worker that has lost its memory since.
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

// Home host to owner of a backend server: carry out a call.
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

// Home host to every live host of the data centre: I want to run this request; do you know of an earlier attempt?
// Who answers "unknown to me" refuses every other home host from then on.
struct Claim {
  RequestKey key;
  uint64_t view = 0;   // Digest of the sender's live hosts.
  uint64_t claim = 0;  // Drawn at random for each claim; all of its rounds carry the same.
  HostName home;       // Who claims, if that is a host of another data centre; empty: the sender.

  friend bool operator==(const Claim&, const Claim&) = default;
};

struct ClaimAnswer {
  RequestKey key;
  uint64_t view = 0;             // Digest of the answerer's live hosts.
  bool covered = false;          // True: every worker that falls to the answerer is under its lease.
  bool known_elsewhere = false;  // True: another home host has it.
  std::vector<RunReport> runs;   // Runs of this request on the answerer's workers.
  HostName home;                 // As the claim named it.

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

// The whole configuration, to a peer that knows less.
struct ConfigPush {
  Configuration configuration;

  friend bool operator==(const ConfigPush&, const ConfigPush&) = default;
};

// One host in the digest of its data centre.
struct DigestHost {
  HostName name;
  int free_slots = 0;  // Backend server slots, less the calls that wait; rounded.

  friend bool operator==(const DigestHost&, const DigestHost&) = default;
};

// What a data centre tells another one: sent by one of its hosts to one host there, on change and as a keepalive. The
// receiver passes it on inside its own data centre.
struct Digest {
  DataCentre data_centre;
  bool relayed = false;              // Passed on inside the receiver's data centre.
  bool wants_configuration = false;  // True: the receiver should send the configuration that it knows.
  uint64_t config_version = 0;
  Resources free;                 // Sum over the data centre's workers, rounded.
  Resources largest;              // The most that one worker has free, rounded.
  std::vector<DigestHost> hosts;  // The live ones.

  friend bool operator==(const Digest&, const Digest&) = default;
};

// Home host to one host of another data centre: I want to run this request; claim it for me in your data centre.
// Answered only when all live hosts there gave their word.
struct CentreClaim {
  RequestKey key;
  uint64_t claim = 0;

  friend bool operator==(const CentreClaim&, const CentreClaim&) = default;
};

struct CentreClaimAnswer {
  RequestKey key;
  DataCentre data_centre;  // That of the answerer.
  HostName home;           // Who has the request there; empty: nobody, and nobody will take it but the claimant.

  friend bool operator==(const CentreClaimAnswer&, const CentreClaimAnswer&) = default;
};

// A home host gave up its claim before it held: whoever was fenced by it no longer is.
struct ClaimRetract {
  RequestKey key;
  uint64_t claim = 0;
  HostName home;        // Whose claim; empty: the sender's.
  bool spread = false;  // True: the receiver passes it on inside its data centre.

  friend bool operator==(const ClaimRetract&, const ClaimRetract&) = default;
};

// What the hosts of a data centre pick their log writer by.
inline constexpr char kLogWriterKey[] = "log";

// Home host to its data centre's log writer: keep this record. Repeated with the same nonce until answered.
struct LogAppend {
  LogRecord record;
  Duration patience = 0us;  // After this a record that is not on its way to the store is given back.
  bool repeated = false;    // True: an earlier writer may have it on its way.

  friend bool operator==(const LogAppend&, const LogAppend&) = default;
};

enum class LogOutcome {
  kRecorded,     // It stands in the log, and no other record of its key stands before it.
  kDuplicate,    // Another record of its key stands in the log: `found`.
  kNotRecorded,  // The store is out: it surely does not stand in the log and never will.
  kUnknown,      // It may stand in the log, or come to stand there.
  kTooLarge,     // The store would not hold it.
};

struct LogAppended {
  LogRecordKind kind = LogRecordKind::kIntent;
  RequestKey key;
  uint64_t nonce = 0;
  LogOutcome outcome = LogOutcome::kRecorded;
  LogEntry found;

  friend bool operator==(const LogAppended&, const LogAppended&) = default;
};

// Any host to the log writer: what stands in the log under this key? `reference` comes back in the answer.
struct LogLookup {
  uint64_t reference = 0;
  RequestKey key;

  friend bool operator==(const LogLookup&, const LogLookup&) = default;
};

struct LogFound {
  uint64_t reference = 0;
  RequestKey key;
  bool current = false;  // False: the writer has not read the whole log and cannot say.
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
  HostName home;  // Who has it now.

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

// An operator's new configuration, to replace the version named.
struct OperatorConfigSet {
  ExchangeId exchange = 0;
  uint64_t expected_version = 0;
  Configuration configuration;
};

// An operator asks for the configurations that were in force, the latest first.
struct OperatorHistory {
  ExchangeId exchange = 0;
  int limit = 10;  // Versions wanted; 1 to kMaxConfigHistory.
};

inline constexpr int kMaxConfigHistory = 100;  // Versions kept.

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
  std::vector<Configuration> versions;  // The latest first.
};

// A line for the log.
struct LogLine {
  std::string component;  // The fixed prefix.
  std::string text;
};

// The planned stop is complete: nothing is open any more.
struct Exit {};

// A fact about a request, for the metrics.
struct RequestObservation {
  enum class Milestone {
    kStarted,  // A task or call started; `after` its acceptance.
    kEnded,    // The request has its final answer; `after` its acceptance.
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
