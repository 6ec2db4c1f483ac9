#include "core/log_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr size_t kMostBytes = 900'000;        // Of a batch; the store holds values up to a megabyte.
constexpr Duration kRetry = 500ms;            // After a call that failed.
constexpr Duration kRenewPatience = 1min;     // Renewed records are asked for again by the trimmer.
constexpr uint64_t kWindowJitter = 50'000;    // Microseconds by which windows differ, so that writers meet less.
constexpr uint64_t kConflictJitter = 20'000;  // Microseconds before the next try after a lost race.

}  // namespace

void LogWriter::Append(const HostName& from, const LogAppend& append) {
  if (IsQueued(append.record)) {
    return;
  }
  Pending pending{from, append.record, {}, context_.Now() + append.patience, append.repeated, false};
  if (pending.record.kind == LogRecordKind::kAccepted) {
    pending.record.accepted_at = reader_.LogNow();
  }
  pending.text = EncodeLogRecord(pending.record);
  if (pending.text.size() > kMostBytes) {
    Reply(pending, LogOutcome::kTooLarge);
    return;
  }
  if (reader_.store_out()) {
    Reply(pending, LogOutcome::kNotRecorded);
    return;
  }
  if (queue_.empty()) {
    const Duration window = context_.settings.log_window + Duration(context_.RandomNumber() % kWindowJitter);
    window_until_ = std::max(context_.Now(), last_begun_ + window);
  }
  queue_.push_back(std::move(pending));
}

void LogWriter::Renew(const RequestKey& key) {
  const OpenEntry* open = index_.FindOpen(key);
  if (open != nullptr && !IsQueued(open->accepted)) {
    Pending pending{{}, open->accepted, EncodeLogRecord(open->accepted), context_.Now() + kRenewPatience, false, false};
    queue_.push_back(std::move(pending));
  }
}

bool LogWriter::IsQueued(const LogRecord& record) const {
  const auto same = [&](const Pending& pending) {
    return pending.record.nonce == record.nonce && pending.record.kind == record.kind && !pending.answered;
  };
  return std::any_of(queue_.begin(), queue_.end(), same) ||
         (flight_ && std::any_of(flight_->records.begin(), flight_->records.end(), same));
}

void LogWriter::OnTick() {
  GiveUpLate();
  if (flight_) {
    if (flight_->call == 0 && context_.Now() >= flight_->next_try) {
      ReadBack();
    }
    return;
  }
  const bool due = (!queue_.empty() && context_.Now() >= window_until_) || time_due_;
  if (due && reader_.current()) {
    Compose();
  }
}

// What is still queued was never sent, so it surely is not recorded. Of what is in flight nothing can be said.
void LogWriter::GiveUpLate() {
  std::erase_if(queue_, [&](Pending& pending) {
    const bool late = context_.Now() >= pending.give_up || reader_.store_out();
    if (late) {
      Reply(pending, LogOutcome::kNotRecorded);
    }
    return late;
  });
  if (!flight_) {
    return;
  }
  for (Pending& pending : flight_->records) {
    if (context_.Now() >= pending.give_up && !pending.answered) {
      Reply(pending, LogOutcome::kUnknown);
      pending.answered = true;
    }
  }
}

void LogWriter::Compose() {
  Flight flight;
  std::set<RequestKey> keys;
  size_t bytes = 0;
  std::deque<Pending> later;
  std::vector<std::string> texts;
  for (Pending& pending : queue_) {
    if (!Admit(pending, keys, bytes)) {
      if (!pending.answered) {
        later.push_back(std::move(pending));
      }
      continue;
    }
    texts.push_back(pending.text);
    flight.batch.records.push_back(pending.record);
    flight.records.push_back(std::move(pending));
  }
  queue_ = std::move(later);
  if (flight.records.empty() && !time_due_) {
    return;
  }
  time_due_ = false;
  flight.sequence = reader_.next();
  flight.batch.writer = context_.settings.name;
  flight.batch.nonce = context_.RandomNumber();
  flight.batch.time = reader_.LogNow();
  flight.text = EncodeLogBatch(flight.batch, texts);
  flight.first_sent = context_.Now();
  last_begun_ = flight.first_sent;
  flight_ = std::move(flight);
  Put();
}

