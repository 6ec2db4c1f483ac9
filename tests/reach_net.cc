#include "tests/reach_net.h"

namespace hibiscus {

namespace {
constexpr Duration kInside = 500us;  // One way, inside a data centre.
constexpr Duration kBetween = 12ms;  // One way, between data centres.
constexpr Duration kStoreWay = 2ms;
}  // namespace

void ReachNet::AddHost(const HostName& name, const DataCentre& centre) {
  HostSettings settings;
  settings.name = name;
  settings.data_centre = centre;
  hosts_[name] = Host{centre, std::make_unique<HostCore>(settings, clock_, next_seed_++)};
  centres_[name] = centre;
  list_.push_back(ListEntry{ListKind::kEntryHost, name, centre, {}, name, false});
}

void ReachNet::AddWorker(const WorkerName& name, const DataCentre& centre, const Resources& capacity) {
  workers_[name] = std::make_unique<FakeWorker>(name, capacity, clock_, log_);
  list_.push_back(ListEntry{ListKind::kWorker, name, centre, "rack", name, false});
}

void ReachNet::AddServer(const ServerName& name, const DataCentre& centre, int slots, Duration service_time) {
  servers_[name] = std::make_unique<FakeServer>(name, slots, service_time, clock_, log_);
  list_.push_back(ListEntry{ListKind::kServer, name, centre, "rack", name, false});
}

void ReachNet::ShareList() {
  for (const auto& [name, centre] : centres_) {
    Give(name, ListEvent{list_});
  }
}

void ReachNet::CutAll() {
  for (const auto& [host, centre] : centres_) {
    for (const auto& [other, other_centre] : centres_) {
      if (centre != other_centre) {
        Cut(centre, other_centre);
      }
    }
  }
}

void ReachNet::Run(Duration time) {
  const TimePoint end = clock_.Now() + time;
  RunUntil([&] { return clock_.Now() >= end; }, time);
}

bool ReachNet::RunUntil(const std::function<bool()>& condition, Duration at_most) {
  const TimePoint end = clock_.Now() + at_most;
  while (!condition()) {
    if (clock_.Now() >= end) {
      return false;
    }
    const TimePoint next_tick = clock_.Now() + kTickInterval;
    while (!steps_.empty() && steps_.begin()->first <= next_tick) {
      auto step = steps_.extract(steps_.begin());
      clock_.Set(step.key());
      step.mapped()();
    }
    clock_.Set(next_tick);
    store_.Tick();
    for (const auto& [name, worker] : workers_) {
      worker->Tick();
    }
    for (const auto& [name, server] : servers_) {
      server->Tick();
    }
    for (const auto& [name, centre] : centres_) {
      Give(name, TickEvent{});
    }
  }
  return true;
}

void ReachNet::Give(const HostName& host, const Event& event) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) {
    return;
  }
  for (const Action& action : found->second.core->Handle(event)) {
    Carry(host, action);
  }
}

ExchangeId ReachNet::Submit(const HostName& host, const Request& request) {
  const ExchangeId exchange = next_exchange_++;
  Give(host, CallerSubmit{exchange, request});
  return exchange;
}

const Answer* ReachNet::AnswerTo(ExchangeId exchange) const {
  const auto answer = answers_.find(exchange);
  return answer == answers_.end() ? nullptr : &answer->second;
}

void ReachNet::SetConfiguration(const HostName& host, const Configuration& configuration, uint64_t expected) {
  Give(host, OperatorConfigSet{next_exchange_++, expected, configuration});
}

void ReachNet::At(Duration delay, std::function<void()> step) {
  steps_.emplace(clock_.Now() + delay, std::move(step));
}

void ReachNet::Carry(const HostName& from, const Action& action) {
  if (const auto* peer = std::get_if<SendPeer>(&action)) {
    CarryPeer(from, *peer);
  } else if (const auto* store = std::get_if<SendStore>(&action)) {
    CarryStore(from, *store);
  } else if (const auto* worker = std::get_if<SendWorker>(&action)) {
    At(kInside, [this, from, send = *worker] {
      workers_.at(send.worker)->Handle(send.request, [this, from, call = send.call](const WorkerReply& reply) {
        At(kInside, [this, from, call, reply] { Give(from, WorkerEvent{call, Delivery::kAnswered, reply}); });
      });
    });
  } else if (const auto* server = std::get_if<SendServer>(&action)) {
    At(kInside, [this, from, send = *server] {
      servers_.at(send.server)->Handle(send.request, [this, from, call = send.call](const ServerReply& reply) {
        At(kInside, [this, from, call, reply] { Give(from, ServerEvent{call, Delivery::kAnswered, reply}); });
      });
    });
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    answers_[answer->exchange] = answer->answer;
  }
}

void ReachNet::CarryPeer(const HostName& from, const SendPeer& send) {
  const DataCentre a = CentreOf(from);
  const DataCentre b = CentreOf(send.to);
  const size_t bytes = size_of ? size_of(send.message) : 0;
  LinkCount& count = a == b ? inside : links[{a, b}];
  ++count.messages;
  count.bytes += bytes;
  if (a != b) {
    LinkCount& kind = kinds[{a, send.message.index()}];
    ++kind.messages;
    kind.bytes += bytes;
  }
  At(a == b ? kInside : kBetween, [this, from, send, a, b] {
    if (!IsCut(a, b)) {
      Give(send.to, PeerEvent{from, send.message});
    }
  });
}

void ReachNet::CarryStore(const HostName& from, const SendStore& send) {
  const DataCentre centre = CentreOf(from);
  if (storeless_.contains(centre)) {
    At(send.timeout, [this, from, call = send.call] { Give(from, StoreEvent{call, Delivery::kUnknown, {}}); });
    return;
  }
  At(kStoreWay, [this, from, centre, send] {
    store_.Handle(send.request, [this, from, centre, call = send.call](const StoreReply& reply) {
      const bool lost = storeless_.contains(centre);
      const Delivery delivery = lost ? Delivery::kUnknown : Delivery::kAnswered;
      At(kStoreWay, [this, from, call, reply, delivery] { Give(from, StoreEvent{call, delivery, reply}); });
    });
  });
}

DataCentre ReachNet::CentreOf(const HostName& host) const {
  return centres_.at(host);
}

}  // namespace hibiscus
