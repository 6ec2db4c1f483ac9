// The log's writer, reader and trimmer, and every way in which a call to the store can go wrong between them.
#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/log_parts.h"

namespace hibiscus {

namespace {

using Outcomes = std::vector<LogOutcome>;

// One host at the end of an empty log, and a store.
struct OneLog {
  OneLog() { host.Run(1s); }

  StoreReply Read(const std::string& key) {
    StoreReply found;
    store.Handle(StoreCall{StoreOp::kGet, key, {}, 0, 0us}, [&](const StoreReply& reply) { found = reply; });
    return found;
  }
  bool Has(uint64_t sequence) { return Read(LogKey(sequence)).status == StoreStatus::kOk; }
  void Put(const std::string& key, const std::string& value) {
    store.Handle(StoreCall{StoreOp::kPut, key, value, Read(key).revision, 0us}, [](const StoreReply&) {});
  }
  // A batch of another writer, with one record.
  void PutBatch(uint64_t sequence, const LogRecord& record) {
    const LogBatch batch{"other", sequence + 1, 0us, {}};
    Put(LogKey(sequence), EncodeLogBatch(batch, {EncodeLogRecord(record)}));
  }
  void PutBase(uint64_t base) { Put(kLogBaseKey, EncodeLogBase(LogBase{base, base})); }
  LogBase Base() {
    const StoreReply found = Read(kLogBaseKey);
    return found.status == StoreStatus::kOk ? *DecodeLogBase(found.value) : LogBase{};
  }

  // The next writes have this fate, then all goes well again.
  void NextPut(Fate fate) {
    host.fate = [fate, done = false](const StoreCall& call) mutable {
      return call.op == StoreOp::kPut && !std::exchange(done, true) ? fate : Fate::kAnswered;
    };
  }
  // A batch for each of so many seconds.
  void Load(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      ++loaded;
      host.Append(LogParts::Intent("load" + std::to_string(loaded), 1'000'000 + loaded));
      host.Run(1s);
    }
  }

  ManualClock clock;
  FakeStore store{clock};
  LogParts host{"a1", clock, store};
  uint64_t loaded = 0;
};

// A host that did not see any of it reads the log from its base.
std::vector<LogAppended> AppendAnew(OneLog& log, const LogRecord& record) {
  LogParts fresh("a9", log.clock, log.store);
  fresh.Append(record);
  fresh.Run(3s);
  return fresh.appended;
}

}  // namespace

TEST_CASE("a record is answered when its batch stands in the store, not before") {
  OneLog log;
  log.host.fate = [](const StoreCall& call) { return call.op == StoreOp::kPut ? Fate::kHeld : Fate::kAnswered; };
  log.host.Append(LogParts::Intent("r", 1));
  log.host.Append(LogParts::Intent("s", 2));
  log.host.Run(1s);
  REQUIRE(log.host.appended.empty());
  log.host.LetPass();
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(log.host.OutcomesOf(2) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(log.host.reader.next_sequence() == 1);  // They shared one batch.
}

TEST_CASE("a write whose answer is lost is recorded, whether it arrived or not") {
  const Fate fate = GENERATE(Fate::kAnswerLost, Fate::kLost, Fate::kLate);
  OneLog log;
  log.NextPut(fate);
  log.host.Append(LogParts::Intent("r", 1));
  log.host.Run(2s);
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(log.Has(0));
  log.host.LetPass();
  REQUIRE_FALSE(log.Has(1));
  const auto repeat = AppendAnew(log, LogParts::Intent("r", 2));
  REQUIRE(repeat.size() == 1);
  REQUIRE(repeat[0].outcome == LogOutcome::kDuplicate);
}

TEST_CASE("of a write that may still arrive nobody is told that it did not, though the next one was not sent") {
  OneLog log;
  int puts = 0;
  log.host.fate = [&](const StoreCall& call) {
    if (call.op != StoreOp::kPut) {
      return Fate::kAnswered;
    }
    return ++puts == 1 ? Fate::kLate : Fate::kNotSent;
  };
  const bool patient = GENERATE(true, false);
  log.host.Append(LogParts::Intent("r", 1), patient ? 1h : 500ms);
  log.host.Run(1s);
  REQUIRE(puts >= 2);
  REQUIRE(log.host.OutcomesOf(1) == (patient ? Outcomes{} : Outcomes{LogOutcome::kUnknown}));
  log.host.LetPass();
  log.host.Run(2s);
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{patient ? LogOutcome::kRecorded : LogOutcome::kUnknown});
}

