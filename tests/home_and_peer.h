// A home host in virtual time and its only peer, played by hand: the peer owns the room, writes the log and asks for
// the callers.
#ifndef HIBISCUSSTAND_TESTS_HOME_AND_PEER_H_
#define HIBISCUSSTAND_TESTS_HOME_AND_PEER_H_

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "hibiscusstand/rendezvous.h"
#include "tests/one_host.h"

namespace hibiscus {

inline constexpr Resources kPeersRoom{1000, 1000, 0};

class HomeAndPeer {
 public:
  HomeAndPeer() : home("a1") {
    while (RendezvousPick(kLogWriterKey, {"a1", peer}) != peer) {
      peer += "2";
    }
    home.Configure({ClassSpec{"batch", WorkKind::kBatch, 5s, 60s, true},  //
                    ClassSpec{"once", WorkKind::kBatch, 5s, 60s, false}});
    home.Do(ListEvent{{ListEntry{ListKind::kEntryHost, peer, "dc", {}, {}, false}}});
    Pass(2s);
  }

  // Lets time pass; the peer's heartbeats tell its count of leases.
  void Pass(Duration duration) {
    for (Duration passed = 0us; passed < duration; passed += kTickInterval) {
      home.Do(PeerEvent{peer, Heartbeat{"dc", incarnation, false, 1, kPeersRoom, kPeersRoom, 0, lease_count}});
      home.Pass(kTickInterval);
      Collect();
    }
  }

  void Tell(PeerMessage message) {
    home.Do(PeerEvent{peer, std::move(message)});
    Collect();
  }

  static Request MakeRequest(const std::string& class_name, int attempt, bool deferred) {
    Request request;
    request.key = RequestKey{"tenant", "id"};
    request.attempt = attempt;
    request.class_name = class_name;
    request.deferred = deferred;
    request.size = Resources{100, 100, 0};
    return request;
  }
  void Submit(const std::string& class_name, int attempt, bool deferred) {
    Tell(ForwardRequest{3, MakeRequest(class_name, attempt, deferred), false});
    Pass(kTickInterval);
  }

  // The next message of this kind to the peer; earlier ones of other kinds stay to be taken.
  template <class Message>
  Message Next() {
    return Next<Message>([](const Message&) { return true; });
  }
  template <class Message, class Wanted>
  Message Next(Wanted wanted) {
    for (Duration passed = 0us; passed < 10s; passed += kTickInterval) {
      const auto found = Find<Message>(wanted);
      if (found != sent_.end()) {
        Message message = std::get<Message>(*found);
        sent_.erase(found);
        return message;
      }
      Pass(kTickInterval);
    }
    FAIL("the home host does not send it");
    return {};
  }
  LogAppend NextAppend(LogRecordKind kind) {
    return Next<LogAppend>([&](const LogAppend& append) { return append.record.kind == kind; });
  }
  template <class Message>
  bool Sent() {
    return Find<Message>([](const Message&) { return true; }) != sent_.end();
  }

  // What the writer of the log says of a record.
  void Settle(const LogAppend& append, LogOutcome outcome, const LogEntry& found = {}) {
    const LogRecord& record = append.record;
    Tell(LogAppended{record.kind, record.key, record.nonce, outcome, found});
  }
  // The claim finds no run of the request at the peer.
  void ClearClaim(const Claim& claim) { Tell(ClaimAnswer{claim.key, claim.view, true, false, {}, {}}); }

  OneHost home;
  HostName peer = "a2";
  uint64_t incarnation = 7;
  uint64_t lease_count = 3;

 private:
  void Collect() {
    for (SendPeer& send : home.Take<SendPeer>()) {
      if (send.to == peer) {
        sent_.push_back(std::move(send.message));
      }
    }
  }

  template <class Message, class Wanted>
  std::deque<PeerMessage>::iterator Find(Wanted wanted) {
    return std::find_if(sent_.begin(), sent_.end(), [&](const PeerMessage& message) {
      const auto* fitting = std::get_if<Message>(&message);
      return fitting != nullptr && wanted(*fitting);
    });
  }

  std::deque<PeerMessage> sent_;  // To the peer, and not taken yet.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_HOME_AND_PEER_H_
