// gRPC between the daemons: batches of encoded messages, one way. The only file that includes gRPC's headers is
// byte_link.cc.
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
  // Called on traffic threads for each message that arrives. Must not block. Returns what is wrong with the message, or
  // nothing.
  using Receiver = std::function<std::string(const HostName& from, const std::string& bytes)>;

  // `address` is "ip:port"; port 0 takes any free port. Throws std::runtime_error if it cannot listen.
  ByteLink(HostName self, const std::string& address, Receiver receiver);
  ~ByteLink();
  ByteLink(const ByteLink&) = delete;
  ByteLink& operator=(const ByteLink&) = delete;

  // Sends without waiting. Messages may be lost.
  void Send(const std::string& address, std::vector<std::string> messages);

  // Deliveries that failed, or that nobody confirmed in time.
  uint64_t lost() const;

  int port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_BYTE_LINK_H_
