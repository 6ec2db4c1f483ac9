#include "bench/bench_world.h"

#include <algorithm>
#include <cmath>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr Duration kPeerDelay = 500us;     // One way, inside the data centre.
constexpr Duration kOutsideDelay = 500us;  // One way to workers, backend servers and the store.
constexpr Duration kSettle = 4s;           // Leases and probes, before the first arrival.
constexpr Duration kDrain = 60s;           // After the last arrival.
constexpr Duration kSampleEvery = 100ms;
constexpr double kSlowness = 4;
constexpr int kFailingOneOf = 8;       // Workers, on a day with failing ones.
constexpr double kFailsAtOnce = 1e-3;  // Of the run time of a task that fails.
constexpr double kBurst = 3;
constexpr double kFlood = 5;
constexpr int kRackSize = 8;
constexpr char kDataCentre[] = "bench-a";
constexpr Duration kFakeServiceTime = 1s;  // The fake's own; each call scales it.

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

size_t TraceIndex(const RunId& run) {
  return std::stoul(run.task.key.id);
}

bool IsTask(WorkKind kind) {
  return kind == WorkKind::kBatch || kind == WorkKind::kGang;
}

}  // namespace

BenchWorld::BenchWorld(const Workload& workload, const BenchOptions& options)
    : workload_(workload), options_(options), random_(options.seed), store_(clock_) {
  MakeFleet();
}

void BenchWorld::MakeFleet() {
  const auto slowness = [&](int index) { return options_.day.slow && index % 10 == 0 ? kSlowness : 1.0; };
  for (int i = 0; i < options_.hosts; ++i) {
    HostSettings settings = options_.settings;
    settings.name = fmt::format("host{}", i);
    settings.data_centre = DataCentre(kDataCentre);
    list_.push_back(ListEntry{ListKind::kEntryHost, settings.name, kDataCentre, "", "", false});
    host_index_[settings.name] = hosts_.size();
    hosts_.push_back(Host{settings.name, std::make_unique<HostCore>(settings, clock_, random_())});
  }
  for (int i = 0; i < options_.workers; ++i) {
    const std::string name = fmt::format("worker{:04}", i);
    list_.push_back(ListEntry{ListKind::kWorker, name, kDataCentre, fmt::format("rack{}", i / kRackSize), "", false});
    workers_[name] = {std::make_unique<FakeWorker>(name, workload_.worker, clock_, log_), slowness(i)};
    workers_[name].fails = options_.day.failing && i % kFailingOneOf == 0;
    workers_[name].fake->set_fails_everything(workers_[name].fails);
  }
  for (int i = 0; i < options_.servers; ++i) {
    const std::string name = fmt::format("server{:04}", i);
    list_.push_back(ListEntry{ListKind::kServer, name, kDataCentre, fmt::format("rack{}", i / kRackSize), "", false});
    servers_[name] = {std::make_unique<FakeServer>(name, options_.slots, kFakeServiceTime, clock_, log_), slowness(i)};
    servers_[name].fails = (options_.day.refusing || options_.day.breaking) && i % 2 == 0;
  }
}

void BenchWorld::Run() {
  for (size_t host = 0; host < hosts_.size(); ++host) {
    Feed(host, ListEvent{list_});
    Feed(host, PeerEvent{"operator", ConfigPush{workload_.configuration}});
    TickHost(host);
  }
  RunUntil(clock_.Now() + kSettle);
  counts_from_ = clock_.Now() + options_.ramp;
  counts_until_ = counts_from_ + options_.length;
  if (options_.tasks) {
    PlaceServices();
  }
  for (int i = 0; i < options_.waiting; ++i) {
    Arrive(workload_.streams.size() - 1);
  }
  ScheduleArrivals();
  Sample();
  RunUntil(counts_until_ + kDrain);
}

void BenchWorld::After(Duration delay, std::function<void()> run) {
  timers_.push(Timer{clock_.Now() + delay, next_order_++, std::move(run)});
}

