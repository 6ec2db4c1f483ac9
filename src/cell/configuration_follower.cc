#include "cell/configuration_follower.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kRetryDelay = 150ms;        // After a failed call.
constexpr size_t kMaxUnansweredReads = 2;      // One may be on a dead connection.
constexpr size_t kMaxUnansweredChecks = 3;     // One over any connection, two over new ones, of which one is replaced.
constexpr Duration kMinCheckInterval = 200ms;  // All hosts share the store's limits on calls.
// Time without any part of an answer after which the connection of a call may be dead.
constexpr Duration kAnswerTimeout = 250ms;
// Time without a further part of an answer after which another call may take its place.
constexpr Duration kStallTimeout = 500ms;
// Time in which nothing arrives from the store after which a caller is asked to come back. Covers two checks.
constexpr Duration kConfirmTimeout = 600ms;

}  // namespace

ConfigurationFollower::ConfigurationFollower(Context& context, Apply apply, Duration wait)
    : context_(context), apply_(std::move(apply)), wait_(wait), requests_(context, [this] { CheckRequests(); }) {}

void ConfigurationFollower::Begin() {
  SendNext();
}

void ConfigurationFollower::Tick() {
  if (IsArriving()) {
    return;
  }
  if (calls_.empty()) {
    SendNext();
  } else if (item_revision_ == 0) {
    SendOverdueRead();
  } else if (check_next_ || IsWatchOverdue() || HasStalledCall()) {
    Check();
  }
}

// --- Calls to the store ---

void ConfigurationFollower::Send(Kind kind, StoreConnection connection) {
  const std::string key = context_.directory.configuration_key();
  const auto call = calls_.insert(calls_.end(), Call{kind, connection, 0, context_.Now(), std::nullopt});
  const StorePort::Progress on_progress = [this, alive = alive_, call] {
    if (*alive) {
      OnProgress(call);
    }
  };
  const StorePort::Done on_answer = [this, alive = alive_, call](const StoreAnswer& answer) {
    if (*alive) {
      OnAnswer(call, answer);
    }
  };
  switch (kind) {
    case Kind::kRead:
      call->number = context_.store.ReadLarge(key, on_progress, on_answer);
      break;
    case Kind::kWatch:
      call->number = context_.store.WatchLarge(key, store_revision_, wait_, on_progress, on_answer);
      break;
    case Kind::kCheck:
      context_.counters.Add("configuration_reads");
      last_check_at_ = context_.Now();
      call->number = context_.store.ReadLargeIfChanged(key, item_revision_, connection, on_progress, on_answer);
      break;
  }
}

void ConfigurationFollower::SendNext() {
  const Kind kind = item_revision_ > 0 && check_next_             ? Kind::kCheck
                    : item_revision_ == 0 || store_revision_ == 0 ? Kind::kRead
                                                                  : Kind::kWatch;
  if (!IsArriving() && CallCount(kind) == 0) {
    Send(kind);
  }
}

// A check without an answer is joined by others over new connections, as its own may be dead. Their number is limited:
// each that is answered begins to send a newer version. The newest is replaced, and the others have the time that an
// answer takes to begin over a crowded link.
void ConfigurationFollower::Check() {
  const bool too_soon = last_check_at_ && context_.Now() - *last_check_at_ < kMinCheckInterval;
  if (item_revision_ == 0 || too_soon || IsArriving()) {
    return;
  }
  if (CallCount(Kind::kCheck) == kMaxUnansweredChecks) {
    const auto newest =
        std::find_if(calls_.rbegin(), calls_.rend(), [](const Call& call) { return call.kind == Kind::kCheck; });
    if (context_.Now() - newest->sent_at < kAnswerTimeout) {
      return;
    }
    CancelCall(std::prev(newest.base()));
  }
  Send(Kind::kCheck, CallCount(Kind::kCheck) == 0 ? StoreConnection::kAny : StoreConnection::kNew);
}

