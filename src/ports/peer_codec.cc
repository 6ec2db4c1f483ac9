#include "ports/peer_codec.h"

#include <utility>

#include "ports/json_codec.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

template <size_t... Index>
PeerMessage FromNumber(size_t number, const Json& fields, std::index_sequence<Index...>) {
  PeerMessage message;
  const auto take = [&]<size_t Number>() {
    if (number == Number) {
      message = fields.get<std::variant_alternative_t<Number, PeerMessage>>();
    }
  };
  (take.template operator()<Index>(), ...);
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json fields = std::visit([](const auto& value) { return Json(value); }, message);
  std::string bytes;
  Json::to_cbor(Json::array({message.index(), fields}), bytes);
  return bytes;
}

tl::expected<PeerMessage, std::string> DecodePeerMessage(const std::string& bytes) {
  constexpr size_t kCount = std::variant_size_v<PeerMessage>;
  try {
    const Json json = Json::from_cbor(bytes);
    const auto number = json.at(0).get<size_t>();
    if (number >= kCount) {
      return tl::unexpected(std::string("unknown message number"));
    }
    return FromNumber(number, json.at(1), std::make_index_sequence<kCount>());
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace hibiscus
