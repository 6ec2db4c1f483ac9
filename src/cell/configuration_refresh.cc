#include "cell/configuration_refresh.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscus::cell {

namespace {

constexpr Duration kMinReadInterval = 100ms;  // All hosts share the store's limit on reads.
constexpr Duration kReadTimeout = 250ms;      // Then another read is sent: the connection may be dead.
// Time without an answer from the store after which a caller is asked to come back. Covers two reads.
constexpr Duration kConfirmTimeout = 600ms;
constexpr Duration kCheckInterval = 50ms;  // While requests wait.

}  // namespace

void ConfigurationRefresh::Require(TimePoint deadline, Done done) {
  const TimePoint now = context_.Now();
  requests_.push_back(Request{now, std::min(deadline, now + kConfirmTimeout), std::move(done)});
  if (requests_.size() == 1) {
    Read();
  }
  ScheduleCheck();
}

void ConfigurationRefresh::Read() {
  if (last_read_at_ && context_.Now() - *last_read_at_ < kMinReadInterval) {
    return;
  }
  context_.counters.Add("configuration_reads");
  last_read_at_ = context_.Now();
  context_.store.Read(context_.directory.configuration_key(),
                      [this, alive = alive_, sent_at = *last_read_at_](const StoreAnswer& answer) {
                        if (*alive) {
                          OnAnswer(answer, sent_at);
                        }
                      });
}

void ConfigurationRefresh::OnAnswer(const StoreAnswer& answer, TimePoint sent_at) {
  const size_t bytes = answer.items.empty() ? 0 : answer.items.front().value.size();
  context_.counters.Add("configuration_bytes", static_cast<double>(bytes));
  context_.Log("config", "event=answer kind=read status={} bytes={} took_ms={} waiting={}", NameOf(answer.status),
               bytes, Millis(context_.Now() - sent_at), requests_.size());
  if (answer.status != StoreStatus::kOk || answer.items.empty() || !apply_(answer.items.front())) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
  Reply(true, [sent_at](const Request& request) { return request.made_at <= sent_at; });
}

void ConfigurationRefresh::ScheduleCheck() {
  if (check_scheduled_ || requests_.empty()) {
    return;
  }
  check_scheduled_ = true;
  context_.timers.In(kCheckInterval, [this, alive = alive_] {
    if (*alive) {
      check_scheduled_ = false;
      Check();
    }
  });
}

void ConfigurationRefresh::Check() {
  const TimePoint now = context_.Now();
  const std::shared_ptr<bool> alive = alive_;
  Reply(false, [now](const Request& request) { return now + kCheckInterval > request.expires_at; });
  if (!*alive || requests_.empty()) {
    return;
  }
  // The newest read does not confirm requests that came after it was sent.
  if (requests_.back().made_at > *last_read_at_ || now - *last_read_at_ >= kReadTimeout) {
    Read();
  }
  ScheduleCheck();
}

// A callback may destroy this object or make a new request.
void ConfigurationRefresh::Reply(bool confirmed, const std::function<bool(const Request&)>& matches) {
  std::vector<Done> callbacks;
  std::erase_if(requests_, [&](Request& request) {
    const bool matched = matches(request);
    if (matched) {
      callbacks.push_back(std::move(request.done));
    }
    return matched;
  });
  for (const Done& done : callbacks) {
    done(confirmed);
  }
}

std::optional<Duration> ConfigurationRefresh::age() const {
  return confirmed_at_ ? std::optional(context_.Now() - *confirmed_at_) : std::nullopt;
}

}  // namespace hibiscus::cell