void ConfigurationFollower::SendOverdueRead() {
  const bool overdue = std::all_of(calls_.begin(), calls_.end(), [this](const Call& call) {
    return context_.Now() - call.sent_at >= kAnswerTimeout;
  });
  if (overdue && CallCount(Kind::kRead) < kMaxUnansweredReads) {
    Send(Kind::kRead);
  }
}

void ConfigurationFollower::OnProgress(Calls::iterator call) {
  if (!call->arriving_since) {
    if (IsArriving()) {
      CancelCall(call);  // Brings what another call already brings.
      return;
    }
    CancelAllExcept(&*call);
    call->arriving_since = context_.Now();
  }
  last_arrival_at_ = context_.Now();
}

void ConfigurationFollower::CancelCall(Calls::iterator call) {
  context_.counters.Add("configuration_calls_cancelled");
  context_.Log("config", "event=cancelled kind={} sent_ms={} arriving_ms={}", NameOf(call->kind),
               Millis(context_.Now() - call->sent_at), ArrivingMillis(*call));
  context_.store.Cancel(call->number);
  calls_.erase(call);
}

void ConfigurationFollower::CancelAllExcept(const Call* kept) {
  for (auto call = calls_.begin(); call != calls_.end();) {
    const auto next = std::next(call);
    if (&*call != kept) {
      CancelCall(call);
    }
    call = next;
  }
}

void ConfigurationFollower::OnAnswer(Calls::iterator answered, const StoreAnswer& answer) {
  const Call call = *answered;
  calls_.erase(answered);
  LogAnswer(call, answer);
  if (answer.status == StoreStatus::kHistoryLost) {
    check_next_ = true;
    store_revision_ = 0;
  } else if (answer.status == StoreStatus::kOk) {
    OnSuccess(call, answer);
  } else {
    OnFailure(answer.status);
    return;
  }
  SendNext();
}

void ConfigurationFollower::OnSuccess(const Call& call, const StoreAnswer& answer) {
  if (failing_) {
    failing_ = false;
    context_.Log("store", "event=dependency_regained prefix={} revision={} silent_ms={}",
                 context_.directory.configuration_key(), answer.revision, Millis(silent_for()));
  }
  if (call.kind != Kind::kWatch && IsWatchOverdue()) {
    CancelAllExcept(nullptr);  // The connection of the watch is dead.
  }
  last_answer_at_ = context_.Now();
  check_next_ = call.arriving_since.has_value();
  ApplyNewest(answer);
  store_revision_ = std::max(store_revision_, answer.revision);
  if (!in_force_) {
    return;
  }
  std::optional<TimePoint>& newest = call.kind == Kind::kWatch ? watched_at_ : confirmed_at_;
  newest = std::max(newest.value_or(call.sent_at), call.sent_at);
  if (call.kind == Kind::kWatch) {
    return;
  }
  requests_.Reply(true, [&](const Requests::Request& request) { return request.made_at <= call.sent_at; });
}

void ConfigurationFollower::ApplyNewest(const StoreAnswer& answer) {
  const StoreItem* newest = nullptr;
  for (const StoreItem& item : answer.items) {
    const bool is_newer = item.revision > (newest == nullptr ? item_revision_ : newest->revision);
    if (!item.removed && item.key == context_.directory.configuration_key() && is_newer) {
      newest = &item;
    }
  }
  if (newest == nullptr) {
    return;
  }
  CancelAllExcept(nullptr);  // They would bring the same version again.
  item_revision_ = newest->revision;
  store_revision_ = std::max(store_revision_, newest->revision);
  in_force_ = apply_(*newest);
}

