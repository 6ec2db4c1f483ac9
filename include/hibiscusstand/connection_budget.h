// Bounds the connections of a process to each address. An HTTP/1.1 connection carries one call at a time, so a bound on
// the calls in progress is one on the connections. Calls above it wait, each until its own deadline; urgent ones go
// first and have connections that no other call takes, so that slow answers to the others do not delay them.
//
// Use: Admit each call and send it if that returns true. Call Release when a call that was sent has ended, and
// TakeExpired when next_deadline() has passed; send what Release returns, and give up what TakeExpired returns.
#ifndef HIBISCUSSTAND_CONNECTION_BUDGET_H_
#define HIBISCUSSTAND_CONNECTION_BUDGET_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscusstand/clock.h"

namespace hibiscus {

// Connections to one address.
struct ConnectionLimits {
  size_t total = 0;   // 0: unlimited.
  size_t urgent = 0;  // Of `total`: only for urgent calls.

  friend auto operator<=>(const ConnectionLimits&, const ConnectionLimits&) = default;
};

// Why a call has no answer, as far as its connection tells.
enum class UnansweredReason {
  kSilence,            // Also if the call was answered.
  kNoConnectionFree,   // It waited for a connection until its deadline and was not sent.
  kConnectionRefused,  // The other side broke a new connection at once, as one with too many does.
};

class ConnectionBudget {
 public:
  using CallNumber = uint64_t;  // Chosen by the user of the budget; unique among the calls that have not ended.

  explicit ConnectionBudget(const ConnectionLimits& limits) : limits_(limits) {}

  // Returns true if the call may be sent now; otherwise it waits for a connection.
  bool Admit(CallNumber call, const std::string& address, bool urgent, TimePoint deadline);
  // The call was sent and has ended. Returns the calls that may be sent now instead.
  std::vector<CallNumber> Release(CallNumber call);
  // Removes and returns waiting calls whose deadline has passed.
  std::vector<CallNumber> TakeExpired(TimePoint now);
  // Earliest deadline of the waiting calls; none if no call waits.
  std::optional<TimePoint> next_deadline() const;

  size_t waiting() const { return deadlines_.size(); }

 private:
  struct Call {
    std::string address;
    bool urgent = false;
    bool sent = false;
    TimePoint deadline{};
  };
  struct Address {
    size_t urgent = 0;  // Calls in progress.
    size_t others = 0;
    std::deque<CallNumber> waiting_urgent;  // Also calls that have expired since.
    std::deque<CallNumber> waiting_others;
  };

  bool HasConnectionFor(const Address& address, bool urgent) const;
  // Removes the first waiting call of the queue that has not expired.
  std::optional<CallNumber> TakeFirst(std::deque<CallNumber>& queue);

  const ConnectionLimits limits_;
  std::unordered_map<CallNumber, Call> calls_;  // In progress or waiting.
  std::unordered_map<std::string, Address> addresses_;
  std::set<std::pair<TimePoint, CallNumber>> deadlines_;  // Of the waiting calls.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_CONNECTION_BUDGET_H_
