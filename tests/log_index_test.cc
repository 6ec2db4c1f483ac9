// What the log's index says of a record that is to be written, and what it keeps.
#include <catch2/catch.hpp>

#include "core/log_index.h"

namespace hibiscus {

namespace {

using RecordStatus = LogIndex::RecordStatus;

const RequestKey kKey{"t", "1"};

LogRecord Record(LogRecordKind kind, uint64_t nonce) {
  LogRecord record;
  record.kind = kind;
  record.key = kKey;
  record.nonce = nonce;
  return record;
}

// An index of batches with one record each.
LogIndex IndexOf(const std::vector<LogRecord>& records) {
  LogIndex index;
  for (uint64_t sequence = 0; sequence < records.size(); ++sequence) {
    index.Apply(sequence, LogBatch{"a1", sequence, 0us, {records[sequence]}});
  }
  return index;
}

}  // namespace

TEST_CASE("of each kind of record the first one of a key wins, whoever's it is") {
  const auto kind = GENERATE(LogRecordKind::kIntent, LogRecordKind::kAccepted, LogRecordKind::kDone);
  const LogIndex index = IndexOf({Record(kind, 1)});
  REQUIRE(LogIndex().Check(Record(kind, 1)) == RecordStatus::kNew);
  REQUIRE(index.Check(Record(kind, 1)) == RecordStatus::kSameRecord);
  REQUIRE(index.Check(Record(kind, 2)) == RecordStatus::kConflictingRecord);
}

TEST_CASE("an intent and an accepted record of one key exclude each other, and an answer both") {
  const auto first = GENERATE(LogRecordKind::kIntent, LogRecordKind::kAccepted, LogRecordKind::kDone);
  const auto second = GENERATE(LogRecordKind::kIntent, LogRecordKind::kAccepted);
  if (first != second) {
    REQUIRE(IndexOf({Record(first, 1)}).Check(Record(second, 1)) == RecordStatus::kConflictingRecord);
  }
}

TEST_CASE("accepted work is started once") {
  const LogRecord accepted = Record(LogRecordKind::kAccepted, 1);
  REQUIRE(LogIndex().Check(Record(LogRecordKind::kStarted, 1)) == RecordStatus::kConflictingRecord);
  REQUIRE(IndexOf({accepted}).Check(Record(LogRecordKind::kStarted, 2)) == RecordStatus::kNew);
  const LogIndex started = IndexOf({accepted, Record(LogRecordKind::kStarted, 2)});
  REQUIRE(started.Check(Record(LogRecordKind::kStarted, 2)) == RecordStatus::kSameRecord);
  REQUIRE(started.Check(Record(LogRecordKind::kStarted, 3)) == RecordStatus::kConflictingRecord);
}

TEST_CASE("a withdrawal takes back the intent of its own attempt and no other") {
  const LogRecord intent = Record(LogRecordKind::kIntent, 1);
  const LogIndex own = IndexOf({intent, Record(LogRecordKind::kWithdrawn, 1)});
  REQUIRE(own.Check(Record(LogRecordKind::kIntent, 2)) == RecordStatus::kNew);
  REQUIRE(own.Find(kKey).state == LogEntry::State::kNone);
  const LogIndex other = IndexOf({intent, Record(LogRecordKind::kWithdrawn, 2)});
  REQUIRE(other.Check(Record(LogRecordKind::kIntent, 2)) == RecordStatus::kConflictingRecord);
}

TEST_CASE("answered work is not open again when its accepted record stands a second time") {
  const LogIndex index = IndexOf(
      {Record(LogRecordKind::kAccepted, 1), Record(LogRecordKind::kDone, 1), Record(LogRecordKind::kAccepted, 1)});
  REQUIRE(index.open_entries().empty());
  REQUIRE(index.Find(kKey).state == LogEntry::State::kDone);
}

TEST_CASE("a trim forgets what stands below the base, and nothing else") {
  const auto kind = GENERATE(LogRecordKind::kIntent, LogRecordKind::kDone);
  LogRecord other = Record(kind, 1);
  other.key.id = "other";
  LogIndex index = IndexOf({other, Record(kind, 1)});
  index.Trim(1);
  REQUIRE(index.Check(other) == RecordStatus::kNew);
  REQUIRE(index.Check(Record(kind, 2)) == RecordStatus::kConflictingRecord);
  index.Trim(2);
  REQUIRE(index.Check(Record(kind, 2)) == RecordStatus::kNew);
}

TEST_CASE("a trim keeps the intent at the base, though an earlier one of the same key goes") {
  LogIndex index = IndexOf(
      {Record(LogRecordKind::kIntent, 1), Record(LogRecordKind::kWithdrawn, 1), Record(LogRecordKind::kIntent, 2)});
  index.Trim(2);
  REQUIRE(index.Check(Record(LogRecordKind::kIntent, 3)) == RecordStatus::kConflictingRecord);
}

}  // namespace hibiscus
