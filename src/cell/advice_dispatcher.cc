#include "cell/advice_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kAnswerTimeout = 700ms;  // Added to the expected time: a round trip between regions and a busy host.
constexpr Duration kUnansweredBackoff = 3s;  // A host that left a call unanswered is avoided for this time.

}  // namespace

AdviceDispatcher::AdviceDispatcher(Context& context) : context_(context), last_call_number_(context.random()) {
  SetHosts({});
}

void AdviceDispatcher::SetHosts(const std::vector<HostRecord>& hosts) {
  std::set<std::string> addresses{context_.settings.peer_address};
  for (const HostRecord& host : hosts) {
    addresses.insert(host.address);
  }
  std::vector<AdviceQueue> queues;
  for (const std::string& address : addresses) {
    const std::optional<size_t> known = QueueOf(address);
    queues.push_back(known ? queues_.queues()[*known] : AdviceQueue{});
  }
  hosts_.assign(addresses.begin(), addresses.end());
  queues_ = AdviceQueues(std::move(queues));
}

std::optional<size_t> AdviceDispatcher::QueueOf(const std::string& host) const {
  const auto found = std::lower_bound(hosts_.begin(), hosts_.end(), host);
  const bool known = found != hosts_.end() && *found == host;
  return known ? std::optional<size_t>(found - hosts_.begin()) : std::nullopt;
}

void AdviceDispatcher::Ask(const TaskRef& step,
                           const std::vector<std::string>& workers,
                           Duration expected_time,
                           Done done) {
  const TimePoint now = context_.Now();
  const size_t queue = queues_.Assign(now, expected_time);
  const std::string& host = hosts_[queue];
  const Duration timeout = queues_.queues()[queue].busy_until - now + kAnswerTimeout;
  const uint64_t call = ++last_call_number_;
  calls_[call] = PendingCall{host, std::move(done), now};
  context_.counters.Add("advice_calls");
  if (host == context_.settings.peer_address) {
    context_.advice.Ask(step, workers, timeout, [this, alive = alive_, call](const AdviceAnswer& answer) {
      if (*alive) {
        CompleteCall(call, answer);
      }
    });
  } else {
    const AdviceRequest request{call, context_.settings.peer_address, step, workers, timeout};
    context_.peers.Send(host, EncodeMessage(request));
  }
  context_.timers.In(timeout, [this, alive = alive_, call] {
    if (*alive) {
      OnTimeout(call);
    }
  });
}

void AdviceDispatcher::OnTimeout(uint64_t number) {
  const auto late = calls_.find(number);
  if (late == calls_.end()) {
    return;
  }
  if (const std::optional<size_t> queue = QueueOf(late->second.host); queue) {
    queues_.Avoid(*queue, context_.Now() + kUnansweredBackoff);
  }
  context_.Log("advice", "event=advice_unanswered asker={}", late->second.host);
  context_.counters.Add("advice_unanswered");
  CompleteCall(number, AdviceAnswer{});
}

void AdviceDispatcher::OnReply(const AdviceReply& reply) {
  CompleteCall(reply.call, AdviceAnswer{reply.answered, reply.allowed});
}

void AdviceDispatcher::CompleteCall(uint64_t number, const AdviceAnswer& answer) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;  // The call has already timed out.
  }
  const PendingCall call = std::move(found->second);
  calls_.erase(found);
  context_.counters.RecordDuration("advice_seconds", answer.answered ? "answered" : "unanswered",
                                   context_.Now() - call.started_at);
  call.done(answer);
}

}  // namespace hibiscus::cell