TEST_CASE("a write that was never sent is not recorded, unless another writer may have the record on its way") {
  const bool repeated = GENERATE(false, true);
  OneLog log;
  log.NextPut(Fate::kNotSent);
  log.host.Append(LogParts::Intent("r", 1), 1h, repeated);
  log.host.Run(2s);
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{repeated ? LogOutcome::kUnknown : LogOutcome::kNotRecorded});
}

TEST_CASE("of two writers one wins the sequence; the other checks its records again and goes on behind it") {
  OneLog log;
  const char* const name = GENERATE("a2", "a1");  // Another host, or the former process of the same one.
  LogParts other(name, log.clock, log.store, 2);
  other.Run(1s);
  // Both have composed a batch for sequence 0 before either arrives.
  other.fate = log.host.fate = [](const StoreCall& call) {
    return call.op == StoreOp::kPut || call.op == StoreOp::kWatch ? Fate::kHeld : Fate::kAnswered;
  };
  log.host.Append(LogParts::Intent("r", 1));
  log.host.Run(500ms);
  other.Append(LogParts::Intent("r", 2));
  other.Append(LogParts::Intent("s", 3));
  other.Run(500ms);
  other.fate = log.host.fate = [](const StoreCall&) { return Fate::kAnswered; };
  log.host.LetPass();
  other.LetPass();
  other.Run(1s);
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(other.OutcomesOf(2) == Outcomes{LogOutcome::kDuplicate});
  REQUIRE(other.OutcomesOf(3) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(log.Has(1));
  const auto repeat = AppendAnew(log, LogParts::Intent("s", 4));
  REQUIRE(repeat.size() == 1);
  REQUIRE(repeat[0].outcome == LogOutcome::kDuplicate);
}

TEST_CASE("two attempts of one request in one window do not both get their intent") {
  OneLog log;
  log.host.Append(LogParts::Intent("r", 1));
  log.host.Append(LogParts::Intent("r", 2));
  log.host.Run(2s);
  REQUIRE(log.host.OutcomesOf(1) == Outcomes{LogOutcome::kRecorded});
  REQUIRE(log.host.OutcomesOf(2) == Outcomes{LogOutcome::kDuplicate});
}

TEST_CASE("nothing is written before the log is read to its end") {
  OneLog log;
  log.PutBase(40);
  log.PutBatch(40, LogParts::Intent("r", 1));
  LogParts fresh("a9", log.clock, log.store);
  const bool writes_early = GENERATE(false, true);
  if (!writes_early) {
    fresh.Run(1s);
  }
  fresh.fate = [](const StoreCall& call) { return call.op == StoreOp::kGet ? Fate::kHeld : Fate::kAnswered; };
  fresh.Append(LogParts::Intent("r", 2));
  fresh.Run(1s);
  fresh.fate = [](const StoreCall&) { return Fate::kAnswered; };
  fresh.LetPass();
  fresh.Run(2s);
  REQUIRE(fresh.OutcomesOf(2) == Outcomes{LogOutcome::kDuplicate});
  REQUIRE_FALSE(log.Has(0));
}

TEST_CASE("after a long silence of the store the end of the log is not believed any more") {
  OneLog log;
  // Others write and trim meanwhile, and the request of record "r" is among what was trimmed.
  const bool in_flight = GENERATE(false, true);
  const auto silent = [](const StoreCall&) { return Fate::kLost; };
  if (in_flight) {
    log.host.Append(LogParts::Intent("r", 1));
  }
  log.host.fate = silent;
  log.host.Run(6min);
  log.PutBase(40);
  log.host.fate = [](const StoreCall&) { return Fate::kAnswered; };
  for (int i = 0; i < 100 && log.host.reader.store_unavailable(); ++i) {
    log.host.Run(kTickInterval);
  }
  log.host.Append(LogParts::Intent("s", 2));
  log.host.Run(3s);
  REQUIRE(log.host.OutcomesOf(1) == (in_flight ? Outcomes{LogOutcome::kUnknown} : Outcomes{}));
  REQUIRE(log.host.OutcomesOf(2) == Outcomes{LogOutcome::kRecorded});
  REQUIRE_FALSE(log.Has(0));
  REQUIRE(log.Has(40));
}

TEST_CASE("an end below the base is none: the base is read again after the end was found") {
  OneLog log;
  LogParts fresh("a9", log.clock, log.store);
  bool moved = false;
  fresh.fate = [&](const StoreCall& call) {
    if (call.key == LogKey(0) && !std::exchange(moved, true)) {
      log.PutBase(40);  // Between the two questions all that stood there was trimmed.
    }
    return Fate::kAnswered;
  };
  fresh.Append(LogParts::Intent("r", 1));
  fresh.Run(3s);
  REQUIRE(fresh.OutcomesOf(1) == Outcomes{LogOutcome::kRecorded});
  REQUIRE_FALSE(log.Has(0));
  REQUIRE(log.Has(40));
}

TEST_CASE("an absence that was read ahead of its turn is not the end of the log") {
  OneLog log;
  log.PutBatch(0, LogParts::Intent("r", 1));
  LogParts fresh("a9", log.clock, log.store);
  fresh.fate = [](const StoreCall& call) { return call.key == LogKey(0) ? Fate::kHeld : Fate::kAnswered; };
  fresh.Run(500ms);
  REQUIRE_FALSE(fresh.reader.current());
  fresh.fate = [](const StoreCall&) { return Fate::kAnswered; };
  fresh.LetPass();
  fresh.Run(500ms);
  REQUIRE(fresh.reader.current());
  REQUIRE(fresh.reader.next_sequence() == 1);
}

TEST_CASE("the base passes what is older than the horizon and nothing younger") {
  OneLog log;
  log.Load(25 * 60);
  const LogBase base = log.Base();
  REQUIRE(base.base > 0);
  REQUIRE(base.deleted > 0);
  REQUIRE(base.deleted <= base.base);
  for (uint64_t sequence = base.base; sequence < log.host.reader.next_sequence(); ++sequence) {
    REQUIRE(log.Has(sequence));
  }
  const uint64_t young = log.loaded - uint64_t{9} * 60;
  const auto repeat = AppendAnew(log, LogParts::Intent("load" + std::to_string(young), 5));
  REQUIRE(repeat.size() == 1);
  REQUIRE(repeat[0].outcome == LogOutcome::kDuplicate);
  const auto late = AppendAnew(log, LogParts::Intent("load1", 6));
  REQUIRE(late.size() == 1);
  REQUIRE(late[0].outcome == LogOutcome::kRecorded);
}

TEST_CASE("the base does not pass an open request: the own ones are written anew, others' stay where they are") {
  const bool own = GENERATE(true, false);
  OneLog log;
  LogRecord accepted = LogParts::Record(LogRecordKind::kAccepted, "d", 1);
  accepted.data_centre = own ? "dc" : "elsewhere";
  log.Load(20);  // So far that a trim up to it is worth a round.
  log.host.Append(accepted);
  log.host.Run(1s);
  const uint64_t sequence = log.host.index.open_entries().begin()->second.sequence;
  log.Load(15 * 60);
  const bool passed = log.Base().base > sequence;
  REQUIRE(passed == own);
  LogParts fresh("a9", log.clock, log.store);
  fresh.Run(3s);
  REQUIRE(fresh.index.open_entries().size() == 1);
  log.Load(10 * 60);  // Abandoned by now, so anybody writes it anew.
  REQUIRE(log.Base().base > sequence);
  LogParts later("a8", log.clock, log.store);
  later.Run(3s);
  REQUIRE(later.index.open_entries().size() == 1);
}

TEST_CASE("of two trimmers one moves the base, and neither moves it back") {
  OneLog log;
  LogParts other("a2", log.clock, log.store);
  uint64_t last = 0;
  for (int i = 0; i < 20 * 60; ++i) {
    log.host.Append(LogParts::Intent("r" + std::to_string(i), 1000 + static_cast<uint64_t>(i)));
    log.host.Run(500ms);
    other.Run(500ms);
    const uint64_t base = log.Base().base;
    REQUIRE(base >= last);
    last = base;
  }
  REQUIRE(last > 0);
}

}  // namespace hibiscus
