#include "bench/slope_rig.h"

#include <malloc.h>

#include <cstdlib>
#include <ctime>
#include <new>
#include <utility>

#include "hibiscusstand/rendezvous.h"
#include "ports/json_codec.h"
#include "ports/peer_codec.h"

namespace {

// Bytes that are allocated and not freed, in all of this process.
size_t g_heap = 0;  // NOLINT: the replaced operators need a global.

}  // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  g_heap += malloc_usable_size(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  g_heap -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace hibiscus {

namespace {

constexpr uint64_t kBeatTicks = 12;    // Peers beat every 240 ms.
constexpr uint64_t kDigestTicks = 50;  // Digests arrive every second.
constexpr char kCentre[] = "dc01";

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

HostSettings Settings(const HostName& name) {
  HostSettings settings;
  settings.name = name;
  settings.data_centre = kCentre;
  return settings;
}

}  // namespace

SlopeRig::SlopeRig(int hosts, int centres) {
  for (int host = 1; host <= hosts; ++host) {
    hosts_.push_back("a" + std::to_string(host));
    list_.push_back(ListEntry{ListKind::kEntryHost, hosts_.back(), kCentre, {}, "10.0.0.2:7000", false});
  }
  self_ = RendezvousPick("digest", hosts_);
  peers_ = hosts_;
  std::erase(peers_, self_);
  const size_t before = g_heap;
  core_ = std::make_unique<HostCore>(Settings(self_), clock_, 1);
  cost_.state_bytes = static_cast<double>(g_heap - before);
  for (int centre = 2; centre <= centres; ++centre) {
    remotes_.push_back("dc" + std::to_string(centre + 100));
    for (int host = 1; host <= hosts; ++host) {
      const HostName name = remotes_.back() + "-h" + std::to_string(host);
      list_.push_back(ListEntry{ListKind::kEntryHost, name, remotes_.back(), {}, "10.0.0.3:7000", false});
    }
  }
}

void SlopeRig::AddWorkers(int count, const Resources& capacity) {
  for (int worker = 0; worker < count; ++worker) {
    const std::string name = "worker" + std::to_string(worker);
    workers_[name] = std::make_unique<FakeWorker>(name, capacity, clock_, log_);
    list_.push_back(ListEntry{ListKind::kWorker, name, kCentre, "rack", "10.0.1.1:7000", false});
  }
}

void SlopeRig::AddServers(int count) {
  for (int server = 0; server < count; ++server) {
    const std::string name = "server" + std::to_string(server);
    servers_[name] = std::make_unique<FakeServer>(name, 8, 20ms, clock_, log_);
    list_.push_back(ListEntry{ListKind::kServer, name, kCentre, "rack", "10.0.2.1:7000", false});
  }
}

void SlopeRig::Configure(const Configuration& configuration) {
  Give(PeerEvent{"peer", ConfigPush{configuration}});
}

void SlopeRig::Run(Duration time) {
  for (const TimePoint end = clock_.Now() + time; clock_.Now() < end;) {
    Tick();
  }
}

Cost SlopeRig::Measure(Duration time) {
  const double state = cost_.state_bytes;
  cost_ = Cost{};
  cost_.state_bytes = state;
  Run(time);
  cost_.seconds = std::chrono::duration<double>(time).count();
  return cost_;
}

void SlopeRig::Tick() {
  clock_.Advance(kTickInterval);
  ++ticks_;
  for (const auto& [name, worker] : workers_) {
    worker->Tick();
  }
  for (const auto& [name, server] : servers_) {
    server->Tick();
  }
  Beat();
  if (on_tick) {
    on_tick();
  }
  for (const Event& event : std::exchange(inbox_, {})) {
    Give(event);
  }
  Give(TickEvent{});
}

void SlopeRig::Beat() {
  if (ticks_ % kBeatTicks == 0) {
    Heartbeat beat = peer_load;
    beat.data_centre = kCentre;
    beat.config_version = core_->configuration().version;
    for (const HostName& peer : peers_) {
      Post(PeerEvent{peer, beat});
    }
  }
  if (ticks_ % kDigestTicks == 0) {
    for (const DataCentre& remote : remotes_) {
      const Resources free{64'000'000, 256'000'000, static_cast<int64_t>(ticks_)};
      const bool relayed = !receives_all_digests && RendezvousPick(remote, hosts_) != self_;
      Digest digest{remote, relayed, false, core_->configuration().version, free, free, {}};
      for (size_t host = 0; host <= peers_.size(); ++host) {
        digest.hosts.push_back(DigestHost{remote + "-h" + std::to_string(host + 1), 40});
      }
      Post(PeerEvent{relayed ? peers_.front() : remote + "-h1", digest});
    }
  }
}

void SlopeRig::Give(const Event& event) {
  const size_t heap = g_heap;
  const double start = ThreadSeconds();
  std::vector<Action> actions = core_->Handle(event);
  cost_.cpu_seconds += ThreadSeconds() - start;
  const size_t after = g_heap;
  const std::vector<Action> copy = actions;
  const size_t copied = g_heap;
  std::vector<Action>().swap(actions);
  const size_t held_by_actions = copied - g_heap;
  cost_.state_bytes += static_cast<double>(after) - static_cast<double>(heap) - static_cast<double>(held_by_actions);
  for (const Action& action : copy) {
    Carry(action);
  }
}

void SlopeRig::Carry(const Action& action) {
  if (const auto* peer = std::get_if<SendPeer>(&action)) {
    Count& count = peer->to.starts_with("dc") ? cost_.remote : cost_.peers;
    ++count.messages;
    count.bytes += static_cast<double>(EncodePeerMessage(peer->message).size());
    if (on_peer) {
      on_peer(peer->to, peer->message);
    }
  } else if (const auto* worker = std::get_if<SendWorker>(&action)) {
    CarryWorker(*worker);
  } else if (const auto* server = std::get_if<SendServer>(&action)) {
    CarryServer(*server);
  } else if (std::holds_alternative<SendStore>(action)) {
    ++cost_.store_calls;
  } else if (std::holds_alternative<AnswerCaller>(action)) {
    ++answers_;
  }
}

void SlopeRig::CarryWorker(const SendWorker& send) {
  ++cost_.outside.messages;
  cost_.outside.bytes += static_cast<double>(EncodeCompactJson(send.request).size());
  workers_.at(send.worker)->Handle(send.request, [this, call = send.call](const WorkerReply& reply) {
    Post(WorkerEvent{call, Delivery::kAnswered, reply});
  });
}

void SlopeRig::CarryServer(const SendServer& send) {
  ++cost_.outside.messages;
  cost_.outside.bytes += static_cast<double>(EncodeCompactJson(send.request).size());
  servers_.at(send.server)->Handle(send.request, [this, call = send.call](const ServerReply& reply) {
    Post(ServerEvent{call, Delivery::kAnswered, reply});
  });
}

}  // namespace hibiscus
