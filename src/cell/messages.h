// Messages between the hosts of a cell. A message may be lost, delayed or duplicated; a sender that needs an answer
// repeats its request.
#ifndef HIBISCUSSTAND_SRC_CELL_MESSAGES_H_
#define HIBISCUSSTAND_SRC_CELL_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "cell/ports.h"
#include "cell/values.h"

namespace hibiscus::cell {

enum class CallerKind { kSubmit, kState, kCancel, kPending };
const char* NameOf(CallerKind kind);

// A caller's request that a host forwards to the owner. It may be repeated: requests for the same job id are
// idempotent.
struct CallerRequest {
  uint64_t call = 0;     // Id of the call, chosen by the sender.
  std::string reply_to;  // Peer address of the sender.
  CallerKind kind = CallerKind::kState;
  std::string queue;
  std::string job;    // Empty for kPending.
  std::string spec;   // kSubmit: the encoded JobSpec.
  uint64_t term = 0;  // Term of the addressed owner; owners of later terms decline, so the sender must ask again.
  Duration time_left = 0us;  // Time until the caller stops waiting; 0 if unknown.
  KeyDigest key;             // Of the caller's API key; empty if it sent none.

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

enum class CallerOutcome {
  kDone,            // Submit, cancel: committed to the store. State, pending: the reply holds the result.
  kNoSuchJob,       // State, cancel: the queue has no job of this id.
  kRejected,        // Submit: the job was not accepted and will never run; retry after `retry_after`.
  kUnavailable,     // Nothing was done, and the job's state is unknown; retry after `retry_after`.
  kOutcomeUnknown,  // Submit, cancel: may have been committed to the store; repeat the request.
  kNotOwner,        // Nothing was done; this host does not own the cell.
  kUnauthorized,    // Nothing was done: the call carries no valid API key.
  kInvalidJob,      // Submit: the job was not accepted, and repeating the request will not help.
};
const char* NameOf(CallerOutcome outcome);
// True if the request was refused: it was not carried out and never will be.
bool IsRefusal(CallerOutcome outcome);

struct CallerReply {
  uint64_t call = 0;
  CallerOutcome outcome = CallerOutcome::kOutcomeUnknown;
  JobState state = JobState::kQueued;  // Result of kState.
  int64_t pending = 0;                 // Result of kPending: number of jobs that have not started.
  Duration retry_after = 0us;
  uint64_t term = 0;  // Term of the owner that replies.

  friend bool operator==(const CallerReply&, const CallerReply&) = default;
};

// The owner has another host call the advice service, because the service handles the calls of one host one at a time.
struct AdviceRequest {
  uint64_t call = 0;
  std::string reply_to;
  TaskRef step;
  std::vector<std::string> workers;
  Duration timeout = 0us;

  friend bool operator==(const AdviceRequest&, const AdviceRequest&) = default;
};

struct AdviceReply {
  uint64_t call = 0;
  bool answered = false;
  std::vector<Ticket> allowed;

  friend bool operator==(const AdviceReply&, const AdviceReply&) = default;
};

// Asks a host which owner it knows; answered with OwnerAnnouncement.
struct OwnerQuery {
  std::string reply_to;

  friend bool operator==(const OwnerQuery&, const OwnerQuery&) = default;
};

// The owner of the cell as the sender knows it. The announcement with the higher term is newer.
struct OwnerAnnouncement {
  uint64_t term = 0;  // 0 if the sender knows no owner.
  HostName host;
  std::string address;

  friend bool operator==(const OwnerAnnouncement&, const OwnerAnnouncement&) = default;
};

// Sent by the owner of this term when it can no longer reach the store. A host that can may claim the cell without
// waiting for the owner's lease to expire.
struct OwnershipHandover {
  uint64_t term = 0;

  friend bool operator==(const OwnershipHandover&, const OwnershipHandover&) = default;
};

// The owner has another host relay an order to a worker; the worker's answer comes back as an OrderReply. A host that
// knows a higher term than `term` does not relay the order. StopRequest and HoldRequest work the same way.
struct StartRequest {
  uint64_t call = 0;
  std::string reply_to;
  uint64_t term = 0;
  WorkerTarget worker;
  StartOrder order;
  Duration valid_until = 0us;  // On the clock of the relaying host, which drops the order after that.

  friend bool operator==(const StartRequest&, const StartRequest&) = default;
};

struct StopRequest {
  uint64_t call = 0;
  std::string reply_to;
  uint64_t term = 0;
  WorkerTarget worker;
  RunRef run;
  uint64_t token = 0;

  friend bool operator==(const StopRequest&, const StopRequest&) = default;
};

struct HoldRequest {
  uint64_t call = 0;
  std::string reply_to;
  uint64_t term = 0;
  WorkerTarget worker;
  HoldOrder order;
  Duration valid_until = 0us;  // As in StartRequest. 0: no limit, as sent by hosts without this field.

  friend bool operator==(const HoldRequest&, const HoldRequest&) = default;
};

struct OrderReply {
  uint64_t call = 0;
  OrderAnswer answer;
  Duration sender_clock = 0us;  // Clock of the relaying host when it replied.

  friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

// Ends of runs that the sender received as the owner of the cell and could not store, see EndReports. Answered with
// EndReportReply; hosts that do not know the message answer nothing.
struct EndReport {
  uint64_t call = 0;
  std::string reply_to;
  std::vector<EndedRun> ends;

  friend bool operator==(const EndReport&, const EndReport&) = default;
};

struct EndReportReply {
  uint64_t call = 0;
  std::string from;          // Peer address of the host that answers.
  uint64_t incarnation = 0;  // Of that host.

  friend bool operator==(const EndReportReply&, const EndReportReply&) = default;
};

// A message is encoded with its index in this list: add new types at the end only.
using Message = std::variant<CallerRequest,
                             CallerReply,
                             AdviceRequest,
                             AdviceReply,
                             OwnerQuery,
                             OwnerAnnouncement,
                             OwnershipHandover,
                             StartRequest,
                             StopRequest,
                             HoldRequest,
                             OrderReply,
                             EndReport,
                             EndReportReply>;

std::string EncodeMessage(const Message& message);
tl::expected<Message, std::string> DecodeMessage(const std::string& bytes);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_MESSAGES_H_