void BenchWorld::RunUntil(TimePoint end) {
  while (!timers_.empty() && timers_.top().at <= end) {
    Timer timer = std::move(const_cast<Timer&>(timers_.top()));  // Gone with the pop.
    timers_.pop();
    clock_.Set(timer.at);
    timer.run();
  }
  clock_.Set(end);
}

void BenchWorld::Feed(size_t host, const Event& event) {
  const auto before = std::chrono::steady_clock::now();
  std::vector<Action> actions = hosts_[host].core->Handle(event);
  const std::chrono::duration<float, std::micro> took = std::chrono::steady_clock::now() - before;
  if (counts_from_ != TimePoint{} && clock_.Now() >= counts_from_ && clock_.Now() < counts_until_) {
    handle_micros_.push_back(took.count());
  }
  for (Action& action : actions) {
    Act(host, action);
  }
}

void BenchWorld::Act(size_t host, Action& action) {
  if (auto* peer = std::get_if<SendPeer>(&action)) {
    ToPeer(host, *peer);
  } else if (auto* worker = std::get_if<SendWorker>(&action)) {
    ToWorker(host, *worker);
  } else if (auto* server = std::get_if<SendServer>(&action)) {
    ToServer(host, *server);
  } else if (auto* store = std::get_if<SendStore>(&action)) {
    ToStore(host, *store);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    OnAnswer(*answer);
  }
}

void BenchWorld::ToPeer(size_t host, SendPeer& send) {
  const auto to = host_index_.find(send.to);
  if (to == host_index_.end()) {
    return;
  }
  After(kPeerDelay, [this, from = hosts_[host].name, to = to->second, message = std::move(send.message)] {
    Feed(to, PeerEvent{from, message});
  });
}

// What to call with the outside system's reply. If none came by the timeout, the host is told so; only the first
// counts.
template <class EventType, class Reply>
BenchWorld::Deliver<Reply> BenchWorld::Expect(size_t host, CallId call, Duration timeout) {
  outstanding_.insert({host, call});
  Deliver<Reply> deliver = [this, host, call](Delivery delivery, const Reply& reply) {
    if (outstanding_.erase({host, call}) > 0) {
      Feed(host, EventType{call, delivery, reply});
    }
  };
  After(timeout, [deliver] { deliver(Delivery::kUnknown, {}); });
  return deliver;
}

void BenchWorld::ToWorker(size_t host, SendWorker& send) {
  const Deliver<WorkerReply> deliver = Expect<WorkerEvent, WorkerReply>(host, send.call, send.timeout);
  After(kOutsideDelay, [this, deliver, name = send.worker, request = std::move(send.request)] {
    Outside<FakeWorker>& worker = workers_.at(name);
    const auto reply = [this, deliver](const WorkerReply& answer) {
      After(kOutsideDelay, [deliver, answer] { deliver(Delivery::kAnswered, answer); });
    };
    const auto tick = [&worker] { worker.fake->Tick(); };
    if (request.op == WorkerOp::kStart) {
      const Trace& trace = traces_[TraceIndex(request.task.run)];
      const double factor =
          Seconds(trace.run_time) / Seconds(trace.declared) * worker.slowness * (worker.fails ? kFailsAtOnce : 1);
      worker.fake->set_slowness(factor);
      NoteStart(request.task.run);
      After(FromSeconds(Seconds(request.run_time) * factor) + 2us, tick);
    } else if (request.op == WorkerOp::kAcquire) {
      After(request.wait + 1us, tick);
    }
    worker.fake->Handle(request, reply);
  });
}

void BenchWorld::ToServer(size_t host, SendServer& send) {
  const Deliver<ServerReply> deliver = Expect<ServerEvent, ServerReply>(host, send.call, send.timeout);
  After(kOutsideDelay, [this, deliver, name = send.server, request = std::move(send.request)] {
    Outside<FakeServer>& server = servers_.at(name);
    const auto reply = [this, deliver](const ServerReply& answer) {
      After(kOutsideDelay, [deliver, answer] { deliver(Delivery::kAnswered, answer); });
    };
    if (request.op == ServerOp::kExecute) {
      ++calls_sent_;
      requests_sent_.insert(request.run.task.key);
      if (FailsCall(name, deliver)) {
        return;
      }
      const double factor = Seconds(traces_[TraceIndex(request.run)].run_time) * server.slowness;
      server.fake->set_slowness(factor);
      const size_t before = server.fake->in_progress();
      server.fake->Handle(request, reply);
      if (server.fake->in_progress() > before) {
        NoteStart(request.run);
      }
      After(FromSeconds(factor) + 2us, [&server] { server.fake->Tick(); });
      return;
    }
    server.fake->Handle(request, reply);
  });
}

