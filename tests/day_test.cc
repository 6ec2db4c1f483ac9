// The description of a customer's day: both committed ones can be read, and a seed gives a day back.
#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "standins/day.h"

namespace hibiscus {

namespace {

std::string Read(const std::string& path) {
  std::ifstream file(HIBISCUS_SOURCE_DIR "/" + path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("each customer's day can be read, and the same seed draws the same day") {
  const auto path = GENERATE(values<std::string>({"workloads/abay.json", "workloads/formularios.json"}));
  const auto day = ParseDay(Read(path));
  REQUIRE(day);
  const std::vector<Arrival> arrivals = GenerateArrivals(*day, 5, "run");
  CHECK(arrivals == GenerateArrivals(*day, 5, "run"));
  CHECK(arrivals != GenerateArrivals(*day, 6, "run"));
  CHECK(std::is_sorted(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
  for (const Arrival& arrival : arrivals) {
    CHECK(arrival.at < Duration(static_cast<int64_t>(day->seconds * 1e6)));
    CHECK(arrival.request.attempt == 1);
  }
}

TEST_CASE("a day that names an unknown class or an odd range says which") {
  const std::string head = R"({"classes":[],"day":{"seconds":1,"streams":[)";
  CHECK(ParseDay(head + R"({"class":"x","tenant":"t","per_second":1}]}})").error() ==
        "the day names class 'x', which is not in 'classes'");
  CHECK(ParseDay(head + R"({"class":"x","tenant":"t","per_second":1,"run_ms":[5,2]}]}})").error() ==
        "'run_ms' must be a range such as [1, 2]");
}

}  // namespace hibiscus
