#include "ports/connection_guard.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace hibiscus {

namespace {

// Written to the socket itself: the server library answers only requests whose header is whole.
constexpr std::string_view kTooSlow =
    "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 100\r\n\r\n"
    R"({"code":500,"name":"bad_request","verdict":"not_run","detail":"the request took too long to arrive"})";

}  // namespace

void ConnectionGuard::Opened(const void* connection, int socket) {
  const std::lock_guard lock(mutex_);
  entries_[connection] = Entry{socket, Phase::kIdle, clock_.Now()};
}

void ConnectionGuard::RequestBegun(const void* connection) {
  Enter(connection, Phase::kReceiving);
}

void ConnectionGuard::RequestWhole(const void* connection) {
  Enter(connection, Phase::kAnswering);
}

void ConnectionGuard::RequestOver(const void* connection) {
  Enter(connection, Phase::kIdle);
}

void ConnectionGuard::Closed(const void* connection) {
  const std::lock_guard lock(mutex_);
  entries_.erase(connection);
}

void ConnectionGuard::Sweep() {
  const std::lock_guard lock(mutex_);
  EndOverdue();
  EndLongestIdle();
}

void ConnectionGuard::EndUnused(Duration first_request) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  for (auto& [connection, entry] : entries_) {
    if (entry.phase == Phase::kIdle && (entry.used || now - entry.since > first_request)) {
      End(entry);
    }
  }
}

size_t ConnectionGuard::open() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

void ConnectionGuard::Enter(const void* connection, Phase phase) {
  const std::lock_guard lock(mutex_);
  const auto entry = entries_.find(connection);
  if (entry == entries_.end()) {
    return;
  }
  entry->second.phase = phase;
  entry->second.used = true;
  if (phase == Phase::kIdle) {
    entry->second.since = clock_.Now();
  }
}

void ConnectionGuard::EndOverdue() {
  const TimePoint now = clock_.Now();
  for (auto& [connection, entry] : entries_) {
    if (entry.phase != Phase::kAnswering && now - entry.since > limits_.request_limit) {
      End(entry);
    }
  }
}

void ConnectionGuard::EndLongestIdle() {
  if (entries_.size() <= limits_.most_open) {
    return;
  }
  std::vector<Entry*> idle;
  for (auto& [connection, entry] : entries_) {
    if (entry.phase != Phase::kAnswering && !entry.ended) {
      idle.push_back(&entry);
    }
  }
  const size_t ending = std::min(entries_.size() - limits_.most_open, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(ending), idle.end(),
                    [](const Entry* a, const Entry* b) { return a->since < b->since; });
  for (size_t i = 0; i < ending; ++i) {
    End(*idle[i]);
  }
}

// A caller that sent nothing gets no answer: a client might take it for the answer to its next request.
void ConnectionGuard::End(Entry& entry) {
  if (entry.ended) {
    return;
  }
  entry.ended = true;
  if (entry.phase == Phase::kReceiving) {
    (void)send(entry.socket, kTooSlow.data(), kTooSlow.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  shutdown(entry.socket, SHUT_RDWR);
}

}  // namespace hibiscus
