#include "tests/chaos_world.h"

#include <algorithm>
#include <cstdio>

#include <fmt/core.h>

#include "core/overloaded.h"
#include "core/records.h"

namespace hibiscus {

namespace {

constexpr Duration kLateness = 3s;         // Late messages come up to this much later.
constexpr Duration kListEvery = 1s;        // How often hosts read the platform's list.
constexpr Duration kServerGrace = 3s;      // After this a leaving backend server gets nothing new.
constexpr Duration kRefusedAfter = 2ms;    // A connection to a dead process is refused.
constexpr const char* kStoreHome = "dc1";  // The store is in the first data centre.

}  // namespace

Configuration FirstConfiguration() {
  Configuration configuration;
  configuration.version = 1;
  configuration.change_id = "first";
  configuration.classes = {
      ClassSpec{"quick", WorkKind::kCall, 800ms, 2s, true}, ClassSpec{"order", WorkKind::kCall, 800ms, 2s, false},
      ClassSpec{"batch", WorkKind::kBatch, 6s, 10s, true},  ClassSpec{"once", WorkKind::kBatch, 6s, 10s, false},
      ClassSpec{"gang", WorkKind::kGang, 2s, 7s, true},     ClassSpec{"crew", WorkKind::kGang, 2s, 7s, false},
  };
  return configuration;
}

ChaosWorld::ChaosWorld(uint64_t seed, bool trace)
    : random_(seed), trace_on_(trace), start_(clock_.Now()), store_(clock_) {
  Build();
}

void ChaosWorld::Build() {
  if (Chance(0.5)) {  // Run leases that lapse within the time of a seed.
    settings_.run_lease = 6s;
    settings_.drift_margin = 500ms;
  }
  const uint64_t centres = 1 + Draw(3);
  for (uint64_t d = 1; d <= centres; ++d) {
    const DataCentre& data_centre = data_centres_.emplace_back(fmt::format("dc{}", d));
    const uint64_t hosts = 2 + Draw(2);
    for (uint64_t i = 1; i <= hosts; ++i) {
      Node& node = nodes_.emplace_back();
      node.name = fmt::format("{}-h{}", data_centre, i);
      node.data_centre = data_centre;
      node.clock_offset = DrawTime(0s, 1000s);
    }
    for (int i = 1; i <= 3; ++i) {
      const WorkerName name = fmt::format("{}-w{}", data_centre, i);
      workers_.push_back(WorkerNode{name, data_centre, FakeWorker(name, Resources{8000, 8000, 2}, clock_, log_)});
    }
    for (int i = 1; i <= 2; ++i) {
      const ServerName name = fmt::format("{}-s{}", data_centre, i);
      servers_.push_back(ServerNode{name, data_centre, FakeServer(name, 4, DrawTime(50ms, 300ms), clock_, log_)});
    }
  }
  store_.Handle(StoreCall{StoreOp::kPut, kConfigKey, EncodeConfiguration(FirstConfiguration()), 0, 0us},
                [](const StoreReply&) {});
  for (Node& node : nodes_) {
    Boot(node);
  }
  TickAll();
  ShowList();
}

Duration ChaosWorld::DrawTime(Duration least, Duration most) {
  return least + Duration(static_cast<int64_t>(Draw(static_cast<uint64_t>((most - least).count()) + 1)));
}

std::vector<Node*> ChaosWorld::UpHosts(const DataCentre& data_centre) {
  std::vector<Node*> hosts;
  for (Node& node : nodes_) {
    if (node.data_centre == data_centre && node.up && !node.leaving) {
      hosts.push_back(&node);
    }
  }
  return hosts;
}

void ChaosWorld::At(Duration from_now, std::function<void()> what) {
  if (from_now < 0us) {
    Broken(fmt::format("something was to happen {} ms ago", Millis(-from_now)));
    from_now = 0us;
  }
  heap_.push_back(Scheduled{Now() + from_now, next_order_++, std::move(what)});
  std::push_heap(heap_.begin(), heap_.end());
}

void ChaosWorld::RunUntil(TimePoint until) {
  while (!heap_.empty() && heap_.front().at <= until) {
    std::pop_heap(heap_.begin(), heap_.end());
    const Scheduled next = std::move(heap_.back());
    heap_.pop_back();
    clock_.Set(next.at);
    next.what();
    for (; trace_on_ && broken_said_ < log_.broken().size(); ++broken_said_) {
      Say("BROKEN: " + log_.broken()[broken_said_]);
    }
  }
  clock_.Set(until);
}

void ChaosWorld::TickAll() {
  for (WorkerNode& worker : workers_) {
    worker.fake.Tick();
  }
  for (ServerNode& server : servers_) {
    server.fake.Tick();
  }
  store_.Tick();
  for (Node& node : nodes_) {
    if (node.up && !node.paused) {
      Deliver(node, TickEvent{});
    }
  }
  At(kTickInterval, [this] { TickAll(); });
}

// Every host reads the list at its own moment.
void ChaosWorld::ShowList() {
  ListEvent list;
  for (const Node& node : nodes_) {
    list.entries.push_back(ListEntry{ListKind::kEntryHost, node.name, node.data_centre, {}, {}, false});
  }
  for (const WorkerNode& worker : workers_) {
    if (worker.listed) {
      list.entries.push_back(ListEntry{ListKind::kWorker, worker.name, worker.data_centre, {}, {}, false});
    }
  }
  for (const ServerNode& server : servers_) {
    list.entries.push_back(
        ListEntry{ListKind::kServer, server.name, server.data_centre, {}, {}, server.listed_leaving});
  }
  for (Node& node : nodes_) {
    At(DrawTime(0s, kListEvery / 2), [this, &node, list] {
      if (node.up) {
        Deliver(node, list);
      }
    });
  }
  At(kListEvery, [this] { ShowList(); });
}

void ChaosWorld::Boot(Node& node) {
  HostSettings settings = settings_;
  settings.name = node.name;
  settings.data_centre = node.data_centre;
  node.clock.Set(Now() + node.clock_offset);
  node.core = std::make_unique<HostCore>(settings, node.clock, random_());
  node.core->set_step_observer(node.observer);
  ++node.generation;
  node.up = true;
  node.paused = false;
  node.leaving = false;
  node.waiting.clear();
  node.config_version = 0;
  Trace("{} boots, generation {}", node.name, node.generation);
}

void ChaosWorld::Kill(Node& node) {
  Trace("{} dies", node.name);
  node.up = false;
  node.waiting.clear();
  ++node.generation;
}

void ChaosWorld::Pause(Node& node) {
  Trace("{} pauses", node.name);
  node.paused = true;
}

void ChaosWorld::Wake(Node& node) {
  if (!node.up || !node.paused) {
    return;
  }
  Trace("{} wakes to {} events", node.name, node.waiting.size());
  node.paused = false;
  node.last_paused = Now();
  const std::vector<Event> waiting = std::exchange(node.waiting, {});
  for (const Event& event : waiting) {
    Deliver(node, event);
  }
}

void ChaosWorld::Deliver(Node& node, Event event) {
  if (!node.up) {
    return;
  }
  if (node.paused) {
    node.waiting.push_back(std::move(event));
    return;
  }
  ++events_;
  node.clock.Set(Now() + node.clock_offset);
  const std::vector<Action> actions = node.core->Handle(event);
  const uint64_t version = node.core->configuration().version;
  if (version < node.config_version) {
    Broken(fmt::format("{} went back from configuration {} to {}", node.name, node.config_version, version));
  }
  if (version != node.config_version) {
    node.config_version = version;
    for (Listener* listener : listeners_) {
      listener->OnConfiguration(node);
    }
  }
  for (const Action& action : actions) {
    Carry(node, action);
  }
}

void ChaosWorld::Carry(Node& node, const Action& action) {
  std::visit(Overloaded{
                 [&](const SendPeer& send) { CarryPeer(node, send); },
                 [&](const SendWorker& send) { CarryWorker(node, send); },
                 [&](const SendServer& send) { CarryServer(node, send); },
                 [&](const SendStore& send) { CarryStore(node, send); },
                 [&](const AnswerCaller& answer) {
                   for (Listener* listener : listeners_) {
                     listener->OnAnswer(node, answer);
                   }
                 },
                 [&](const AnswerOperator& answer) {
                   for (Listener* listener : listeners_) {
                     listener->OnOperatorAnswer(node, answer);
                   }
                 },
                 [](const RequestObservation&) {},
                 [](const AnswerHistory&) {},
                 [&](const LogLine& line) { Trace("{} [{}] {}", node.name, line.component, line.text); },
                 [&](const Exit&) {
                   Trace("{} exits", node.name);
                   node.up = false;
                   ++node.generation;
                   for (Listener* listener : listeners_) {
                     listener->OnExit(node);
                   }
                 },
             },
             action);
}

Duration ChaosWorld::Latency(const DataCentre& from, const DataCentre& to) {
  const Duration base = from == to ? DrawTime(100us, 2ms) : DrawTime(1ms, 12ms);
  return weather_.late > 0 && Chance(weather_.late) ? base + DrawTime(0s, kLateness) : base;
}

bool ChaosWorld::LostBetween(const DataCentre& from, const DataCentre& to) {
  const bool cut = weather_.cut_links.contains({from, to}) || weather_.cut_links.contains({to, from});
  return cut || (weather_.loss > 0 && Chance(weather_.loss));
}

void ChaosWorld::CarryPeer(const Node& node, const SendPeer& send) {
  const auto to = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& n) { return n.name == send.to; });
  if (to == nodes_.end()) {
    return;
  }
  const bool lost = Lost(node, *to);
  if (trace_on_ && !std::holds_alternative<Heartbeat>(send.message)) {
    Trace("{} -> {} {}{}", node.name, send.to, Describe(send.message), lost ? " LOST" : "");
  }
  if (lost) {
    return;
  }
  Node* target = &*to;
  At(Latency(node.data_centre, to->data_centre),
     [this, target, event = PeerEvent{node.name, send.message}] { Deliver(*target, event); });
}

