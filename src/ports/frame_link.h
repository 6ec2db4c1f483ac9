// Messages between the hosts of a cell: one-way TCP connections that stay open, each message with its length before it.
// gRPC between these hosts cost 210 to 335 us of processor time a message and some seven wake-ups (MEASUREMENTS.md);
// a host has as little as an eighth of a core and an owner exchanges a thousand messages a second.
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
  // Called on the link's own thread for each message that arrives. Must not block.
  using Receiver = std::function<void(std::string bytes)>;

  // `address` is "ip:port"; port 0 takes any free port. Throws std::runtime_error if it cannot listen.
  FrameLink(const std::string& address, Receiver receiver);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  // Sends without waiting. Messages to one address arrive in order, or are lost: with a connection that breaks or goes
  // silent, and to a host that cannot be reached within a second.
  void Send(const std::string& address, std::vector<std::string> messages);

  // Messages that surely or possibly did not arrive.
  uint64_t lost() const;

  int port() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_FRAME_LINK_H_
