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
constexpr int kPollIntervalMs = 20;            // Bounds the delay until a cut, heal or stop takes effect.
constexpr size_t kMaxBufferedBytes = 1 << 20;  // Per direction; reading from the sender pauses above it.
constexpr size_t kReadSizeBytes = size_t{64} << 10;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int OpenSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void DisableNagle(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct ListeningSocket {
  int socket = -1;
  uint16_t port = 0;
};

ListeningSocket Listen(uint16_t port) {
  const int socket = OpenSocket();
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
  return ListeningSocket{socket, ntohs(address.sin_port)};
}

int Connect(uint16_t port) {
  const int socket = OpenSocket();
  const sockaddr_in address = Loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    close(socket);
    return -1;
  }
  DisableNagle(socket);
  return socket;
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
}

}  // namespace

Relay::Relay(const std::vector<RelayLink>& links) {
  for (const RelayLink& link : links) {
    const ListeningSocket listening = Listen(link.listen);
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
    std::vector<pollfd> poll_set = PollSet();
    poll(poll_set.data(), poll_set.size(), kPollIntervalMs);
    size_t next = listeners_.size();
    for (Connection& connection : connections_) {
      connection.blackholed = connection.blackholed || cut_;
      for (size_t end = 0; end < connection.sockets.size(); ++end) {
        HandleEvents(connection, end, poll_set[next++].revents);
      }
    }
    connections_.remove_if([](const Connection& connection) { return connection.closed; });
    for (size_t i = 0; i < listeners_.size(); ++i) {
      if (poll_set[i].revents != 0) {
        Accept(listeners_[i]);
      }
    }
  }
  for (Connection& connection : connections_) {
    Close(connection);
  }
}

// Order: the listeners, then both ends of each connection.
std::vector<pollfd> Relay::PollSet() const {
  std::vector<pollfd> poll_set;
  for (const Listener& listener : listeners_) {
    poll_set.push_back(pollfd{listener.socket, POLLIN, 0});
  }
  for (const Connection& connection : connections_) {
    for (size_t end = 0; end < connection.sockets.size(); ++end) {
      const bool reads = connection.buffered[end].size() < kMaxBufferedBytes;
      const bool writes = !connection.buffered[1 - end].empty();
      poll_set.push_back(
          pollfd{connection.sockets[end], static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0)), 0});
    }
  }
  return poll_set;
}

void Relay::Accept(const Listener& listener) {
  const int socket = accept4(listener.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (socket < 0) {
    return;
  }
  DisableNagle(socket);
  Connection connection;
  connection.blackholed = cut_;
  connection.sockets = {socket, connection.blackholed ? -1 : Connect(listener.target)};
  if (!connection.blackholed && connection.sockets[1] < 0) {
    Close(connection);
    return;
  }
  connections_.push_back(std::move(connection));
}

void Relay::HandleEvents(Connection& connection, size_t from, short events) {
  if (connection.closed || events == 0) {
    return;
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
    Receive(connection, from);
  }
  if (connection.blackholed) {
    connection.buffered = {};
  } else if (!connection.closed) {
    Forward(connection, from);
    Forward(connection, 1 - from);
  }
}

void Relay::Receive(Connection& connection, size_t from) {
  std::string bytes(kReadSizeBytes, '\0');
  const ssize_t count = recv(connection.sockets[from], bytes.data(), bytes.size(), 0);
  if (count < 0 && WouldBlock()) {
    return;
  }
  if (count > 0 && connection.blackholed) {
    dropped_bytes_ += static_cast<uint64_t>(count);
    return;
  }
  if (count > 0) {
    connection.buffered[from].append(bytes, 0, static_cast<size_t>(count));
    return;
  }
  // The end was closed. A blackholed connection does not pass that on: the other end stays open.
  if (connection.blackholed) {
    close(connection.sockets[from]);
    connection.sockets[from] = -1;
    connection.closed = connection.sockets[1 - from] < 0;
    return;
  }
  Forward(connection, from);
  Close(connection);
}

void Relay::Forward(Connection& connection, size_t from) {
  std::string& buffered = connection.buffered[from];
  if (buffered.empty() || connection.closed) {
    return;
  }
  const ssize_t count = send(connection.sockets[1 - from], buffered.data(), buffered.size(), MSG_NOSIGNAL);
  if (count > 0) {
    buffered.erase(0, static_cast<size_t>(count));
  } else if (!WouldBlock()) {
    Close(connection);
  }
}

void Relay::Close(Connection& connection) {
  for (int& end : connection.sockets) {
    if (end >= 0) {
      close(end);
    }
    end = -1;
  }
  connection.closed = true;
}

}  // namespace hibiscus
