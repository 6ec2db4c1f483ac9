// docs/ERRORS.md lists exactly the result codes of the code.
#include <fstream>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "hibiscusstand/result.h"

namespace hibiscus {

TEST_CASE("the page of result codes is equal to the code") {
  std::vector<std::string> rows;
  std::ifstream page(HIBISCUS_SOURCE_DIR "/docs/ERRORS.md");
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
      rows.push_back(line);
    }
  }
  std::vector<std::string> expected;
  for (const ResultInfo& info : ResultTable()) {
    expected.push_back(fmt::format("| {} | {} | {} | {} | {} |", static_cast<int>(info.code), info.name,
                                   info.http_status, info.come_back ? "yes" : "no", info.meaning));
  }
  CHECK(rows == expected);
}

}  // namespace hibiscus
