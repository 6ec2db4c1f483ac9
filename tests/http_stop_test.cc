// Requests that a server cannot answer: their callers get no status that claims more than is known.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "hibiscusstand/clock.h"
#include "ports/connection_guard.h"
#include "ports/http_server.h"

namespace hibiscus {
namespace {

constexpr std::chrono::milliseconds kPoll(5);

// A caller that sends one request and keeps its connection.
class Caller {
 public:
  explicit Caller(uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const std::string request = "POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    REQUIRE(send(socket_, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
  }
  ~Caller() { close(socket_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // All bytes until the far side closes.
  std::string ReadAll() const {
    std::string all;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 1; count > 0;) {
      count = recv(socket_, buffer.data(), buffer.size(), 0);
      all.append(buffer.data(), count > 0 ? static_cast<size_t>(count) : 0);
    }
    return all;
  }

 private:
  const int socket_;
};

// REFUSED: a stopping server told the callers of requests that it had passed on that they were not accepted.
TEST_CASE("a request without a reply gets no status when its server stops") {
  constexpr int kCallers = 32;
  std::atomic<int> received = 0;
  auto server = std::make_unique<HttpServer>(HttpServerOptions{},
                                             [&](HttpServer::ExchangeId, const HttpRequest&) { ++received; });
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(server->port()));
  }
  while (received < kCallers) {
    std::this_thread::sleep_for(kPoll);
  }
  server.reset();
  for (const auto& caller : callers) {
    CHECK(caller->ReadAll().empty());
  }
}

// REFUSED: a request whose last bytes came while its caller was told that it took too long was carried out.
TEST_CASE("a request that was ended as too slow is not carried out when its rest arrives") {
  std::array<int, 2> sockets{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
  ManualClock clock;
  ConnectionGuard guard(ConnectionLimits{1s, 10}, clock);
  const int late = 0;
  const int in_time = 0;
  guard.OnConnectionOpened(&late, sockets[0]);
  guard.OnRequestStarted(&late);
  clock.Advance(2s);
  guard.OnConnectionOpened(&in_time, sockets[1]);
  guard.OnRequestStarted(&in_time);
  guard.Sweep();
  CHECK_FALSE(guard.OnRequestReceived(&late));
  CHECK(guard.OnRequestReceived(&in_time));
  close(sockets[0]);
  close(sockets[1]);
}

}  // namespace
}  // namespace hibiscus
