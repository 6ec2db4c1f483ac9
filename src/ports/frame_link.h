// Messages between the hosts of a cell: one-way, long-lived TCP connections that carry length-prefixed frames.
// Used instead of gRPC, which cost 210 to 335 us of processor time and some seven wake-ups for each message between
// these hosts (MEASUREMENTS.md): a host has as little as an eighth of a core, and an owner exchanges a thousand
// messages a second.
#ifndef HIBISCUSSTAND_SRC_PORTS_FRAME_LINK_H_
#define HIBISCUSSTAND_SRC_PORTS_FRAME_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus {

class FrameLink {
 public:
  // Called on the link's thread for each message received. Must not block.
  using Receiver = std::function<void(std::string bytes)>;

  // `address` is "ip:port"; port 0 selects any free port. Throws std::runtime_error if it cannot listen.
  FrameLink(const std::string& address, Receiver receiver);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  // Queues the messages and returns. Messages to one address arrive in order or are lost: when a connection breaks or
  // stops acknowledging, and when a host cannot be reached within a second.
  void Send(const std::string& address, std::vector<std::string> messages);

  // The number of messages dropped or never acknowledged; some of the latter may have arrived.
  uint64_t lost() const;

  int port() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_FRAME_LINK_H_
