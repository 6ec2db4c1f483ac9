// JSON as text.
#ifndef HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_
#define HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_

#include <string>

#include <nlohmann/json.hpp>

namespace hibiscus {

// On one line. Bytes that are no UTF-8 are replaced rather than thrown at: they come from callers and workers.
inline std::string JsonText(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_JSON_TEXT_H_
