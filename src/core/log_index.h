// In-memory index of the log: the recorded requests, the accepted requests that are open, and the positions of the
// answers. Batches are applied in sequence order; the first record of a key wins.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_INDEX_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_INDEX_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/log_records.h"

namespace hibiscus {

// An accepted request without an answer.
struct OpenEntry {
  LogRecord accepted;
  uint64_t sequence = 0;  // Of the batch with its latest accepted record.
  HostName current_home;  // The last known home host.

  friend bool operator==(const OpenEntry&, const OpenEntry&) = default;
};

class LogIndex {
 public:
  enum class RecordStatus {
    kNew,                // May be written.
    kSameRecord,         // Is in the log already.
    kConflictingRecord,  // Ruled out by what the log holds, or lacks, of its key.
  };

  // Checks a record that is to be written against the records in the log.
  RecordStatus Check(const LogRecord& record) const;
  LogEntry Find(const RequestKey& key) const;
  // The sequence of the batch that holds the answer, if there is one.
  std::optional<uint64_t> AnswerSequence(const RequestKey& key) const;

  void Apply(uint64_t sequence, const LogBatch& batch);
  // Removes the intents and answers of all batches below the base. Open entries stay.
  void Trim(uint64_t base);

  // The sequence of the first batch with a log time at or after `cutoff`; `next_sequence` if all batches are older.
  uint64_t FirstSequenceSince(Duration cutoff, uint64_t next_sequence) const;
  // The log time of the newest batch.
  Duration last_log_time() const { return last_log_time_; }

  // Keys of open entries whose home host has not confirmed that it processes them.
  const std::set<RequestKey>& unconfirmed() const { return unconfirmed_; }
  const OpenEntry* FindOpen(const RequestKey& key) const;
  const std::map<RequestKey, OpenEntry>& open_entries() const { return open_; }

  // Records that `current_home` processes the request. A cleared confirmation makes the entry unconfirmed again.
  void Confirm(const RequestKey& key, const HostName& current_home);
  void ClearConfirmation(const RequestKey& key);
  void ClearConfirmationsOf(const HostName& current_home);
  void ClearAllConfirmations();

 private:
  struct RecordPosition {
    uint64_t nonce = 0;
    uint64_t sequence = 0;
  };
  // What Trim() needs of a batch.
  struct BatchSummary {
    uint64_t sequence = 0;
    Duration time = 0us;
    std::vector<uint64_t> hashes;  // Of the keys with an intent or an answer in this batch.
  };
  // By the hash of the request's key: an entry takes some 50 bytes, regardless of the length of the id.
  using PositionsByHash = std::unordered_map<uint64_t, RecordPosition>;

  void ApplyRecord(uint64_t sequence, const LogRecord& record);
  void ApplyAccepted(uint64_t sequence, const LogRecord& record);

  PositionsByHash intents_;
  PositionsByHash answers_;
  std::map<RequestKey, OpenEntry> open_;
  std::set<RequestKey> unconfirmed_;
  std::deque<BatchSummary> batches_;
  Duration last_log_time_ = 0us;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_INDEX_H_
