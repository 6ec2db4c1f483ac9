#include "core/log_index.h"

#include <algorithm>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

namespace {

uint64_t HashOf(const RequestKey& key) {
  return RendezvousScore(key.tenant, key.id);
}

}  // namespace

LogIndex::Presence LogIndex::Check(const LogRecord& record) const {
  const uint64_t hash = HashOf(record.key);
  const auto intent = intents_.find(hash);
  const auto done = done_.find(hash);
  const OpenEntry* open = FindOpen(record.key);
  const auto compare = [&](uint64_t nonce) { return nonce == record.nonce ? Presence::kSame : Presence::kOther; };
  switch (record.kind) {
    case LogRecordKind::kIntent:
      if (open != nullptr || done != done_.end()) {
        return Presence::kOther;
      }
      return intent == intents_.end() ? Presence::kNew : compare(intent->second.nonce);
    case LogRecordKind::kAccepted:
      if (intent != intents_.end() || done != done_.end()) {
        return Presence::kOther;
      }
      return open == nullptr ? Presence::kNew : compare(open->accepted.nonce);
    case LogRecordKind::kStarted:
      if (open == nullptr) {
        return Presence::kOther;
      }
      return open->accepted.started_by == 0 ? Presence::kNew : compare(open->accepted.started_by);
    case LogRecordKind::kDone:
      return done == done_.end() ? Presence::kNew : compare(done->second.nonce);
    case LogRecordKind::kWithdrawn:
      return Presence::kNew;
  }
  return Presence::kOther;
}

LogEntry LogIndex::Find(const RequestKey& key) const {
  const uint64_t hash = HashOf(key);
  if (const OpenEntry* open = FindOpen(key); open != nullptr) {
    return LogEntry{LogEntry::State::kOpen, open->holder, {}};
  }
  if (done_.contains(hash)) {
    return LogEntry{LogEntry::State::kDone, {}, {}};
  }
  return LogEntry{intents_.contains(hash) ? LogEntry::State::kIntent : LogEntry::State::kNone, {}, {}};
}

std::optional<uint64_t> LogIndex::SequenceOfAnswer(const RequestKey& key) const {
  const auto done = done_.find(HashOf(key));
  return done == done_.end() ? std::nullopt : std::optional(done->second.sequence);
}

void LogIndex::Apply(uint64_t sequence, const LogBatch& batch) {
  last_time_ = std::max(last_time_, batch.time);
  batches_.push_back(BatchNote{sequence, last_time_, {}});
  for (const LogRecord& record : batch.records) {
    ApplyRecord(sequence, record);
  }
}

void LogIndex::ApplyRecord(uint64_t sequence, const LogRecord& record) {
  const uint64_t hash = HashOf(record.key);
  switch (record.kind) {
    case LogRecordKind::kIntent:
      intents_.try_emplace(hash, Mark{record.nonce, sequence});
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
      done_.try_emplace(hash, Mark{record.nonce, sequence});
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

// An accepted record stands a second time when it was written anew to outlive the horizon.
void LogIndex::ApplyAccepted(uint64_t sequence, const LogRecord& record) {
  if (done_.contains(HashOf(record.key))) {
    return;
  }
  const auto [entry, fresh] = open_.try_emplace(record.key, OpenEntry{record, sequence, record.home});
  if (fresh) {
    unconfirmed_.insert(record.key);
  } else if (entry->second.accepted.nonce == record.nonce) {
    entry->second.sequence = sequence;
  }
}

void LogIndex::Trim(uint64_t base) {
  const auto drop = [&](Marks& marks, uint64_t hash) {
    const auto mark = marks.find(hash);
    if (mark != marks.end() && mark->second.sequence < base) {
      marks.erase(mark);
    }
  };
  while (!batches_.empty() && batches_.front().sequence < base) {
    for (const uint64_t hash : batches_.front().hashes) {
      drop(intents_, hash);
      drop(done_, hash);
    }
    batches_.pop_front();
  }
}

uint64_t LogIndex::FirstSince(Duration cutoff, uint64_t next) const {
  const auto first =
      std::find_if(batches_.begin(), batches_.end(), [&](const BatchNote& batch) { return batch.time >= cutoff; });
  return first == batches_.end() ? next : first->sequence;
}

const OpenEntry* LogIndex::FindOpen(const RequestKey& key) const {
  const auto entry = open_.find(key);
  return entry == open_.end() ? nullptr : &entry->second;
}

void LogIndex::Confirm(const RequestKey& key, const HostName& holder) {
  if (const auto entry = open_.find(key); entry != open_.end()) {
    entry->second.holder = holder;
    unconfirmed_.erase(key);
  }
}

void LogIndex::Doubt(const RequestKey& key) {
  if (open_.contains(key)) {
    unconfirmed_.insert(key);
  }
}

void LogIndex::DoubtAllOf(const HostName& holder) {
  for (const auto& [key, entry] : open_) {
    if (entry.holder == holder) {
      unconfirmed_.insert(key);
    }
  }
}

void LogIndex::DoubtAll() {
  for (const auto& [key, entry] : open_) {
    unconfirmed_.insert(key);
  }
}

}  // namespace hibiscus
