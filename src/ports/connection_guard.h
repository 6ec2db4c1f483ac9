// Protects an HTTP server against slow and idle connections: a complete request must arrive within a time limit, even
// if its bytes keep trickling in, and above a number of connections those that are idle for longest are closed.
// Thread-safe.
#ifndef HIBISCUSSTAND_SRC_PORTS_CONNECTION_GUARD_H_
#define HIBISCUSSTAND_SRC_PORTS_CONNECTION_GUARD_H_

#include <cstddef>
#include <map>
#include <mutex>

#include "hibiscusstand/clock.h"

namespace hibiscus {

struct ConnectionLimits {
  Duration request_timeout = 30s;  // From connecting, or the last answer, to the next complete request.
  size_t max_open = 10'000;        // Above this, idle connections are closed, the longest idle first.

  friend auto operator<=>(const ConnectionLimits&, const ConnectionLimits&) = default;
};

class ConnectionGuard {
 public:
  ConnectionGuard(const ConnectionLimits& limits, const Clock& clock) : limits_(limits), clock_(clock) {}

  // Events of a connection. Its socket must stay open until OnConnectionClosed returns.
  void OnConnectionOpened(const void* connection, int socket);
  void OnRequestStarted(const void* connection);  // The request line has arrived.
  // No time limit applies until the answer is sent. Returns false if the connection was shut down before, so that the
  // request must not be carried out: its caller may have been told that it took too long.
  [[nodiscard]] bool OnRequestReceived(const void* connection);
  void OnRequestCompleted(const void* connection);
  void OnConnectionClosed(const void* connection);

  // Shuts down connections that exceed a limit. Call it a few times a second.
  void Sweep();

  // For a server that stops: shuts down connections whose last answer is sent, and those without a first request
  // `first_request_timeout` after they were opened.
  void ShutDownUnused(Duration first_request_timeout);

  size_t open_connections() const;

 private:
  enum class Phase { kIdle, kReceiving, kAnswering };
  struct Entry {
    int socket = -1;
    Phase phase = Phase::kIdle;
    TimePoint since{};         // When the connection was opened, or its last answer sent.
    bool had_request = false;  // At least one request has started on it.
    bool shut_down = false;
  };

  // Returns false if the connection is shut down.
  bool EnterPhase(const void* connection, Phase phase);
  void ShutDownOverdue();
  void ShutDownLongestIdle();
  static void ShutDown(Entry& entry);

  const ConnectionLimits limits_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::map<const void*, Entry> entries_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_CONNECTION_GUARD_H_
