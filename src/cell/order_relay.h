// Sends the owner's orders to workers through other hosts. An HTTP call to a worker costs several times as much as a
// message between hosts, so with many workers the owner delegates the calls to relays. Each worker is assigned one
// relay, in its own data centre if a strong enough host exists there. Relays make no decisions. An unanswered order may
// have been executed, whether it was sent directly or through a relay, and a late one is refused by its token or its
// deadline.
//
// Load pattern: over a thousand workers and over a thousand starts per second, on hosts of half a core.
#ifndef HIBISCUSSTAND_SRC_CELL_ORDER_RELAY_H_
#define HIBISCUSSTAND_SRC_CELL_ORDER_RELAY_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "cell/context.h"
#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

class OrderRelay final : public WorkerPort {
 public:
  // `term` is the revision of the owner record. Relays reject orders of an owner that they know has been replaced.
  OrderRelay(Context& context, uint64_t term) : context_(context), term_(term), last_call_(context.random()) {}
  OrderRelay(const OrderRelay&) = delete;
  OrderRelay& operator=(const OrderRelay&) = delete;

  // Sets the listed hosts, including this one.
  void SetHosts(const std::vector<HostRecord>& hosts);
  // Updates the term after the owner record was written again.
  void SetTerm(uint64_t term) { term_ = term; }
  // Relays are used only above CellSettings::max_direct_workers.
  void SetWorkerCount(size_t workers) { worker_count_ = workers; }

  void Start(const WorkerTarget& worker, const StartOrder& order, Done done) override;
  void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, Done done) override;
  void Hold(const WorkerTarget& worker, const HoldOrder& order, Done done) override;
  void Disconnect() override { context_.workers.Disconnect(); }

  // Returns false if no such reply is awaited.
  bool OnReply(const OrderReply& reply);
  // Completes overdue orders with kUnknown. Must be called a few times per second.
  void Sweep();

 private:
  struct Relay {
    std::string address;
    DataCentre data_centre;
    TimePoint avoid_until{};  // Set after it left an order unanswered.
    bool clock_known = false;
    Duration clock{};               // The relay's clock in its last reply.
    TimePoint clock_received_at{};  // Local time of that reply.

    Duration ClockAt(TimePoint now) const { return clock + (now - clock_received_at); }
  };
  struct Call {
    std::string relay;  // Address of the relay.
    std::string worker;
    TimePoint deadline{};
    Done done;
  };

  Relay* FindRelay(const std::string& address);
  // Returns the relay for a worker, or null if the owner must contact the worker directly.
  const Relay* SelectRelay(const WorkerTarget& worker) const;
  // Sends `request` with a new call number and stores `done` for its reply.
  template <class Request>
  void Send(const Relay& relay, const WorkerTarget& worker, Request request, Duration hold_wait, Done done);

  Context& context_;
  uint64_t term_;
  size_t worker_count_ = 0;
  std::vector<Relay> relays_;
  std::unordered_map<uint64_t, Call> calls_;
  // By worker: until then the owner contacts the worker directly because its relay was silent. Several relays may fail
  // at once, and a worker's hold outlasts only one relay timeout.
  std::unordered_map<std::string, TimePoint> direct_until_;
  uint64_t last_call_;  // Starts at random, so that replies to an earlier owner on this host do not match.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ORDER_RELAY_H_
