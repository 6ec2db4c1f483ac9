// What an idle pair of data centres says to each other over the paid link, in encoded bytes.
#include <catch2/catch.hpp>

#include "ports/peer_codec.h"
#include "tests/reach_net.h"

namespace hibiscus {

namespace {
constexpr Duration kMeasured = 120s;
constexpr size_t kMostIdleBytes = 1000;  // A second, for each pair of data centres, both ways.
}  // namespace

TEST_CASE("an idle pair of data centres stays under its budget") {
  ReachNet net;
  net.size_of = [](const PeerMessage& message) { return EncodePeerMessage(message).size(); };
  for (const char* centre : {"montevideo-a", "montevideo-b", "paysandu-a"}) {
    for (int host = 1; host <= 8; ++host) {
      net.AddHost(std::string(centre) + "-host" + std::to_string(host), centre);
    }
    net.AddWorker(std::string(centre) + "-worker", centre, Resources{64'000, 262'144, 4});
  }
  net.ShareList();
  net.Run(10s);
  net.links.clear();
  net.Run(kMeasured);
  REQUIRE(net.links.size() == 6);
  for (const auto& [link, count] : net.links) {
    const size_t back = net.links[{link.second, link.first}].bytes;
    const size_t a_second = (count.bytes + back) / static_cast<size_t>(kMeasured / 1s);
    CAPTURE(link.first, link.second, count.messages, a_second);
    WARN(link.first << " and " << link.second << ": " << a_second << " B/s");
    REQUIRE(count.messages > 0);
    REQUIRE(a_second < kMostIdleBytes);
  }
}

}  // namespace hibiscus
