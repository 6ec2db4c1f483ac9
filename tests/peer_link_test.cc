// Deliveries between hosts over a relay that can be cut: ports only, real sockets on loopback.
#include <atomic>
#include <chrono>
#include <thread>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "ports/peer_link.h"
#include "standins/relay.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kSendEvery(50);
constexpr int kMostSends = 600;  // Only ends a hopeless run.

// One host, and another that it reaches through a relay.
class TwoHosts {
 public:
  TwoHosts()
      : receiver_("b1", "127.0.0.1:0", [this](const HostName&, const PeerMessage&) { ++received_; }),
        relay_({RelayLink{0, static_cast<uint16_t>(receiver_.port())}}),
        sender_("a1", "127.0.0.1:0", [](const HostName&, const PeerMessage&) {}) {}

  Relay& relay() { return relay_; }
  void Send() { sender_.Send(fmt::format("127.0.0.1:{}", relay_.port(0)), {Heartbeat{}}); }

  // Sends until one more arrives.
  bool Arrives() {
    const int before = received_;
    for (int i = 0; i < kMostSends && received_ == before; ++i) {
      Send();
      std::this_thread::sleep_for(kSendEvery);
    }
    return received_ > before;
  }

  // Sends until the relay has swallowed some of it.
  bool IsSwallowed() {
    const uint64_t before = relay_.swallowed_bytes();
    for (int i = 0; i < kMostSends && relay_.swallowed_bytes() == before; ++i) {
      Send();
      std::this_thread::sleep_for(kSendEvery);
    }
    return relay_.swallowed_bytes() > before;
  }

 private:
  std::atomic<int> received_{0};
  PeerLink receiver_;
  Relay relay_;
  PeerLink sender_;
};

}  // namespace

TEST_CASE("a link carries again after a cut that left its connection open and silent") {
  TwoHosts hosts;
  REQUIRE(hosts.Arrives());
  hosts.relay().Cut();
  REQUIRE(hosts.IsSwallowed());
  hosts.relay().Heal();
  CHECK(hosts.Arrives());
}

TEST_CASE("a link that was first used during a cut carries after it") {
  TwoHosts hosts;
  hosts.relay().Cut();
  REQUIRE(hosts.IsSwallowed());
  hosts.relay().Heal();
  CHECK(hosts.Arrives());
}

}  // namespace hibiscus
