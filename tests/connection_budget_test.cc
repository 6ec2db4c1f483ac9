// Calls to one address share a bounded number of connections; urgent ones do not wait behind others.
#include "hibiscusstand/connection_budget.h"

#include <catch2/catch.hpp>

namespace hibiscus {

namespace {

using Calls = std::vector<ConnectionBudget::CallNumber>;

constexpr ConnectionLimits kFourTwoUrgent{.total = 4, .urgent = 2};
const TimePoint kBegin{1h};

}  // namespace

TEST_CASE("calls beyond the limit wait, in their order") {
  ConnectionBudget budget(kFourTwoUrgent);
  CHECK(budget.Admit(1, "a", false, kBegin + 1s));
  CHECK(budget.Admit(2, "a", false, kBegin + 1s));
  CHECK_FALSE(budget.Admit(3, "a", false, kBegin + 1s));
  CHECK_FALSE(budget.Admit(4, "a", false, kBegin + 1s));
  CHECK(budget.Admit(5, "b", false, kBegin + 1s));
  CHECK(budget.Release(2) == Calls{3});
  CHECK(budget.Release(5).empty());
  CHECK(budget.Release(1) == Calls{4});
  CHECK(budget.Release(3).empty());
  CHECK(budget.Release(4).empty());
  CHECK(budget.waiting() == 0);
}

TEST_CASE("urgent calls find a connection while others wait for answers") {
  ConnectionBudget budget(kFourTwoUrgent);
  CHECK(budget.Admit(1, "a", false, kBegin + 1s));
  CHECK(budget.Admit(2, "a", false, kBegin + 1s));
  CHECK_FALSE(budget.Admit(3, "a", false, kBegin + 1s));
  CHECK(budget.Admit(4, "a", true, kBegin + 1s));
  CHECK(budget.Admit(5, "a", true, kBegin + 1s));
  CHECK_FALSE(budget.Admit(6, "a", true, kBegin + 1s));
  CHECK(budget.Release(1) == Calls{6});
  CHECK(budget.Release(4) == Calls{3});
}

TEST_CASE("a waiting call expires at its own deadline and is not sent later") {
  ConnectionBudget budget(ConnectionLimits{.total = 1, .urgent = 0});
  CHECK(budget.Admit(1, "a", false, kBegin + 3s));
  CHECK_FALSE(budget.Admit(2, "a", false, kBegin + 2s));
  CHECK_FALSE(budget.Admit(3, "a", false, kBegin + 1s));
  CHECK_FALSE(budget.Admit(4, "a", false, kBegin + 3s));
  CHECK(budget.next_deadline() == kBegin + 1s);
  CHECK(budget.TakeExpired(kBegin + 999ms).empty());
  CHECK(budget.TakeExpired(kBegin + 2s) == Calls{3, 2});
  CHECK(budget.Release(1) == Calls{4});
  CHECK_FALSE(budget.next_deadline().has_value());
}

TEST_CASE("without a limit every call is sent") {
  ConnectionBudget budget(ConnectionLimits{});
  for (ConnectionBudget::CallNumber call = 1; call <= 1000; ++call) {
    REQUIRE(budget.Admit(call, "a", false, kBegin));
  }
  CHECK(budget.Release(7).empty());
}

}  // namespace hibiscus
