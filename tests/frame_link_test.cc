// Messages between the hosts of a cell: real sockets on loopback, over a relay that can be cut.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <memory>
#include <mutex>
#include <thread>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "ports/frame_link.h"
#include "standins/relay.h"
#include "tests/loopback_listener.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kSendEvery(50);
constexpr size_t kHeldMessageBytes = 4'000'000;  // More than the receiver's buffer takes.
constexpr int kMostSends = 600;                  // Only ends a hopeless run.

// Keeps what arrives.
class Inbox {
 public:
  FrameLink::Receiver receiver() {
    return [this](std::string bytes) {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(bytes));
    };
  }
  std::vector<std::string> messages() const {
    const std::lock_guard lock(mutex_);
    return messages_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> messages_;
};

std::string AddressOf(uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

// Waits for what must come sooner or later.
template <class Condition>
bool Comes(Condition condition) {
  for (int i = 0; i < kMostSends && !condition(); ++i) {
    std::this_thread::sleep_for(kSendEvery);
  }
  return condition();
}

// Sends until one more message arrives.
bool Arrives(FrameLink& sender, const std::string& address, const Inbox& inbox) {
  const size_t before = inbox.messages().size();
  for (int i = 0; i < kMostSends && inbox.messages().size() == before; ++i) {
    sender.Send(address, {"again"});
    std::this_thread::sleep_for(kSendEvery);
  }
  return inbox.messages().size() > before;
}

int OptionOf(int socket, int level, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  REQUIRE(getsockopt(socket, level, name, &value, &size) == 0);
  return value;
}

// The socket of this process that was accepted at the port; -1 if there is none.
int AcceptedAt(uint16_t port) {
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
    const int descriptor = std::stoi(entry.path().filename().string());
    sockaddr_in local{};
    sockaddr_in remote{};
    socklen_t local_size = sizeof(local);
    socklen_t remote_size = sizeof(remote);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &local_size) == 0 &&
        getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &remote_size) == 0 &&
        ntohs(local.sin_port) == port) {
      return descriptor;
    }
  }
  return -1;
}

}  // namespace

TEST_CASE("messages arrive whole and in order, short, long and empty ones") {
  Inbox inbox;
  FrameLink receiver("127.0.0.1:0", inbox.receiver());
  FrameLink sender("127.0.0.1:0", [](const std::string&) {});
  const std::string address = AddressOf(static_cast<uint16_t>(receiver.port()));
  std::vector<std::string> sent;
  sent.reserve(203);
  for (int i = 0; i < 200; ++i) {
    sent.push_back(fmt::format("message {}", i));
  }
  sent.push_back("");
  sent.push_back(std::string(3'000'000, 'x'));
  sent.push_back("last");
  for (size_t i = 0; i < sent.size(); i += 7) {
    sender.Send(address,
                std::vector<std::string>(sent.begin() + static_cast<std::ptrdiff_t>(i),
                                         sent.begin() + static_cast<std::ptrdiff_t>(std::min(i + 7, sent.size()))));
  }
  REQUIRE(Comes([&] { return inbox.messages().size() == sent.size(); }));
  CHECK(inbox.messages() == sent);
  CHECK(sender.lost() == 0);
}

TEST_CASE("a connection that a cut left open and silent is replaced") {
  Inbox inbox;
  FrameLink receiver("127.0.0.1:0", inbox.receiver());
  Relay relay({RelayLink{0, static_cast<uint16_t>(receiver.port())}});
  FrameLink sender("127.0.0.1:0", [](const std::string&) {});
  const std::string address = AddressOf(relay.port(0));
  REQUIRE(Arrives(sender, address, inbox));
  relay.Cut();
  const uint64_t swallowed = relay.swallowed_bytes();
  for (int i = 0; i < kMostSends && relay.swallowed_bytes() == swallowed; ++i) {
    sender.Send(address, {"into the cut"});
    std::this_thread::sleep_for(kSendEvery);
  }
  REQUIRE(relay.swallowed_bytes() > swallowed);
  CHECK(Comes([&] { return sender.lost() > 0; }));  // Nothing confirms them.
  relay.Heal();
  CHECK(Arrives(sender, address, inbox));
}

// The receiver reads only once the sender has given up.
TEST_CASE("messages of a connection that was given up do not arrive later") {
  const LoopbackListener receiver;
  FrameLink sender("127.0.0.1:0", [](const std::string&) {});
  sender.Send(receiver.address(), {std::string(kHeldMessageBytes, 'x')});
  const int connection = accept(receiver.socket_descriptor(), nullptr, nullptr);
  REQUIRE(connection >= 0);
  CHECK(Comes([&] { return sender.lost() > 0; }));
  int arrived_bytes = 0;
  REQUIRE(ioctl(connection, FIONREAD, &arrived_bytes) == 0);
  std::vector<char> buffer(kHeldMessageBytes);
  ssize_t received_bytes = 0;
  ssize_t count = 0;
  while ((count = recv(connection, buffer.data(), buffer.size(), 0)) > 0) {
    received_bytes += count;
  }
  const int error = errno;
  close(connection);
  CHECK(count < 0);
  CHECK(error == ECONNRESET);
  CHECK(received_bytes == arrived_bytes);
}

// On loopback the kernel answers the probes, so that only the settings can be checked.
TEST_CASE("an incoming connection whose sender is gone ends within a bounded time, idle or not") {
  constexpr int kMaxSilenceSeconds = 10;
  Inbox inbox;
  FrameLink receiver("127.0.0.1:0", inbox.receiver());
  FrameLink sender("127.0.0.1:0", [](const std::string&) {});
  const auto port = static_cast<uint16_t>(receiver.port());
  REQUIRE(Arrives(sender, AddressOf(port), inbox));
  const int accepted = AcceptedAt(port);
  REQUIRE(accepted >= 0);
  CHECK(OptionOf(accepted, SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(OptionOf(accepted, IPPROTO_TCP, TCP_KEEPIDLE) +
            OptionOf(accepted, IPPROTO_TCP, TCP_KEEPINTVL) * OptionOf(accepted, IPPROTO_TCP, TCP_KEEPCNT) <=
        kMaxSilenceSeconds);
  const int unacknowledged_ms = OptionOf(accepted, IPPROTO_TCP, TCP_USER_TIMEOUT);
  CHECK(unacknowledged_ms > 0);
  CHECK(unacknowledged_ms <= kMaxSilenceSeconds * 1000);
}

TEST_CASE("a host that comes back at its address is reached again") {
  Inbox inbox;
  auto receiver = std::make_unique<FrameLink>("127.0.0.1:0", inbox.receiver());
  const auto port = static_cast<uint16_t>(receiver->port());
  FrameLink sender("127.0.0.1:0", [](const std::string&) {});
  REQUIRE(Arrives(sender, AddressOf(port), inbox));
  receiver.reset();
  sender.Send(AddressOf(port), {"to nobody"});
  CHECK(Comes([&] { return sender.lost() > 0; }));
  receiver = std::make_unique<FrameLink>(AddressOf(port), inbox.receiver());
  CHECK(Arrives(sender, AddressOf(port), inbox));
}

TEST_CASE("an address that is none, or is taken, is an error that names it") {
  CHECK_THROWS_WITH(FrameLink("nowhere", [](const std::string&) {}), Catch::Contains("'nowhere'"));
  FrameLink first("127.0.0.1:0", [](const std::string&) {});
  const std::string taken = AddressOf(static_cast<uint16_t>(first.port()));
  CHECK_THROWS_WITH(FrameLink(taken, [](const std::string&) {}), Catch::Contains(taken));
}

}  // namespace hibiscus
