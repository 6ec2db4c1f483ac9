#include "cell/prefix_watch.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kWatchTimeout = 2500ms;  // A dead connection is detected shortly after this.
constexpr Duration kRetryDelay = 150ms;     // After a failed call.

}  // namespace

PrefixWatch::PrefixWatch(Context& context, std::string prefix, OnReset on_reset, OnChange on_change)
    : context_(context), prefix_(std::move(prefix)), on_reset_(std::move(on_reset)), on_change_(std::move(on_change)) {}

void PrefixWatch::RetryLater(std::function<void()> retry) {
  context_.timers.In(kRetryDelay, [alive = alive_, retry = std::move(retry)] {
    if (*alive) {
      retry();
    }
  });
}

void PrefixWatch::OnFailure(const char* operation, StoreStatus status) {
  context_.counters.Add(fmt::format("store_watch_failures{{status=\"{}\"}}", NameOf(status)));
  if (!failing_) {
    failing_ = true;
    context_.Log("store", "event=dependency_lost what={} prefix={} status={} revision={} silent_ms={}", operation,
                 prefix_, NameOf(status), revision_, Millis(silent_for()));
  }
}

void PrefixWatch::ReadPage(const std::string& after) {
  if (after.empty()) {
    items_.clear();
  }
  context_.store.Range(prefix_, after, [this, alive = alive_, after, sent = context_.Now()](const StoreAnswer& answer) {
    if (*alive) {
      OnPage(answer, after, sent);
    }
  });
}

void PrefixWatch::OnPage(const StoreAnswer& answer, const std::string& after, TimePoint sent) {
  if (answer.status != StoreStatus::kOk) {
    OnFailure("read", answer.status);
    RetryLater([this, after] { ReadPage(after); });
    return;
  }
  if (after.empty()) {
    first_page_revision_ = answer.revision;
  }
  round_trip_ = context_.Now() - sent;
  last_answer_at_ = context_.Now();
  items_.insert(items_.end(), answer.items.begin(), answer.items.end());
  if (answer.has_more && !answer.items.empty()) {
    ReadPage(answer.items.back().key);
    return;
  }
  // The pages are not a snapshot: changes after the first page may be reported twice, which is harmless.
  revision_ = first_page_revision_;
  on_reset_(std::exchange(items_, {}));
  Watch();
}

void PrefixWatch::Watch() {
  context_.store.Watch(prefix_, revision_, kWatchTimeout, [this, alive = alive_](const StoreAnswer& answer) {
    if (*alive) {
      OnChanges(answer);
    }
  });
}

void PrefixWatch::OnChanges(const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kHistoryLost) {
    context_.Log("store", "event=history_lost prefix={} revision={} silent_ms={}", prefix_, revision_,
                 Millis(silent_for()));
    ReadPage("");
    return;
  }
  if (answer.status != StoreStatus::kOk) {
    OnFailure("watch", answer.status);
    RetryLater([this] { Watch(); });
    return;
  }
  if (failing_) {
    failing_ = false;
    context_.Log("store", "event=dependency_regained prefix={} revision={} silent_ms={}", prefix_, answer.revision,
                 Millis(silent_for()));
  }
  last_answer_at_ = context_.Now();
  for (const StoreItem& item : answer.items) {
    on_change_(item);
    revision_ = std::max(revision_, item.revision);
  }
  revision_ = std::max(revision_, answer.revision);
  Watch();
}

}  // namespace hibiscus::cell
