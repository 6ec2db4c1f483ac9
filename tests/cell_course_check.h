// Plays a seeded course in a test and fails the test if the course went wrong.
#ifndef HIBISCUSSTAND_TESTS_CELL_COURSE_CHECK_H_
#define HIBISCUSSTAND_TESTS_CELL_COURSE_CHECK_H_

#include <catch2/catch.hpp>

#include "tests/cell_chaos.h"

namespace hibiscus::cell {

inline void CheckCourse(const CellChaosOptions& options) {
  const CellChaosResult result = RunCellChaos(options);
  INFO("seed " << options.seed
               << ", first violation: " << (result.violations.empty() ? "none" : result.violations.front())
               << ", first loss: " << (result.lost.empty() ? "none" : result.lost.front()));
  CHECK(result.ok());
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_COURSE_CHECK_H_
