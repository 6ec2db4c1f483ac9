#include "cell/group_commit.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kWindow = 8ms;         // A first change waits for others; twice the store's usual answer time.
constexpr Duration kFirstBackoff = 30ms;  // After a refusal; doubled up to the longest.
constexpr Duration kLongestBackoff = 500ms;

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
  context_.store.Commit(transaction_, [this, alive = alive_](const StoreAnswer& answer) {
    if (*alive) {
      OnAnswer(answer);
    }
  });
}

void GroupCommit::OnAnswer(const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kOk) {
    Succeed(answer.revision);
    return;
  }
  if (answer.status == StoreStatus::kConflict) {
    const auto head = std::find_if(answer.items.begin(), answer.items.end(),
                                   [](const StoreItem& item) { return item.key == kHeadKey; });
    const auto record = head == answer.items.end() ? tl::unexpected(std::string("no head"))
                                                   : DecodeRecord<HeadRecord>(head->value);
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
  RetryIn(backoff_);
  backoff_ = std::min(backoff_ * 2, kLongestBackoff);
}

void GroupCommit::RetryIn(Duration delay) {
  context_.timers.In(delay, [this, alive = alive_] {
    if (*alive) {
      Send();
    }
  });
}

void GroupCommit::Succeed(uint64_t revision) {
  head_revision_ = revision;
  in_flight_ = false;
  context_.counters.Add("store_commit_seconds", std::chrono::duration<double>(context_.Now() - sent_).count());
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