template <class EventType, class Reply>
void ChaosWorld::Finish(const Outside& outside, Delivery delivery, const Reply& reply) {
  if (*outside.over || outside.node->generation != outside.generation) {
    return;
  }
  *outside.over = true;
  Deliver(*outside.node, EventType{outside.call, delivery, reply});
}

void ChaosWorld::CarryWorker(Node& node, const SendWorker& send) {
  WorkerNode& worker =
      *std::find_if(workers_.begin(), workers_.end(), [&](const WorkerNode& w) { return w.name == send.worker; });
  const Outside outside{&node, node.generation, send.call};
  const DataCentre& centre = node.data_centre;
  if (send.request.op != WorkerOp::kAcquire) {
    Trace("{} -> {} op {} token {} {}", node.name, worker.name, static_cast<int>(send.request.op), send.request.token,
          send.request.task.run.ToString());
  }
  At(send.timeout, [this, outside] { Finish<WorkerEvent>(outside, Delivery::kUnknown, WorkerReply{}); });
  if (worker.cut || Lost(node, worker)) {
    return;
  }
  At(Latency(centre, worker.data_centre), [this, &worker, outside, request = send.request] {
    if (!worker.up) {
      At(kRefusedAfter, [this, outside] { Finish<WorkerEvent>(outside, Delivery::kNotSent, WorkerReply{}); });
      return;
    }
    const bool traced = request.op != WorkerOp::kAcquire || request.token == 0;
    worker.fake.Handle(request, [this, &worker, outside, traced](const WorkerReply& reply) {
      const bool lost = worker.cut || !worker.up || Lost(worker, *outside.node);
      if (traced) {
        Trace("{} -> {} status {} token {} tasks {}{}", worker.name, outside.node->name, static_cast<int>(reply.status),
              reply.token, reply.tasks.size(), lost ? " LOST" : "");
      }
      if (lost) {
        return;
      }
      At(Latency(worker.data_centre, outside.node->data_centre),
         [this, outside, reply] { Finish<WorkerEvent>(outside, Delivery::kAnswered, reply); });
    });
  });
}

