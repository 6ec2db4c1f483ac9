// The entry host's role: validates a request, forwards it to its home host and answers the caller exactly once. If the
// home host is lost, the request is forwarded to the next one, marked as resubmitted.
#ifndef HIBISCUSSTAND_SRC_CORE_ENTRY_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_ENTRY_ROLE_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/context.h"

namespace hibiscus {

class EntryRole {
 public:
  explicit EntryRole(CoreContext& context) : context_(context) {}

  void OnSubmit(const CallerSubmit& submit);
  void OnQuery(const CallerQuery& query);
  void OnCancel(const CallerCancel& cancel);
  void OnAnswer(const HostName& from, const ForwardAnswer& answer);
  void OnMoved(const ForwardMoved& moved);
  void OnTick();
  void AnswerAllAsUnknown();  // Answers and closes every open exchange.

  // Exchanges without an answer yet.
  size_t open() const { return open_.size(); }

 private:
  enum class Kind { kSubmit, kQuery, kCancel };

  struct Exchange {
    ExchangeId id = 0;
    Kind kind = Kind::kSubmit;
    Request request;  // For kSubmit.
    RequestKey key;
    HostName home;
    TimePoint deadline;              // The caller is answered by then in any case.
    bool resubmitted = false;        // An earlier home host may have acted on it, or still may.
    TimePoint next_poll{};           // For kSubmit: when the home host is next asked for the state.
    Duration poll_interval = 0us;    // Doubles with each poll.
    TimePoint home_trusted_until{};  // Another host named this home; this host's view may lag until then.
  };

  ResultCode Check(const Request& request) const;
  void Open(Exchange exchange);
  void OpenQuery(ExchangeId id, Kind kind, const RequestKey& key);
  void Forward(uint64_t forward_id, const Exchange& exchange, bool resubmit);
  void Refuse(ExchangeId exchange, const RequestKey& key, ResultCode code);
  void Close(std::map<uint64_t, Exchange>::iterator exchange);
  void ResubmitFromLostHomes();
  void PollHomes();
  bool IsPollReply(uint64_t forward_id, Exchange& exchange, const Answer& answer);
  Answer UnknownAnswer(const Exchange& exchange) const;

  CoreContext& context_;
  std::map<uint64_t, Exchange> open_;                    // By forward id.
  std::set<std::pair<TimePoint, uint64_t>> deadlines_;   // Of all open exchanges.
  std::set<std::pair<TimePoint, uint64_t>> poll_times_;  // Next poll of each exchange's home host.
  std::vector<HostName> last_reachable_;                 // At the last tick.
  std::vector<HostName> last_remote_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_ENTRY_ROLE_H_
