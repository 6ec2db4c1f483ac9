// Digests of API keys, by which the cell compares, forwards and logs keys: a key itself stays at the host's HTTP server
// and in the operators' configuration.
#ifndef HIBISCUSSTAND_SRC_PORTS_KEY_DIGEST_H_
#define HIBISCUSSTAND_SRC_PORTS_KEY_DIGEST_H_

#include <string>

namespace hibiscus {

// The first half of the SHA-256 digest of the key, as hexadecimal digits. Empty for an empty key, and for one that is
// longer than any key may be.
std::string DigestOfKey(const std::string& key);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_KEY_DIGEST_H_
