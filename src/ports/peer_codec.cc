#include "ports/peer_codec.h"

#include <type_traits>
#include <utility>

#include "ports/field_names.h"
#include "ports/json_codec.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

template <size_t... Index>
PeerMessage DecodeAlternative(size_t number, const Json& fields, std::index_sequence<Index...>) {
  PeerMessage message;
  const auto decode = [&]<size_t Alternative>() {
    if (number == Alternative) {
      message = fields.get<std::variant_alternative_t<Alternative, PeerMessage>>();
    }
  };
  (decode.template operator()<Index>(), ...);
  return message;
}

constexpr int kMaxDepth = 16;  // nlohmann-json parses recursively; real messages are far flatter.

// Parses without building a value and rejects input that is nested too deeply.
class DepthCheck final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(size_t /*elements*/) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(size_t /*elements*/) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(size_t /*place*/, const std::string& /*token*/, const Json::exception& /*error*/) override {
    return false;
  }

 private:
  int depth_ = 0;
};

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json fields = std::visit(
      [](const auto& value) {
        static const Json kDefaults(std::decay_t<decltype(value)>{});
        return ShortenFields(Json(value), kDefaults);
      },
      message);
  std::string bytes;
  Json::to_cbor(Json::array({message.index(), fields}), bytes);
  return bytes;
}

tl::expected<PeerMessage, std::string> DecodePeerMessage(const std::string& bytes) {
  constexpr size_t kMessageTypes = std::variant_size_v<PeerMessage>;
  try {
    DepthCheck check;
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
      return tl::unexpected(std::string("no message"));
    }
    const Json json = Json::from_cbor(bytes);
    const auto number = json.at(0).get<size_t>();
    if (number >= kMessageTypes) {
      return tl::unexpected(std::string("unknown message number"));
    }
    return DecodeAlternative(number, ExpandFields(json.at(1)), std::make_index_sequence<kMessageTypes>());
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace hibiscus
