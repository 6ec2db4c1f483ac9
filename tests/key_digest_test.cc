// Digests of API keys: whatever callers send as a key is either the key of a tenant or nobody's.
#include <catch2/catch.hpp>

#include <set>
#include <string>

#include "ports/key_digest.h"

namespace hibiscus {
namespace {

TEST_CASE("a digest is the first half of the key's SHA-256") {
  CHECK(DigestOfKey("abc") == "ba7816bf8f01cfea414140de5dae2223");
}

TEST_CASE("no key has no digest, and neither has one that is too long to be a key") {
  CHECK(DigestOfKey("").empty());
  CHECK(DigestOfKey(std::string(1024, 'k')).size() == 32);
  CHECK(DigestOfKey(std::string(1025, 'k')).empty());
  CHECK(DigestOfKey(std::string(8192, 'k')).empty());
}

TEST_CASE("keys that differ in case, blanks or bytes that are no text have digests of their own") {
  const std::string keys[] = {"key",      "Key",       "KEY", "key ", " key", "key\t", std::string("key\0", 4),
                              "\xff\xfe", "k\xc3\xa9y"};
  std::set<std::string> digests;
  for (const std::string& key : keys) {
    digests.insert(DigestOfKey(key));
  }
  CHECK(digests.size() == std::size(keys));
}

}  // namespace
}  // namespace hibiscus
