// Courses that fail for a known fault; see KNOWN-RED.txt.
#include <catch2/catch.hpp>

#include "tests/cell_course_check.h"

namespace hibiscus::cell {
namespace {

TEST_CASE("courses that fail") {
  CheckCourse({.seed = 7, .dense = true});
  CheckCourse({.seed = 14, .relays = true, .dense = true, .fault_kinds = 31});
  CheckCourse({.seed = 34, .relays = true, .tenants = true, .fault_kinds = 31});
}

}  // namespace
}  // namespace hibiscus::cell
