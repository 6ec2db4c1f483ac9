#include "cell/order_relay.h"

#include <algorithm>
#include <utility>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus::cell {

namespace {

// A relay must have at least this share of the strongest host's processor time.
constexpr double kMinProcessorShare = 0.5;
// Covers a relay's own timeout for an order and the round trip to the relay. A relay drops holds that it receives
// later: in the worker's next instance they would acknowledge ends that the owner has not received, and extend the
// lease.
constexpr Duration kReplyTimeout = 1300ms;
// A relay drops starts that it receives later than this. Otherwise a relay that was paused could deliver the start to
// the worker's next instance, on whose clock the deadline is far in the future. Covers a round trip between regions and
// a busy host.
constexpr Duration kMaxRelayDelay = 500ms;
// How long the owner contacts a worker directly after its relay was silent. A silent worker is polled again within 300
// ms; once it answers, relays serve it again.
constexpr Duration kDirectPeriod = 1s;
constexpr Duration kAvoidPeriod = 3s;  // How long a relay that left an order unanswered is not used.

}  // namespace

void OrderRelay::SetHosts(const std::vector<HostRecord>& hosts) {
  int max_millis = 0;
  for (const HostRecord& host : hosts) {
    max_millis = std::max(max_millis, host.processor_millis);
  }
  std::vector<Relay> relays;
  for (const HostRecord& host : hosts) {
    if (host.address == context_.settings.peer_address || host.processor_millis < kMinProcessorShare * max_millis) {
      continue;
    }
    const Relay* existing = FindRelay(host.address);
    Relay& relay = relays.emplace_back(existing == nullptr ? Relay{} : *existing);
    relay.address = host.address;
    relay.data_centre = host.data_centre;
  }
  relays_ = std::move(relays);
}

OrderRelay::Relay* OrderRelay::FindRelay(const std::string& address) {
  const auto found =
      std::find_if(relays_.begin(), relays_.end(), [&](const Relay& relay) { return relay.address == address; });
  return found == relays_.end() ? nullptr : &*found;
}

// Skips relays that were silent recently and prefers relays in the worker's data centre.
const OrderRelay::Relay* OrderRelay::SelectRelay(const WorkerTarget& worker) const {
  if (worker_count_ <= context_.settings.max_direct_workers || direct_until_.contains(worker.id)) {
    return nullptr;
  }
  const TimePoint now = context_.Now();
  const Relay* best = nullptr;
  uint64_t best_score = 0;
  for (const Relay& relay : relays_) {
    if (relay.avoid_until > now) {
      continue;
    }
    constexpr uint64_t kSameDataCentreBit = uint64_t{1} << 63;
    const uint64_t locality = relay.data_centre == worker.data_centre ? kSameDataCentreBit : 0;
    const uint64_t score = locality | RendezvousScore(worker.id, relay.address) >> 1;
    if (best == nullptr || score > best_score) {
      best = &relay;
      best_score = score;
    }
  }
  return best;
}

template <class Request>
void OrderRelay::Send(const Relay& relay, const WorkerTarget& worker, Request request, Duration hold_wait, Done done) {
  request.call = ++last_call_;
  request.reply_to = context_.settings.peer_address;
  request.term = term_;
  request.worker = worker;
  calls_[request.call] = Call{relay.address, worker.id, context_.Now() + hold_wait + kReplyTimeout, std::move(done)};
  context_.counters.Add("orders_relayed");
  context_.peers.Send(relay.address, EncodeMessage(std::move(request)));
}

void OrderRelay::Start(const WorkerTarget& worker, const StartOrder& order, Done done) {
  const Relay* relay = SelectRelay(worker);
  if (relay == nullptr || !relay->clock_known) {
    context_.workers.Start(worker, order, std::move(done));
    return;
  }
  StartRequest request;
  request.order = order;
  request.valid_until = relay->ClockAt(context_.Now()) + kMaxRelayDelay;
  Send(*relay, worker, std::move(request), Duration(0), std::move(done));
}

void OrderRelay::Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, Done done) {
  const Relay* relay = SelectRelay(worker);
  if (relay == nullptr) {
    context_.workers.Stop(worker, run, token, std::move(done));
    return;
  }
  StopRequest request;
  request.run = run;
  request.token = token;
  Send(*relay, worker, std::move(request), Duration(0), std::move(done));
}

void OrderRelay::Hold(const WorkerTarget& worker, const HoldOrder& order, Done done) {
  const Relay* relay = SelectRelay(worker);
  if (relay == nullptr) {
    context_.workers.Hold(worker, order, std::move(done));
    return;
  }
  HoldRequest request;
  request.order = order;
  if (relay->clock_known) {
    request.valid_until = relay->ClockAt(context_.Now()) + kReplyTimeout;
  }
  Send(*relay, worker, std::move(request), order.wait, std::move(done));
}

bool OrderRelay::OnReply(const OrderReply& reply) {
  const auto call = calls_.find(reply.call);
  if (call == calls_.end()) {
    return false;  // Already timed out in Sweep, or of an earlier owner.
  }
  if (Relay* relay = FindRelay(call->second.relay); relay != nullptr) {
    relay->clock_known = true;
    relay->clock = reply.sender_clock;
    relay->clock_received_at = context_.Now();
  }
  const Done done = std::move(call->second.done);
  calls_.erase(call);
  done(reply.answer);
  return true;
}

void OrderRelay::Sweep() {
  const TimePoint now = context_.Now();
  std::erase_if(direct_until_, [&](const auto& each) { return now > each.second; });
  std::vector<uint64_t> overdue;
  for (const auto& [number, call] : calls_) {
    if (now > call.deadline) {
      overdue.push_back(number);
    }
  }
  std::sort(overdue.begin(), overdue.end());
  for (const uint64_t number : overdue) {
    const auto call = calls_.find(number);
    Relay* relay = FindRelay(call->second.relay);
    if (relay != nullptr && relay->avoid_until <= now) {
      relay->avoid_until = now + kAvoidPeriod;
      context_.counters.Add("relays_silent");
      context_.Log("relay", "event=relay_silent relay={} avoided_for_ms={}", relay->address, Millis(kAvoidPeriod));
    }
    direct_until_[call->second.worker] = now + kDirectPeriod;
    const Done done = std::move(call->second.done);
    calls_.erase(call);
    done(AnswerOf(OrderStatus::kUnknown));
  }
}

}  // namespace hibiscus::cell
