#include "ports/key_digest.h"

#include <openssl/evp.h>

#include <array>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr size_t kMaxKeyBytes = 1024;  // Bounds the work for a key that nobody has.
constexpr size_t kDigestBytes = 16;    // 128 bits: no two keys share a digest, and none can be found from it.

}  // namespace

std::string DigestOfKey(const std::string& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  if (key.empty() || key.size() > kMaxKeyBytes ||
      EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
    return {};
  }
  std::string text;
  for (size_t i = 0; i < kDigestBytes; ++i) {
    text += fmt::format("{:02x}", digest[i]);
  }
  return text;
}

}  // namespace hibiscus
