// Replaces what is no valid text, so that it harms no reader.
#ifndef HIBISCUSSTAND_SRC_PORTS_TEXT_REPAIR_H_
#define HIBISCUSSTAND_SRC_PORTS_TEXT_REPAIR_H_

#include <string>

namespace hibiscus {

// Replaces each invalid UTF-8 sequence by U+FFFD.
std::string ReplaceInvalidUtf8(const std::string& text);

// Replaces, in a JSON text, invalid UTF-8 and escapes of single surrogates (\ud800 to \udfff) by U+FFFD. The parser
// rejects the whole text for either of them.
std::string ReplaceInvalidJsonText(const std::string& json);

// Makes one line of valid UTF-8: replaces control characters by '?' and invalid UTF-8 by U+FFFD.
std::string ToOneLine(std::string text);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_TEXT_REPAIR_H_