void ChaosWorld::CarryServer(Node& node, const SendServer& send) {
  ServerNode& server =
      *std::find_if(servers_.begin(), servers_.end(), [&](const ServerNode& s) { return s.name == send.server; });
  const Outside outside{&node, node.generation, send.call};
  if (send.request.op == ServerOp::kExecute) {
    Trace("{} -> {} execute {}", node.name, server.name, send.request.run.ToString());
    if (server.left != TimePoint::max() && Now() - server.left > kServerGrace) {
      Broken(fmt::format("{} gave {} to {}, which leaves since {} ms", node.name, send.request.run.ToString(),
                         server.name, Millis(Now() - server.left)));
    }
  }
  At(send.timeout, [this, outside] { Finish<ServerEvent>(outside, Delivery::kUnknown, ServerReply{}); });
  if (Lost(node, server)) {
    return;
  }
  At(Latency(node.data_centre, server.data_centre), [this, &server, outside, request = send.request] {
    if (!server.up) {
      At(kRefusedAfter, [this, outside] { Finish<ServerEvent>(outside, Delivery::kNotSent, ServerReply{}); });
      return;
    }
    server.fake.Handle(request, [this, &server, outside](const ServerReply& reply) {
      if (!server.up || Lost(server, *outside.node)) {
        return;
      }
      At(Latency(server.data_centre, outside.node->data_centre),
         [this, outside, reply] { Finish<ServerEvent>(outside, Delivery::kAnswered, reply); });
    });
  });
}

