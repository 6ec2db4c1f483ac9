// Distributes the owner's calls to the advice service. The service processes the calls of each host sequentially, and
// some take most of a second, so the calls are spread over all hosts: each goes to the host that can have it answered
// soonest.
#ifndef HIBISCUSSTAND_SRC_CELL_ADVICE_DISPATCHER_H_
#define HIBISCUSSTAND_SRC_CELL_ADVICE_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/advice_policy.h"
#include "cell/context.h"
#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

class AdviceDispatcher {
 public:
  using Done = AdvicePort::Done;

  explicit AdviceDispatcher(Context& context);
  ~AdviceDispatcher() { *alive_ = false; }
  AdviceDispatcher(const AdviceDispatcher&) = delete;
  AdviceDispatcher& operator=(const AdviceDispatcher&) = delete;

  // Sets the hosts that may call the service. This host is always included.
  void SetHosts(const std::vector<HostRecord>& hosts);
  const AdviceQueues& queues() const { return queues_; }
  size_t calls() const { return calls_.size(); }
  // Asks which of the workers may run the step. A call counts as unanswered once its queueing time, `expected_time` and
  // a timeout have passed.
  void Ask(const TaskRef& step, const std::vector<std::string>& workers, Duration expected_time, Done done);
  void OnReply(const AdviceReply& reply);

 private:
  struct PendingCall {
    std::string host;  // Peer address.
    Done done;
    TimePoint started_at{};
  };

  std::optional<size_t> QueueOf(const std::string& host) const;  // Empty if the host is not known.
  void CompleteCall(uint64_t number, const AdviceAnswer& answer);
  void OnTimeout(uint64_t number);

  Context& context_;
  std::vector<std::string> hosts_;  // Sorted peer addresses, in the order of the queues.
  AdviceQueues queues_;
  std::map<uint64_t, PendingCall> calls_;
  // Starts at a random number, so that answers to an earlier owner on this host match no call.
  uint64_t last_call_number_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADVICE_DISPATCHER_H_
