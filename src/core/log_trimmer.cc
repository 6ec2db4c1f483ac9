#include "core/log_trimmer.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kRoundEvery = 10s;
constexpr uint64_t kRoundJitter = 10'000'000;  // Microseconds by which rounds of several writers differ.
constexpr uint64_t kFewestBatches = 16;        // A round for less is not worth its calls.
constexpr uint64_t kMostDeletes = 1000;        // In one round.
constexpr size_t kMostDeletesAtOnce = 4;
constexpr int kAbandonedAfter = 2;  // Horizons after which another data centre's open requests are renewed for it.

}  // namespace

void LogTrimmer::OnTick() {
  if (state_ != State::kIdle || context_.Now() < next_round_ || !reader_.current()) {
    return;
  }
  next_round_ = context_.Now() + kRoundEvery + Duration(context_.RandomNumber() % kRoundJitter);
  target_.base = Target();
  if (target_.base >= base_.base + kFewestBatches) {
    context_.Pass(Step::kLogTrim);
    Call(State::kReadingBase, StoreCall{StoreOp::kGet, kLogBaseKey, {}, 0, 0us});
  }
}

// The base may move up to the first batch inside the horizon, but not past an open request.
uint64_t LogTrimmer::Target() {
  const Duration now = reader_.LogNow();
  const Duration horizon = context_.settings.log_horizon;
  uint64_t target = index_.FirstSince(now - horizon, reader_.next());
  uint64_t oldest = target;
  for (const auto& [key, open] : index_.open()) {
    if (open.sequence >= target) {
      continue;
    }
    oldest = std::min(oldest, open.sequence);
    const bool own = open.accepted.data_centre == context_.settings.data_centre;
    if (own || now - open.accepted.accepted_at > kAbandonedAfter * horizon) {
      writer_.Renew(key);
    }
  }
  return oldest;
}

void LogTrimmer::Call(State state, StoreCall call) {
  state_ = state;
  call_ = context_.CallStore(std::move(call));
}

bool LogTrimmer::OnStore(const StoreEvent& event) {
  const bool answered = event.delivery == Delivery::kAnswered;
  if (deletes_.erase(event.call) > 0) {
    reader_.NoteStore(event.delivery);
    if (!answered) {
      EndRound();  // The next round deletes the same keys again.
    } else if (state_ == State::kDeleting) {
      Delete();
    }
    return true;
  }
  if (event.call == 0 || event.call != call_) {
    return false;
  }
  call_ = 0;
  reader_.NoteStore(event.delivery);
  if (!answered || state_ == State::kMovingBase) {
    EndRound();
  } else {
    OnBase(event.reply);
  }
  return true;
}

void LogTrimmer::OnBase(const StoreReply& reply) {
  const auto base = reply.status == StoreStatus::kOk ? DecodeLogBase(reply.value) : LogBase{};
  if (!base) {
    EndRound();
    return;
  }
  base_ = *base;
  base_revision_ = reply.revision;
  index_.Trim(base_.base);
  if (target_.base < base_.base + kFewestBatches) {
    EndRound();  // Another writer was here before.
    return;
  }
  target_.deleted = std::min(base_.base, base_.deleted + kMostDeletes);
  next_delete_ = base_.deleted;
  state_ = State::kDeleting;
  Delete();
}

void LogTrimmer::Delete() {
  while (next_delete_ < target_.deleted && deletes_.size() < kMostDeletesAtOnce) {
    deletes_.insert(context_.CallStore(StoreCall{StoreOp::kDelete, LogKey(next_delete_), {}, 0, 0us}));
    ++next_delete_;
  }
  if (deletes_.empty()) {
    MoveBase();
  }
}

void LogTrimmer::MoveBase() {
  HIBISCUS_INVARIANT(target_.base >= base_.base && target_.deleted <= base_.base, LogKey(target_.base),
                     "The base only grows, and only keys below the base that stands may be deleted.");
  Call(State::kMovingBase, StoreCall{StoreOp::kPut, kLogBaseKey, EncodeLogBase(target_), base_revision_, 0us});
}

void LogTrimmer::EndRound() {
  state_ = State::kIdle;
  deletes_.clear();
  call_ = 0;
}

}  // namespace hibiscus
