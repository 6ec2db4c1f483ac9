#include "cell/group_commit.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

// Delay before a batch is sent, so that it collects further changes: each call to the store has a cost.
constexpr Duration kBatchWindow = 20ms;
// A copy of an unanswered batch is sent after this multiple of the usual answer time, within the two bounds below.
constexpr int kResendDelayFactor = 4;
constexpr Duration kMinResendDelay = 100ms;  // Covers a round trip between regions and a busy host.
constexpr Duration kMaxResendDelay = 700ms;
constexpr int kMaxUnansweredCopies = 8;  // Of one batch.
// Inverse of the weight of a new sample in the smoothed answer time.
constexpr int kSmoothingWeight = 8;
constexpr Duration kInitialBackoff = 30ms;  // Retry delay after a failure, doubled up to kMaxBackoff.
constexpr Duration kMaxBackoff = 100ms;     // A tenth of the shortest objectives.

}  // namespace

GroupCommit::GroupCommit(Context& context,
                         uint64_t epoch,
                         uint64_t head_revision,
                         Source source,
                         std::function<void()> deposed)
    : context_(context),
      epoch_(epoch),
      head_revision_(head_revision),
      source_(std::move(source)),
      deposed_(std::move(deposed)) {}

GroupCommit::~GroupCommit() {
  *alive_ = false;
}

void GroupCommit::Request() {
  if (requested_ || closed_) {
    return;
  }
  requested_ = true;
  if (in_flight_) {
    return;
  }
  context_.timers.In(kBatchWindow, [this, alive = alive_] {
    if (*alive) {
      Flush();
    }
  });
}

Duration GroupCommit::stalled_for() const {
  return in_flight_ ? context_.Now() - first_sent_ : Duration(0);
}

void GroupCommit::Flush() {
  if (in_flight_ || closed_) {
    return;
  }
  requested_ = false;
  batch_ = source_(batch_number_ + 1);
  if (batch_.entries() == 0) {
    if (batch_.on_committed) {
      batch_.on_committed();
    }
    return;
  }
  ++batch_number_;
  transaction_ = StoreTransaction{{RevisionCheck{kHeadKey, head_revision_}}, batch_.writes, batch_.removals};
  transaction_.writes.push_back(StoreWrite{kHeadKey, EncodeRecord(HeadRecord{epoch_, batch_number_}), 0});
  in_flight_ = true;
  first_sent_ = context_.Now();
  backoff_ = kInitialBackoff;
  Send();
}

void GroupCommit::Send() {
  context_.counters.Add("store_commits");
  ++unanswered_copies_;
  last_sent_ = context_.Now();
  context_.store.Commit(transaction_, [this, alive = alive_, batch_number = batch_number_](const StoreAnswer& answer) {
    // Answers to copies of a batch that is already committed are ignored.
    if (*alive && in_flight_ && batch_number == batch_number_) {
      --unanswered_copies_;
      OnAnswer(answer);
    }
  });
  const Duration resend_delay =
      std::clamp(smoothed_answer_time_ * kResendDelayFactor, kMinResendDelay, kMaxResendDelay);
  context_.timers.In(resend_delay, [this, alive = alive_, batch_number = batch_number_] {
    if (*alive && in_flight_ && batch_number == batch_number_) {
      ResendIfUnanswered();
    }
  });
}

void GroupCommit::ResendIfUnanswered() {
  if (unanswered_copies_ > 0 && unanswered_copies_ < kMaxUnansweredCopies) {
    context_.counters.Add("store_commits_overdue");
    Send();
  }
}

void GroupCommit::OnAnswer(const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kOk) {
    CompleteBatch(answer.revision);
    return;
  }
  if (answer.status == StoreStatus::kConflict) {
    const auto head = std::find_if(answer.items.begin(), answer.items.end(),
                                   [](const StoreItem& item) { return item.key == kHeadKey; });
    const auto record =
        head == answer.items.end() ? tl::unexpected(std::string("no head")) : DecodeRecord<HeadRecord>(head->value);
    if (record && *record == HeadRecord{epoch_, batch_number_}) {
      CompleteBatch(head->revision);  // An earlier copy was committed and its answer was lost.
      return;
    }
    context_.Log("commit", "event=deposed epoch={} batch={} head_epoch={} head_batch={} reason=head_moved", epoch_,
                 batch_number_, record ? record->epoch : 0, record ? record->batch : 0);
    closed_ = true;
    deposed_();
    return;
  }
  context_.counters.Add(fmt::format("store_commit_failures{{status=\"{}\"}}", NameOf(answer.status)));
  context_.Log("commit", "event=commit_retry epoch={} batch={} status={} stalled_ms={}", epoch_, batch_number_,
               NameOf(answer.status), Millis(stalled_for()));
  if (unanswered_copies_ > 0) {
    return;  // Another copy may still be answered.
  }
  ScheduleRetry(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void GroupCommit::RetryNow() {
  if (in_flight_ && unanswered_copies_ == 0 && !closed_) {
    Send();
  }
}

void GroupCommit::ScheduleRetry(Duration delay) {
  context_.timers.In(delay, [this, alive = alive_] {
    if (*alive && in_flight_ && unanswered_copies_ == 0) {
      Send();
    }
  });
}

void GroupCommit::CompleteBatch(uint64_t revision) {
  const Duration commit_time = context_.Now() - first_sent_;
  const Duration answer_time = context_.Now() - last_sent_;
  smoothed_answer_time_ = smoothed_answer_time_ == Duration(0)
                              ? answer_time
                              : (smoothed_answer_time_ * (kSmoothingWeight - 1) + answer_time) / kSmoothingWeight;
  head_revision_ = revision;
  in_flight_ = false;
  unanswered_copies_ = 0;
  context_.counters.RecordDuration("commit_seconds", "batch", commit_time);
  const Batch batch = std::exchange(batch_, Batch{});
  const std::shared_ptr<bool> alive = alive_;
  if (batch.on_committed) {
    batch.on_committed();
  }
  if (*alive && requested_) {
    Flush();
  }
}

}  // namespace hibiscus::cell
