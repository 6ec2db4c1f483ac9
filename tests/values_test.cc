#include <catch2/catch.hpp>

#include <set>

#include "core/ledger.h"
#include "core/records.h"
#include "hibiscusstand/rendezvous.h"
#include "hibiscusstand/result.h"

namespace hibiscus {

TEST_CASE("the keys of a host that goes are the only ones that move") {
  const std::vector<std::string> before = {"h1", "h2", "h3"};
  const std::vector<std::string> after = {"h1", "h3"};
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "worker" + std::to_string(i);
    const std::string owner = RendezvousPick(key, before);
    if (owner != "h2") {
      REQUIRE(RendezvousPick(key, after) == owner);
    }
  }
}

TEST_CASE("result codes are unique and every one has a sentence") {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const ResultInfo& info : ResultTable()) {
    REQUIRE(numbers.insert(static_cast<int>(info.code)).second);
    REQUIRE(names.insert(info.name).second);
    REQUIRE_FALSE(info.meaning.empty());
  }
}

TEST_CASE("a ledger refuses what does not fit") {
  Ledger ledger;
  ledger.Reset(Resources{1000, 100, 0});
  const RunId first{TaskId{{"t", "a"}, 0}, 1};
  const RunId second{TaskId{{"t", "b"}, 0}, 2};
  REQUIRE(ledger.Add(first, Resources{600, 10, 0}));
  REQUIRE_FALSE(ledger.Add(second, Resources{600, 10, 0}));
  ledger.Remove(first);
  REQUIRE(ledger.Add(second, Resources{600, 10, 0}));
}

TEST_CASE("a configuration survives its record, and bad ones are refused with a reason") {
  Configuration configuration;
  configuration.version = 7;
  configuration.change_id = "c";
  configuration.classes = {ClassSpec{"quick", WorkKind::kCall, 1s, 5s, true}};
  configuration.quotas = {TenantQuota{"abay", Resources{1, 2, 3}, 4}};
  const auto read = DecodeConfiguration(EncodeConfiguration(configuration));
  REQUIRE(read);
  REQUIRE(*read == configuration);
  REQUIRE(CheckConfiguration(configuration).empty());
  configuration.classes.push_back(configuration.classes.front());
  REQUIRE(CheckConfiguration(configuration) == "class 'quick' stands twice");
  REQUIRE_FALSE(DecodeConfiguration("{"));
}

}  // namespace hibiscus
