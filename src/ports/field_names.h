// Smaller forms of messages: short field names between peers, and fields left out that are as by default. Bytes between
// data centres are paid for, and names are most of a message.
#ifndef HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_
#define HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_

#include <nlohmann/json.hpp>

namespace hibiscus {

// The value with short field names, without the fields that are as in `plain`, which is a value with all defaults.
nlohmann::json ShortenFields(const nlohmann::json& value, const nlohmann::json& defaults);

// The value under its own names, without the fields that are as in `plain`.
nlohmann::json OmitDefaults(const nlohmann::json& value, const nlohmann::json& defaults);

// The same value with its full names. Names that are unknown here stay as they are.
nlohmann::json ExpandFields(const nlohmann::json& value);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_
