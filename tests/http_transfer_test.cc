// Answers that arrive in parts over a long time, from a server on loopback.
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "ports/http_client.h"
#include "tests/loopback_listener.h"

namespace hibiscus {
namespace {

constexpr size_t kPartBytes = 8192;
constexpr auto kEnough = std::chrono::seconds(30);  // A test fails if it waits longer.

// Answers one call with parts of a body, each some time after the one before, and then waits for the connection to end.
class SlowServer {
 public:
  // Sends `sent` of `parts` parts.
  SlowServer(size_t parts, size_t sent, Duration interval)
      : parts_(parts), sent_(sent), interval_(interval), thread_([this] { Serve(); }) {}
  ~SlowServer() { thread_.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string url() const { return fmt::format("http://{}/", listener_.address()); }
  size_t body_bytes() const { return parts_ * kPartBytes; }
  size_t parts_sent() const { return parts_sent_; }

 private:
  void Serve() {
    const int fd = accept(listener_.socket_descriptor(), nullptr, nullptr);
    std::string received;
    char buffer[4096];
    while (!received.ends_with("\r\n\r\n")) {
      const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
      REQUIRE(count > 0);
      received.append(buffer, static_cast<size_t>(count));
    }
    const std::string head = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body_bytes());
    const std::string part(kPartBytes, 'x');
    bool open = send(fd, head.data(), head.size(), MSG_NOSIGNAL) > 0;
    while (open && parts_sent_ < sent_) {
      open = send(fd, part.data(), part.size(), MSG_NOSIGNAL) > 0;
      ++parts_sent_;
      std::this_thread::sleep_for(interval_);
    }
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {  // Until the client closes the connection.
    }
    close(fd);
  }

  const size_t parts_;
  const size_t sent_;
  const Duration interval_;
  const LoopbackListener listener_;
  std::atomic<size_t> parts_sent_{0};
  std::thread thread_;  // Last: it uses the others.
};

HttpCall CallOf(const SlowServer& server, Duration timeout, Duration stall_timeout) {
  HttpCall call;
  call.method = "GET";
  call.url = server.url();
  call.timeout = timeout;
  call.stall_timeout = stall_timeout;
  return call;
}

TEST_CASE("a call whose answer goes on arriving is not given up") {
  SlowServer server(25, 25, 100ms);
  const HttpResult result = HttpFetch(CallOf(server, 2s, 20s));
  CHECK(result.delivery == Delivery::kAnswered);
  CHECK(result.body.size() == server.body_bytes());
}

TEST_CASE("a call whose answer arrives too slowly for its timeout is given up if it has no stall timeout") {
  SlowServer server(100, 100, 20ms);
  CHECK(HttpFetch(CallOf(server, 300ms, 0s)).delivery == Delivery::kUnknown);
}

TEST_CASE("a call whose answer stops arriving is given up") {
  SlowServer server(8, 4, 10ms);
  CHECK(HttpFetch(CallOf(server, 5s, 200ms)).delivery == Delivery::kUnknown);
}

TEST_CASE("a call whose answer does not begin is given up at its timeout") {
  SlowServer server(8, 0, 10ms);
  CHECK(HttpFetch(CallOf(server, 200ms, 20s)).delivery == Delivery::kUnknown);
}

TEST_CASE("a cancelled call closes its connection, so that no more of its answer is sent") {
  constexpr size_t kParts = 100'000;
  SlowServer server(kParts, kParts, 1ms);
  HttpClient client;
  std::promise<void> arriving;
  std::promise<HttpResult> ended;
  std::atomic<bool> reported{false};
  HttpCall call = CallOf(server, 5s, 5s);
  call.on_progress = [&] {
    if (!reported.exchange(true)) {
      arriving.set_value();
    }
  };
  const uint64_t number = client.Send(std::move(call), [&](const HttpResult& result) { ended.set_value(result); });
  REQUIRE(arriving.get_future().wait_for(kEnough) == std::future_status::ready);
  client.Cancel(number);
  auto end = ended.get_future();
  REQUIRE(end.wait_for(kEnough) == std::future_status::ready);
  CHECK(end.get().delivery == Delivery::kUnknown);
  client.Cancel(number);  // Has no effect.
  CHECK(server.parts_sent() < kParts);
}

TEST_CASE("the progress of a small answer is not reported") {
  SlowServer server(1, 1, 1ms);
  HttpClient client;
  std::atomic<int> reports{0};
  std::promise<HttpResult> ended;
  HttpCall call = CallOf(server, 5s, 5s);
  call.on_progress = [&] { ++reports; };
  client.Send(std::move(call), [&](const HttpResult& result) { ended.set_value(result); });
  auto end = ended.get_future();
  REQUIRE(end.wait_for(kEnough) == std::future_status::ready);
  CHECK(end.get().delivery == Delivery::kAnswered);
  CHECK(reports == 0);
}

}  // namespace
}  // namespace hibiscus
