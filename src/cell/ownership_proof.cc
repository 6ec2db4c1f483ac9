#include "cell/ownership_proof.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cell/records.h"

namespace hibiscus::cell {

namespace {

// Time without an answer from the store after which a caller is asked to come back. Covers two reads.
constexpr Duration kProofTimeout = 600ms;
constexpr Duration kReadTimeout = 250ms;   // Then another read is sent: the connection may be dead.
constexpr Duration kCheckInterval = 50ms;  // While requests wait.

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
  requests_.push_back(Request{context_.Now(), std::move(done)});
  if (requests_.size() == 1) {
    Read();
  }
  ScheduleCheck();
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
    Reply(ProofResult::kSoleOwner, [sent_at](const Request& request) { return request.made_at <= sent_at; });
    if (*alive && !requests_.empty() && requests_.back().made_at > last_read_at_) {
      Read();  // For requests that came after that read was sent.
    }
    return;
  }
  replaced_ = true;
  context_.Log("owner", "event=replaced epoch={} head_epoch={} requests={}", epoch_, head->epoch, requests_.size());
  Reply(ProofResult::kReplaced, [](const Request&) { return true; });
  if (*alive) {
    on_replaced_();
  }
}

void OwnershipProof::ScheduleCheck() {
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

void OwnershipProof::Check() {
  const TimePoint now = context_.Now();
  const std::shared_ptr<bool> alive = alive_;
  Reply(ProofResult::kUnproven, [now](const Request& request) { return now - request.made_at >= kProofTimeout; });
  if (!*alive) {
    return;
  }
  if (!requests_.empty() && now - last_read_at_ >= kReadTimeout) {
    Read();
  }
  ScheduleCheck();
}

// A callback may destroy this proof or make a new request.
void OwnershipProof::Reply(ProofResult result, const std::function<bool(const Request&)>& matches) {
  std::vector<Done> callbacks;
  std::erase_if(requests_, [&](Request& request) {
    const bool matched = matches(request);
    if (matched) {
      callbacks.push_back(std::move(request.done));
    }
    return matched;
  });
  for (const Done& done : callbacks) {
    done(result);
  }
}

}  // namespace hibiscus::cell
