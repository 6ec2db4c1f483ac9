#include "ports/peer_link.h"

#include <utility>

#include <tl/expected.hpp>

#include "ports/peer_codec.h"

namespace hibiscus {

PeerLink::PeerLink(HostName self, const std::string& address, Receiver receiver)
    : receiver_(std::move(receiver)),
      link_(std::move(self), address, [this](const HostName& from, const std::string& bytes) {
        tl::expected<PeerMessage, std::string> message = DecodePeerMessage(bytes);
        if (!message) {
          return message.error();
        }
        receiver_(from, std::move(*message));
        return std::string();
      }) {}

std::vector<size_t> PeerLink::Send(const std::string& address, const std::vector<PeerMessage>& messages) {
  std::vector<std::string> encoded;
  std::vector<size_t> sizes;
  for (const PeerMessage& message : messages) {
    encoded.push_back(EncodePeerMessage(message));
    sizes.push_back(encoded.back().size());
  }
  link_.Send(address, std::move(encoded));
  return sizes;
}

}  // namespace hibiscus
