// Limits what one caller's connection may cost: a whole request must arrive within a time, however steadily its bytes
// drip, and when connections run short those that have brought nothing for longest are closed. Thread-safe.
#ifndef HIBISCUSSTAND_SRC_PORTS_CONNECTION_GUARD_H_
#define HIBISCUSSTAND_SRC_PORTS_CONNECTION_GUARD_H_

#include <cstddef>
#include <map>
#include <mutex>

#include "hibiscusstand/clock.h"

namespace hibiscus {

struct ConnectionLimits {
  Duration request_timeout = 30s;  // From the connection's begin, or its last answer, to the next whole request.
  size_t max_open = 10'000;        // More than these: idle ones are closed, the longest idle first.

  friend auto operator<=>(const ConnectionLimits&, const ConnectionLimits&) = default;
};

class ConnectionGuard {
 public:
  ConnectionGuard(const ConnectionLimits& limits, const Clock& clock) : limits_(limits), clock_(clock) {}

  // A connection's life. The socket must stay open until Closed returns.
  void OnConnectionOpened(const void* connection, int socket);
  void OnRequestStarted(const void* connection);   // Its first line is here.
  void OnRequestReceived(const void* connection);  // No limit until its answer is out.
  void OnRequestCompleted(const void* connection);
  void OnConnectionClosed(const void* connection);

  // Ends what has passed a limit. Call it a few times a second.
  void Sweep();

  // For a server that stops: ends connections whose last answer is out, and those that brought no request within
  // `first_request_timeout` of their begin.
  void ShutDownUnused(Duration first_request_timeout);

  size_t open() const;

 private:
  enum class Phase { kIdle, kReceiving, kAnswering };
  struct Entry {
    int socket = -1;
    Phase phase = Phase::kIdle;
    TimePoint since{};         // Begin of the connection, or its last answer.
    bool had_request = false;  // A request has begun on it.
    bool shut_down = false;
  };

  void EnterPhase(const void* connection, Phase phase);
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
