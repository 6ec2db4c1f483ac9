#include "standins/relay.h"

#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <fmt/core.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hibiscus {

namespace {

constexpr int kBacklog = 128;
constexpr int kLookEveryMs = 20;        // How often the thread looks whether to cut, heal or stop.
constexpr size_t kMostAhead = 1 << 20;  // Bytes; above it the sending end has to wait.
constexpr size_t kReadAtOnce = size_t{64} << 10;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Socket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void SendAtOnce(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct Listening {
  int socket = -1;
  uint16_t port = 0;
};

Listening Listen(uint16_t port) {
  const int socket = Socket();
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t length = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(socket, generic, length) != 0 || listen(socket, kBacklog) != 0 ||
      getsockname(socket, generic, &length) != 0) {
    close(socket);
    throw std::runtime_error(fmt::format("cannot listen on 127.0.0.1:{}", port));
  }
  return Listening{socket, ntohs(address.sin_port)};
}

int Connect(uint16_t port) {
  const int socket = Socket();
  const sockaddr_in address = Loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    close(socket);
    return -1;
  }
  SendAtOnce(socket);
  return socket;
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
}

}  // namespace

Relay::Relay(const std::vector<RelayLink>& links) {
  for (const RelayLink& link : links) {
    const Listening listening = Listen(link.listen);
    listeners_.push_back(Listener{listening.socket, listening.port, link.target});
  }
  thread_ = std::thread([this] { Run(); });
}

Relay::~Relay() {
  stopping_ = true;
  thread_.join();
  for (const Listener& listener : listeners_) {
    close(listener.socket);
  }
}

void Relay::Run() {
  while (!stopping_) {
    std::vector<pollfd> watched = Watched();
    poll(watched.data(), watched.size(), kLookEveryMs);
    size_t next = listeners_.size();
    for (Connection& connection : connections_) {
      connection.dead = connection.dead || cut_;
      for (size_t end = 0; end < connection.ends.size(); ++end) {
        Serve(connection, end, watched[next++].revents);
      }
    }
    connections_.remove_if([](const Connection& connection) { return connection.closed; });
    for (size_t i = 0; i < listeners_.size(); ++i) {
      if (watched[i].revents != 0) {
        Accept(listeners_[i]);
      }
    }
  }
  for (Connection& connection : connections_) {
    Close(connection);
  }
}

// The listeners, then both ends of each connection.
std::vector<pollfd> Relay::Watched() const {
  std::vector<pollfd> watched;
  for (const Listener& listener : listeners_) {
    watched.push_back(pollfd{listener.socket, POLLIN, 0});
  }
  for (const Connection& connection : connections_) {
    for (size_t end = 0; end < connection.ends.size(); ++end) {
      const bool reads = connection.ahead[end].size() < kMostAhead;
      const bool writes = !connection.ahead[1 - end].empty();
      watched.push_back(
          pollfd{connection.ends[end], static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0)), 0});
    }
  }
  return watched;
}

void Relay::Accept(const Listener& listener) {
  const int socket = accept4(listener.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  SendAtOnce(socket);
  Connection connection;
  connection.dead = cut_;
  connection.ends = {socket, connection.dead ? -1 : Connect(listener.target)};
  if (!connection.dead && connection.ends[1] < 0) {
    Close(connection);
    return;
  }
  connections_.push_back(std::move(connection));
}

void Relay::Serve(Connection& connection, size_t from, short ready) {
  if (connection.closed || ready == 0) {
    return;
  }
  if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0) {
    Receive(connection, from);
  }
  if (connection.dead) {
    connection.ahead = {};
  } else if (!connection.closed) {
    Pass(connection, from);
    Pass(connection, 1 - from);
  }
}

void Relay::Receive(Connection& connection, size_t from) {
  std::string bytes(kReadAtOnce, '\0');
  const ssize_t count = recv(connection.ends[from], bytes.data(), bytes.size(), 0);
  if (count < 0 && WouldBlock()) {
    return;
  }
  if (count > 0 && connection.dead) {
    swallowed_ += static_cast<uint64_t>(count);
    return;
  }
  if (count > 0) {
    connection.ahead[from].append(bytes, 0, static_cast<size_t>(count));
    return;
  }
  // The end is gone. Its word of it is swallowed like all else: the other end goes on hanging.
  if (connection.dead) {
    close(connection.ends[from]);
    connection.ends[from] = -1;
    connection.closed = connection.ends[1 - from] < 0;
    return;
  }
  Pass(connection, from);
  Close(connection);
}

void Relay::Pass(Connection& connection, size_t from) {
  std::string& ahead = connection.ahead[from];
  if (ahead.empty() || connection.closed) {
    return;
  }
  const ssize_t count = send(connection.ends[1 - from], ahead.data(), ahead.size(), MSG_NOSIGNAL);
  if (count > 0) {
    ahead.erase(0, static_cast<size_t>(count));
  } else if (!WouldBlock()) {
    Close(connection);
  }
}

void Relay::Close(Connection& connection) {
  for (int& end : connection.ends) {
    if (end >= 0) {
      close(end);
    }
    end = -1;
  }
  connection.closed = true;
}

}  // namespace hibiscus