// False: not for this batch. `answered` tells that it is settled, else it waits for the next one. One record of a key
// in a batch, so that each is checked against all before it.
bool LogWriter::Admit(Pending& pending, std::set<RequestKey>& keys, size_t& bytes) {
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
    pending.text = EncodeLogRecord(pending.record);
  } else if (const auto presence = index_.Check(pending.record); presence != LogIndex::Presence::kNew) {
    const bool same = presence == LogIndex::Presence::kSame;
    Reply(pending, same ? LogOutcome::kRecorded : LogOutcome::kDuplicate, index_.Find(pending.record.key));
    pending.answered = true;
    return false;
  }
  if (bytes + pending.text.size() > kMostBytes) {
    return false;
  }
  keys.insert(pending.record.key);
  bytes += pending.text.size() + 1;
  return true;
}

void LogWriter::Put() {
  flight_->reading_back = false;
  flight_->call = context_.CallStore(StoreCall{StoreOp::kPut, LogKey(flight_->sequence), flight_->text, 0, 0us});
}

void LogWriter::ReadBack() {
  flight_->reading_back = true;
  flight_->call = context_.ReadStore(LogKey(flight_->sequence));
}

bool LogWriter::OnStore(const StoreEvent& event) {
  if (!flight_ || event.call != flight_->call) {
    return false;
  }
  flight_->call = 0;
  reader_.NoteStore(event.delivery);
  if (flight_->reading_back) {
    OnReadBackReply(event);
  } else {
    OnPutReply(event);
  }
  return true;
}

void LogWriter::OnPutReply(const StoreEvent& event) {
  if (event.delivery == Delivery::kNotSent && !flight_->maybe_sent) {
    GiveBack(LogOutcome::kNotRecorded);
  } else if (event.delivery != Delivery::kAnswered) {
    context_.Pass(Step::kAppendAnswerLost);
    flight_->maybe_sent = true;
    flight_->next_try = context_.Now() + (event.delivery == Delivery::kUnknown ? 0us : kRetry);
  } else if (event.reply.status == StoreStatus::kOk) {
    Win();
  } else {
    ReadBack();
  }
}

void LogWriter::OnReadBackReply(const StoreEvent& event) {
  if (event.delivery != Delivery::kAnswered) {
    flight_->next_try = context_.Now() + kRetry;
    return;
  }
  if (event.reply.status == StoreStatus::kAbsent) {
    // The write may still be on its way: only the same batch may follow it. If too much time has passed, the sequence
    // may have been trimmed: then nothing can be said of the batch any more.
    if (reader_.current()) {
      Put();
      return;
    }
    GiveBack(LogOutcome::kUnknown);
    reader_.Restart();
    return;
  }
  const auto standing = DecodeLogBatch(event.reply.value);
  const bool ours = standing && standing->writer == context_.settings.name && standing->nonce == flight_->batch.nonce;
  if (ours) {
    Win();
  } else {
    Lose(standing.value_or(LogBatch{}));
  }
}

void LogWriter::GiveBack(LogOutcome outcome) {
  Flight flight = std::move(*flight_);
  flight_.reset();
  for (Pending& pending : flight.records) {
    Reply(pending, outcome);
  }
}

void LogWriter::Win() {
  context_.Pass(Step::kGroupWritten);
  Flight flight = std::move(*flight_);
  flight_.reset();
  reader_.Take(flight.sequence, flight.batch, flight.first_sent);
  for (Pending& pending : flight.records) {
    if (pending.record.kind == LogRecordKind::kAccepted && !pending.answered && context_.IsReachable(pending.from)) {
      index_.Confirm(pending.record.key, pending.from);
    }
    Reply(pending, LogOutcome::kRecorded);
  }
}

void LogWriter::Lose(const LogBatch& winner) {
  context_.Pass(Step::kGroupLost);
  Flight flight = std::move(*flight_);
  flight_.reset();
  reader_.Take(flight.sequence, winner, TimePoint{});
  std::erase_if(flight.records, [](const Pending& pending) { return pending.answered; });
  queue_.insert(queue_.begin(), std::make_move_iterator(flight.records.begin()),
                std::make_move_iterator(flight.records.end()));
  window_until_ = context_.Now() + Duration(context_.RandomNumber() % kConflictJitter);
}

void LogWriter::Reply(Pending& pending, LogOutcome outcome, const LogEntry& found) {
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
