#include "core/log_trimmer.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kMinRoundInterval = 10s;
constexpr uint64_t kMaxRoundJitterUs = 10'000'000;  // Spreads the rounds of concurrent writers.
constexpr uint64_t kMinBatchesToTrim = 16;          // A round for fewer does not pay for its store calls.
constexpr uint64_t kMaxDeletesPerRound = 1000;
constexpr size_t kMaxConcurrentDeletes = 4;
// Open requests of another data centre that are older than this many horizons are renewed on its behalf.
constexpr int kAbandonedAfterHorizons = 2;

}  // namespace

void LogTrimmer::OnTick() {
  if (state_ != State::kIdle || context_.Now() < next_round_ || !reader_.current()) {
    return;
  }
  next_round_ = context_.Now() + kMinRoundInterval + Duration(context_.RandomNumber() % kMaxRoundJitterUs);
  target_.base = ComputeTargetBase();
  if (target_.base >= base_.base + kMinBatchesToTrim) {
    context_.ReportStep(Step::kLogTrim);
    StartCall(State::kReadingBase, StoreCall{StoreOp::kGet, kLogBaseKey, {}, 0, 0us});
  }
}

// The base may advance to the first batch within the horizon, but not past the record of an open request. Renews the
// records that hold the base back.
uint64_t LogTrimmer::ComputeTargetBase() {
  const Duration now = reader_.LogTime();
  const Duration horizon = context_.settings.log_horizon;
  uint64_t first_retained = index_.FirstSequenceSince(now - horizon, reader_.next_sequence());
  uint64_t oldest_required = first_retained;
  for (const auto& [key, open] : index_.open_entries()) {
    if (open.sequence >= first_retained) {
      continue;
    }
    oldest_required = std::min(oldest_required, open.sequence);
    const bool is_own = open.accepted.data_centre == context_.settings.data_centre;
    if (is_own || now - open.accepted.accepted_at > kAbandonedAfterHorizons * horizon) {
      writer_.RenewAccepted(key);
    }
  }
  return oldest_required;
}

void LogTrimmer::StartCall(State state, StoreCall call) {
  state_ = state;
  base_call_ = context_.CallStore(std::move(call));
}

bool LogTrimmer::OnStore(const StoreEvent& event) {
  const bool answered = event.delivery == Delivery::kAnswered;
  if (pending_deletes_.erase(event.call) > 0) {
    reader_.RecordDelivery(event.delivery);
    if (!answered) {
      EndRound();  // The next round deletes the same keys again.
    } else if (state_ == State::kDeleting) {
      SendDeletes();
    }
    return true;
  }
  if (event.call == 0 || event.call != base_call_) {
    return false;
  }
  base_call_ = 0;
  reader_.RecordDelivery(event.delivery);
  if (!answered || state_ == State::kAdvancingBase) {
    EndRound();
  } else {
    OnBaseRead(event.reply);
  }
  return true;
}

void LogTrimmer::OnBaseRead(const StoreReply& reply) {
  const auto base = reply.status == StoreStatus::kOk ? DecodeLogBase(reply.value) : LogBase{};
  if (!base) {
    EndRound();
    return;
  }
  base_ = *base;
  base_revision_ = reply.revision;
  index_.Trim(base_.base);
  if (target_.base < base_.base + kMinBatchesToTrim) {
    EndRound();  // Another writer has already trimmed the log.
    return;
  }
  target_.deleted = std::min(base_.base, base_.deleted + kMaxDeletesPerRound);
  next_delete_ = base_.deleted;
  state_ = State::kDeleting;
  SendDeletes();
}

void LogTrimmer::SendDeletes() {
  while (next_delete_ < target_.deleted && pending_deletes_.size() < kMaxConcurrentDeletes) {
    pending_deletes_.insert(context_.CallStore(StoreCall{StoreOp::kDelete, LogKey(next_delete_), {}, 0, 0us}));
    ++next_delete_;
  }
  if (pending_deletes_.empty()) {
    AdvanceBase();
  }
}

void LogTrimmer::AdvanceBase() {
  HIBISCUS_INVARIANT(target_.base >= base_.base && target_.deleted <= base_.base, LogKey(target_.base),
                     "The base must not decrease, and only keys below the stored base may be deleted.");
  StartCall(State::kAdvancingBase, StoreCall{StoreOp::kPut, kLogBaseKey, EncodeLogBase(target_), base_revision_, 0us});
}

void LogTrimmer::EndRound() {
  state_ = State::kIdle;
  pending_deletes_.clear();
  base_call_ = 0;
}

}  // namespace hibiscus
