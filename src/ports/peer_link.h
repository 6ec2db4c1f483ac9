// The core's messages between the daemons, over a ByteLink.
#ifndef HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_
#define HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "ports/byte_link.h"

namespace hibiscus {

class PeerLink {
 public:
  // Called on traffic threads for each message that arrives. Must not block.
  using Receiver = std::function<void(const HostName& from, PeerMessage message)>;

  // `address` is "ip:port"; port 0 takes any free port. Throws std::runtime_error if it cannot listen.
  PeerLink(HostName self, const std::string& address, Receiver receiver);

  // Sends without waiting. Messages may be lost; the core repeats what matters. Returns the bytes of each message.
  std::vector<size_t> Send(const std::string& address, const std::vector<PeerMessage>& messages);

  // Deliveries that failed, or that nobody confirmed in time.
  uint64_t lost() const { return link_.lost(); }

  int port() const { return link_.port(); }

 private:
  Receiver receiver_;
  ByteLink link_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_
