// Groups records into batches and appends them to the log, with at most one write in flight. The first writer of a
// sequence wins. After a conflict the other writer applies the winner's batch to the index, checks its own records
// against it and tries the next sequence. A write whose answer was lost is resolved by reading the sequence back; until
// then this writer may write only the same batch at that sequence.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_WRITER_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_WRITER_H_

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/log_index.h"
#include "core/log_reader.h"

namespace hibiscus {

class LogWriter {
 public:
  LogWriter(CoreContext& context, LogIndex& index, LogReader& reader)
      : context_(context), index_(index), reader_(reader) {}

  // Queues a record. The outcome is sent to `from` in a LogAppended; a record that is already queued is ignored.
  void Append(const HostName& from, const LogAppend& append);

  // Queues the accepted record of an open entry for a new write, so that it is not trimmed at the horizon.
  void RenewAccepted(const RequestKey& key);

  // Requests a batch, without records if none are queued, so that log time advances.
  void ScheduleTimeBatch() { time_batch_due_ = true; }

  void OnTick();
  bool OnStore(const StoreEvent& event);  // Returns false if this part did not make the call.

  bool idle() const { return queue_.empty() && !in_flight_; }

 private:
  struct PendingRecord {
    HostName from;  // Empty for a renewal, whose outcome is not reported.
    LogRecord record;
    std::string encoded;
    TimePoint deadline{};
    bool repeated = false;  // Another writer may have it in flight: a failure is reported as kUnknown.
    bool answered = false;  // Settled: reported, as kUnknown if it was in flight, or no longer needed.
  };

  struct InFlightBatch {
    uint64_t sequence = 0;
    LogBatch batch;
    std::string encoded;
    std::vector<PendingRecord> records;
    CallId call = 0;  // 0 if no store call is pending.
    bool reading_back = false;
    bool may_have_reached_store = false;
    TimePoint first_sent_at{};
    TimePoint next_try{};
  };

  void ExpirePending();
  void StartBatch();
  bool AdmitToBatch(PendingRecord& pending, std::set<RequestKey>& keys, size_t& bytes);
  void PutBatch();
  void ReadBack();
  void OnPutReply(const StoreEvent& event);
  void OnReadBackReply(const StoreEvent& event);
  void FailInFlight(LogOutcome outcome);
  void OnBatchWritten();
  void OnBatchConflict(const LogBatch& winner);
  void Reply(PendingRecord& pending, LogOutcome outcome, const LogEntry& found = {});
  bool IsQueued(const LogRecord& record) const;

  CoreContext& context_;
  LogIndex& index_;
  LogReader& reader_;
  std::deque<PendingRecord> queue_;
  TimePoint window_end_{};
  // Writes begin at least a window apart; a record after a longer gap is written without delay.
  TimePoint last_write_began_at_{};
  std::optional<InFlightBatch> in_flight_;
  bool time_batch_due_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_WRITER_H_
