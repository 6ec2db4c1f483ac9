#include "cell/configuration_proof.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kReadInterval = 300ms;  // Bounds the age of the confirmation at the start of a store outage.
constexpr int kClockErrorDivisor = 50;     // Clocks of hosts may run 2% off, which shortens the limit.

}  // namespace

void ConfigurationProof::Begin() {
  if (!std::exchange(begun_, true)) {
    ReadPeriodically();
  }
}

// Does not wait for the previous answer, whose connection may be dead.
void ConfigurationProof::ReadPeriodically() {
  context_.counters.Add("configuration_reads");
  context_.store.Read(context_.directory.configuration_key(),
                      [this, alive = alive_, sent_at = context_.Now()](const StoreAnswer& answer) {
                        if (*alive && answer.status == StoreStatus::kOk && !answer.items.empty()) {
                          Confirm(answer.items.front(), sent_at);
                        }
                      });
  context_.timers.In(kReadInterval, [this, alive = alive_] {
    if (*alive) {
      ReadPeriodically();
    }
  });
}

void ConfigurationProof::Confirm(const StoreItem& item, TimePoint sent_at) {
  if (item.revision != applied_revision_ && !apply_(item)) {
    return;
  }
  applied_revision_ = item.revision;
  confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
}

std::optional<Duration> ConfigurationProof::age() const {
  return confirmed_at_ ? std::optional(context_.Now() - *confirmed_at_) : std::nullopt;
}

bool ConfigurationProof::IsFresh(Duration limit) const {
  const std::optional<Duration> current_age = age();
  return current_age && *current_age < limit - limit / kClockErrorDivisor;
}

}  // namespace hibiscus::cell
