// One host of the cell. All hosts are alike: each serves callers and asks the advice service for the owner, and any of
// them can become the owner. What the hosts agree on lies in the store: the owner record names one, hangs on its lease,
// and is only ever replaced on the condition that it is absent or released. The revision at which it was written is the
// owner's term and the fencing token of its orders.
#ifndef HIBISCUSSTAND_SRC_CELL_HOST_H_
#define HIBISCUSSTAND_SRC_CELL_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/context.h"
#include "cell/live_lease.h"
#include "cell/messages.h"
#include "cell/owner.h"
#include "cell/prefix_watch.h"
#include "cell/records.h"

namespace hibiscus::cell {

class Host {
 public:
  using Reply = std::function<void(const CallerReply&)>;
  using ConfigurationCallback = std::function<void(const CellConfiguration&)>;

  // `on_configuration` is told of each configuration that comes into force.
  Host(Context& context, ConfigurationCallback on_configuration);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Begin();

  // Passes a caller's request on to the owner; replies once, at the deadline at the latest. `call` and `reply_to` are
  // filled in here.
  void Handle(CallerRequest request, TimePoint deadline, Reply reply);
  void OnPeerMessage(const std::string& bytes);

  // The planned end: another host takes the cell over; callers are still served. Calls back once.
  void Leave(std::function<void()> on_left);

  // True while callers can be served.
  bool ready() const;
  const CellConfiguration& configuration() const { return configuration_; }
  const Owner* owner() const { return owner_.get(); }
  void UpdateGauges();

 private:
  // The owner as the store or another host last named it.
  struct KnownOwner {
    uint64_t term = 0;  // Revision of the record. 0: none was ever seen.
    bool present = false;
    bool handed_over = false;  // It said that it no longer reaches the store.
    OwnerRecord record;
  };
  // What a claim needs before it goes out.
  struct ClaimProgress {
    bool head_read = false;
    uint64_t head_revision = 0;  // 0: there is no head yet.
    uint64_t epoch = 0;
    uint64_t lease = 0;  // 0: not granted yet.
    int conflicts = 0;
  };
  struct PendingRequest {
    CallerRequest request;
    TimePoint deadline{};
    Reply reply;
    bool sent = false;              // It may have reached an owner.
    uint64_t newest_sent_term = 0;  // Of the owners that it was sent to.
    uint64_t timer_number = 0;      // Only the newest counts.
    Duration resend_delay{};        // Until the next copy goes out.
  };

  // --- host.cc: callers and other hosts ---
  void Dispatch(uint64_t call);
  void DispatchIn(uint64_t call, Duration delay);
  void DispatchAll();
  void OnReply(const CallerReply& reply);
  void OnDeadline(uint64_t call);
  void OnCallerRequest(const CallerRequest& request);
  void OnAdviceRequest(const AdviceRequest& request);
  void OnOwnerAnnouncement(const OwnerNews& announcement);
  template <class Request, class SendToWorker>
  void RelayOrder(const Request& request, SendToWorker send_to_worker);
  void SendOrderReply(const std::string& address, uint64_t call, const OrderAnswer& answer);
  void OnPing(const Ping& ping);
  void OnHandOver(const HandOver& hand_over);
  void OfferHandOverIfStalled();
  std::vector<HostRecord> ListedHosts() const;
  int MaxProcessorMillis() const;
  void StepDownForStrongerHost();
  void Send(const std::string& address, const Message& message);
  void NoteOwnerContact() { last_owner_contact_ = context_.Now(); }
  void Tick();

  // --- host_election.cc: the store ---
  void OnConfigurationItem(const StoreItem& item);
  void OnLiveItem(const StoreItem& item);
  void OnLiveReset(const std::vector<StoreItem>& items);
  void OnOwnerItem(const StoreItem* item);
  void UpdateKnownOwner(uint64_t term, bool present, const OwnerRecord& record);
  void ScheduleClaimIfUnowned();
  void BeginClaim();
  void PrepareClaim();
  bool ApplyHead(const std::vector<StoreItem>& items);
  void CommitClaimIfReady();
  void OnClaimConflict(const StoreAnswer& answer, uint64_t record_revision);
  void ResolveUnansweredClaim(const Ownership& wanted, uint64_t lease);
  void AbortClaim(const char* reason, uint64_t lease);
  void BecomeOwner(const Ownership& ownership, uint64_t lease);
  void RenewLease();
  void ScheduleRenewal(Duration delay);
  void RestoreOwnerRecord();
  void RewriteOwnerRecord(uint64_t lease);
  void OnDeposed();
  void DestroyOwner();
  void MarkRecordReleased(const std::function<void()>& on_left);
  void ReleaseOwnership(std::function<void()> done);
  Duration ClaimDelay() const;
  OwnerRecord MakeOwnRecord(uint64_t epoch, bool released) const;
  bool IsOwn(const OwnerRecord& record) const;
  bool IsUnowned() const;
  template <class Callback>
  auto IfAlive(Callback callback) {
    return [alive = alive_, callback = std::move(callback)](const auto&... values) {
      if (*alive) {
        callback(values...);
      }
    };
  }

  Context& context_;
  ConfigurationCallback on_configuration_;
  CellConfiguration configuration_;
  PrefixWatch configuration_watch_;
  PrefixWatch live_watch_;
  LiveLease registration_;                   // Under which this host is listed.
  std::map<std::string, HostRecord> hosts_;  // By key: all that are listed.

  KnownOwner known_;
  TimePoint last_owner_contact_{};  // Last word from it.
  bool claiming_ = false;
  uint64_t claim_id_ = 0;
  TimePoint hand_overs_ignored_until_{};  // After one that failed at the store.
  ClaimProgress claim_;
  std::unique_ptr<Owner> owner_;
  TimePoint owner_since_{};
  bool stepping_down_ = false;            // As the owner, for a host with more processor time.
  TimePoint step_down_cooldown_until_{};  // Another host is to take over.
  uint64_t owner_lease_ = 0;
  uint64_t renewal_number_ = 0;        // Number of the newest renewal; only the newest goes on.
  uint64_t renewal_timer_number_ = 0;  // Of the next renewal; only the newest counts.
  bool restoring_ = false;             // Its record is gone from the store and is being written again.
  bool leaving_ = false;

  std::map<uint64_t, PendingRequest> pending_;
  uint64_t last_call_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_HOST_H_