// The watch follows once a check is answered: one that is sent while the store is silent may wait on a dead connection
// long after the store is back.
void ConfigurationFollower::OnFailure(StoreStatus status) {
  check_next_ = true;
  context_.counters.Add(fmt::format("store_watch_failures{{status=\"{}\"}}", cell::NameOf(status)));
  if (!failing_ && status != StoreStatus::kNotFound) {  // Not found: the operator has not published any version yet.
    failing_ = true;
    context_.Log("store", "event=dependency_lost what=configuration prefix={} status={} revision={} silent_ms={}",
                 context_.directory.configuration_key(), cell::NameOf(status), store_revision_, Millis(silent_for()));
  }
  context_.timers.In(kRetryDelay, [this, alive = alive_] {
    if (*alive) {
      SendNext();
    }
  });
}

// A line for each answer that took bandwidth or failed; the others are the usual ones.
void ConfigurationFollower::LogAnswer(const Call& call, const StoreAnswer& answer) {
  const bool is_empty = answer.status == StoreStatus::kOk && answer.items.empty();
  if (is_empty || answer.status == StoreStatus::kNotFound) {
    return;
  }
  size_t bytes = 0;
  for (const StoreItem& item : answer.items) {
    bytes += item.value.size();
  }
  const TimePoint now = context_.Now();
  context_.counters.Add("configuration_bytes", static_cast<double>(bytes));
  context_.Log("config", "event=answer kind={} status={} versions={} bytes={} took_ms={} arriving_ms={} others={}",
               NameOf(call.kind), cell::NameOf(answer.status), answer.items.size(), bytes, Millis(now - call.sent_at),
               ArrivingMillis(call), calls_.size());
}

const char* ConfigurationFollower::NameOf(Kind kind) {
  constexpr const char* kNames[] = {"read", "watch", "check"};
  return kNames[static_cast<size_t>(kind)];
}

long long ConfigurationFollower::ArrivingMillis(const Call& call) const {
  return call.arriving_since ? Millis(context_.Now() - *call.arriving_since) : 0;
}

size_t ConfigurationFollower::CallCount(Kind kind) const {
  return static_cast<size_t>(
      std::count_if(calls_.begin(), calls_.end(), [kind](const Call& call) { return call.kind == kind; }));
}

bool ConfigurationFollower::IsArriving() const {
  return context_.Now() - last_arrival_at_ < kStallTimeout &&
         std::any_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.arriving_since.has_value(); });
}

bool ConfigurationFollower::HasStalledCall() const {
  return !IsArriving() &&
         std::any_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.arriving_since.has_value(); });
}

bool ConfigurationFollower::IsWatchOverdue() const {
  return std::any_of(calls_.begin(), calls_.end(), [this](const Call& call) {
    return call.kind == Kind::kWatch && !call.arriving_since && context_.Now() - call.sent_at > wait_ + kAnswerTimeout;
  });
}

// --- Requests for a confirmation ---

void ConfigurationFollower::Require(TimePoint deadline, Done done) {
  Check();
  requests_.Add(deadline, std::move(done));
}

void ConfigurationFollower::CheckRequests() {
  const TimePoint next = context_.Now() + Requests::kCheckInterval;
  const bool arriving = IsArriving();
  requests_.Reply(false, [&](const Requests::Request& request) {
    const TimePoint waits_since = std::max(request.made_at, last_arrival_at_);
    return next > request.deadline || (!arriving && next > waits_since + kConfirmTimeout);
  });
  if (requests_.empty()) {
    return;
  }
  // The newest check does not confirm requests that came after it was sent.
  const bool unchecked = !last_check_at_ || requests_.newest_made_at() > *last_check_at_;
  if (unchecked || context_.Now() - *last_check_at_ >= kAnswerTimeout) {
    Check();
  }
}

std::optional<Duration> ConfigurationFollower::confirmed_age() const {
  return confirmed_at_ ? std::optional(context_.Now() - *confirmed_at_) : std::nullopt;
}

std::optional<Duration> ConfigurationFollower::age() const {
  const std::optional<TimePoint> newest = std::max(watched_at_, confirmed_at_);  // Empty is less than any time.
  return newest ? std::optional(context_.Now() - *newest) : std::nullopt;
}

}  // namespace hibiscus::cell
