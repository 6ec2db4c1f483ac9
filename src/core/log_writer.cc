#include "core/log_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/core.h>

namespace hibiscus {

namespace {

// Of the encoded records in a batch; the store holds values of up to a megabyte.
constexpr size_t kMaxBatchBytes = 900'000;
constexpr Duration kRetryDelay = 500ms;   // After a failed store call.
constexpr Duration kRenewTimeout = 1min;  // The trimmer requests expired renewals again.
// Random part of the batching window, so that concurrent writers conflict less often.
constexpr uint64_t kMaxWindowJitterUs = 50'000;
// Limit of the random delay before the next batch after a conflict.
constexpr uint64_t kMaxConflictDelayUs = 20'000;

}  // namespace

void LogWriter::Append(const HostName& from, const LogAppend& append) {
  if (IsQueued(append.record)) {
    return;
  }
  PendingRecord pending{from, append.record, {}, context_.Now() + append.patience, append.repeated, false};
  if (pending.record.kind == LogRecordKind::kAccepted) {
    pending.record.accepted_at = reader_.LogTime();
  }
  pending.encoded = EncodeLogRecord(pending.record);
  if (pending.encoded.size() > kMaxBatchBytes) {
    Reply(pending, LogOutcome::kTooLarge);
    return;
  }
  if (reader_.store_unavailable()) {
    Reply(pending, LogOutcome::kNotRecorded);
    return;
  }
  if (queue_.empty()) {
    const Duration window = context_.settings.log_batch_window + Duration(context_.RandomNumber() % kMaxWindowJitterUs);
    window_end_ = std::max(context_.Now(), last_write_began_at_ + window);
  }
  queue_.push_back(std::move(pending));
}

void LogWriter::RenewAccepted(const RequestKey& key) {
  const OpenEntry* open = index_.FindOpen(key);
  if (open != nullptr && !IsQueued(open->accepted)) {
    PendingRecord pending{{},    open->accepted, EncodeLogRecord(open->accepted), context_.Now() + kRenewTimeout,
                          false, false};
    queue_.push_back(std::move(pending));
  }
}

bool LogWriter::IsQueued(const LogRecord& record) const {
  const auto is_same = [&](const PendingRecord& pending) {
    return pending.record.nonce == record.nonce && pending.record.kind == record.kind && !pending.answered;
  };
  return std::any_of(queue_.begin(), queue_.end(), is_same) ||
         (in_flight_ && std::any_of(in_flight_->records.begin(), in_flight_->records.end(), is_same));
}

void LogWriter::OnTick() {
  ExpirePending();
  if (in_flight_) {
    if (in_flight_->call == 0 && context_.Now() >= in_flight_->next_try) {
      ReadBack();
    }
    return;
  }
  const bool due = (!queue_.empty() && context_.Now() >= window_end_) || time_batch_due_;
  if (due && reader_.current()) {
    StartBatch();
  }
}

// Records that are still queued were never sent and are certainly not recorded. The outcome of those in flight is
// unknown.
void LogWriter::ExpirePending() {
  std::erase_if(queue_, [&](PendingRecord& pending) {
    const bool expired = context_.Now() >= pending.deadline || reader_.store_unavailable();
    if (expired) {
      Reply(pending, LogOutcome::kNotRecorded);
    }
    return expired;
  });
  if (!in_flight_) {
    return;
  }
  for (PendingRecord& pending : in_flight_->records) {
    if (context_.Now() >= pending.deadline && !pending.answered) {
      Reply(pending, LogOutcome::kUnknown);
      pending.answered = true;
    }
  }
}

void LogWriter::StartBatch() {
  InFlightBatch in_flight;
  std::set<RequestKey> keys;
  size_t bytes = 0;
  std::deque<PendingRecord> postponed;
  std::vector<std::string> encoded_records;
  for (PendingRecord& pending : queue_) {
    if (!AdmitToBatch(pending, keys, bytes)) {
      if (!pending.answered) {
        postponed.push_back(std::move(pending));
      }
      continue;
    }
    encoded_records.push_back(pending.encoded);
    in_flight.batch.records.push_back(pending.record);
    in_flight.records.push_back(std::move(pending));
  }
  queue_ = std::move(postponed);
  if (in_flight.records.empty() && !time_batch_due_) {
    return;
  }
  time_batch_due_ = false;
  in_flight.sequence = reader_.next_sequence();
  in_flight.batch.writer = context_.settings.name;
  in_flight.batch.nonce = context_.RandomNumber();
  in_flight.batch.time = reader_.LogTime();
  in_flight.encoded = EncodeLogBatch(in_flight.batch, encoded_records);
  in_flight.first_sent_at = context_.Now();
  last_write_began_at_ = in_flight.first_sent_at;
  in_flight_ = std::move(in_flight);
  PutBatch();
}

// Returns false if the record does not go into this batch: it is either settled, with `answered` set, or left for the
// next batch. A batch holds one record per key, so that each record is checked against all earlier ones.
bool LogWriter::AdmitToBatch(PendingRecord& pending, std::set<RequestKey>& keys, size_t& bytes) {
  if (keys.contains(pending.record.key)) {
    return false;
  }
  const bool renewal = pending.from.empty();
  if (renewal) {
    const OpenEntry* open = index_.FindOpen(pending.record.key);
    if (open == nullptr) {
      pending.answered = true;
      return false;
    }
    pending.record = open->accepted;
    pending.encoded = EncodeLogRecord(pending.record);
  } else if (const auto status = index_.Check(pending.record); status != LogIndex::RecordStatus::kNew) {
    const bool is_same = status == LogIndex::RecordStatus::kSameRecord;
    Reply(pending, is_same ? LogOutcome::kRecorded : LogOutcome::kDuplicate, index_.Find(pending.record.key));
    pending.answered = true;
    return false;
  }
  if (bytes + pending.encoded.size() > kMaxBatchBytes) {
    return false;
  }
  keys.insert(pending.record.key);
  bytes += pending.encoded.size() + 1;
  return true;
}

void LogWriter::PutBatch() {
  in_flight_->reading_back = false;
  in_flight_->call =
      context_.CallStore(StoreCall{StoreOp::kPut, LogKey(in_flight_->sequence), in_flight_->encoded, 0, 0us});
}

void LogWriter::ReadBack() {
  in_flight_->reading_back = true;
  in_flight_->call = context_.ReadStore(LogKey(in_flight_->sequence));
}

bool LogWriter::OnStore(const StoreEvent& event) {
  if (!in_flight_ || event.call != in_flight_->call) {
    return false;
  }
  in_flight_->call = 0;
  reader_.RecordDelivery(event.delivery);
  if (in_flight_->reading_back) {
    OnReadBackReply(event);
  } else {
    OnPutReply(event);
  }
  return true;
}

void LogWriter::OnPutReply(const StoreEvent& event) {
  if (event.delivery == Delivery::kNotSent && !in_flight_->may_have_reached_store) {
    FailInFlight(LogOutcome::kNotRecorded);
  } else if (event.delivery != Delivery::kAnswered) {
    context_.ReportStep(Step::kAppendAnswerLost);
    in_flight_->may_have_reached_store = true;
    in_flight_->next_try = context_.Now() + (event.delivery == Delivery::kUnknown ? 0us : kRetryDelay);
  } else if (event.reply.status == StoreStatus::kOk) {
    OnBatchWritten();
  } else {
    ReadBack();
  }
}

void LogWriter::OnReadBackReply(const StoreEvent& event) {
  if (event.delivery != Delivery::kAnswered) {
    in_flight_->next_try = context_.Now() + kRetryDelay;
    return;
  }
  if (event.reply.status == StoreStatus::kAbsent) {
    // The write may still arrive, so only the same batch may be sent again. If the end of the log is no longer
    // verified, the batch may have been written and trimmed: its outcome is unknown.
    if (reader_.current()) {
      PutBatch();
      return;
    }
    FailInFlight(LogOutcome::kUnknown);
    reader_.Restart();
    return;
  }
  const auto stored = DecodeLogBatch(event.reply.value);
  const bool ours = stored && stored->writer == context_.settings.name && stored->nonce == in_flight_->batch.nonce;
  if (ours) {
    OnBatchWritten();
  } else {
    OnBatchConflict(stored.value_or(LogBatch{}));
  }
}

void LogWriter::FailInFlight(LogOutcome outcome) {
  InFlightBatch in_flight = std::move(*in_flight_);
  in_flight_.reset();
  for (PendingRecord& pending : in_flight.records) {
    Reply(pending, outcome);
  }
}

void LogWriter::OnBatchWritten() {
  context_.ReportStep(Step::kGroupWritten);
  InFlightBatch in_flight = std::move(*in_flight_);
  in_flight_.reset();
  reader_.ApplyAtEnd(in_flight.sequence, in_flight.batch, in_flight.first_sent_at);
  for (PendingRecord& pending : in_flight.records) {
    if (pending.record.kind == LogRecordKind::kAccepted && !pending.answered && context_.IsReachable(pending.from)) {
      index_.Confirm(pending.record.key, pending.from);
    }
    Reply(pending, LogOutcome::kRecorded);
  }
}

void LogWriter::OnBatchConflict(const LogBatch& winner) {
  context_.ReportStep(Step::kGroupLost);
  InFlightBatch in_flight = std::move(*in_flight_);
  in_flight_.reset();
  reader_.ApplyAtEnd(in_flight.sequence, winner, TimePoint{});
  std::erase_if(in_flight.records, [](const PendingRecord& pending) { return pending.answered; });
  queue_.insert(queue_.begin(), std::make_move_iterator(in_flight.records.begin()),
                std::make_move_iterator(in_flight.records.end()));
  window_end_ = context_.Now() + Duration(context_.RandomNumber() % kMaxConflictDelayUs);
}

void LogWriter::Reply(PendingRecord& pending, LogOutcome outcome, const LogEntry& found) {
  if (pending.from.empty() || pending.answered) {
    return;
  }
  if (outcome == LogOutcome::kNotRecorded && pending.repeated) {
    outcome = LogOutcome::kUnknown;
  }
  const LogRecord& record = pending.record;
  context_.Send(pending.from, LogAppended{record.kind, record.key, record.nonce, outcome, found});
}

}  // namespace hibiscus
