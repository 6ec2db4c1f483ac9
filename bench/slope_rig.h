// One host under measurement, in virtual time: what it sends in bytes, the processor time of its control thread and the
// heap it keeps. Its peers, the other data centres and the store are scripted; workers and servers are the common
// fakes.
#ifndef HIBISCUSSTAND_BENCH_SLOPE_RIG_H_
#define HIBISCUSSTAND_BENCH_SLOPE_RIG_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/host_core.h"
#include "standins/fakes.h"

namespace hibiscus {

struct Count {
  double messages = 0;
  double bytes = 0;
};

// What one stretch of virtual time cost the measured host.
struct Cost {
  double seconds = 0;      // Virtual.
  double cpu_seconds = 0;  // Real, of this thread, inside the core.
  double store_calls = 0;
  Count outside;           // To workers and backend servers; bytes of the JSON bodies.
  Count peers;             // Inside the data centre.
  Count remote;            // To other data centres.
  double state_bytes = 0;  // Heap kept by the core, in all.
};

class SlopeRig {
 public:
  using OnPeer = std::function<void(const HostName& to, const PeerMessage& message)>;

  // The digest sender among `hosts` hosts of its data centre, with `centres` data centres in all.
  SlopeRig(int hosts, int centres);

  void AddWorkers(int count, const Resources& capacity);
  void AddServers(int count);
  void ShareList() { Give(ListEvent{list_}); }
  void Configure(const Configuration& configuration);

  // Answers of the scripted peers, if any.
  OnPeer on_peer;
  // Called at the start of each tick.
  std::function<void()> on_tick;
  // The load that the scripted peers report.
  Heartbeat peer_load;
  // True: all digests from abroad arrive here and this host passes them on; false: they are spread over the hosts.
  bool receives_all_digests = false;

  void Run(Duration time);
  Cost Measure(Duration time);

  // Given at the next tick.
  void Post(Event event) { inbox_.push_back(std::move(event)); }
  // Given now.
  void Give(const Event& event);
  const std::vector<HostName>& hosts() const { return hosts_; }
  const std::vector<HostName>& peers() const { return peers_; }
  size_t answers() const { return answers_; }

 private:
  void Tick();
  void Beat();
  void Carry(const Action& action);
  void CarryWorker(const SendWorker& send);
  void CarryServer(const SendServer& send);

  ManualClock clock_;
  RunLog log_;
  std::unique_ptr<HostCore> core_;
  HostName self_;
  std::vector<HostName> hosts_;  // Of the own data centre, this one among them.
  std::vector<HostName> peers_;
  std::vector<DataCentre> remotes_;
  std::vector<ListEntry> list_;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  std::map<std::string, std::unique_ptr<FakeServer>> servers_;
  std::vector<Event> inbox_;
  Cost cost_;
  size_t answers_ = 0;
  uint64_t ticks_ = 0;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_BENCH_SLOPE_RIG_H_
