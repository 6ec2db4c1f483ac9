#include "hibiscusstand/connection_budget.h"

namespace hibiscus {

bool ConnectionBudget::HasConnectionFor(const Address& address, bool urgent) const {
  if (limits_.total == 0) {
    return true;
  }
  const bool any_left = address.urgent + address.others < limits_.total;
  return any_left && (urgent || address.others < limits_.total - limits_.urgent);
}

bool ConnectionBudget::Admit(CallNumber call, const std::string& address, bool urgent, TimePoint deadline) {
  Address& target = addresses_[address];
  const bool may_be_sent = HasConnectionFor(target, urgent);
  calls_[call] = Call{address, urgent, may_be_sent, deadline};
  if (may_be_sent) {
    ++(urgent ? target.urgent : target.others);
  } else {
    (urgent ? target.waiting_urgent : target.waiting_others).push_back(call);
    deadlines_.emplace(deadline, call);
  }
  return may_be_sent;
}

std::optional<ConnectionBudget::CallNumber> ConnectionBudget::TakeFirst(std::deque<CallNumber>& queue) {
  while (!queue.empty()) {
    const CallNumber call = queue.front();
    queue.pop_front();
    if (calls_.contains(call)) {
      return call;
    }
  }
  return std::nullopt;
}

std::vector<ConnectionBudget::CallNumber> ConnectionBudget::Release(CallNumber call) {
  const auto ended = calls_.extract(call);
  if (ended.empty() || !ended.mapped().sent) {
    return {};
  }
  const std::string& name = ended.mapped().address;
  Address& address = addresses_.at(name);
  --(ended.mapped().urgent ? address.urgent : address.others);
  std::vector<CallNumber> ready;
  for (const bool urgent : {true, false}) {
    std::deque<CallNumber>& queue = urgent ? address.waiting_urgent : address.waiting_others;
    while (HasConnectionFor(address, urgent)) {
      const std::optional<CallNumber> next = TakeFirst(queue);
      if (!next) {
        break;
      }
      Call& waiting = calls_.at(*next);
      waiting.sent = true;
      deadlines_.erase({waiting.deadline, *next});
      ++(urgent ? address.urgent : address.others);
      ready.push_back(*next);
    }
  }
  if (address.urgent + address.others == 0) {
    addresses_.erase(name);
  }
  return ready;
}

std::vector<ConnectionBudget::CallNumber> ConnectionBudget::TakeExpired(TimePoint now) {
  std::vector<CallNumber> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const CallNumber call = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    calls_.erase(call);
    expired.push_back(call);
  }
  return expired;
}

std::optional<TimePoint> ConnectionBudget::next_deadline() const {
  return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

}  // namespace hibiscus
