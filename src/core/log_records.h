// JSON encoding of the log's values in the platform's store: batches of records, and the record of the log's base.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"
#include "core/records.h"

namespace hibiscus {

// One value of the log: the records of a single write.
struct LogBatch {
  HostName writer;
  uint64_t nonce = 0;   // Together with `writer`, identifies the write when its answer was lost.
  Duration time = 0us;  // Log time: the elapsed time that the writers have measured, summed up.
  std::vector<LogRecord> records;

  friend bool operator==(const LogBatch&, const LogBatch&) = default;
};

// The start of the log: batches from `base` on are valid. Keys from `deleted` up to `base` may still have to be
// deleted.
struct LogBase {
  uint64_t base = 0;
  uint64_t deleted = 0;

  friend bool operator==(const LogBase&, const LogBase&) = default;
};

std::string EncodeLogRecord(const LogRecord& record);

// Encodes a batch with `records`, each the result of EncodeLogRecord(); `batch.records` is ignored.
std::string EncodeLogBatch(const LogBatch& batch, const std::vector<std::string>& records);
tl::expected<LogBatch, RecordError> DecodeLogBatch(const std::string& text);

std::string EncodeLogBase(const LogBase& base);
tl::expected<LogBase, RecordError> DecodeLogBase(const std::string& text);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_
