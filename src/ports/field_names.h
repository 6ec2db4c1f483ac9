// Compact encodings of messages: short field names between peers, and fields with default values omitted. Traffic
// between data centres is paid for, and field names are most of a message's bytes.
#ifndef HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_
#define HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_

#include <nlohmann/json.hpp>

namespace hibiscus {

// Shortens field names and omits fields that equal those of `defaults`, a default-constructed value.
nlohmann::json ShortenFields(const nlohmann::json& value, const nlohmann::json& defaults);

// Omits fields that equal those of `defaults` and keeps the field names.
nlohmann::json OmitDefaults(const nlohmann::json& value, const nlohmann::json& defaults);

// Restores the full field names. Unknown names stay as they are.
nlohmann::json ExpandFields(const nlohmann::json& value);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_FIELD_NAMES_H_
