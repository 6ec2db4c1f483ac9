// One host of the cell. All hosts run the same code: each serves callers and queries the advice service on behalf of
// the owner, and any of them can become the owner. The hosts coordinate through the store. The owner record names the
// current owner, is bound to its lease, and is replaced only if it is absent or released. The revision at which it was
// written is the owner's term and the fencing token of its orders.
#ifndef HIBISCUSSTAND_SRC_CELL_HOST_H_
#define HIBISCUSSTAND_SRC_CELL_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/configuration_follower.h"
#include "cell/context.h"
#include "cell/end_reports.h"
#include "cell/live_lease.h"
#include "cell/messages.h"
#include "cell/owner.h"
#include "cell/prefix_watch.h"
#include "cell/records.h"

namespace hibiscus::cell {

// What a host tells about a request that no queue of the configuration took when it came.
enum class RouteOutcome {
  kFound,        // The configuration that is in force by now has a queue for it.
  kNoSuchQueue,  // No queue takes it, as a read of the configuration shows that is newer than the request.
  kUnconfirmed,  // The host has no such queue, and the store did not confirm its configuration.
  kOvertaken,    // It has one by now, but a later request was served by an older configuration than this needs.
};
const char* NameOf(RouteOutcome outcome);

class Host {
 public:
  using Reply = std::function<void(const CallerReply&)>;
  using RouteReply = std::function<void(RouteOutcome)>;
  using ConfigurationCallback = std::function<void(const CellConfiguration&)>;

  // `on_configuration` is called with each configuration that takes effect.
  Host(Context& context, ConfigurationCallback on_configuration);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Begin();

  // Forwards a caller's request to the owner, unless its queue has been dropped since it was matched to it. Calls
  // `reply` exactly once, no later than the deadline. Sets `call` and `reply_to` of the request.
  void Handle(CallerRequest request, TimePoint deadline, Reply reply);
  // Decides on a request to this host name and path for which the configuration has no queue, after a read of the
  // newest one. Calls `reply` exactly once, no later than the deadline.
  void HandleUnknownRoute(const std::string& host_name,
                          const std::string& path,
                          TimePoint deadline,
                          const RouteReply& reply);
  void OnPeerMessage(const std::string& bytes);
  // A request was refused because no tenant has its key in the configuration of this version.
  void CountUnknownKey(const KeyDigest& key, uint64_t version);

  // Starts a planned shutdown: an owner releases its ownership, and callers are still served. Calls `on_left` once.
  void Leave(const std::function<void()>& on_left);
  // Ends a planned shutdown: no request is answered later than `latest`, whatever its deadline, and none that comes
  // after that is passed on.
  void AnswerBy(TimePoint latest);

  // True if this host can serve callers.
  bool ready() const;
  const CellConfiguration& configuration() const { return configuration_; }
  const Owner* owner() const { return owner_.get(); }
  void UpdateGauges();

 private:
  // The owner as last reported by the store or another host.
  struct KnownOwner {
    uint64_t term = 0;  // Revision of the owner record. 0: never seen.
    bool present = false;
    bool handed_over = false;  // It offered to hand over because it cannot reach the store.
    OwnerRecord record;
  };
  // State of a claim in progress; the claim is committed once the head is read and the lease granted.
  struct ClaimProgress {
    bool head_read = false;
    uint64_t head_revision = 0;  // 0: no head exists yet.
    uint64_t epoch = 0;
    uint64_t lease = 0;  // 0: not yet granted.
    int conflicts = 0;
    TimePoint begun_at{};  // The lease runs from then on, at least.
  };
  struct PendingRequest {
    CallerRequest request;
    TimePoint deadline{};
    Reply reply;
    bool sent = false;              // An owner may have received it.
    uint64_t newest_sent_term = 0;  // Highest term of the owners it was sent to.
    uint64_t timer_number = 0;      // Number of the newest timer; older timers are ignored.
    Duration resend_delay{};        // Until the next copy is sent.
  };

