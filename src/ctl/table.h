// Plain-text tables. Each column is as wide as its widest cell.
#ifndef HIBISCUSSTAND_SRC_CTL_TABLE_H_
#define HIBISCUSSTAND_SRC_CTL_TABLE_H_

#include <string>
#include <vector>

namespace hibiscus {

using Row = std::vector<std::string>;

// The first row is the header. All rows have the same number of cells.
std::string FormatTable(const std::vector<Row>& rows);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CTL_TABLE_H_
