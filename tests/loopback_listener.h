// A listening socket on loopback, for stand-ins of servers in tests.
#ifndef HIBISCUSSTAND_TESTS_LOOPBACK_LISTENER_H_
#define HIBISCUSSTAND_TESTS_LOOPBACK_LISTENER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

#include <fmt/core.h>
#include <catch2/catch.hpp>

namespace hibiscus {

class LoopbackListener {
 public:
  // `flags`: those of socket(), beside its type.
  explicit LoopbackListener(int flags = 0) : socket_(socket(AF_INET, SOCK_STREAM | flags, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(socket_, SOMAXCONN) == 0);
    socklen_t size = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~LoopbackListener() { close(socket_); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  int socket_descriptor() const { return socket_; }
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }

 private:
  const int socket_;
  uint16_t port_ = 0;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_LOOPBACK_LISTENER_H_