bool BenchWorld::FailsCall(const ServerName& server, const Deliver<ServerReply>& deliver) const {
  if (!servers_.at(server).fails) {
    return false;
  }
  const bool refuses = options_.day.refusing;
  deliver(refuses ? Delivery::kAnswered : Delivery::kUnknown, ServerReply{ServerStatus::kRefused, false, 0, {}});
  return true;
}

void BenchWorld::ToStore(size_t host, SendStore& send) {
  const Deliver<StoreReply> deliver = Expect<StoreEvent, StoreReply>(host, send.call, send.timeout);
  After(kOutsideDelay, [this, deliver, request = std::move(send.request)] {
    store_.Handle(request, [this, deliver](const StoreReply& answer) {
      After(kOutsideDelay, [deliver, answer] { deliver(Delivery::kAnswered, answer); });
    });
    After(request.wait + 1us, [this] { store_.Tick(); });
  });
}

void BenchWorld::NoteStart(const RunId& run) {
  Trace& trace = traces_[TraceIndex(run)];
  ++trace.started_members;
  counted_starts_ += clock_.Now() >= counts_from_ && clock_.Now() < counts_until_ ? 1 : 0;
  if (trace.started_members <= trace.members) {
    trace.started = clock_.Now();
  }
}

void BenchWorld::OnAnswer(const AnswerCaller& answer) {
  Trace& trace = traces_[answer.exchange];
  trace.answered = clock_.Now();
  trace.answer = answer.answer;
}

void BenchWorld::TickHost(size_t host) {
  Feed(host, TickEvent{});
  After(kTickInterval, [this, host] { TickHost(host); });
}

void BenchWorld::Sample() {
  if (clock_.Now() >= counts_until_) {
    return;
  }
  After(kSampleEvery, [this] { Sample(); });
  if (clock_.Now() < counts_from_) {
    return;
  }
  double slots = 0;
  for (const auto& [name, server] : servers_) {
    slots += static_cast<double>(server.fake->in_progress());
  }
  Resources used;
  for (const auto& [name, worker] : workers_) {
    used += worker.fake->used();
  }
  ++occupancy_.samples;
  const double workers = std::max(1, options_.workers);
  const double cpu = std::max<double>(1, static_cast<double>(workload_.worker.cpu_millis));
  const double memory = std::max<double>(1, static_cast<double>(workload_.worker.memory_mb));
  occupancy_.slots += slots / std::max(1, options_.slots * options_.servers);
  occupancy_.cpu += static_cast<double>(used.cpu_millis) / cpu / workers;
  occupancy_.memory += static_cast<double>(used.memory_mb) / memory / workers;
}

double BenchWorld::EffectiveServers() const {
  double sum = 0;
  for (const auto& [name, server] : servers_) {
    sum += server.fails ? 0 : 1 / server.slowness;
  }
  return sum;
}

double BenchWorld::EffectiveWorkers() const {
  double sum = 0;
  for (const auto& [name, worker] : workers_) {
    sum += worker.fails ? 0 : 1 / worker.slowness;
  }
  return sum;
}

// Services hold their share of the workers from the start.
void BenchWorld::PlaceServices() {
  for (size_t index = 0; index < workload_.streams.size(); ++index) {
    const LoadStream& stream = workload_.streams[index];
    if (stream.kind != WorkKind::kService) {
      continue;
    }
    const double volume = static_cast<double>(workload_.worker.cpu_millis) * options_.workers;
    const int count = static_cast<int>(stream.share * volume / static_cast<double>(stream.size.cpu_millis));
    for (int i = 0; i < count; ++i) {
      After(Duration(i * 1000), [this, index] { Arrive(index); });
    }
  }
}

