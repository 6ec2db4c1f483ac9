#include "cell/prefix_watch.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kWatchWait = 2500ms;  // A connection that went silent is noticed a little later than this.
constexpr Duration kTryAgain = 150ms;    // After a call without a usable answer.

}  // namespace

PrefixWatch::PrefixWatch(Context& context, std::string prefix, OnAll on_all, OnChange on_change)
    : context_(context), prefix_(std::move(prefix)), on_all_(std::move(on_all)), on_change_(std::move(on_change)) {}

void PrefixWatch::Again(std::function<void()> work) {
  context_.timers.In(kTryAgain, [alive = alive_, work = std::move(work)] {
    if (*alive) {
      work();
    }
  });
}

void PrefixWatch::Failed(const char* what, StoreStatus status) {
  context_.counters.Add(fmt::format("store_watch_failures{{status=\"{}\"}}", NameOf(status)));
  if (!failing_) {
    failing_ = true;
    context_.Log("store", "event=dependency_lost what={} prefix={} status={} revision={}", what, prefix_,
                 NameOf(status), revision_);
  }
}

void PrefixWatch::Read(const std::string& after) {
  if (after.empty()) {
    pages_.clear();
  }
  context_.store.Range(prefix_, after, [this, alive = alive_, after, sent = context_.Now()](const StoreAnswer& answer) {
    if (*alive) {
      OnPage(answer, after, sent);
    }
  });
}

void PrefixWatch::OnPage(const StoreAnswer& answer, const std::string& after, TimePoint sent) {
  if (answer.status != StoreStatus::kOk) {
    Failed("read", answer.status);
    Again([this, after] { Read(after); });
    return;
  }
  round_trip_ = context_.Now() - sent;
  pages_.insert(pages_.end(), answer.items.begin(), answer.items.end());
  if (answer.has_more && !answer.items.empty()) {
    Read(answer.items.back().key);
    return;
  }
  // Pages are no snapshot: changes since the first page may be seen twice, which is harmless.
  revision_ = answer.revision;
  on_all_(std::exchange(pages_, {}));
  Watch();
}

void PrefixWatch::Watch() {
  context_.store.Watch(prefix_, revision_, kWatchWait, [this, alive = alive_](const StoreAnswer& answer) {
    if (*alive) {
      OnChanges(answer);
    }
  });
}

void PrefixWatch::OnChanges(const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kHistoryLost) {
    context_.Log("store", "event=history_lost prefix={} revision={}", prefix_, revision_);
    Read("");
    return;
  }
  if (answer.status != StoreStatus::kOk) {
    Failed("watch", answer.status);
    Again([this] { Watch(); });
    return;
  }
  if (failing_) {
    failing_ = false;
    context_.Log("store", "event=dependency_regained prefix={} revision={}", prefix_, answer.revision);
  }
  for (const StoreItem& item : answer.items) {
    on_change_(item);
    revision_ = std::max(revision_, item.revision);
  }
  revision_ = std::max(revision_, answer.revision);
  Watch();
}

}  // namespace hibiscus::cell
