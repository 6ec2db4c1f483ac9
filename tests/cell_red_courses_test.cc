// Courses that fail for a known fault; see KNOWN-RED.txt.
#include <catch2/catch.hpp>

#include "tests/cell_chaos.h"

namespace hibiscus::cell {
namespace {

void CheckCourse(const CellChaosOptions& options) {
  const CellChaosResult result = RunCellChaos(options);
  INFO("seed " << options.seed
               << ", first violation: " << (result.violations.empty() ? "none" : result.violations.front())
               << ", first loss: " << (result.lost.empty() ? "none" : result.lost.front()));
  CHECK(result.ok());
}

TEST_CASE("courses that fail") {
  CheckCourse({.seed = 7, .dense = true});
  CheckCourse({.seed = 14, .relays = true, .dense = true, .fault_kinds = 31});
}

}  // namespace
}  // namespace hibiscus::cell
