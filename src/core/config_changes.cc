#include "core/config_changes.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/core.h>

#include "core/take_if.h"

namespace hibiscus {

namespace {

constexpr int kMaxReadBacks = 5;               // Per change.
constexpr Duration kReadBackInterval = 300ms;  // Delay before a read-back is retried.

// The id of the change that produced `version`, if the record still contains it.
std::optional<std::string> FindChangeId(const ConfigRecord& record, uint64_t version) {
  if (record.configuration.version == version) {
    return record.configuration.change_id;
  }
  for (const ConfigChange& change : record.changes) {
    if (change.version == version) {
      return change.change_id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string ConfigHistoryKey(uint64_t version) {
  return fmt::format("{}/{}", kConfigKey, version);
}

void ConfigChanges::OnSet(const OperatorConfigSet& set) {
  Change change;
  change.exchange = set.exchange;
  change.configuration = set.configuration;
  change.configuration.version = set.expected_version + 1;
  if (change.configuration.change_id.empty()) {
    change.configuration.change_id = fmt::format("{}-{:016x}", context_.settings.name, context_.RandomNumber());
  }
  if (!CheckConfiguration(change.configuration).empty()) {
    Answer(change, ResultCode::kBadRequest);
    return;
  }
  Read(std::move(change), Step::kReading);
}

void ConfigChanges::OnTick() {
  for (Change& change :
       TakeIf(pending_read_backs_, [&](const Change& each) { return context_.Now() >= each.next_try; })) {
    Read(std::move(change), Step::kReadingBack);
  }
}

bool ConfigChanges::OnStore(const StoreEvent& event) {
  if (const auto history = history_calls_.extract(event.call); !history.empty()) {
    OnVersionRead(history.mapped(), event);
    return true;
  }
  auto entry = changes_.extract(event.call);
  if (entry.empty()) {
    return false;
  }
  Change& change = entry.mapped();
  const bool answered = event.delivery == Delivery::kAnswered;
  if (change.step == Step::kWriting) {
    OnWritten(std::move(change), event);
  } else if (!answered && change.write_outcome_unknown) {
    RetryOrGiveUp(std::move(change));
  } else if (!answered) {
    Answer(change, ResultCode::kStoreUnavailable);
  } else if (change.step == Step::kSavingPrevious) {
    Write(std::move(change));  // A conflict means that another change has already saved this version.
  } else {
    OnRead(std::move(change), event.reply);
  }
  return true;
}

void ConfigChanges::Call(Change change, StoreCall call) {
  changes_[context_.CallStore(std::move(call))] = std::move(change);
}

void ConfigChanges::Read(Change change, Step step) {
  if (step == Step::kReadingBack) {
    context_.ReportStep(hibiscus::Step::kConfigReadBack);
  }
  change.step = step;
  Call(std::move(change), StoreCall{StoreOp::kGet, kConfigKey, {}, 0, 0us});
}

void ConfigChanges::SavePrevious(Change change) {
  if (change.previous.configuration.version == 0) {
    Write(std::move(change));
    return;
  }
  change.step = Step::kSavingPrevious;
  const Configuration& previous = change.previous.configuration;
  StoreCall put{StoreOp::kPut, ConfigHistoryKey(previous.version), EncodeConfiguration(previous), 0, 0us};
  Call(std::move(change), std::move(put));
}

void ConfigChanges::Write(Change change) {
  context_.ReportStep(hibiscus::Step::kConfigWritten);
  change.step = Step::kWriting;
  ConfigRecord record{change.configuration, change.previous.changes};
  record.changes.push_back(ConfigChange{change.configuration.version, change.configuration.change_id});
  if (record.changes.size() > kMaxConfigHistory) {
    record.changes.erase(record.changes.begin());
  }
  StoreCall put{StoreOp::kPut, kConfigKey, EncodeConfigRecord(record), change.revision, 0us};
  Call(std::move(change), std::move(put));
}

void ConfigChanges::OnRead(Change change, const StoreReply& reply) {
  const auto record = reply.status == StoreStatus::kOk ? DecodeConfigRecord(reply.value) : ConfigRecord{};
  if (!record) {
    context_.Log("config", fmt::format("the configuration record in the store is malformed: {}", record.error()));
    Answer(change, ResultCode::kStoreUnavailable);
    return;
  }
  apply_(record->configuration);
  if (const auto recorded_id = FindChangeId(*record, change.configuration.version); recorded_id) {
    Answer(change, *recorded_id == change.configuration.change_id ? ResultCode::kOk : ResultCode::kConflict);
  } else if (record->configuration.version + 1 != change.configuration.version) {
    Answer(change, change.write_outcome_unknown ? ResultCode::kUnknownOutcome : ResultCode::kConflict);
  } else if (change.read_backs >= kMaxReadBacks) {
    Answer(change, ResultCode::kUnknownOutcome);  // An earlier write may still take effect.
  } else {
    change.previous = *record;
    change.revision = reply.revision;
    SavePrevious(std::move(change));
  }
}

void ConfigChanges::OnWritten(Change change, const StoreEvent& event) {
  if (event.delivery == Delivery::kNotSent && !change.write_outcome_unknown) {
    Answer(change, ResultCode::kStoreUnavailable);
    return;
  }
  if (event.delivery != Delivery::kAnswered) {
    change.write_outcome_unknown = true;
    RetryOrGiveUp(std::move(change));
    return;
  }
  if (event.reply.status != StoreStatus::kOk) {
    ++change.read_backs;
    Read(std::move(change), Step::kReadingBack);
    return;
  }
  apply_(change.configuration);
  Answer(change, ResultCode::kOk);
  if (change.configuration.version > kMaxConfigHistory) {
    const std::string oldest = ConfigHistoryKey(change.configuration.version - kMaxConfigHistory);
    context_.CallStore(StoreCall{StoreOp::kDelete, oldest, {}, 0, 0us});
  }
}

void ConfigChanges::RetryOrGiveUp(Change change) {
  if (++change.read_backs > kMaxReadBacks) {
    Answer(change, ResultCode::kUnknownOutcome);
    return;
  }
  change.next_try = context_.Now() + kReadBackInterval;
  pending_read_backs_.push_back(std::move(change));
}

void ConfigChanges::Answer(const Change& change, ResultCode code) {
  context_.AddAction(AnswerOperator{change.exchange, code, context_.configuration});
}

// --- History ---------------------------------------------------------------------------------------------------------

void ConfigChanges::OnHistory(const OperatorHistory& history) {
  const uint64_t reference = context_.NextId();
  const auto limit = static_cast<size_t>(std::clamp(history.limit, 1, kMaxConfigHistory));
  histories_[reference] = History{history.exchange, limit, true, 1, {}};
  history_calls_[context_.ReadStore(kConfigKey)] = reference;
}

void ConfigChanges::OnVersionRead(uint64_t reference, const StoreEvent& event) {
  History& history = histories_[reference];
  --history.pending_calls;
  history.complete = history.complete && event.delivery == Delivery::kAnswered;
  const bool found = event.delivery == Delivery::kAnswered && event.reply.status == StoreStatus::kOk;
  if (const auto version = found ? DecodeConfiguration(event.reply.value) : Configuration{}; version && found) {
    const bool latest = history.versions.empty();
    history.versions[version->version] = *version;
    if (latest && history.pending_calls == 0) {
      ReadOlderVersions(reference, history, version->version);
    }
  }
  if (history.pending_calls > 0) {
    return;
  }
  AnswerHistory answer{history.exchange, history.complete ? ResultCode::kOk : ResultCode::kStoreUnavailable, {}};
  for (const auto& [number, configuration] : history.versions) {
    answer.versions.push_back(configuration);
  }
  std::reverse(answer.versions.begin(), answer.versions.end());
  context_.AddAction(std::move(answer));
  histories_.erase(reference);
}

void ConfigChanges::ReadOlderVersions(uint64_t reference, History& history, uint64_t latest) {
  for (uint64_t version = latest - 1; version > 0 && latest - version < history.limit; --version) {
    history_calls_[context_.ReadStore(ConfigHistoryKey(version))] = reference;
    ++history.pending_calls;
  }
}

}  // namespace hibiscus
