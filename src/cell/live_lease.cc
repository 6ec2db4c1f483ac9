#include "cell/live_lease.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kLeaseTtl = 4s;           // How long a crashed host remains listed.
constexpr Duration kRenewInterval = 1200ms;  // Three renewals fit within the lease.
constexpr Duration kRetryDelay = 300ms;

}  // namespace

LiveLease::LiveLease(Context& context, std::string key, std::string value)
    : context_(context), key_(std::move(key)), value_(std::move(value)) {}

void LiveLease::CallIn(Duration delay, void (LiveLease::*method)()) {
  context_.timers.In(delay, [this, alive = alive_, method] {
    if (*alive) {
      (this->*method)();
    }
  });
}

void LiveLease::Begin() {
  if (writing_ || ended_) {
    return;
  }
  writing_ = true;
  lease_ = 0;
  const Duration ttl = std::max(kLeaseTtl, context_.settings.min_lease_ttl);
  context_.store.GrantLease(ttl, [this, alive = alive_](const StoreAnswer& answer) {
    if (!*alive) {
      return;
    }
    if (answer.status != StoreStatus::kOk) {
      writing_ = false;
      CallIn(kRetryDelay, &LiveLease::Begin);
      return;
    }
    lease_ = answer.lease;
    WriteKey();
  });
}

void LiveLease::WriteKey() {
  context_.store.Commit(StoreTransaction{{}, {StoreWrite{key_, value_, lease_}}, {}},
                        [this, alive = alive_](const StoreAnswer& answer) {
                          if (!*alive) {
                            return;
                          }
                          writing_ = false;
                          if (answer.status != StoreStatus::kOk) {
                            CallIn(kRetryDelay, &LiveLease::Begin);
                            return;
                          }
                          CallIn(kRenewInterval, &LiveLease::Renew);
                        });
}

void LiveLease::Renew() {
  if (lease_ == 0 || ended_) {
    return;
  }
  context_.store.KeepLease(lease_, [this, alive = alive_](const StoreAnswer& answer) {
    if (!*alive || ended_) {
      return;
    }
    if (answer.status == StoreStatus::kNoLease || answer.status == StoreStatus::kNotFound) {
      Begin();
      return;
    }
    CallIn(answer.status == StoreStatus::kOk ? kRenewInterval : kRetryDelay, &LiveLease::Renew);
  });
}

void LiveLease::OnKeyGone() {
  if (lease_ != 0) {
    Begin();
  }
}

void LiveLease::End() {
  ended_ = true;
  if (lease_ != 0) {
    context_.store.EndLease(lease_, [](const StoreAnswer&) {});
  }
}

}  // namespace hibiscus::cell
