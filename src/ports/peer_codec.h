// The bytes of a peer message: a CBOR array of the message's number and its fields, under short names and without those
// that have their default.
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
