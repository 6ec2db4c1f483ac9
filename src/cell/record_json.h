// Converts records and messages from and to JSON arrays that hold the fields by position, in the order of the struct.
// New fields may only be added at the end; a missing field keeps its default. This lets hosts of different versions
// read each other's records and messages.
#ifndef HIBISCUSSTAND_SRC_CELL_RECORD_JSON_H_
#define HIBISCUSSTAND_SRC_CELL_RECORD_JSON_H_

#include <map>
#include <string>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

// Fields returns references to the fields of a record or message in their encoded order, which must not change.
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OwnerRecord> {
  return std::tie(self.host, self.address, self.incarnation, self.epoch, self.released, self.owners_act_for);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, HeadRecord> {
  return std::tie(self.epoch, self.batch);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, HostRecord> {
  return std::tie(self.host, self.address, self.incarnation, self.processor_millis, self.data_centre);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, WorkerInstanceRecord> {
  return std::tie(self.id, self.address, self.born_ms, self.capacity);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OpenStartRecord> {
  return std::tie(self.run, self.worker, self.open_for);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, Resources> {
  return std::tie(self.cpu_millis, self.memory_mb, self.accelerators);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, StepSpec> {
  return std::tie(self.count, self.size, self.estimate, self.after, self.checkpoints, self.gang, self.same_rack,
                  self.required_label, self.data_rack, self.max_per_worker, self.speculative, self.long_running,
                  self.image, self.tail_latency_target, self.best_effort, self.max_unavailable);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, JobSpec> {
  return std::tie(self.id, self.queue, self.payload, self.steps, self.first_due_ms, self.interval, self.occurrences);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, JobRecord> {
  return std::tie(self.epoch, self.accepted_at_ms, self.spec, self.queue, self.tenant);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, AdviceSpec> {
  return std::tie(self.base, self.per_worker, self.valid);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, QueueSpec> {
  return std::tie(self.name, self.host, self.prefix, self.service, self.timeout, self.target_latency, self.priority,
                  self.max_attempts, self.stretch, self.advice, self.is_public);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, SuspectedCrash> {
  return std::tie(self.run, self.worker, self.born_ms);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, CrashRecord> {
  return std::tie(self.certain, self.prompt, self.unconfirmed, self.suspected, self.started);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, StepProgress> {
  return std::tie(self.occurrence, self.step, self.all_done, self.done, self.failed, self.checkpoints, self.crashed,
                  self.possibly_crashed, self.crash_records);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, ProgressRecord> {
  return std::tie(self.cancelled, self.occurrences_done, self.steps);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, JobProgress> {
  return std::tie(self.id, self.progress);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, LogRecord> {
  return std::tie(self.jobs, self.progress);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, EndedJob> {
  return std::tie(self.id, self.queue, self.state, self.ended_at_ms, self.tenant, self.still_running);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, CancelledId> {
  return std::tie(self.id, self.queue, self.tenant);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, TaskRef> {
  return std::tie(self.job, self.occurrence, self.step, self.index);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, Ticket> {
  return std::tie(self.worker, self.ticket);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, CallerRequest> {
  return std::tie(self.call, self.reply_to, self.kind, self.queue, self.job, self.spec, self.term, self.time_left,
                  self.key);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, CallerReply> {
  return std::tie(self.call, self.outcome, self.state, self.pending, self.retry_after, self.term);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, AdviceRequest> {
  return std::tie(self.call, self.reply_to, self.step, self.workers, self.timeout);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, AdviceReply> {
  return std::tie(self.call, self.answered, self.allowed);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OwnerQuery> {
  return std::tie(self.reply_to);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OwnerAnnouncement> {
  return std::tie(self.term, self.host, self.address);
}

template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OwnershipHandover> {
  return std::tie(self.term);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, RunRef> {
  return std::tie(self.task, self.run);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, WorkerTarget> {
  return std::tie(self.id, self.address, self.data_centre);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, StartOrder> {
  return std::tie(self.run, self.payload, self.deadline, self.token, self.checkpoint, self.ticket);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, HoldOrder> {
  return std::tie(self.token, self.acknowledged, self.deadline, self.wait);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, RunningRun> {
  return std::tie(self.run, self.checkpoint, self.percent);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, EndedRun> {
  return std::tie(self.number, self.run, self.how, self.checkpoint);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OrderAnswer> {
  return std::tie(self.status, self.worker_clock, self.born_ms, self.running, self.ended, self.reason,
                  self.unreadable_from);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, StartRequest> {
  return std::tie(self.call, self.reply_to, self.term, self.worker, self.order, self.valid_until);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, StopRequest> {
  return std::tie(self.call, self.reply_to, self.term, self.worker, self.run, self.token);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, HoldRequest> {
  return std::tie(self.call, self.reply_to, self.term, self.worker, self.order, self.valid_until);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, OrderReply> {
  return std::tie(self.call, self.answer, self.sender_clock);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, EndReport> {
  return std::tie(self.call, self.reply_to, self.ends);
}
template <class Self>
auto Fields(Self& self) requires std::is_same_v<std::remove_const_t<Self>, EndReportReply> {
  return std::tie(self.call, self.from, self.incarnation);
}

template <class Value>
concept HasFields = requires(Value& value) {
  Fields(value);
};

// --- To JSON ---

template <class Value>
nlohmann::json ToJson(const Value& value);

template <class Value>
nlohmann::json ToJson(const std::vector<Value>& values) {
  nlohmann::json array = nlohmann::json::array();
  for (const Value& value : values) {
    array.push_back(ToJson(value));
  }
  return array;
}

template <class Value>
nlohmann::json ToJson(const std::map<int, Value>& values) {
  nlohmann::json array = nlohmann::json::array();
  for (const auto& [key, value] : values) {
    array.push_back(nlohmann::json::array({key, ToJson(value)}));
  }
  return array;
}

// An optional is a list of at most one element.
template <class Value>
nlohmann::json ToJson(const std::optional<Value>& value) {
  nlohmann::json array = nlohmann::json::array();
  if (value) {
    array.push_back(ToJson(*value));
  }
  return array;
}

template <class Value>
nlohmann::json ToJson(const Value& value) {
  if constexpr (HasFields<const Value>) {
    nlohmann::json array = nlohmann::json::array();
    std::apply([&](const auto&... field) { (array.push_back(ToJson(field)), ...); }, Fields(value));
    return array;
  } else if constexpr (std::is_enum_v<Value>) {
    return static_cast<int>(value);
  } else if constexpr (std::is_same_v<Value, Duration>) {
    return value.count();
  } else {
    return value;
  }
}

// --- From JSON ---

template <class Value>
void FromJson(const nlohmann::json& json, Value& value);

template <class Value>
void FromJson(const nlohmann::json& json, std::vector<Value>& values) {
  values.clear();
  for (const nlohmann::json& each : json) {
    FromJson(each, values.emplace_back());
  }
}

template <class Value>
void FromJson(const nlohmann::json& json, std::map<int, Value>& values) {
  values.clear();
  for (const nlohmann::json& each : json) {
    FromJson(each.at(1), values[each.at(0).get<int>()]);
  }
}

template <class Value>
void FromJson(const nlohmann::json& json, std::optional<Value>& value) {
  value.reset();
  if (!json.empty()) {
    FromJson(json.at(0), value.emplace());
  }
}

template <class Value>
void FromJson(const nlohmann::json& json, Value& value) {
  if constexpr (HasFields<Value>) {
    size_t position = 0;
    const auto read_field = [&](auto& field) {
      if (position < json.size()) {
        FromJson(json.at(position), field);
      }
      ++position;
    };
    std::apply([&](auto&... field) { (read_field(field), ...); }, Fields(value));
  } else if constexpr (std::is_enum_v<Value>) {
    value = static_cast<Value>(json.get<int>());
  } else if constexpr (std::is_same_v<Value, Duration>) {
    value = Duration(json.get<int64_t>());
  } else {
    value = json.get<Value>();
  }
}

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_RECORD_JSON_H_
