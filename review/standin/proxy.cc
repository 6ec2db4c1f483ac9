#include "proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

#include "sockets.h"

namespace review {

namespace {

constexpr int kPollMs = 20;

// Moves what has arrived on one socket to the other; false at the end of the connection.
bool Move(int from, int to) {
  std::array<char, 65536> bytes{};
  const ssize_t count = recv(from, bytes.data(), bytes.size(), 0);
  return count > 0 && SendAll(to, std::string(bytes.data(), static_cast<size_t>(count)));
}

}  // namespace

Proxy::Proxy(const std::string& ip, uint16_t port, const std::string& target)
    : target_(target), listener_(Listen(ip, port)) {
  acceptor_ = std::thread([this] { AcceptLoop(); });
}

Proxy::~Proxy() {
  stopping_ = true;
  acceptor_.join();
  close(listener_);
  while (forwarding_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void Proxy::AcceptLoop() {
  while (!stopping_) {
    pollfd listener{listener_, POLLIN, 0};
    if (cut_ || poll(&listener, 1, kPollMs) <= 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(cut_ ? kPollMs : 0));
      continue;
    }
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      ++forwarding_;
      std::thread([this, client] {
        Forward(client);
        close(client);
        --forwarding_;
      }).detach();
    }
  }
}

void Proxy::Forward(int client) {
  const int server = Connect(target_);
  bool open = server >= 0;
  while (open && !stopping_) {
    if (cut_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    std::array<pollfd, 2> ends{pollfd{client, POLLIN, 0}, pollfd{server, POLLIN, 0}};
    if (poll(ends.data(), ends.size(), kPollMs) <= 0 || cut_) {
      continue;
    }
    open = (ends[0].revents == 0 || Move(client, server)) && (ends[1].revents == 0 || Move(server, client));
  }
  if (server >= 0) {
    close(server);
  }
}

}  // namespace review
