// gRPC between the daemons. The only file that includes gRPC's headers is peer_link.cc.
#ifndef HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_
#define HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/messages.h"

namespace hibiscus {

class PeerLink {
 public:
  // Called on traffic threads for each message that arrives. Must not block.
  using Receiver = std::function<void(const HostName& from, PeerMessage message)>;

  // `address` is "ip:port"; port 0 takes any free port. Throws std::runtime_error if it cannot listen.
  PeerLink(HostName self, const std::string& address, Receiver receiver);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Sends without waiting. Messages may be lost; the core repeats what matters. Returns the bytes of each message.
  std::vector<size_t> Send(const std::string& address, const std::vector<PeerMessage>& messages);

  // Deliveries that failed, or that nobody confirmed in time.
  uint64_t lost() const;

  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_
