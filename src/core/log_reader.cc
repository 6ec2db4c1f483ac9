#include "core/log_reader.h"

#include <algorithm>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr uint64_t kMostReads = 8;       // Batches read at once while catching up.
constexpr Duration kRetry = 500ms;       // After a call that failed.
constexpr Duration kProbeEvery = 500ms;  // While the store is out.

}  // namespace

std::string LogKey(uint64_t sequence) {
  return fmt::format("once/{}", sequence);
}

void LogReader::OnTick() {
  if (context_.Now() < next_try_) {
    return;
  }
  switch (state_) {
    case State::kFindBase:
    case State::kCheckBase:
      AskBase();
      return;
    case State::kReading:
      FillReads();
      return;
    case State::kAtEnd:
      TickAtEnd();
      return;
  }
}

void LogReader::TickAtEnd() {
  if (!current()) {
    Restart();
    return;
  }
  Watch();
  if (store_out_ && context_.Now() >= next_probe_) {
    next_probe_ = context_.Now() + kProbeEvery;
    AskBatch(next_);
  }
}

void LogReader::Restart() {
  state_ = State::kFindBase;
  base_call_ = 0;
  watch_call_ = 0;
  reads_.clear();
  waiting_.clear();
  absent_ahead_.clear();
}

bool LogReader::current() const {
  return state_ == State::kAtEnd && context_.Now() - end_known_ < context_.settings.log_horizon / 2;
}

void LogReader::AskBase() {
  if (base_call_ != 0) {
    return;
  }
  base_call_ = context_.ReadStore(kLogBaseKey);
}

void LogReader::Watch() {
  if (watch_call_ != 0) {
    return;
  }
  watched_ = Read{next_, context_.Now()};
  watch_call_ = context_.CallStore(StoreCall{StoreOp::kWatch, LogKey(next_), {}, 0, context_.settings.watch_wait});
}

void LogReader::AskBatch(uint64_t sequence) {
  reads_[context_.ReadStore(LogKey(sequence))] = Read{sequence, context_.Now()};
}

void LogReader::FillReads() {
  for (uint64_t sequence = next_; sequence < next_ + kMostReads; ++sequence) {
    const bool known = waiting_.contains(sequence) || absent_ahead_.contains(sequence);
    if (!known && !IsBeingRead(sequence)) {
      AskBatch(sequence);
    }
  }
}

bool LogReader::IsBeingRead(uint64_t sequence) const {
  return std::any_of(reads_.begin(), reads_.end(), [&](const auto& read) { return read.second.sequence == sequence; });
}

bool LogReader::OnStore(const StoreEvent& event) {
  const bool base = event.call == base_call_;
  const bool watch = event.call == watch_call_;
  const auto read = reads_.extract(event.call);
  if (event.call == 0 || (!base && !watch && read.empty())) {
    return false;
  }
  base_call_ = base ? 0 : base_call_;
  watch_call_ = watch ? 0 : watch_call_;
  NoteStore(event.delivery);
  if (event.delivery != Delivery::kAnswered) {
    next_try_ = context_.Now() + kRetry;
  } else if (base) {
    OnBaseReply(event.reply);
  } else {
    OnBatchReply(watch ? watched_ : read.mapped(), event.reply);
  }
  return true;
}

void LogReader::OnBaseReply(const StoreReply& reply) {
  uint64_t base = 0;
  if (reply.status == StoreStatus::kOk) {
    const auto decoded = DecodeLogBase(reply.value);
    if (!decoded) {
      context_.Log("log", fmt::format("the base record is unreadable: {}", decoded.error()));
      next_try_ = context_.Now() + kRetry;
      return;
    }
    base = decoded->base;
  }
  index_.Trim(base);
  if (state_ == State::kCheckBase && base <= next_) {
    state_ = State::kAtEnd;  // Keys go only below the base: next() was absent because nobody wrote it.
    Watch();
    return;
  }
  next_ = std::max(next_, base);
  state_ = State::kReading;
  FillReads();
}

void LogReader::OnBatchReply(const Read& read, const StoreReply& reply) {
  if (read.sequence < next_) {
    return;
  }
  if (reply.status == StoreStatus::kAbsent) {
    OnAbsent(read);
    return;
  }
  const auto batch = DecodeLogBatch(reply.value);
  if (!batch) {
    context_.Log("log", fmt::format("batch {} is unreadable and passed over: {}", read.sequence, batch.error()));
  }
  waiting_[read.sequence] = batch.value_or(LogBatch{});
  ApplyWaiting();
}

void LogReader::OnAbsent(const Read& read) {
  if (read.sequence > next_) {
    absent_ahead_.insert(read.sequence);
    return;
  }
  if (state_ == State::kAtEnd) {
    end_known_ = current() ? std::max(end_known_, read.sent) : end_known_;
    return;
  }
  end_known_ = read.sent;
  reads_.clear();
  waiting_.clear();
  absent_ahead_.clear();
  state_ = State::kCheckBase;
  AskBase();
}

void LogReader::ApplyWaiting() {
  while (!waiting_.empty() && waiting_.begin()->first <= next_) {
    const auto batch = waiting_.extract(waiting_.begin());
    if (batch.key() == next_) {
      index_.Apply(next_, batch.mapped());
      last_batch_ = context_.Now();
      ++next_;
    }
  }
  absent_ahead_.erase(next_);  // Its turn has come: it is asked for once more.
  if (state_ == State::kReading) {
    FillReads();
  } else if (state_ == State::kAtEnd) {
    Watch();
  }
}

void LogReader::Take(uint64_t sequence, const LogBatch& batch, TimePoint absent_at) {
  if (sequence != next_ || state_ != State::kAtEnd) {
    return;
  }
  end_known_ = std::max(end_known_, absent_at);
  waiting_[sequence] = batch;
  ApplyWaiting();
}

}  // namespace hibiscus
