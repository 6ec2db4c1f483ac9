// Shows that no other host has taken over the cell. An owner that is cut off or was paused may have a successor that it
// does not know, which has accepted jobs. What follows from not knowing a job must therefore not be told to a caller
// without a proof that is newer than the caller's request.
//
// Every claim of the cell writes the head under a new epoch. A linearizable read of the head that still shows this
// owner's epoch proves that the owner knew everything when the read was sent, whatever the state of its lease, watches
// and clocks.
#ifndef HIBISCUSSTAND_SRC_CELL_OWNERSHIP_PROOF_H_
#define HIBISCUSSTAND_SRC_CELL_OWNERSHIP_PROOF_H_

#include <functional>
#include <memory>

#include "cell/context.h"
#include "cell/waiting_requests.h"

namespace hibiscus::cell {

enum class ProofResult {
  kSoleOwner,  // No other host had taken over at some time after the request.
  kReplaced,   // Another host has taken over.
  kUnproven,   // The store did not answer in time.
};

const char* NameOf(ProofResult result);

class OwnershipProof {
 public:
  using Done = std::function<void(ProofResult)>;

  // Calls `on_replaced` once, after all callbacks, when the head shows a later epoch than `epoch`.
  OwnershipProof(Context& context, uint64_t epoch, std::function<void()> on_replaced)
      : context_(context),
        epoch_(epoch),
        on_replaced_(std::move(on_replaced)),
        requests_(context, [this] { Check(); }) {}
  ~OwnershipProof() { *alive_ = false; }
  OwnershipProof(const OwnershipProof&) = delete;
  OwnershipProof& operator=(const OwnershipProof&) = delete;

  // Calls `done` exactly once, after a read that was sent at this time or later. Requests that come together share one.
  void Require(Done done);

 private:
  using Requests = WaitingRequests<ProofResult>;

  void Read();
  void OnHead(const StoreAnswer& answer, TimePoint sent_at);
  void Check();

  Context& context_;
  const uint64_t epoch_;
  const std::function<void()> on_replaced_;
  Requests requests_;         // Waiting for a proof.
  TimePoint last_read_at_{};  // When the newest read was sent.
  bool replaced_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_OWNERSHIP_PROOF_H_
