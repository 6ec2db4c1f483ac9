// Who has the accepted requests that are open, as the writer of the log knows it: one writer with a store behind it,
// its peers played by hand.
#include <catch2/catch.hpp>

#include <map>

#include "hibiscusstand/rendezvous.h"
#include "standins/fakes.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

// The writer "a1" and a home host that has accepted one deferred request.
class WriterAndHome {
 public:
  WriterAndHome() : writer_("a1"), store_(writer_.clock) {
    while (RendezvousPick(kLogWriterKey, {"a1", home_}) != "a1") {
      home_ += "h";
    }
    while (RendezvousPick(kLogWriterKey, {"a1", home_, rival_}) != rival_) {
      rival_ += "r";
    }
    incarnations_[home_] = 7;
    writer_.Configure({ClassSpec{"batch", WorkKind::kBatch, 5s, 60s, true}});
    Run(2s);
    LogRecord accepted;
    accepted.kind = LogRecordKind::kAccepted;
    accepted.key = accepted.request.key = RequestKey{"t", "d"};
    accepted.request.class_name = "batch";
    accepted.nonce = 1;
    accepted.home = home_;
    accepted.data_centre = "dc";
    writer_.Do(PeerEvent{home_, LogAppend{accepted, 1h, false}});
    Run(2s);
    REQUIRE(Resumed() <= 2);  // It has just said that it has the request, and is asked again once a second at most.
  }

  void Run(Duration duration) {
    for (Duration passed = 0us; passed < duration; passed += kTickInterval) {
      for (const auto& [host, incarnation] : incarnations_) {
        writer_.Do(PeerEvent{host, Heartbeat{"dc", incarnation, false, 0, {}, {}, 0}});
      }
      writer_.Pass(kTickInterval);
      store_.Tick();
      Carry();
    }
  }

  void RestartHome() { incarnations_[home_] = 8; }
  // Another host writes the log for so long that this one does not read it any more.
  void LetRivalWrite() {
    incarnations_[rival_] = 9;
    Run(40s);
  }
  void EndHome() { incarnations_.erase(home_); }
  void EndRival() { incarnations_.erase(rival_); }

  // How often the home host was told to go on with the request.
  int Resumed() const { return resumed_; }
  // Whether the writer, the only host that is left, has the request itself.
  bool TakenOver() const { return writer_.core.active_requests() == 1; }
  size_t keys() const { return store_.keys(); }

 private:
  void Carry() {
    while (!writer_.actions.empty()) {
      for (const Action& action : std::exchange(writer_.actions, {})) {
        if (const auto* send = std::get_if<SendStore>(&action)) {
          store_.Handle(send->request, [this, call = send->call](const StoreReply& reply) {
            writer_.Do(StoreEvent{call, Delivery::kAnswered, reply});
          });
        } else if (const auto* peer = std::get_if<SendPeer>(&action); peer != nullptr && peer->to == home_) {
          resumed_ += std::holds_alternative<LogResume>(peer->message) ? 1 : 0;
        }
      }
    }
  }

  OneHost writer_;
  FakeStore store_;
  HostName home_ = "h";
  HostName rival_ = "r";
  std::map<HostName, uint64_t> incarnations_;  // Of the peers that are alive.
  int resumed_ = 0;
};

}  // namespace

TEST_CASE("a home host that restarted is told of its open requests, whenever it did") {
  const int tenths = GENERATE(range(0, 10));  // The writer looks once a second.
  WriterAndHome both;
  both.Run(5s + tenths * 100ms);
  const int before = both.Resumed();
  REQUIRE(before <= 8);
  both.RestartHome();
  both.Run(3s);
  REQUIRE(both.Resumed() > before);
}

TEST_CASE("the open requests of a home host that is gone go to the next one") {
  WriterAndHome both;
  both.Run(5s);
  REQUIRE_FALSE(both.TakenOver());
  both.EndHome();
  both.Run(5s);
  REQUIRE(both.TakenOver());
}

TEST_CASE("a writer that begins again believes nothing that it knew before") {
  WriterAndHome both;
  both.LetRivalWrite();
  const int before = both.Resumed();
  both.RestartHome();  // Who writes then may die before it has told anybody.
  both.Run(3s);
  REQUIRE(both.Resumed() == before);
  both.EndRival();
  both.Run(5s);
  REQUIRE(both.Resumed() > before);
}

TEST_CASE("while a request is open log time is written, so that its age survives the writer") {
  WriterAndHome both;
  const size_t keys = both.keys();
  both.Run(100s);
  REQUIRE(both.keys() >= keys + 3);
}

}  // namespace hibiscus
