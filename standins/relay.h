// A TCP relay on loopback that simulates network partitions between data centres. During a cut it accepts new
// connections but drops all data. A connection that was open during a cut stays blackholed after it heals, as with a
// middlebox that lost its state or TCP in a long retransmission backoff: it remains open without carrying data until
// the endpoints close it.
#ifndef HIBISCUSSTAND_STANDINS_RELAY_H_
#define HIBISCUSSTAND_STANDINS_RELAY_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

namespace hibiscus {

struct RelayLink {
  uint16_t listen = 0;  // Port on loopback; 0: any free one.
  uint16_t target = 0;  // Port on loopback.
};

class Relay {
 public:
  // Throws std::runtime_error if a port cannot be opened.
  explicit Relay(const std::vector<RelayLink>& links);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Cut() { cut_ = true; }
  void Heal() { cut_ = false; }
  uint16_t port(size_t link) const { return listeners_.at(link).port; }
  uint64_t swallowed_bytes() const { return dropped_bytes_; }

 private:
  struct Listener {
    int socket = -1;
    uint16_t port = 0;
    uint16_t target = 0;
  };
  struct Connection {
    std::array<int, 2> sockets{-1, -1};   // Client and target; the target's is -1 if opened during a cut.
    std::array<std::string, 2> buffered;  // Data read from each end but not yet written to the other.
    bool blackholed = false;              // Open during a cut: data is dropped.
    bool closed = false;
  };

  void Run();
  std::vector<pollfd> PollSet() const;
  void Accept(const Listener& listener);
  void HandleEvents(Connection& connection, size_t from, short events);
  void Receive(Connection& connection, size_t from);
  void Forward(Connection& connection, size_t from);
  static void Close(Connection& connection);

  std::vector<Listener> listeners_;
  std::list<Connection> connections_;  // Used only by the relay's thread.
  std::atomic<bool> cut_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> dropped_bytes_{0};
  std::thread thread_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_RELAY_H_