// Requests a second, for a share of one, that make the scarcest resource carry a load of one.
double BenchWorld::TaskScale() const {
  double cpu = 0;
  double memory = 0;
  double service_cpu = 0;
  double service_memory = 0;
  for (const LoadStream& stream : workload_.streams) {
    const double each_cpu = static_cast<double>(stream.size.cpu_millis);
    const double each_memory = static_cast<double>(stream.size.memory_mb);
    if (stream.kind == WorkKind::kService) {
      service_cpu += stream.share;
      service_memory += stream.share * static_cast<double>(workload_.worker.cpu_millis) * each_memory / each_cpu /
                        static_cast<double>(workload_.worker.memory_mb);
    } else if (IsTask(stream.kind)) {
      // A share is of the tasks' processor time.
      cpu += stream.share;
      memory += stream.share * each_memory / each_cpu;
    }
  }
  const double cpu_room = (options_.load - service_cpu) * static_cast<double>(workload_.worker.cpu_millis);
  const double memory_room = (options_.load - service_memory) * static_cast<double>(workload_.worker.memory_mb);
  return std::min(cpu_room / cpu, memory_room / memory) * EffectiveWorkers();
}

void BenchWorld::ScheduleArrivals() {
  const double scale = TaskScale();
  for (size_t index = 0; index < workload_.streams.size(); ++index) {
    const LoadStream& stream = workload_.streams[index];
    if (stream.kind == WorkKind::kCall && options_.calls) {
      NextArrival(index, options_.load * stream.share * EffectiveServers() * options_.slots / Seconds(stream.run_time));
    } else if (IsTask(stream.kind) && options_.tasks && stream.share > 0) {
      const double work = Seconds(stream.run_time) * stream.MeanMembers() * static_cast<double>(stream.size.cpu_millis);
      NextArrival(index, stream.share * scale / work);
    }
  }
}

double BenchWorld::RateNow(size_t stream, double rate) const {
  const TimePoint burst_from = counts_from_ + options_.length / 2;
  const bool burst =
      options_.day.burst && clock_.Now() >= burst_from && clock_.Now() < burst_from + options_.length / 10;
  const bool flood = options_.day.flood && workload_.streams[stream].tenant == workload_.streams.front().tenant;
  return rate * (burst ? kBurst : 1) * (flood ? kFlood : 1);
}

void BenchWorld::NextArrival(size_t stream, double rate) {
  if (clock_.Now() >= counts_until_) {
    return;
  }
  std::exponential_distribution<double> gap(RateNow(stream, rate));
  After(FromSeconds(gap(random_)), [this, stream, rate] {
    Arrive(stream);
    NextArrival(stream, rate);
  });
}

Duration BenchWorld::Factor(Duration mean, double low, double high) {
  return FromSeconds(Seconds(mean) * std::uniform_real_distribution<double>(low, high)(random_));
}

void BenchWorld::Arrive(size_t index) {
  const LoadStream& stream = workload_.streams[index];
  Trace trace;
  trace.stream = index;
  trace.arrived = clock_.Now();
  trace.members = std::uniform_int_distribution<int>(stream.least_members, stream.most_members)(random_);
  trace.run_time = stream.kind == WorkKind::kService ? Duration(24h) : Factor(stream.run_time, 0.5, 1.5);
  trace.declared = trace.run_time;
  if (options_.day.misdeclared && IsTask(stream.kind)) {
    const double power = std::uniform_real_distribution<double>(-1, 1)(random_);
    trace.declared = FromSeconds(Seconds(trace.run_time) * std::pow(4.0, power));
  }
  Request request;
  request.key = RequestKey{stream.tenant, fmt::format("{}", traces_.size())};
  request.attempt = 1;
  request.class_name = stream.class_name;
  request.size = stream.size;
  request.members = trace.members;
  request.run_time = trace.declared;
  const ExchangeId exchange = traces_.size();
  traces_.push_back(trace);
  Feed(random_() % hosts_.size(), CallerSubmit{exchange, request});
}

}  // namespace hibiscus
