#include <catch2/catch.hpp>

#include "tests/chaos_faults.h"

namespace hibiscus {

// Replay one with `hibiscus_chaos --seeds=N..N --trace`.
TEST_CASE("every invariant holds under 300 seeds of faults") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    const ChaosReport report = ChaosRun(seed, false).Run();
    REQUIRE(report.requests > 0);
    for (const std::string& what : report.broken) {
      FAIL_CHECK("seed " << seed << ": " << what);
    }
  }
}

}  // namespace hibiscus
