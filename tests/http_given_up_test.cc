// Calls that are given up: what of them still reaches their server, which is on loopback.
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <future>
#include <memory>
#include <string>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "ports/http_client.h"
#include "tests/loopback_listener.h"

namespace hibiscus {
namespace {

constexpr size_t kHeldRequestBytes = size_t{32} * 1024 * 1024;  // More than the buffers of a connection take.
constexpr int kEnoughMs = 30'000;                               // A test fails if it waits longer.
constexpr std::chrono::milliseconds kPollInterval(10);
constexpr std::chrono::milliseconds kEnough(kEnoughMs);
constexpr Duration kTimeout = 1h;  // Of calls; passes only by TestClock.

// A clock that the test advances while the client reads it.
class TestClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(now_us_)); }
  void Advance(Duration by) { now_us_ += by.count(); }

 private:
  std::atomic<Duration::rep> now_us_{Duration(24h).count()};
};

// What a connection received until its end.
struct Received {
  std::string bytes;
  bool reset = false;  // Otherwise it was closed in the ordinary way.
};

// A server that accepts one connection, and reads and answers only when told.
class HeldServer {
 public:
  ~HeldServer() {
    if (connection_ >= 0) {
      close(connection_);
    }
  }
  HeldServer() = default;
  HeldServer(const HeldServer&) = delete;
  HeldServer& operator=(const HeldServer&) = delete;

  std::string url() const { return fmt::format("http://{}/", listener_.address()); }

