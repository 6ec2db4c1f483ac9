// Withdrawals: the intent of a request that was refused as not run is taken back in the log, so that the request may
// come again.
#include "core/home_role.h"

namespace hibiscus {

namespace {

constexpr Duration kWithdrawalTimeout = 30s;  // Nobody waits for a withdrawal.

}  // namespace

// A request that is refused as not run may come again: its intent must not stand in its way.
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
  const HostName writer = context_.OwnerOf(kLogName);
  if (writer.empty()) {
    return;
  }
  const Duration timeout = withdrawal.deadline - context_.Now();
  context_.Send(writer, MakeAppend(LogRecordKind::kWithdrawn, withdrawal.key, nonce, timeout, withdrawal.asked));
  withdrawal.asked = true;
}

// A writer may have gone with a withdrawal, or with the word that it stands.
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

// A host that leaves does not wait for a store that is out.
void HomeRole::OnWithdrawn(const LogAppended& appended) {
  if (appended.outcome == LogOutcome::kRecorded || context_.leaving) {
    withdrawals_.erase(appended.nonce);
  }
}

}  // namespace hibiscus
