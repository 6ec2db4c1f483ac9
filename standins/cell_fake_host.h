// One host of a CellWorld: runs the production core on ports that connect it to the simulation.
#ifndef HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_
#define HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/cell_world.h"

namespace hibiscus::cell {

// Encodes a worker's entry in the simulation's own JSON format.
std::string EncodeWorkerEntry(const WorkerEntry& entry);

constexpr Duration kMaxConnectionWait = 700ms;  // Of an order; it must have its answer within the next.
constexpr Duration kCallTimeout = 1s;           // Of calls to the store, to workers and to hosts that are down.

class FakeHost final : public StorePort,
                       public WorkerPort,
                       public AdvicePort,
                       public PeerPort,
                       public DirectoryPort,
                       public WallClock,
                       public EventLog {
 public:
  FakeHost(CellWorld& world, std::string name);
  ~FakeHost() override;

  const std::string& name() const { return name_; }
  Host* host() const;
  double CounterOf(const std::string& name) const;
  void Boot();
  void Kill();
  void Freeze(Duration time);
  void LoseWatches(int later);
  // Of the large answers that are arriving nothing more arrives, which their reads notice after a while.
  void LoseTransfers();
  // Large reads of the store without an answer yet.
  size_t large_reads() const { return large_reads_.size(); }
  // The process is down or stands still, or a path to or from it is cut.
  bool IsDisturbed() const;
  bool IsFrozen() const;
  void Call(CallerRequest request, CellWorld::OnReply reply);
  void CallFrozen(CallerRequest request, CellWorld::OnReply reply);
  TimePoint NextDue() const;
  void RunDue();
  Duration wall_offset{};  // Of its time of day from that of the others.
  bool removed = false;    // For good.
  bool cut_from_peers = false;
  bool cut_from_workers = false;
  std::set<std::string> unreachable_workers;  // Ids of workers that have no path to and from this host.
  int processor_millis = 0;                   // Passed to the process at boot.

  // --- Ports ---
  void Read(const std::string& key, StorePort::Done done) override;
  void Range(const std::string& prefix, const std::string& after, StorePort::Done done) override;
  void Watch(const std::string& prefix, uint64_t after, Duration wait, StorePort::Done done) override;
  StoreCall ReadLarge(const std::string& key, Progress progress, StorePort::Done done) override;
  StoreCall WatchLarge(const std::string& key,
                       uint64_t after,
                       Duration wait,
                       Progress progress,
                       StorePort::Done done) override;
  StoreCall ReadLargeIfChanged(const std::string& key,
                               uint64_t revision,
                               StoreConnection connection,
                               Progress progress,
                               StorePort::Done done) override;
  void Cancel(StoreCall call) override;
  void Commit(const StoreTransaction& transaction, StorePort::Done done) override;
  void GrantLease(Duration ttl, StorePort::Done done) override;
  void KeepLease(uint64_t lease, StorePort::Done done) override;
  void EndLease(uint64_t lease, StorePort::Done done) override;
  void Start(const WorkerTarget& worker, const StartOrder& order, WorkerPort::Done done) override;
  void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, WorkerPort::Done done) override;
  void Hold(const WorkerTarget& worker, const HoldOrder& order, WorkerPort::Done done) override;
  void Disconnect() override {}
  void Ask(const TaskRef& step,
           const std::vector<std::string>& workers,
           Duration timeout,
           AdvicePort::Done done) override;
  void Send(const std::string& address, std::string message) override;
  std::string configuration_key() const override { return "configuration"; }
  std::string worker_prefix() const override { return "workers/"; }
  tl::expected<CellConfiguration, std::string> ReadConfiguration(const StoreItem& item) const override;
  tl::expected<WorkerEntry, std::string> ReadWorker(const StoreItem& item) const override;
  int64_t NowMs() const override;
  bool Accepts(const char* part) override;
  void Write(const char* part, const std::string& text) override;

 private:
  struct Process;
  struct Order {
    const char* kind;
    std::optional<RunRef> run;
    std::function<OrderAnswer(FakeWorker&)> apply;
  };
  struct LargeRead {
    Progress progress;
    StorePort::Done done;
    StoreLinks::Transmission transmission = 0;  // Of its answer. 0: none yet.
  };

  // Delivers an answer to the process of this generation, and drops it if that has ended. Queues it in the inbox while
  // the process is frozen or if events cost time.
  void Deliver(uint64_t generation, std::function<void()> work);
  // A large read has a number, and none of its answer is sent once it is cancelled. `timeout` applies if the store is
  // silent.
  void CallStore(bool changes,
                 const std::function<StoreAnswer()>& apply,
                 const StorePort::Done& done,
                 StoreCall large = 0,
                 Duration timeout = kCallTimeout);
  void Transmit(const StoreAnswer& answer, const StorePort::Done& done, StoreCall large);
  StoreCall BeginLarge(Progress progress, StorePort::Done done);
  // Receives the answer of a large read, and passes it on unless the read was cancelled.
  StorePort::Done EndOf(StoreCall large);
  size_t index() const { return std::stoul(name_.substr(1)); }
  // Carries the order out after `delay`, in whatever process is at the address by then, and drops it if that has
  // another id or is down.
  void CarryOutLate(const WorkerTarget& target, const Order& order, Duration delay);
  void CallWorker(const WorkerTarget& target, const Order& order, const WorkerPort::Done& done);
  void CallWorkerAfter(Duration wait, const WorkerTarget& target, const Order& order, const WorkerPort::Done& done);
  void CallWorkerNow(const WorkerTarget& target, const Order& order, const WorkerPort::Done& done);
  void DeliverWithoutAnswer(FakeWorker& worker,
                            const WorkerTarget& target,
                            const Order& order,
                            const WorkerPort::Done& done);
  static Order HoldOf(const HoldOrder& order);
  void WaitForEnd(const WorkerTarget& target,
                  FakeWorker& worker,
                  const HoldOrder& order,
                  TimePoint until,
                  const WorkerPort::Done& done);
  void PollWatch(const std::string& prefix,
                 uint64_t after,
                 TimePoint until,
                 uint64_t generation,
                 const StorePort::Done& done,
                 StoreCall large = 0);
  void LoseAnswerOfWatch(Duration wait, const StorePort::Done& done);
  // Handles a request as the platform's ingress does: first looks for its queue.
  void Handle(const CallerRequest& request, TimePoint sent, TimePoint until, const CellWorld::OnReply& reply);
  FakeWorker* FindWorker(const WorkerTarget& target) const;

  CellWorld& world_;
  const std::string name_;
  std::unique_ptr<Process> process_;
  uint64_t generation_ = 0;  // Incremented at each boot and kill; identifies the process.
  TimePoint frozen_until_{};
  TimePoint busy_until_{};                   // End of processing of the last batch, if events cost time.
  std::deque<std::function<void()>> inbox_;  // Work queued while frozen or busy.
  TimePoint advice_free_at_{};
  StoreCall last_large_ = 0;
  std::map<StoreCall, LargeRead> large_reads_;  // Neither answered nor cancelled.
  int watch_losses_ = 0;                        // Watches that waited at the last one are lost.
  int watches_to_lose_ = 0;                     // Of those to come.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_
