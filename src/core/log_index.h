// What the log holds, in memory: which requests are recorded, which accepted ones are open, where the answers stand.
// Fed with the batches in the order of their sequence; the first record of a key wins.
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
  uint64_t sequence = 0;  // Of its latest accepted record.
  HostName current_home;  // Its home host, as far as is known.

  friend bool operator==(const OpenEntry&, const OpenEntry&) = default;
};

class LogIndex {
 public:
  enum class RecordStatus {
    kNew,                // May be written.
    kSameRecord,         // Stands in the log already.
    kConflictingRecord,  // Another record of its key goes before it.
  };

  RecordStatus Check(const LogRecord& record) const;
  LogEntry Find(const RequestKey& key) const;
  // The sequence of the batch with the answer, if one stands here.
  std::optional<uint64_t> AnswerSequence(const RequestKey& key) const;

  void Apply(uint64_t sequence, const LogBatch& batch);
  void Trim(uint64_t base);

  // The first sequence whose batch is not older than the cutoff; `next` if all are.
  uint64_t FirstSequenceSince(Duration cutoff, uint64_t next_sequence) const;
  Duration last_log_time() const { return last_log_time_; }

  // Open entries whose home host has not confirmed that it has them.
  const std::set<RequestKey>& unconfirmed() const { return unconfirmed_; }
  const OpenEntry* FindOpen(const RequestKey& key) const;
  const std::map<RequestKey, OpenEntry>& open_entries() const { return open_; }
  void Confirm(const RequestKey& key, const HostName& current_home);
  void ClearConfirmation(const RequestKey& key);
  void ClearConfirmationsOf(const HostName& current_home);
  void ClearAllConfirmations();

 private:
  struct RecordPosition {
    uint64_t nonce = 0;
    uint64_t sequence = 0;
  };
  struct BatchSummary {
    uint64_t sequence = 0;
    Duration time = 0us;
    std::vector<uint64_t> hashes;  // Of the keys of intents and answers.
  };
  using PositionsByHash = std::unordered_map<uint64_t, RecordPosition>;  // By the key's hash: an id costs some 50
                                                                         // bytes, however long it is.

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
