// Sends and receives the core's peer messages over a ByteLink.
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
  // Called on gRPC's threads for each message received. Must not block.
  using Receiver = std::function<void(const HostName& from, PeerMessage message)>;

  // `address` is "ip:port"; port 0 selects any free port. Throws std::runtime_error if it cannot listen.
  PeerLink(HostName self, const std::string& address, Receiver receiver);

  // Sends asynchronously. Messages may be lost; the core retries those it depends on. Returns each message's encoded
  // size.
  std::vector<size_t> Send(const std::string& address, const std::vector<PeerMessage>& messages);

  // The number of batches that failed or timed out.
  uint64_t lost() const { return link_.lost(); }

  int port() const { return link_.port(); }

 private:
  Receiver receiver_;
  ByteLink link_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_PEER_LINK_H_
