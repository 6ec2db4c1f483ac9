// Groups records into batches and writes them to the end of the log, one write in flight. The first writer of a
// sequence wins; the loser takes what won into the index, checks its records against it and goes on with the next one.
// A write whose answer was lost is resolved by reading the sequence back; until then the same batch, and no other,
// stands for that sequence.
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

  // Answered by a LogAppended to `from`.
  void Append(const HostName& from, const LogAppend& append);

  // Writes the accepted record of an open entry anew, so that it outlives the horizon.
  void RenewAccepted(const RequestKey& key);

  // A batch without records, so that log time goes on.
  void ScheduleTimeBatch() { time_batch_due_ = true; }

  void OnTick();
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

  bool idle() const { return queue_.empty() && !in_flight_; }

 private:
  struct PendingRecord {
    HostName from;  // Empty: nobody waits for the outcome.
    LogRecord record;
    std::string encoded;
    TimePoint deadline{};
    bool repeated = false;  // Another writer may have it on its way.
    bool answered = false;  // With kUnknown, while it was in flight.
  };

  struct InFlightBatch {
    uint64_t sequence = 0;
    LogBatch batch;
    std::string encoded;
    std::vector<PendingRecord> records;
    CallId call = 0;  // 0: none is out.
    bool reading_back = false;
    bool may_have_reached_store = false;  // A write of it may have reached the store.
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
  TimePoint
      last_write_began_at_{};  // When the last write began: writes are a window apart, and a lone record does not wait.
  std::optional<InFlightBatch> in_flight_;
  bool time_batch_due_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_WRITER_H_
