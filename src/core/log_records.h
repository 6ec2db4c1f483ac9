// The text forms of the log's records in the platform's store: batches of records, and the pointer to the log's base.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"
#include "core/records.h"

namespace hibiscus {

// One value of the log: what a writer put there at once.
struct LogBatch {
  HostName writer;
  uint64_t nonce = 0;   // With the writer's name, tells whose write won when its answer was lost.
  Duration time = 0us;  // Log time: the sum of what the writers saw pass.
  std::vector<LogRecord> records;

  friend bool operator==(const LogBatch&, const LogBatch&) = default;
};

// Where the log begins. The keys from `deleted` on may still be there; those from `base` on count.
struct LogBase {
  uint64_t base = 0;
  uint64_t deleted = 0;

  friend bool operator==(const LogBase&, const LogBase&) = default;
};

std::string EncodeLogRecord(const LogRecord& record);

// `records` as EncodeLogRecord gave them; `batch.records` is not looked at.
std::string EncodeLogBatch(const LogBatch& batch, const std::vector<std::string>& records);
tl::expected<LogBatch, RecordError> DecodeLogBatch(const std::string& text);

std::string EncodeLogBase(const LogBase& base);
tl::expected<LogBase, RecordError> DecodeLogBase(const std::string& text);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_RECORDS_H_
