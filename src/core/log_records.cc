#include "core/log_records.h"

#include <fmt/core.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

Json RequestToJson(const Request& request) {
  return Json{{"attempt", request.attempt},
              {"class", request.class_name},
              {"cpu_millis", request.size.cpu_millis},
              {"memory_mb", request.size.memory_mb},
              {"accelerators", request.size.accelerators},
              {"members", request.members},
              {"run_time_us", request.run_time.count()},
              {"payload", request.payload}};
}

Request RequestFromJson(const Json& json, const RequestKey& key) {
  Request request;
  request.key = key;
  request.attempt = json.value("attempt", 0);
  request.class_name = json.at("class").get<std::string>();
  request.size.cpu_millis = json.value("cpu_millis", int64_t{0});
  request.size.memory_mb = json.value("memory_mb", int64_t{0});
  request.size.accelerators = json.value("accelerators", int64_t{0});
  request.members = json.value("members", 1);
  request.run_time = Duration(json.value("run_time_us", int64_t{0}));
  request.deferred = true;
  request.payload = json.value("payload", std::string());
  return request;
}

Json AnswerToJson(const Answer& answer) {
  return Json{{"code", static_cast<int>(answer.code)},
              {"verdict", static_cast<int>(answer.verdict)},
              {"body", answer.body},
              {"retry_after_us", answer.retry_after.count()}};
}

Answer AnswerFromJson(const Json& json, const RequestKey& key) {
  Answer answer;
  answer.key = key;
  answer.code = static_cast<ResultCode>(json.at("code").get<int>());
  answer.verdict = static_cast<Verdict>(json.at("verdict").get<int>());
  answer.body = json.value("body", std::string());
  answer.retry_after = Duration(json.value("retry_after_us", int64_t{0}));
  return answer;
}

LogRecord RecordFromJson(const Json& json) {
  LogRecord record;
  record.kind = static_cast<LogRecordKind>(json.at("kind").get<int>());
  record.key = RequestKey{json.at("tenant").get<std::string>(), json.at("id").get<std::string>()};
  record.nonce = json.value("nonce", uint64_t{0});
  record.home = json.value("home", std::string());
  record.data_centre = json.value("data_centre", std::string());
  record.accepted_at = Duration(json.value("accepted_at_us", int64_t{0}));
  record.started_by = json.value("started_by", uint64_t{0});
  if (record.kind == LogRecordKind::kAccepted) {
    record.request = RequestFromJson(json.at("request"), record.key);
  }
  if (record.kind == LogRecordKind::kDone) {
    record.answer = AnswerFromJson(json.at("answer"), record.key);
  }
  return record;
}

LogBatch BatchFromJson(const Json& json) {
  LogBatch batch;
  batch.writer = json.at("writer").get<std::string>();
  batch.nonce = json.at("nonce").get<uint64_t>();
  batch.time = Duration(json.at("time_us").get<int64_t>());
  for (const Json& record : json.at("records")) {
    batch.records.push_back(RecordFromJson(record));
  }
  return batch;
}

LogBase BaseFromJson(const Json& json) {
  return LogBase{json.at("base").get<uint64_t>(), json.value("deleted", uint64_t{0})};
}

template <class Converter>
auto Decode(const std::string& text, Converter convert) -> tl::expected<decltype(convert(Json())), RecordError> {
  try {
    return convert(Json::parse(text));
  } catch (const std::exception& error) {
    return tl::unexpected(RecordError(error.what()));
  }
}

}  // namespace

std::string EncodeLogRecord(const LogRecord& record) {
  Json json{{"kind", static_cast<int>(record.kind)},
            {"tenant", record.key.tenant},
            {"id", record.key.id},
            {"nonce", record.nonce},
            {"home", record.home}};
  if (record.kind == LogRecordKind::kAccepted) {
    json["data_centre"] = record.data_centre;
    json["accepted_at_us"] = record.accepted_at.count();
    json["started_by"] = record.started_by;
    json["request"] = RequestToJson(record.request);
  }
  if (record.kind == LogRecordKind::kDone) {
    json["answer"] = AnswerToJson(record.answer);
  }
  return JsonText(json);
}

std::string EncodeLogBatch(const LogBatch& batch, const std::vector<std::string>& records) {
  const std::string header =
      JsonText(Json{{"writer", batch.writer}, {"nonce", batch.nonce}, {"time_us", batch.time.count()}});
  return fmt::format("{},\"records\":[{}]}}", header.substr(0, header.size() - 1), fmt::join(records, ","));
}

tl::expected<LogBatch, RecordError> DecodeLogBatch(const std::string& text) {
  return Decode(text, BatchFromJson);
}

std::string EncodeLogBase(const LogBase& base) {
  return JsonText(Json{{"base", base.base}, {"deleted", base.deleted}});
}

tl::expected<LogBase, RecordError> DecodeLogBase(const std::string& text) {
  return Decode(text, BaseFromJson);
}

}  // namespace hibiscus
