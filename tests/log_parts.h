// The log of one host without its roles, played in virtual time against a store that does what the test says.
#ifndef HIBISCUSSTAND_TESTS_LOG_PARTS_H_
#define HIBISCUSSTAND_TESTS_LOG_PARTS_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/host_core.h"
#include "core/log_trimmer.h"
#include "standins/fakes.h"
#include "tests/one_host.h"

namespace hibiscus {

// What becomes of one call to the store.
enum class Fate {
  kAnswered,
  kNotSent,
  kAnswerLost,  // It is done, the caller learns nothing.
  kLost,        // It is not done, the caller learns nothing.
  kLate,        // As kLost, but it reaches the store when the test says so.
  kHeld,        // It is out: neither done nor answered until the test says so.
};

class LogParts {
 public:
  LogParts(const HostName& name, ManualClock& clock, FakeStore& store, uint64_t seed = 1)
      : context(SettingsOf(name), clock, seed),
        reader(context, index),
        writer(context, index, reader),
        trimmer(context, index, reader, writer),
        clock_(clock),
        store_(store) {}

  // Time is the test's, so that several hosts can share it.
  void Tick() {
    reader.OnTick();
    writer.OnTick();
    trimmer.OnTick();
    Carry();
  }

  void Run(Duration duration) {
    for (const TimePoint end = clock_.Now() + duration; clock_.Now() < end; clock_.Advance(kTickInterval)) {
      store_.Tick();
      Tick();
    }
  }

  // What was late or held reaches the store now.
  void LetPass() {
    for (const auto& call : std::exchange(delayed_, {})) {
      call();
    }
    Carry();
  }

  void Append(const LogRecord& record, Duration patience = 1h, bool repeated = false) {
    writer.Append("home", LogAppend{record, patience, repeated});
    Carry();
  }

  static LogRecord Record(LogRecordKind kind, const std::string& id, uint64_t nonce) {
    LogRecord record;
    record.kind = kind;
    record.key = RequestKey{"t", id};
    record.nonce = nonce;
    record.home = "home";
    record.data_centre = "dc";
    return record;
  }
  static LogRecord Intent(const std::string& id, uint64_t nonce) { return Record(LogRecordKind::kIntent, id, nonce); }

  // The outcomes of one attempt's record, oldest first.
  std::vector<LogOutcome> OutcomesOf(uint64_t nonce) const {
    std::vector<LogOutcome> outcomes;
    for (const LogAppended& each : appended) {
      if (each.nonce == nonce) {
        outcomes.push_back(each.outcome);
      }
    }
    return outcomes;
  }

  CoreContext context;
  LogIndex index;
  LogReader reader;
  LogWriter writer;
  LogTrimmer trimmer;
  std::function<Fate(const StoreCall&)> fate = [](const StoreCall&) { return Fate::kAnswered; };
  std::vector<LogAppended> appended;
  std::vector<StoreCall> calls;

 private:
  void Carry() {
    while (!context.actions.empty()) {
      for (const Action& action : std::exchange(context.actions, {})) {
        if (const auto* send = std::get_if<SendStore>(&action)) {
          calls.push_back(send->request);
          CarryCall(*send);
        } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
          appended.push_back(std::get<LogAppended>(peer->message));
        }
      }
    }
  }

  void CarryCall(const SendStore& send) {
    const auto answer = [this, call = send.call](const StoreReply& reply) { Tell(call, Delivery::kAnswered, reply); };
    const auto nobody = [](const StoreReply&) {};
    switch (fate(send.request)) {
      case Fate::kAnswered:
        store_.Handle(send.request, answer);
        return;
      case Fate::kNotSent:
        Tell(send.call, Delivery::kNotSent, {});
        return;
      case Fate::kAnswerLost:
        store_.Handle(send.request, nobody);
        Tell(send.call, Delivery::kUnknown, {});
        return;
      case Fate::kLate:
        delayed_.emplace_back([this, call = send.request, nobody] { store_.Handle(call, nobody); });
        [[fallthrough]];
      case Fate::kLost:
        Tell(send.call, Delivery::kUnknown, {});
        return;
      case Fate::kHeld:
        delayed_.emplace_back([this, call = send.request, answer] { store_.Handle(call, answer); });
        return;
    }
  }

  void Tell(CallId call, Delivery delivery, const StoreReply& reply) {
    const StoreEvent event{call, delivery, reply};
    reader.OnStore(event) || writer.OnStore(event) || trimmer.OnStore(event);
  }

  ManualClock& clock_;
  FakeStore& store_;
  std::vector<std::function<void()>> delayed_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_LOG_PARTS_H_
