// Reads the log from its base to its end and follows the end with one pending watch. Batches are applied to the index
// in sequence order.
//
// Invariant: the end of the log is trusted only for half a horizon after it was verified. A key younger than the
// horizon is never deleted, so within that time an absent key has never been written. Later it may have been written
// and trimmed, and a write at that key would wrongly succeed as the first one.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_READER_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_READER_H_

#include <map>
#include <set>
#include <string>

#include "core/context.h"
#include "core/log_index.h"

namespace hibiscus {

// Keys of the log in the store.
std::string LogKey(uint64_t sequence);
inline constexpr char kLogBaseKey[] = "once/base";

class LogReader {
 public:
  LogReader(CoreContext& context, LogIndex& index) : context_(context), index_(index), last_batch_at_(context.Now()) {}

  void OnTick();
  bool OnStore(const StoreEvent& event);  // Returns false if this part did not make the call.

  // Discards the known end of the log and reads the log again from its base or from next_sequence(), whichever is
  // greater.
  void Restart();

  // Applies a batch that the caller has written or read at this sequence, if it is the next one and the reader is at
  // the end of the log. The sequence was certainly absent at `absent_at`.
  void ApplyAtEnd(uint64_t sequence, const LogBatch& batch, TimePoint absent_at);

  // True if the index holds every batch below next_sequence(), and next_sequence() was verified to be absent less than
  // half a horizon ago.
  bool current() const;
  uint64_t next_sequence() const { return next_sequence_; }

  // True if the last store call of any part of the log failed.
  bool store_unavailable() const { return store_unavailable_; }
  void RecordDelivery(Delivery delivery) { store_unavailable_ = delivery != Delivery::kAnswered; }

  // Log time: the time of the newest batch plus the time since it was applied. Advances while any host reads the log.
  Duration LogTime() const { return index_.last_log_time() + (context_.Now() - last_batch_at_); }

 private:
  enum class State { kReadingBase, kReadingBatches, kVerifyingBase, kAtEnd };

  struct BatchRead {
    uint64_t sequence = 0;
    TimePoint sent_at;
  };

  void TickAtEnd();
  void ReadBase();
  void StartWatch();
  void ReadBatch(uint64_t sequence);
  void ReadAhead();
  void OnBaseReply(const StoreReply& reply);
  void OnBatchReply(const BatchRead& read, const StoreReply& reply);
  void OnBatchAbsent(const BatchRead& read);
  void ApplyBuffered();
  bool IsBeingRead(uint64_t sequence) const;

  CoreContext& context_;
  LogIndex& index_;
  State state_ = State::kReadingBase;
  uint64_t next_sequence_ = 0;
  TimePoint end_verified_at_{};  // The latest time at which next_sequence() was certainly absent.
  TimePoint last_batch_at_;      // When a batch was last applied to the index.
  TimePoint next_try_{};
  TimePoint next_probe_{};
  CallId base_call_ = 0;   // 0 if no read of the base is pending.
  CallId watch_call_ = 0;  // 0 if no watch is pending.
  BatchRead watch_read_;
  std::map<CallId, BatchRead> reads_;
  std::map<uint64_t, LogBatch> buffered_batches_;  // Read ahead of next_sequence_, not yet applied.
  std::set<uint64_t> absent_ahead_;                // Absent when read ahead: read again in turn.
  bool store_unavailable_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_READER_H_
