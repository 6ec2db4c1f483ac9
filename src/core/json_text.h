// Serialisation of JSON to text.
#ifndef HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_
#define HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_

#include <string>

#include <nlohmann/json.hpp>

namespace hibiscus {

// Returns the JSON on one line. Invalid UTF-8, which callers and workers may send, is replaced instead of causing an
// exception.
inline std::string JsonText(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_
