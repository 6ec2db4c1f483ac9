#include "ctl/table.h"

#include <algorithm>

#include <fmt/core.h>

namespace hibiscus {

std::string FormatTable(const std::vector<Row>& rows) {
  constexpr size_t kGap = 2;  // Spaces between columns.
  std::vector<size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      text += last ? row[i] : fmt::format("{:<{}}", row[i], widths[i] + kGap);
    }
    text += '\n';
  }
  return text;
}

}  // namespace hibiscus
