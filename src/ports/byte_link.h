// Batches of encoded messages between the daemons, sent one way over gRPC. Only byte_link.cc includes gRPC's headers.
#ifndef HIBISCUSSTAND_SRC_PORTS_BYTE_LINK_H_
#define HIBISCUSSTAND_SRC_PORTS_BYTE_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscusstand/types.h"

namespace hibiscus {

class ByteLink {
 public:
  // Called on gRPC's threads for each message received. Must not block. Returns an error text, empty if the message is
  // valid.
  using Receiver = std::function<std::string(const HostName& from, const std::string& bytes)>;

  // `address` is "ip:port"; port 0 selects any free port. Throws std::runtime_error if it cannot listen.
  ByteLink(HostName self, const std::string& address, Receiver receiver);
  ~ByteLink();
  ByteLink(const ByteLink&) = delete;
  ByteLink& operator=(const ByteLink&) = delete;

  // Sends asynchronously. Messages may be lost.
  void Send(const std::string& address, std::vector<std::string> messages);

  // The number of batches that failed or timed out.
  uint64_t lost() const;

  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_BYTE_LINK_H_
