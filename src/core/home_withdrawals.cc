// Withdrawals: withdraw the intent of a request that was refused as not run from the log, so that the request may be
// submitted again.
#include "core/home_role.h"

namespace hibiscus {

namespace {

constexpr Duration kWithdrawalTimeout = 30s;  // Generous, since no caller waits for a withdrawal.

}  // namespace

// A request that is refused as not run may be submitted again: its intent must not make it a repeat.
void HomeRole::WithdrawIntent(const Job& job) {
  if (!job.intent_may_be_logged || job.accepted) {
    return;
  }
  Withdrawal& withdrawal = withdrawals_[job.nonce];
  withdrawal = Withdrawal{job.request.key, context_.Now() + kWithdrawalTimeout, false};
  SendWithdrawal(job.nonce, withdrawal);
}

void HomeRole::SendWithdrawal(uint64_t nonce, Withdrawal& withdrawal) {
  withdrawal_resends_.emplace_back(context_.Now() + kAppendResendInterval, nonce);
  const HostName writer = context_.OwnerOf(kLogWriterKey);
  if (writer.empty()) {
    return;
  }
  const Duration timeout = withdrawal.deadline - context_.Now();
  context_.Send(writer, MakeAppend(LogRecordKind::kWithdrawn, withdrawal.key, nonce, timeout, withdrawal.sent));
  withdrawal.sent = true;
}

// Resends withdrawals: a lost writer may have lost one, or its confirmation.
void HomeRole::TickWithdrawals() {
  while (!withdrawal_resends_.empty() && withdrawal_resends_.front().first <= context_.Now()) {
    const uint64_t nonce = withdrawal_resends_.front().second;
    withdrawal_resends_.pop_front();
    const auto found = withdrawals_.find(nonce);
    if (found == withdrawals_.end()) {
      continue;
    }
    if (context_.Now() < found->second.deadline) {
      SendWithdrawal(nonce, found->second);
    } else {
      withdrawals_.erase(found);
    }
  }
}

// A leaving host does not wait for an unavailable store.
void HomeRole::OnWithdrawn(const LogAppended& appended) {
  if (appended.outcome == LogOutcome::kRecorded || context_.leaving) {
    withdrawals_.erase(appended.nonce);
  }
}

}  // namespace hibiscus
