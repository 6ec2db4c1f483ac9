// How the operators' configuration on the platform is read: tenants, their keys and quotas.
#include <catch2/catch.hpp>

#include "platform/wire.h"
#include "ports/key_digest.h"

namespace hibiscus::platform {
namespace {

TEST_CASE("tenants are read with the digests of their keys") {
  const auto read = ReadConfiguration(R"({"Version":7,
    "Routes":[{"Name":"a","Public":true},{"Name":"b","Public":false},{"Name":"c"}],
    "Tenants":[{"Name":"north","ApiKeys":["k1","k2"],"Weight":53,"Maximum":{"Cpu":2010505,"MemMb":5780295,"Gpu":0}},
               {"Name":"south"}]})");
  REQUIRE(read.has_value());
  REQUIRE(read->tenants.size() == 2);
  const cell::TenantSpec north{"north", {DigestOfKey("k1"), DigestOfKey("k2")}, 53, Resources{2'010'505, 5'780'295, 0}};
  CHECK(read->tenants[0] == north);
  CHECK(read->tenants[1] == cell::TenantSpec{"south", {}, 0, {}});
  CHECK(read->FindTenantByKey(DigestOfKey("k2")) == &read->tenants[0]);
  CHECK(read->FindTenantByKey(DigestOfKey("k3")) == nullptr);
  CHECK(read->FindTenantByKey("") == nullptr);
  CHECK_FALSE(read->NeedsKey(read->FindQueue("a")));
  CHECK(read->NeedsKey(read->FindQueue("b")));
  CHECK(read->NeedsKey(read->FindQueue("c")));
  CHECK(read->NeedsKey(read->FindQueue("no such queue")));
}

TEST_CASE("keys are needed where the configuration has a list of tenants, even an empty one") {
  CHECK(ReadConfiguration(R"({"Version":7,"Tenants":[]})")->needs_keys);
  CHECK_FALSE(ReadConfiguration(R"({"Version":7})")->needs_keys);
}

TEST_CASE("a configuration with malformed tenants is not put in force") {
  CHECK_FALSE(ReadConfiguration(R"({"Version":7,"Tenants":{}})").has_value());
  CHECK_FALSE(ReadConfiguration(R"({"Version":7,"Tenants":[7]})").has_value());
  CHECK_FALSE(ReadConfiguration(R"({"Version":7,"Tenants":[{"Name":"a","ApiKeys":[1]}]})").has_value());
  CHECK_FALSE(ReadConfiguration(R"({"Version":7,"Tenants":[{"Name":"a","ApiKeys":"k"}]})").has_value());
}

}  // namespace
}  // namespace hibiscus::platform
