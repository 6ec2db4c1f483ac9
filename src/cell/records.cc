#include "cell/records.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include "cell/record_json.h"

namespace hibiscus::cell {

namespace {

using Json = nlohmann::json;

std::string ToMessagePack(const Json& json) {
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

}  // namespace

std::string BatchKey(const std::string& prefix, uint64_t epoch, uint64_t batch) {
  return fmt::format("{}{:08}-{:010}", prefix, epoch, batch);
}

template <class Record>
std::string EncodeRecord(const Record& record) {
  return ToMessagePack(ToJson(record));
}

template <class Record>
tl::expected<Record, std::string> DecodeRecord(const std::string& bytes) {
  try {
    Record record;
    FromJson(Json::from_msgpack(bytes), record);
    return record;
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

#define HIBISCUS_CELL_RECORD(Record)                \
  template std::string EncodeRecord(const Record&); \
  template tl::expected<Record, std::string> DecodeRecord(const std::string&);

HIBISCUS_CELL_RECORD(OwnerRecord)
HIBISCUS_CELL_RECORD(HeadRecord)
HIBISCUS_CELL_RECORD(HostRecord)
HIBISCUS_CELL_RECORD(std::vector<WorkerInstanceRecord>)
HIBISCUS_CELL_RECORD(std::vector<OpenStartRecord>)
HIBISCUS_CELL_RECORD(JobSpec)
HIBISCUS_CELL_RECORD(JobRecord)
HIBISCUS_CELL_RECORD(ProgressRecord)
HIBISCUS_CELL_RECORD(LogRecord)
HIBISCUS_CELL_RECORD(std::vector<EndedJob>)
HIBISCUS_CELL_RECORD(std::vector<CancelledId>)

}  // namespace hibiscus::cell
