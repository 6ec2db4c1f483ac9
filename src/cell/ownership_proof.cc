#include "cell/ownership_proof.h"

#include <utility>

#include "cell/records.h"

namespace hibiscus::cell {

namespace {

// Time without an answer from the store after which a caller is asked to come back. Covers two reads.
constexpr Duration kProofTimeout = 600ms;
constexpr Duration kReadTimeout = 250ms;  // Then another read is sent: the connection may be dead.

}  // namespace

const char* NameOf(ProofResult result) {
  constexpr const char* kNames[] = {"sole_owner", "replaced", "unproven"};
  return kNames[static_cast<size_t>(result)];
}

void OwnershipProof::Require(Done done) {
  if (replaced_) {
    done(ProofResult::kReplaced);
    return;
  }
  if (requests_.empty()) {
    Read();
  }
  requests_.Add(context_.Now() + kProofTimeout, std::move(done));
}

void OwnershipProof::Read() {
  context_.counters.Add("ownership_reads");
  last_read_at_ = context_.Now();
  context_.store.Read(kHeadKey, [this, alive = alive_, sent_at = last_read_at_](const StoreAnswer& answer) {
    if (*alive) {
      OnHead(answer, sent_at);
    }
  });
}

void OwnershipProof::OnHead(const StoreAnswer& answer, TimePoint sent_at) {
  if (replaced_ || answer.status != StoreStatus::kOk || answer.items.empty()) {
    return;
  }
  const auto head = DecodeRecord<HeadRecord>(answer.items.front().value);
  if (!head) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", kHeadKey, head.error());
    return;
  }
  const std::shared_ptr<bool> alive = alive_;
  if (head->epoch == epoch_) {
    requests_.Reply(ProofResult::kSoleOwner,
                    [sent_at](const Requests::Request& request) { return request.made_at <= sent_at; });
    if (*alive && !requests_.empty() && requests_.newest_made_at() > last_read_at_) {
      Read();  // For requests that came after that read was sent.
    }
    return;
  }
  replaced_ = true;
  context_.Log("owner", "event=replaced epoch={} head_epoch={} requests={}", epoch_, head->epoch, requests_.size());
  requests_.Reply(ProofResult::kReplaced, [](const Requests::Request&) { return true; });
  if (*alive) {
    on_replaced_();
  }
}

void OwnershipProof::Check() {
  const TimePoint now = context_.Now();
  const std::shared_ptr<bool> alive = alive_;
  requests_.Reply(ProofResult::kUnproven, [now](const Requests::Request& request) { return now >= request.deadline; });
  if (*alive && !requests_.empty() && now - last_read_at_ >= kReadTimeout) {
    Read();
  }
}

}  // namespace hibiscus::cell