  // Returns once the first bytes of a request have arrived.
  void AwaitRequest() {
    REQUIRE(IsReadable(listener_.socket_descriptor()));
    connection_ = accept(listener_.socket_descriptor(), nullptr, nullptr);
    REQUIRE(IsReadable(connection_));
  }
  void Answer(const std::string& text) {
    REQUIRE(send(connection_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  // Waits until a call has ended. True if instead another request or connection arrives after the first request.
  bool SendsMore(const std::future<HttpResult>& end) {
    std::array<char, 4096> first{};
    REQUIRE(recv(connection_, first.data(), first.size(), 0) > 0);
    std::array<pollfd, 2> events{pollfd{connection_, POLLIN, 0}, pollfd{listener_.socket_descriptor(), POLLIN, 0}};
    while (end.wait_for(kPollInterval) != std::future_status::ready) {
      if (poll(events.data(), events.size(), 0) > 0 && ((events[0].revents | events[1].revents) & POLLHUP) == 0) {
        return true;
      }
    }
    return false;
  }
  // Not read yet.
  size_t arrived_bytes() const {
    int bytes = 0;
    REQUIRE(ioctl(connection_, FIONREAD, &bytes) == 0);
    return static_cast<size_t>(bytes);
  }
  // Reads until the client's end of the connection is gone.
  Received ReadToEnd() {
    Received received;
    std::array<char, 65536> buffer{};
    while (true) {
      REQUIRE(IsReadable(connection_));
      const ssize_t count = recv(connection_, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        received.reset = count < 0 && errno == ECONNRESET;
        return received;
      }
      received.bytes.append(buffer.data(), static_cast<size_t>(count));
    }
  }

 private:
  static bool IsReadable(int descriptor) {
    pollfd events{descriptor, POLLIN, 0};
    return poll(&events, 1, kEnoughMs) == 1;
  }

  const LoopbackListener listener_;
  int connection_ = -1;
};

// A client with one call to the server.
class OneCall {
 public:
  OneCall(const HeldServer& server, size_t request_bytes, Duration stall_timeout = 0us) {
    HttpCall call;
    call.url = server.url();
    call.body = std::string(request_bytes, 'x');
    call.timeout = kTimeout;
    call.stall_timeout = stall_timeout;
    number_ = client_->Send(std::move(call), [this](const HttpResult& result) { ended_.set_value(result); });
  }

  void Cancel() { client_->Cancel(number_); }
  void PassTimeout() {
    clock_.Advance(kTimeout + 1ms);
    client_->CloseConnections();  // Wakes the client's thread, which waits for the deadline by another clock.
  }
  Delivery AwaitEnd() {
    std::future<HttpResult> end = ended_.get_future();
    REQUIRE(end.wait_for(kEnough) == std::future_status::ready);
    return end.get().delivery;
  }
  void DestroyClient() { client_.reset(); }

 private:
  TestClock clock_;
  std::promise<HttpResult> ended_;
  std::unique_ptr<HttpClient> client_ = std::make_unique<HttpClient>(HttpClientOptions{}, clock_);
  uint64_t number_ = 0;
};

// The call has been given up.
void CheckNothingMoreArrives(HeldServer& server, OneCall& call) {
  CHECK(call.AwaitEnd() == Delivery::kUnknown);
  const size_t arrived_bytes = server.arrived_bytes();
  const Received received = server.ReadToEnd();
  CHECK(received.reset);
  CHECK(received.bytes.size() == arrived_bytes);
}

TEST_CASE("the rest of a request is not delivered after its timeout") {
  HeldServer server;
  OneCall call(server, kHeldRequestBytes);
  server.AwaitRequest();
  call.PassTimeout();
  CheckNothingMoreArrives(server, call);
}

TEST_CASE("the rest of a request is not delivered after it was cancelled") {
  HeldServer server;
  OneCall call(server, kHeldRequestBytes);
  server.AwaitRequest();
  call.Cancel();
  CheckNothingMoreArrives(server, call);
}

TEST_CASE("the rest of a request is not delivered after its client was destroyed") {
  HeldServer server;
  OneCall call(server, kHeldRequestBytes);
  server.AwaitRequest();
  call.DestroyClient();
  CheckNothingMoreArrives(server, call);
}

TEST_CASE("a call without an answer resets its connection") {
  const Duration stall_timeout = GENERATE(0us, kTimeout);
  HeldServer server;
  OneCall call(server, 1, stall_timeout);
  server.AwaitRequest();
  call.PassTimeout();
  CHECK(call.AwaitEnd() == Delivery::kUnknown);
  CHECK(server.ReadToEnd().reset);
}

TEST_CASE("a connection whose call was answered is closed in the ordinary way") {
  HeldServer server;
  OneCall call(server, 1);
  server.AwaitRequest();
  server.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(call.AwaitEnd() == Delivery::kAnswered);
  call.DestroyClient();
  const Received received = server.ReadToEnd();
  CHECK_FALSE(received.reset);
  CHECK(received.bytes.ends_with("\r\n\r\nx"));
}

TEST_CASE("a call whose deadline passes before the client's thread runs again is not sent") {
  HeldServer server;
  TestClock clock;
  std::promise<void> thread_stands;
  std::promise<void> thread_goes_on;
  std::promise<HttpResult> ended;
  HttpClient client(HttpClientOptions{}, clock);
  client.Send(HttpCall{"POST", server.url(), "first", kTimeout}, [&](const HttpResult& /*result*/) {
    thread_stands.set_value();
    thread_goes_on.get_future().wait();
  });
  server.AwaitRequest();
  server.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  REQUIRE(thread_stands.get_future().wait_for(kEnough) == std::future_status::ready);
  client.Send(HttpCall{"POST", server.url(), "second", kTimeout},
              [&](const HttpResult& result) { ended.set_value(result); });
  clock.Advance(kTimeout + 1ms);
  thread_goes_on.set_value();
  std::future<HttpResult> end = ended.get_future();
  CHECK(!server.SendsMore(end));
  REQUIRE(end.wait_for(kEnough) == std::future_status::ready);
  const HttpResult result = end.get();
  CHECK(result.delivery == Delivery::kNotSent);
  CHECK(result.reason == UnansweredReason::kNoConnectionFree);
}

TEST_CASE("a call whose deadline passes while it waits for a connection is not sent over the next free one") {
  HeldServer server;
  TestClock clock;
  std::promise<HttpResult> ended;
  HttpClient client(HttpClientOptions{.connections = {.total = 1, .urgent = 0}}, clock);
  const uint64_t first = client.Send(HttpCall{"POST", server.url(), "first", 3 * kTimeout}, [](const HttpResult&) {});
  server.AwaitRequest();
  client.Send(HttpCall{"POST", server.url(), "second", kTimeout},
              [&](const HttpResult& result) { ended.set_value(result); });
  clock.Advance(kTimeout + 1ms);
  client.Cancel(first);
  std::future<HttpResult> end = ended.get_future();
  CHECK(!server.SendsMore(end));
  REQUIRE(end.wait_for(kEnough) == std::future_status::ready);
  const HttpResult result = end.get();
  CHECK(result.delivery == Delivery::kNotSent);
  CHECK(result.reason == UnansweredReason::kNoConnectionFree);
}

}  // namespace
}  // namespace hibiscus
