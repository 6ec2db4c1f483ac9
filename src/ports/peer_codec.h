// The wire format of a peer message: a CBOR array of the message type's index and its fields, with short field names
// and without fields that have their default value.
#ifndef HIBISCUSSTAND_SRC_PORTS_PEER_CODEC_H_
#define HIBISCUSSTAND_SRC_PORTS_PEER_CODEC_H_

#include <string>

#include <tl/expected.hpp>

#include "core/messages.h"

namespace hibiscus {

std::string EncodePeerMessage(const PeerMessage& message);
tl::expected<PeerMessage, std::string> DecodePeerMessage(const std::string& bytes);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_PEER_CODEC_H_
