#include "cell/advice_desk.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kPatience =
    700ms;  // Beyond the wait that the costs foretell: two ways between regions and a busy host.
constexpr Duration kLongestLine =
    300ms;                          // Questions in line with one host: tickets are good for little more than a second.
constexpr Duration kAvoidFor = 3s;  // A host that did not answer is not asked again for so long.

}  // namespace

void AdviceDesk::SetHosts(const std::vector<HostRecord>& hosts) {
  std::map<std::string, Asker> askers;
  Asker& self = askers[context_.settings.peer_address];
  self.self = true;
  for (const HostRecord& host : hosts) {
    askers[host.address];
  }
  for (auto& [address, asker] : askers) {
    const auto known = askers_.find(address);
    if (known != askers_.end()) {
      asker = known->second;
    }
  }
  askers_ = std::move(askers);
}

std::map<std::string, AdviceDesk::Asker>::const_iterator AdviceDesk::SoonestFree() const {
  const TimePoint now = context_.Now();
  const auto later = [&](const auto& a, const auto& b) {
    const bool avoid_a = a.second.avoid_until > now;
    const bool avoid_b = b.second.avoid_until > now;
    return avoid_a != avoid_b ? avoid_b : a.second.busy_until < b.second.busy_until;
  };
  return std::min_element(askers_.begin(), askers_.end(), later);
}

bool AdviceDesk::HasRoom() const {
  const auto asker = SoonestFree();
  return asker == askers_.end() || asker->second.busy_until - context_.Now() < kLongestLine;
}

bool AdviceDesk::IsBusy() const {
  const auto asker = SoonestFree();
  return asker != askers_.end() && asker->second.busy_until > context_.Now();
}

bool AdviceDesk::IsMostlyIdle() const {
  const auto idle = std::count_if(askers_.begin(), askers_.end(),
                                  [now = context_.Now()](const auto& each) { return each.second.busy_until <= now; });
  return static_cast<size_t>(idle) * 2 > askers_.size();
}

void AdviceDesk::Ask(const TaskRef& step, const std::vector<std::string>& workers, Duration cost, Done done) {
  if (askers_.empty()) {
    SetHosts({});
  }
  const auto asker = askers_.find(SoonestFree()->first);
  const TimePoint now = context_.Now();
  const TimePoint free_at = std::max(now, asker->second.busy_until) + cost;
  asker->second.busy_until = free_at;
  const Duration timeout = free_at - now + kPatience;
  const uint64_t call = ++last_call_;
  questions_[call] = Question{asker->first, std::move(done), now};
  context_.counters.Add("advice_questions");
  if (asker->second.self) {
    context_.advice.Ask(step, workers, timeout, [this, alive = alive_, call](const AdviceAnswer& answer) {
      if (*alive) {
        Finish(call, answer);
      }
    });
  } else {
    const AdviceRequest request{call, context_.settings.peer_address, step, workers, timeout};
    context_.peers.Send(asker->first, EncodeMessage(request));
  }
  context_.timers.In(timeout, [this, alive = alive_, call] {
    const auto question = *alive ? questions_.find(call) : questions_.end();
    if (*alive && question != questions_.end()) {
      const auto late = askers_.find(question->second.asker);
      if (late != askers_.end()) {
        late->second.avoid_until = context_.Now() + kAvoidFor;
      }
      context_.Log("advice", "event=advice_unanswered asker={}", question->second.asker);
      context_.counters.Add("advice_unanswered");
      Finish(call, AdviceAnswer{});
    }
  });
}

void AdviceDesk::OnReply(const AdviceReply& reply) {
  Finish(reply.call, AdviceAnswer{reply.answered, reply.allowed});
}

void AdviceDesk::Finish(uint64_t call, const AdviceAnswer& answer) {
  const auto question = questions_.find(call);
  if (question == questions_.end()) {
    return;  // Given up on before.
  }
  const Done done = std::move(question->second.done);
  context_.counters.Measure("advice_seconds", answer.answered ? "answered" : "unanswered",
                            context_.Now() - question->second.asked);
  questions_.erase(question);
  done(answer);
}

}  // namespace hibiscus::cell
