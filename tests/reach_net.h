// Several data centres of real cores in virtual time, with a relay between them whose links can be cut. One store,
// which a data centre can be cut off from; workers and backend servers are the common fakes.
#ifndef HIBISCUSSTAND_TESTS_REACH_NET_H_
#define HIBISCUSSTAND_TESTS_REACH_NET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/host_core.h"
#include "standins/fakes.h"

namespace hibiscus {

// What went over the link from one data centre to another.
struct LinkCount {
  size_t messages = 0;
  size_t bytes = 0;  // Only if a size function is set.
};

class ReachNet {
 public:
  using SizeOf = std::function<size_t(const PeerMessage&)>;

  void AddHost(const HostName& name, const DataCentre& centre);
  void AddWorker(const WorkerName& name, const DataCentre& centre, const Resources& capacity);
  void AddServer(const ServerName& name, const DataCentre& centre, int slots, Duration service_time);
  void ShareList();

  void Cut(const DataCentre& a, const DataCentre& b) { cut_.insert(std::minmax(a, b)); }
  void CutAll();
  void HealAll() { cut_.clear(); }
  void CutStore(const DataCentre& centre) { storeless_.insert(centre); }
  void HealStore() { storeless_.clear(); }
  void Kill(const HostName& host) { hosts_.erase(host); }

  void Run(Duration time);
  bool RunUntil(const std::function<bool()>& condition, Duration at_most);

  // Gives the event to a host, now.
  void Give(const HostName& host, const Event& event);
  ExchangeId Submit(const HostName& host, const Request& request);
  const Answer* AnswerTo(ExchangeId exchange) const;
  void SetConfiguration(const HostName& host, const Configuration& configuration, uint64_t expected);

  const HostCore& host(const HostName& name) const { return *hosts_.at(name).core; }
  const RunLog& log() const { return log_; }
  FakeWorker& worker(const WorkerName& name) { return *workers_.at(name); }
  std::map<std::pair<DataCentre, DataCentre>, LinkCount> links;  // Between data centres, by sender and receiver.
  std::map<std::pair<DataCentre, size_t>, LinkCount> kinds;      // Of those, by sender and number of the kind.
  LinkCount inside;                                              // Inside all data centres together.
  SizeOf size_of;

 private:
  struct Host {
    DataCentre centre;
    std::unique_ptr<HostCore> core;
  };

  void At(Duration delay, std::function<void()> step);
  void Carry(const HostName& from, const Action& action);
  void CarryPeer(const HostName& from, const SendPeer& send);
  void CarryStore(const HostName& from, const SendStore& send);
  bool IsCut(const DataCentre& a, const DataCentre& b) const { return cut_.contains(std::minmax(a, b)); }
  DataCentre CentreOf(const HostName& host) const;

  ManualClock clock_;
  RunLog log_;
  FakeStore store_{clock_};
  std::map<HostName, Host> hosts_;
  std::map<HostName, DataCentre> centres_;
  std::map<WorkerName, std::unique_ptr<FakeWorker>> workers_;
  std::map<ServerName, std::unique_ptr<FakeServer>> servers_;
  std::vector<ListEntry> list_;
  std::set<std::pair<DataCentre, DataCentre>> cut_;
  std::set<DataCentre> storeless_;
  std::multimap<TimePoint, std::function<void()>> steps_;
  std::map<ExchangeId, Answer> answers_;
  ExchangeId next_exchange_ = 1;
  uint64_t next_seed_ = 1;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_REACH_NET_H_
