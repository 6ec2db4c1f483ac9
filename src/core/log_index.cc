#include "core/log_index.h"

#include <algorithm>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

namespace {

uint64_t HashOf(const RequestKey& key) {
  return RendezvousScore(key.tenant, key.id);
}

}  // namespace

LogIndex::RecordStatus LogIndex::Check(const LogRecord& record) const {
  const uint64_t hash = HashOf(record.key);
  const auto intent = intents_.find(hash);
  const auto answer = answers_.find(hash);
  const OpenEntry* open = FindOpen(record.key);
  const auto compare = [&](uint64_t nonce) {
    return nonce == record.nonce ? RecordStatus::kSameRecord : RecordStatus::kConflictingRecord;
  };
  switch (record.kind) {
    case LogRecordKind::kIntent:
      if (open != nullptr || answer != answers_.end()) {
        return RecordStatus::kConflictingRecord;
      }
      return intent == intents_.end() ? RecordStatus::kNew : compare(intent->second.nonce);
    case LogRecordKind::kAccepted:
      if (intent != intents_.end() || answer != answers_.end()) {
        return RecordStatus::kConflictingRecord;
      }
      return open == nullptr ? RecordStatus::kNew : compare(open->accepted.nonce);
    case LogRecordKind::kStarted:
      if (open == nullptr) {
        return RecordStatus::kConflictingRecord;
      }
      return open->accepted.started_by == 0 ? RecordStatus::kNew : compare(open->accepted.started_by);
    case LogRecordKind::kDone:
      return answer == answers_.end() ? RecordStatus::kNew : compare(answer->second.nonce);
    case LogRecordKind::kWithdrawn:
      return RecordStatus::kNew;
  }
  return RecordStatus::kConflictingRecord;
}

LogEntry LogIndex::Find(const RequestKey& key) const {
  const uint64_t hash = HashOf(key);
  if (const OpenEntry* open = FindOpen(key); open != nullptr) {
    return LogEntry{LogEntry::State::kOpen, open->current_home, {}};
  }
  if (answers_.contains(hash)) {
    return LogEntry{LogEntry::State::kDone, {}, {}};
  }
  return LogEntry{intents_.contains(hash) ? LogEntry::State::kIntent : LogEntry::State::kNone, {}, {}};
}

std::optional<uint64_t> LogIndex::AnswerSequence(const RequestKey& key) const {
  const auto answer = answers_.find(HashOf(key));
  return answer == answers_.end() ? std::nullopt : std::optional(answer->second.sequence);
}

void LogIndex::Apply(uint64_t sequence, const LogBatch& batch) {
  last_log_time_ = std::max(last_log_time_, batch.time);
  batches_.push_back(BatchSummary{sequence, last_log_time_, {}});
  for (const LogRecord& record : batch.records) {
    ApplyRecord(sequence, record);
  }
}

void LogIndex::ApplyRecord(uint64_t sequence, const LogRecord& record) {
  const uint64_t hash = HashOf(record.key);
  switch (record.kind) {
    case LogRecordKind::kIntent:
      intents_.try_emplace(hash, RecordPosition{record.nonce, sequence});
      batches_.back().hashes.push_back(hash);
      return;
    case LogRecordKind::kAccepted:
      ApplyAccepted(sequence, record);
      return;
    case LogRecordKind::kStarted:
      if (const auto open = open_.find(record.key); open != open_.end() && open->second.accepted.started_by == 0) {
        open->second.accepted.started_by = record.nonce;
      }
      return;
    case LogRecordKind::kDone:
      answers_.try_emplace(hash, RecordPosition{record.nonce, sequence});
      batches_.back().hashes.push_back(hash);
      open_.erase(record.key);
      unconfirmed_.erase(record.key);
      return;
    case LogRecordKind::kWithdrawn:
      if (const auto intent = intents_.find(hash); intent != intents_.end() && intent->second.nonce == record.nonce) {
        intents_.erase(intent);
      }
      return;
  }
}

// A second accepted record with the same nonce is a renewal, written to keep the entry from being trimmed.
void LogIndex::ApplyAccepted(uint64_t sequence, const LogRecord& record) {
  if (answers_.contains(HashOf(record.key))) {
    return;
  }
  const auto [entry, inserted] = open_.try_emplace(record.key, OpenEntry{record, sequence, record.home});
  if (inserted) {
    unconfirmed_.insert(record.key);
  } else if (entry->second.accepted.nonce == record.nonce) {
    entry->second.sequence = sequence;
  }
}

void LogIndex::Trim(uint64_t base) {
  const auto erase_if_trimmed = [&](PositionsByHash& positions, uint64_t hash) {
    const auto position = positions.find(hash);
    if (position != positions.end() && position->second.sequence < base) {
      positions.erase(position);
    }
  };
  while (!batches_.empty() && batches_.front().sequence < base) {
    for (const uint64_t hash : batches_.front().hashes) {
      erase_if_trimmed(intents_, hash);
      erase_if_trimmed(answers_, hash);
    }
    batches_.pop_front();
  }
}

uint64_t LogIndex::FirstSequenceSince(Duration cutoff, uint64_t next_sequence) const {
  const auto first =
      std::find_if(batches_.begin(), batches_.end(), [&](const BatchSummary& batch) { return batch.time >= cutoff; });
  return first == batches_.end() ? next_sequence : first->sequence;
}

const OpenEntry* LogIndex::FindOpen(const RequestKey& key) const {
  const auto entry = open_.find(key);
  return entry == open_.end() ? nullptr : &entry->second;
}

void LogIndex::Confirm(const RequestKey& key, const HostName& current_home) {
  if (const auto entry = open_.find(key); entry != open_.end()) {
    entry->second.current_home = current_home;
    unconfirmed_.erase(key);
  }
}

void LogIndex::ClearConfirmation(const RequestKey& key) {
  if (open_.contains(key)) {
    unconfirmed_.insert(key);
  }
}

void LogIndex::ClearConfirmationsOf(const HostName& current_home) {
  for (const auto& [key, entry] : open_) {
    if (entry.current_home == current_home) {
      unconfirmed_.insert(key);
    }
  }
}

void LogIndex::ClearAllConfirmations() {
  for (const auto& [key, entry] : open_) {
    unconfirmed_.insert(key);
  }
}

}  // namespace hibiscus