  // --- Callers and other hosts (host.cc) ---
  void Dispatch(uint64_t call);
  void DispatchIn(uint64_t call, Duration delay);
  void DispatchAll();
  void OnReply(const CallerReply& reply);
  void LogAnswer(const CallerRequest& request, const CallerReply& reply);
  // What to answer to a request for an unknown queue, by the configuration in force.
  RouteOutcome AnswerUnknownRoute(const std::string& host_name,
                                  const std::string& path,
                                  bool confirmed,
                                  TimePoint asked_at);
  void NoteDroppedQueues();
  void OnDeadline(uint64_t call);
  void EndAllPending();
  void OnCallerRequest(const CallerRequest& request);
  void OnAdviceRequest(const AdviceRequest& request);
  void OnOwnerAnnouncement(const OwnerAnnouncement& announcement);
  template <class Request, class SendToWorker>
  void RelayOrder(const Request& request, SendToWorker send_to_worker);
  void RefuseLateOrder(const std::string& reply_to, uint64_t call);
  void SendOrderReply(const std::string& address, uint64_t call, const OrderAnswer& answer);
  void OnOwnerQuery(const OwnerQuery& ping);
  void OnHandOver(const OwnershipHandover& hand_over);
  void OfferHandOverIfStalled();
  std::vector<HostRecord> ListedHosts() const;
  int MaxProcessorMillis() const;
  void StepDownForStrongerHost();
  void Send(const std::string& address, const Message& message);
  std::vector<HostRecord> OtherHosts() const;
  // Reports what the owner of this host has received and cannot store.
  void ReportUnstoredEnds();
  void ReportEnds(const std::vector<EndedRun>& ends);
  void OnEndReport(const EndReport& report);
  void NoteOwnerContact() { last_owner_contact_ = context_.Now(); }
  void Tick();

  // --- Store and owner election (host_election.cc) ---
  bool OnConfigurationItem(const StoreItem& item);
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
  // Releases a claim that succeeded after this host began to leave.
  void ReleaseUnusedClaim(const Ownership& ownership, uint64_t lease);
  void RenewLease();
  void ScheduleRenewal(Duration delay);
  void RestoreOwnerRecord();
  void RewriteOwnerRecord(uint64_t lease, TimePoint granted_at);
  void WithdrawOffers();
  bool HasNewerEpoch(const StoreItem& head) const;
  void OnDeposed();
  void DestroyOwner();
  void MarkRecordReleased(const std::function<void()>& on_left);
  // Stops placing tasks, and releases the ownership once no start is on its way to a worker: the next owner does not
  // know of it, and would start its task elsewhere.
  void ReleaseOwnership(const std::function<void()>& done);
  // Waits for the owner's starts until `latest`.
  void ReleaseOnceStartsArrived(TimePoint latest, const std::function<void()>& done);
  // Writes pending changes, and marks the owner record as released.
  void CloseOwner(std::function<void()> done);
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
  ConfigurationFollower configuration_follower_;
  PrefixWatch live_watch_;
  LiveLease registration_;                   // Lists this host in the store.
  std::map<std::string, HostRecord> hosts_;  // All listed hosts, by store key.

  KnownOwner known_;
  TimePoint last_owner_contact_{};  // Time of the last message from the known owner.
  bool claiming_ = false;
  uint64_t claim_id_ = 0;
  TimePoint hand_overs_ignored_until_{};  // Set after a failed claim.
  ClaimProgress claim_;
  std::unique_ptr<Owner> owner_;
  TimePoint owner_since_{};
  bool stepping_down_ = false;            // Releasing ownership for a host with more processor time.
  TimePoint step_down_cooldown_until_{};  // No claims until then, so that another host takes over.
  uint64_t owner_lease_ = 0;
  uint64_t renewal_number_ = 0;        // Of the newest renewal; older ones are ignored.
  uint64_t renewal_timer_number_ = 0;  // Of the newest renewal timer; older ones are ignored.
  bool restoring_ = false;             // The owner record has disappeared and is being written again.
  bool offered_ = false;               // Other hosts were offered the cell under the present record.
  bool withdrawing_offers_ = false;
  bool leaving_ = false;

  EndReports end_reports_;

  TimePoint answer_by_ = TimePoint::max();  // Upper bound of all deadlines; see AnswerBy.
  std::map<uint64_t, PendingRequest> pending_;
  uint64_t last_call_;
  // A request that waited for a newer configuration is not served by it if that would not have served a later one.
  std::map<std::string, TimePoint> newest_calls_;  // When the last request for each queue was taken.
  TimePoint newest_dropped_call_{};                // The newest of those for queues that were dropped since.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_HOST_H_
