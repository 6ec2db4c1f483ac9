// One host of a CellWorld: the real core, with ports that lead into the world.
#ifndef HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_
#define HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/cell_world.h"

namespace hibiscus::cell {

// The world's own form of a worker's entry.
std::string EncodeWorkerEntry(const WorkerEntry& entry);

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
  void Call(CallerRequest request, CellWorld::OnReply reply);
  TimePoint NextDue() const;
  void RunDue();
  bool cut_from_peers = false;
  bool cut_from_workers = false;
  int processor_millis = 0;  // Told to the process when it boots.

  // --- Ports ---
  void Read(const std::string& key, StorePort::Done done) override;
  void Range(const std::string& prefix, const std::string& after, StorePort::Done done) override;
  void Watch(const std::string& prefix, uint64_t after, Duration wait, StorePort::Done done) override;
  void Commit(const StoreTransaction& transaction, StorePort::Done done) override;
  void GrantLease(Duration ttl, StorePort::Done done) override;
  void KeepLease(uint64_t lease, StorePort::Done done) override;
  void EndLease(uint64_t lease, StorePort::Done done) override;
  void Start(const WorkerTarget& worker, const StartOrder& order, WorkerPort::Done done) override;
  void Stop(const WorkerTarget& worker, const RunRef& run, uint64_t token, WorkerPort::Done done) override;
  void Hold(const WorkerTarget& worker, const HoldOrder& order, WorkerPort::Done done) override;
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

  // Takes an answer to this process, or nowhere if it is dead; later if it is frozen or busy.
  void Deliver(uint64_t generation, std::function<void()> work);
  void CallStore(bool changes, const std::function<StoreAnswer()>& apply, const StorePort::Done& done);
  void CallWorker(const WorkerTarget& target,
                  const std::function<OrderAnswer(FakeWorker&)>& apply,
                  const WorkerPort::Done& done);
  void WaitForEnd(FakeWorker& worker, const HoldOrder& order, TimePoint until, const WorkerPort::Done& done);
  void PollWatch(const std::string& prefix,
                 uint64_t after,
                 TimePoint until,
                 uint64_t generation,
                 const StorePort::Done& done);
  FakeWorker* FindWorker(const WorkerTarget& target) const;

  CellWorld& world_;
  const std::string name_;
  std::unique_ptr<Process> process_;
  uint64_t generation_ = 0;  // Of the process; rises with each boot and each death.
  TimePoint frozen_until_{};
  TimePoint busy_until_{};                   // With what it has taken in, if events cost time.
  std::deque<std::function<void()>> inbox_;  // While frozen or busy.
  TimePoint advice_free_at_{};
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_FAKE_HOST_H_
