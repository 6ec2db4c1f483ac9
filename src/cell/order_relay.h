// Sends the owner's orders to workers through other hosts. Speaking HTTP with a worker costs several times what a
// message between hosts does, so with many workers the owner leaves it to relays: each worker has one, in its own data
// centre if there is a strong host. A relay decides nothing. An order that has no answer may have been carried out,
// whichever way it took, and a late one is refused by its token or its deadline.
//
// Load pattern: over a thousand workers and starts a second, on hosts of half a core.
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
  // `term` is the revision of the owner's record: relays drop orders of an owner that they know to be replaced.
  OrderRelay(Context& context, uint64_t term) : context_(context), term_(term), last_call_(context.random()) {}
  OrderRelay(const OrderRelay&) = delete;
  OrderRelay& operator=(const OrderRelay&) = delete;

  // The listed hosts, this one included.
  void SetHosts(const std::vector<HostRecord>& hosts);
  // The owner's record was written again, at this revision.
  void SetTerm(uint64_t term) { term_ = term; }
  // Decides whether relays are used at all.
  void SetWorkerCount(size_t workers) { worker_count_ = workers; }

  void Start(const WorkerTarget& worker, const StartOrder& order, Done done) override;
  void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, Done done) override;
  void Hold(const WorkerTarget& worker, const HoldOrder& order, Done done) override;

  void OnReply(const OrderReply& reply);
  // Answers orders whose relay has been silent for too long. Call it a few times a second.
  void Sweep();

 private:
  struct Relay {
    std::string address;
    DataCentre data_centre;
    TimePoint avoid_until{};  // It left an order without an answer.
    bool clock_known = false;
    Duration clock{};               // Its own, in its last reply.
    TimePoint clock_received_at{};  // When that came.
  };
  struct Call {
    std::string relay;  // Its address.
    std::string worker;
    TimePoint deadline{};
    Done done;
  };

  Relay* FindRelay(const std::string& address);
  // The relay for a worker; none if the owner is to speak to it itself.
  const Relay* SelectRelay(const WorkerTarget& worker) const;
  // Sends `request` with a new call number and remembers who waits for its reply.
  template <class Request>
  void Send(const Relay& relay, const WorkerTarget& worker, Request request, Duration hold_wait, Done done);

  Context& context_;
  uint64_t term_;
  size_t worker_count_ = 0;
  std::vector<Relay> relays_;
  std::unordered_map<uint64_t, Call> calls_;
  // By worker: its relay was silent, so the owner speaks to it itself until then. Several relays may have gone at once,
  // and a worker's hold outlasts the timeout of one only.
  std::unordered_map<std::string, TimePoint> direct_until_;
  uint64_t last_call_;  // Begins at random: replies to an earlier owner on this host match nothing.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ORDER_RELAY_H_
