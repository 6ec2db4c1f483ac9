// Assigns keys to hosts by rendezvous hashing, without coordination: every program that sees the same hosts picks the
// same host for a key, and when a host leaves, only its keys move. Usage: example_rendezvous
#include <cstdio>
#include <string>
#include <vector>

#include "hibiscusstand/rendezvous.h"

int main() {
  const std::vector<std::string> hosts = {"a1", "a2", "a3"};
  const std::vector<std::string> without_a2 = {"a1", "a3"};
  int moved = 0;
  int moved_unnecessarily = 0;
  constexpr int kKeys = 1000;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = "motor-" + std::to_string(i);
    const std::string before = hibiscus::RendezvousPick(key, hosts);
    const std::string after = hibiscus::RendezvousPick(key, without_a2);
    moved += before == after ? 0 : 1;
    moved_unnecessarily += before != after && before != "a2" ? 1 : 0;
  }
  std::printf("%d of %d keys moved when a2 left, %d of them unnecessarily\n", moved, kKeys, moved_unnecessarily);
  return moved_unnecessarily == 0 ? 0 : 1;
}
