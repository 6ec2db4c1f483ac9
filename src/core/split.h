// Splits the values of list flags.
#ifndef HIBISCUSSTAND_SRC_CORE_SPLIT_H_
#define HIBISCUSSTAND_SRC_CORE_SPLIT_H_

#include <sstream>
#include <string>
#include <vector>

namespace hibiscus {

// Returns the parts of a text between separators; no parts if the text is empty.
inline std::vector<std::string> Split(const std::string& text, char separator = ',') {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_SPLIT_H_
