// The caller's side: checks a request, hands it to its home host, and answers the caller exactly once. When the home
// host is lost, the request goes to the next one, marked as resubmitted.
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
  void AnswerAllAsUnknown();  // Answers every open exchange as unknown.

  // Exchanges that still wait for their answer.
  size_t open() const { return open_.size(); }

 private:
  enum class Kind { kSubmit, kQuery, kCancel };

  struct Exchange {
    ExchangeId id = 0;
    Kind kind = Kind::kSubmit;
    Request request;  // Submit.
    RequestKey key;
    HostName home;
    TimePoint deadline;              // The caller is answered by then in any case.
    bool resubmitted = false;        // An earlier home host may have acted on it, or may still.
    TimePoint next_poll{};           // Submit: when the home host is asked what became of it.
    Duration poll_interval = 0us;    // Until the next question; doubles.
    TimePoint home_trusted_until{};  // Another host named this home; our own view may lag until then.
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
  std::set<std::pair<TimePoint, uint64_t>> deadlines_;   // Of all that are open.
  std::set<std::pair<TimePoint, uint64_t>> poll_times_;  // When which home host is asked next.
  std::vector<HostName> last_reachable_;                 // Of the last tick.
  std::vector<HostName> last_remote_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_ENTRY_ROLE_H_
