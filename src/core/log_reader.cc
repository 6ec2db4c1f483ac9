#include "core/log_reader.h"

#include <algorithm>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr uint64_t kMaxConcurrentReads = 8;  // While catching up.
constexpr Duration kRetryDelay = 500ms;      // After a failed store call.
constexpr Duration kProbeInterval = 500ms;   // While the store is unavailable.

}  // namespace

std::string LogKey(uint64_t sequence) {
  return fmt::format("once/{}", sequence);
}

void LogReader::OnTick() {
  if (context_.Now() < next_try_) {
    return;
  }
  switch (state_) {
    case State::kReadingBase:
    case State::kVerifyingBase:
      ReadBase();
      return;
    case State::kReadingBatches:
      ReadAhead();
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
  StartWatch();
  if (store_unavailable_ && context_.Now() >= next_probe_) {
    next_probe_ = context_.Now() + kProbeInterval;
    ReadBatch(next_sequence_);
  }
}

void LogReader::Restart() {
  state_ = State::kReadingBase;
  base_call_ = 0;
  watch_call_ = 0;
  reads_.clear();
  buffered_batches_.clear();
  absent_ahead_.clear();
}

bool LogReader::current() const {
  return state_ == State::kAtEnd && context_.Now() - end_verified_at_ < context_.settings.log_horizon / 2;
}

void LogReader::ReadBase() {
  if (base_call_ != 0) {
    return;
  }
  base_call_ = context_.ReadStore(kLogBaseKey);
}

void LogReader::StartWatch() {
  if (watch_call_ != 0) {
    return;
  }
  watch_read_ = BatchRead{next_sequence_, context_.Now()};
  watch_call_ =
      context_.CallStore(StoreCall{StoreOp::kWatch, LogKey(next_sequence_), {}, 0, context_.settings.watch_wait});
}

void LogReader::ReadBatch(uint64_t sequence) {
  reads_[context_.ReadStore(LogKey(sequence))] = BatchRead{sequence, context_.Now()};
}

void LogReader::ReadAhead() {
  for (uint64_t sequence = next_sequence_; sequence < next_sequence_ + kMaxConcurrentReads; ++sequence) {
    const bool is_read = buffered_batches_.contains(sequence) || absent_ahead_.contains(sequence);
    if (!is_read && !IsBeingRead(sequence)) {
      ReadBatch(sequence);
    }
  }
}

bool LogReader::IsBeingRead(uint64_t sequence) const {
  return std::any_of(reads_.begin(), reads_.end(), [&](const auto& read) { return read.second.sequence == sequence; });
}

bool LogReader::OnStore(const StoreEvent& event) {
  const bool is_base = event.call == base_call_;
  const bool is_watch = event.call == watch_call_;
  const auto read = reads_.extract(event.call);
  if (event.call == 0 || (!is_base && !is_watch && read.empty())) {
    return false;
  }
  base_call_ = is_base ? 0 : base_call_;
  watch_call_ = is_watch ? 0 : watch_call_;
  RecordDelivery(event.delivery);
  if (event.delivery != Delivery::kAnswered) {
    next_try_ = context_.Now() + kRetryDelay;
  } else if (is_base) {
    OnBaseReply(event.reply);
  } else {
    OnBatchReply(is_watch ? watch_read_ : read.mapped(), event.reply);
  }
  return true;
}

void LogReader::OnBaseReply(const StoreReply& reply) {
  uint64_t base = 0;
  if (reply.status == StoreStatus::kOk) {
    const auto decoded = DecodeLogBase(reply.value);
    if (!decoded) {
      context_.Log("log", fmt::format("the base record is unreadable: {}", decoded.error()));
      next_try_ = context_.Now() + kRetryDelay;
      return;
    }
    base = decoded->base;
  }
  index_.Trim(base);
  if (state_ == State::kVerifyingBase && base <= next_sequence_) {
    state_ = State::kAtEnd;  // Only keys below the base are deleted: next_sequence() was never written.
    StartWatch();
    return;
  }
  next_sequence_ = std::max(next_sequence_, base);
  state_ = State::kReadingBatches;
  ReadAhead();
}

void LogReader::OnBatchReply(const BatchRead& read, const StoreReply& reply) {
  if (read.sequence < next_sequence_) {
    return;
  }
  if (reply.status == StoreStatus::kAbsent) {
    OnBatchAbsent(read);
    return;
  }
  const auto batch = DecodeLogBatch(reply.value);
  if (!batch) {
    context_.Log("log", fmt::format("batch {} is unreadable and skipped: {}", read.sequence, batch.error()));
  }
  buffered_batches_[read.sequence] = batch.value_or(LogBatch{});
  ApplyBuffered();
}

void LogReader::OnBatchAbsent(const BatchRead& read) {
  if (read.sequence > next_sequence_) {
    absent_ahead_.insert(read.sequence);
    return;
  }
  if (state_ == State::kAtEnd) {
    end_verified_at_ = current() ? std::max(end_verified_at_, read.sent_at) : end_verified_at_;
    return;
  }
  end_verified_at_ = read.sent_at;
  reads_.clear();
  buffered_batches_.clear();
  absent_ahead_.clear();
  state_ = State::kVerifyingBase;
  ReadBase();
}

void LogReader::ApplyBuffered() {
  while (!buffered_batches_.empty() && buffered_batches_.begin()->first <= next_sequence_) {
    const auto batch = buffered_batches_.extract(buffered_batches_.begin());
    if (batch.key() == next_sequence_) {
      index_.Apply(next_sequence_, batch.mapped());
      last_batch_at_ = context_.Now();
      ++next_sequence_;
    }
  }
  absent_ahead_.erase(next_sequence_);  // Now next in order: read it again.
  if (state_ == State::kReadingBatches) {
    ReadAhead();
  } else if (state_ == State::kAtEnd) {
    StartWatch();
  }
}

void LogReader::ApplyAtEnd(uint64_t sequence, const LogBatch& batch, TimePoint absent_at) {
  if (sequence != next_sequence_ || state_ != State::kAtEnd) {
    return;
  }
  end_verified_at_ = std::max(end_verified_at_, absent_at);
  buffered_batches_[sequence] = batch;
  ApplyBuffered();
}

}  // namespace hibiscus
