#include "cell/group_commit.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kWindow = 20ms;         // A first change waits for others: each call of the store is paid for.
constexpr int kOverdueFactor = 4;          // Usual times of an answer until a copy goes out.
constexpr Duration kOverdueLeast = 100ms;  // Two ways between regions and a busy host.
constexpr Duration kOverdueMost = 700ms;
constexpr int kMostOutstanding = 8;       // Copies of one batch on their way.
constexpr int kSmoothing = 8;             // Weight of what was known against the newest time.
constexpr Duration kFirstBackoff = 30ms;  // After a refusal; doubled up to the longest.
constexpr Duration kMaxBackoff = 100ms;   // A tenth of the shortest objectives.

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
  context_.timers.In(kWindow, [this, alive = alive_] {
    if (*alive) {
      Flush();
    }
  });
}

Duration GroupCommit::stalled_for() const {
  return in_flight_ ? context_.Now() - sent_ : Duration(0);
}

void GroupCommit::Flush() {
  if (in_flight_ || closed_) {
    return;
  }
  requested_ = false;
  batch_ = source_(number_ + 1);
  if (batch_.entries() == 0) {
    if (batch_.stands) {
      batch_.stands();
    }
    return;
  }
  ++number_;
  transaction_ = StoreTransaction{{Expectation{kHeadKey, head_revision_}}, batch_.writes, batch_.removals};
  transaction_.writes.push_back(StoreWrite{kHeadKey, EncodeRecord(HeadRecord{epoch_, number_}), 0});
  in_flight_ = true;
  sent_ = context_.Now();
  backoff_ = kFirstBackoff;
  Send();
}

void GroupCommit::Send() {
  context_.counters.Add("store_commits");
  ++outstanding_;
  copy_sent_ = context_.Now();
  context_.store.Commit(transaction_, [this, alive = alive_, number = number_](const StoreAnswer& answer) {
    // An answer to a copy of a batch that stands already tells nothing new.
    if (*alive && in_flight_ && number == number_) {
      --outstanding_;
      OnAnswer(answer);
    }
  });
  const Duration overdue = std::clamp(usual_ * kOverdueFactor, kOverdueLeast, kOverdueMost);
  context_.timers.In(overdue, [this, alive = alive_, number = number_] {
    if (*alive && in_flight_ && number == number_) {
      SendAgainIfSilent();
    }
  });
}

void GroupCommit::SendAgainIfSilent() {
  if (outstanding_ > 0 && outstanding_ < kMostOutstanding) {
    context_.counters.Add("store_commits_overdue");
    Send();
  }
}

void GroupCommit::OnAnswer(const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kOk) {
    Succeed(answer.revision);
    return;
  }
  if (answer.status == StoreStatus::kConflict) {
    const auto head = std::find_if(answer.items.begin(), answer.items.end(),
                                   [](const StoreItem& item) { return item.key == kHeadKey; });
    const auto record =
        head == answer.items.end() ? tl::unexpected(std::string("no head")) : DecodeRecord<HeadRecord>(head->value);
    if (record && *record == HeadRecord{epoch_, number_}) {
      Succeed(head->revision);  // An earlier sending was carried out and its answer lost.
      return;
    }
    context_.Log("commit", "event=deposed epoch={} batch={} head_epoch={} head_batch={} reason=head_moved", epoch_,
                 number_, record ? record->epoch : 0, record ? record->batch : 0);
    closed_ = true;
    deposed_();
    return;
  }
  context_.counters.Add(fmt::format("store_commit_failures{{status=\"{}\"}}", NameOf(answer.status)));
  context_.Log("commit", "event=commit_retry epoch={} batch={} status={} stalled_ms={}", epoch_, number_,
               NameOf(answer.status), Millis(stalled_for()));
  if (outstanding_ > 0) {
    return;  // A copy may still be answered.
  }
  RetryIn(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void GroupCommit::RetryNow() {
  if (in_flight_ && outstanding_ == 0 && !closed_) {
    Send();
  }
}

void GroupCommit::RetryIn(Duration delay) {
  context_.timers.In(delay, [this, alive = alive_] {
    if (*alive && in_flight_ && outstanding_ == 0) {
      Send();
    }
  });
}

void GroupCommit::Succeed(uint64_t revision) {
  const Duration took = context_.Now() - sent_;
  const Duration answered_in = context_.Now() - copy_sent_;
  usual_ = usual_ == Duration(0) ? answered_in : (usual_ * (kSmoothing - 1) + answered_in) / kSmoothing;
  head_revision_ = revision;
  in_flight_ = false;
  outstanding_ = 0;
  context_.counters.Measure("commit_seconds", "batch", took);
  const Batch batch = std::exchange(batch_, Batch{});
  const std::shared_ptr<bool> alive = alive_;
  if (batch.stands) {
    batch.stands();
  }
  if (*alive && requested_) {
    Flush();
  }
}

}  // namespace hibiscus::cell
