#include "ports/text_repair.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace hibiscus {

namespace {

constexpr size_t kEscapeBytes = 6;  // \uXXXX.

// The UTF-16 code unit of the escape \uXXXX at this position; 0 if there is none.
unsigned EscapedUnit(const std::string& text, size_t position) {
  unsigned unit = 0;
  if (position + kEscapeBytes <= text.size() && text.compare(position, 2, "\\u") == 0) {
    std::from_chars(text.data() + position + 2, text.data() + position + kEscapeBytes, unit, 16);
  }
  return unit;
}

bool IsHighSurrogate(unsigned unit) {
  return unit >= 0xD800 && unit < 0xDC00;
}

bool IsLowSurrogate(unsigned unit) {
  return unit >= 0xDC00 && unit < 0xE000;
}

}  // namespace

std::string ReplaceInvalidUtf8(const std::string& text) {
  return nlohmann::json::parse(JsonText(nlohmann::json(text))).get<std::string>();
}

std::string ReplaceInvalidJsonText(const std::string& json) {
  std::string text = ReplaceInvalidUtf8(json);
  size_t position = text.find('\\');
  while (position != std::string::npos) {
    const unsigned unit = EscapedUnit(text, position);
    const bool is_pair = IsHighSurrogate(unit) && IsLowSurrogate(EscapedUnit(text, position + kEscapeBytes));
    if (!is_pair && (IsHighSurrogate(unit) || IsLowSurrogate(unit))) {
      text.replace(position, kEscapeBytes, "\\ufffd");
    }
    position = text.find('\\', position + (is_pair ? 2 * kEscapeBytes : 2));
  }
  return text;
}

std::string ToOneLine(std::string text) {
  const auto is_control = [](unsigned char byte) { return byte < ' ' || byte == 0x7F; };
  std::replace_if(text.begin(), text.end(), is_control, '?');
  const bool is_ascii = std::all_of(text.begin(), text.end(), [](unsigned char byte) { return byte < 0x80; });
  return is_ascii ? text : ReplaceInvalidUtf8(text);
}

}  // namespace hibiscus
