#include "ports/connection_guard.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace hibiscus {

namespace {

// Written directly to the socket, since libmicrohttpd answers only requests with complete headers.
constexpr std::string_view kRequestTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 100\r\n\r\n"
    R"({"code":500,"name":"bad_request","verdict":"not_run","detail":"the request took too long to arrive"})";

}  // namespace

void ConnectionGuard::OnConnectionOpened(const void* connection, int socket) {
  const std::lock_guard lock(mutex_);
  entries_[connection] = Entry{socket, Phase::kIdle, clock_.Now()};
}

void ConnectionGuard::OnRequestStarted(const void* connection) {
  EnterPhase(connection, Phase::kReceiving);
}

bool ConnectionGuard::OnRequestReceived(const void* connection) {
  return EnterPhase(connection, Phase::kAnswering);
}

void ConnectionGuard::OnRequestCompleted(const void* connection) {
  EnterPhase(connection, Phase::kIdle);
}

void ConnectionGuard::OnConnectionClosed(const void* connection) {
  const std::lock_guard lock(mutex_);
  entries_.erase(connection);
}

void ConnectionGuard::Sweep() {
  const std::lock_guard lock(mutex_);
  ShutDownOverdue();
  ShutDownLongestIdle();
}

void ConnectionGuard::ShutDownUnused(Duration first_request_timeout) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  for (auto& [connection, entry] : entries_) {
    if (entry.phase == Phase::kIdle && (entry.had_request || now - entry.since > first_request_timeout)) {
      ShutDown(entry);
    }
  }
}

size_t ConnectionGuard::open_connections() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

bool ConnectionGuard::EnterPhase(const void* connection, Phase phase) {
  const std::lock_guard lock(mutex_);
  const auto entry = entries_.find(connection);
  if (entry == entries_.end()) {
    return true;
  }
  entry->second.phase = phase;
  entry->second.had_request = true;
  if (phase == Phase::kIdle) {
    entry->second.since = clock_.Now();
  }
  return !entry->second.shut_down;
}

void ConnectionGuard::ShutDownOverdue() {
  const TimePoint now = clock_.Now();
  for (auto& [connection, entry] : entries_) {
    if (entry.phase != Phase::kAnswering && now - entry.since > limits_.request_timeout) {
      ShutDown(entry);
    }
  }
}

void ConnectionGuard::ShutDownLongestIdle() {
  if (entries_.size() <= limits_.max_open) {
    return;
  }
  std::vector<Entry*> idle;
  for (auto& [connection, entry] : entries_) {
    if (entry.phase != Phase::kAnswering && !entry.shut_down) {
      idle.push_back(&entry);
    }
  }
  const size_t excess = std::min(entries_.size() - limits_.max_open, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(excess), idle.end(),
                    [](const Entry* a, const Entry* b) { return a->since < b->since; });
  for (size_t i = 0; i < excess; ++i) {
    ShutDown(*idle[i]);
  }
}

// Sends 408 only if part of a request has arrived: on an idle connection a client might take it for the answer to its
// next request.
void ConnectionGuard::ShutDown(Entry& entry) {
  if (entry.shut_down) {
    return;
  }
  entry.shut_down = true;
  if (entry.phase == Phase::kReceiving) {
    (void)send(entry.socket, kRequestTimeoutResponse.data(), kRequestTimeoutResponse.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  shutdown(entry.socket, SHUT_RDWR);
}

}  // namespace hibiscus
