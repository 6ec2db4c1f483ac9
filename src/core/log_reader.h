// Reads the log from its base to its end and stays there with one waiting watch. Every batch goes into the index in the
// order of its sequence.
//
// The rule that carries this file: "the log ends before n" is believed only while it was checked less than half a
// horizon ago. A key younger than the horizon is never deleted, so within that time an absent key was never written;
// after it, it may have been written and trimmed, and a write there would be taken for the first.
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
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

  // Forgets where the log ends and reads on from its base.
  void Restart();

  // A batch that the caller knows to stand at this sequence, which was surely absent at the time named. Taken only in
  // its turn.
  void ApplyAtEnd(uint64_t sequence, const LogBatch& batch, TimePoint absent_at);

  // The index holds every batch below next(), and nothing stood at next() a moment ago.
  bool current() const;
  uint64_t next_sequence() const { return next_sequence_; }

  // The last call to the store failed, whichever part of the log made it.
  bool store_unavailable() const { return store_unavailable_; }
  void RecordDelivery(Delivery delivery) { store_unavailable_ = delivery != Delivery::kAnswered; }

  // Log time: goes on while any host reads the log.
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
  TimePoint end_verified_at_{};  // When next() was surely absent.
  TimePoint last_batch_at_;      // When the index last grew.
  TimePoint next_try_{};
  TimePoint next_probe_{};
  CallId base_call_ = 0;  // 0: none is out.
  CallId watch_call_ = 0;
  BatchRead watch_read_;
  std::map<CallId, BatchRead> reads_;
  std::map<uint64_t, LogBatch> buffered_batches_;  // Read ahead of their turn.
  std::set<uint64_t> absent_ahead_;                // Absent when they were read ahead of their turn.
  bool store_unavailable_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_READER_H_
