// What the hosts of a cell tell each other. A message may be lost, late or twice; whoever needs an answer asks again.
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

// What a caller asks, passed on to the owner. Asking twice is harmless: a job is known by its id.
struct CallerRequest {
  uint64_t call = 0;     // Chosen by the sender.
  std::string reply_to;  // Peer address of the sender.
  CallerKind kind = CallerKind::kState;
  std::string queue;
  std::string job;           // Empty for kPending.
  std::string spec;          // kSubmit: a JobSpec as a record.
  uint64_t term = 0;         // Of the owner that it is for: a later one has to be asked anew.
  Duration time_left = 0us;  // Until its caller stops waiting. 0: not known.

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

enum class CallerOutcome {
  kDone,            // Submit, cancel: it stands in the store. State, pending: here it is.
  kNoSuchJob,       // State, cancel.
  kRejected,        // Submit: not accepted, it will never run; come back after `retry_after`.
  kUnavailable,     // Nothing was done, and nothing is known; come back after `retry_after`.
  kOutcomeUnknown,  // Submit, cancel: it may stand in the store. Ask again.
  kNotOwner,        // Nothing was done: another host owns the cell.
};

struct CallerReply {
  uint64_t call = 0;
  CallerOutcome outcome = CallerOutcome::kOutcomeUnknown;
  JobState state = JobState::kQueued;  // kState.
  int64_t pending = 0;                 // kPending.
  Duration retry_after = 0us;
  uint64_t term = 0;  // Of the owner that replies.

  friend bool operator==(const CallerReply&, const CallerReply&) = default;
};

// The owner has another host ask the advice service, which serves each host's calls one after the other.
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

// Asks a host whom it takes for the owner; answered with OwnerAnnouncement.
struct OwnerQuery {
  std::string reply_to;

  friend bool operator==(const OwnerQuery&, const OwnerQuery&) = default;
};

// Who owns the cell. The higher term is the newer.
struct OwnerAnnouncement {
  uint64_t term = 0;  // 0: the sender knows no owner.
  HostName host;
  std::string address;

  friend bool operator==(const OwnerAnnouncement&, const OwnerAnnouncement&) = default;
};

// The owner of this term no longer reaches the store; a host that does may claim the cell without waiting for the
// lease.
struct OwnershipHandover {
  uint64_t term = 0;

  friend bool operator==(const OwnershipHandover&, const OwnershipHandover&) = default;
};

// The owner has another host give an order to a worker, and hears its answer as an OrderReply. A host that knows a
// later owner than `term` does not pass the order on.
struct StartRequest {
  uint64_t call = 0;
  std::string reply_to;
  uint64_t term = 0;
  WorkerTarget worker;
  StartOrder order;
  Duration valid_until = 0us;  // On the clock of the host that is to pass it on: not later.

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

  friend bool operator==(const HoldRequest&, const HoldRequest&) = default;
};

struct OrderReply {
  uint64_t call = 0;
  OrderAnswer answer;
  Duration sender_clock = 0us;  // Of the host that passed the order on, when it replied.

  friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

// The order is part of the encoding: new kinds come last.
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
                             OrderReply>;

std::string EncodeMessage(const Message& message);
tl::expected<Message, std::string> DecodeMessage(const std::string& bytes);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_MESSAGES_H_