void ChaosWorld::CarryStore(Node& node, const SendStore& send) {
  const Outside outside{&node, node.generation, send.call};
  Trace("{} -> store op {} {}", node.name, static_cast<int>(send.request.op), send.request.key);
  At(send.timeout, [this, outside] { Finish<StoreEvent>(outside, Delivery::kUnknown, StoreReply{}); });
  if (weather_.cut_from_store.contains(node.data_centre) || LostBetween(node.data_centre, kStoreHome)) {
    return;
  }
  const auto travel = [this, &node] {
    const Duration slow = weather_.store_slow ? DrawTime(100ms, 2s) : 0us;
    return Latency(node.data_centre, kStoreHome) + slow;
  };
  At(travel(), [this, outside, travel, request = send.request] {
    if (weather_.store_down) {
      At(kRefusedAfter, [this, outside] { Finish<StoreEvent>(outside, Delivery::kNotSent, StoreReply{}); });
      return;
    }
    const bool write = request.op == StoreOp::kPut || request.op == StoreOp::kDelete;
    const bool mute = write && weather_.store_loses_answers;
    store_.Handle(request, [this, outside, travel, mute, write, request](const StoreReply& reply) {
      if (write) {
        Wrote(request, reply);
      }
      const DataCentre& centre = outside.node->data_centre;
      const bool lost =
          weather_.store_down || weather_.cut_from_store.contains(centre) || LostBetween(kStoreHome, centre);
      if (mute || lost) {
        return;
      }
      At(travel(), [this, outside, reply] { Finish<StoreEvent>(outside, Delivery::kAnswered, reply); });
    });
  });
}

void ChaosWorld::Wrote(const StoreCall& call, const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk && write_watcher_) {
    write_watcher_(call);
  }
}

void ChaosWorld::Say(const std::string& line) const {
  fmt::print("{:>9.3f} {}\n", static_cast<double>((clock_.Now() - start_).count()) / 1e6, line);
}

std::string Describe(const PeerMessage& message) {
  return std::visit(
      Overloaded{
          [](const ForwardRequest& m) {
            return fmt::format("forward {} of {} attempt {}{}", m.forward_id, m.request.key.ToString(),
                               m.request.attempt, m.resubmit ? " resubmit" : "");
          },
          [](const ForwardAnswer& m) {
            return fmt::format("answer {} of {} {}", m.forward_id, m.answer.key.ToString(), NameOf(m.answer.verdict));
          },
          [](const ForwardMoved& m) { return fmt::format("moved {} to {}", m.forward_id, m.home); },
          [](const ForwardCancel& m) { return fmt::format("cancel {}", m.key.ToString()); },
          [](const Reserve& m) { return fmt::format("reserve {}", m.run.ToString()); },
          [](const Reserved& m) {
            return fmt::format("reserved {} {} on {} token {}", m.run.ToString(), InfoOf(m.code).name, m.worker,
                               m.token);
          },
          [](const Commit& m) { return fmt::format("commit {} on {} token {}", m.run.ToString(), m.worker, m.token); },
          [](const ReleaseHold& m) { return fmt::format("release hold {}", m.run.ToString()); },
          [](const StopRun& m) { return fmt::format("stop {} on {}", m.run.ToString(), m.worker); },
          [](const RunReport& m) {
            return fmt::format("report {} on {} phase {}", m.run.ToString(), m.worker, static_cast<int>(m.phase));
          },
          [](const RunReportAck& m) { return fmt::format("ack {} on {}", m.run.ToString(), m.worker); },
          [](const CallDispatch& m) { return fmt::format("dispatch {}", m.run.ToString()); },
          [](const CallResult& m) { return fmt::format("result {} {}", m.run.ToString(), NameOf(m.verdict)); },
          [](const Claim& m) { return fmt::format("claim {}", m.key.ToString()); },
          [](const ClaimAnswer& m) {
            return fmt::format("claim answer {} covered {} elsewhere {} runs {}", m.key.ToString(), m.covered,
                               m.known_elsewhere, m.runs.size());
          },
          [](const ConfigPush& m) { return fmt::format("config {}", m.configuration.version); },
          [](const LogAppend& m) {
            return fmt::format("append kind {} of {}", static_cast<int>(m.record.kind), m.record.key.ToString());
          },
          [](const LogAppended& m) {
            return fmt::format("appended kind {} of {} outcome {}", static_cast<int>(m.kind), m.key.ToString(),
                               static_cast<int>(m.outcome));
          },
          [](const LogLookup& m) { return fmt::format("look up {}", m.key.ToString()); },
          [](const LogFound& m) {
            return fmt::format("found {} state {}{}", m.key.ToString(), static_cast<int>(m.found.state),
                               m.current ? "" : " not current");
          },
          [](const LogResume& m) { return fmt::format("resume {}", m.request.key.ToString()); },
          [](const LogResumed& m) { return fmt::format("resumed {} at '{}'", m.key.ToString(), m.home); },
          [](const auto&) { return std::string("message"); },
      },
      message);
}

}  // namespace hibiscus
