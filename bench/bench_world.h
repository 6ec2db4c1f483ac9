// One data centre in virtual time: hosts of the system, fake workers, backend servers and a store, and seeded arrivals.
// Only the calls of HostCore::Handle are timed by the real clock: they are what the control thread spends.
#ifndef HIBISCUSSTAND_BENCH_BENCH_WORLD_H_
#define HIBISCUSSTAND_BENCH_BENCH_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/workload.h"
#include "core/host_core.h"
#include "standins/fakes.h"

namespace hibiscus {

struct BenchOptions {
  uint64_t seed = 1;
  int hosts = 3;
  int workers = 50;
  int servers = 50;
  int slots = 8;          // Of each backend server.
  Duration length = 30s;  // Of the arrivals that count.
  Duration ramp = 10s;    // Arrivals before them, until the racks are full.
  double load = 0.9;      // Share of what the workers and backend servers can carry on that day.
  Day day;
  HostSettings settings;
  bool calls = true;
  bool tasks = true;
  int waiting = 0;  // Tasks of the last stream, sent before the ramp.
};

// What became of one request.
struct Trace {
  size_t stream = 0;
  Duration run_time = 0us;  // The true one, on a sound worker.
  int members = 1;
  Duration declared = 0us;
  TimePoint arrived{};
  int started_members = 0;
  TimePoint started{};  // Of the last member.
  TimePoint answered{};
  std::optional<Answer> answer;
};

// Means over the time that counts, as shares of capacity.
struct Occupancy {
  double slots = 0;
  double cpu = 0;
  double memory = 0;
  int samples = 0;
};

class BenchWorld {
 public:
  BenchWorld(const Workload& workload, const BenchOptions& options);

  void Run();

  const std::vector<Trace>& traces() const { return traces_; }
  const std::vector<float>& handle_micros() const { return handle_micros_; }
  const Occupancy& occupancy() const { return occupancy_; }
  size_t starts() const { return log_.starts(); }
  size_t counted_starts() const { return counted_starts_; }  // While it counts.
  // Calls sent to backend servers, and the requests they were for.
  size_t calls_sent() const { return calls_sent_; }
  size_t requests_sent() const { return requests_sent_.size(); }
  size_t broken() const { return log_.broken().size(); }
  TimePoint counts_from() const { return counts_from_; }
  TimePoint counts_until() const { return counts_until_; }
  bool Counts(const Trace& trace) const { return trace.arrived >= counts_from_ && trace.arrived < counts_until_; }

  // Slots and worker volume at full speed, with slow ones counted by what they can do, those that fail as nothing.
  double EffectiveServers() const;
  double EffectiveWorkers() const;

 private:
  template <class Reply>
  using Deliver = std::function<void(Delivery, const Reply&)>;

  struct Timer {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Timer& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };
  struct Host {
    HostName name;
    std::unique_ptr<HostCore> core;
  };
  template <class Fake>
  struct Outside {
    std::unique_ptr<Fake> fake;
    double slowness = 1;
    bool fails = false;  // All that it is given, at once.
  };

  void After(Duration delay, std::function<void()> run);
  void RunUntil(TimePoint end);
  void Feed(size_t host, const Event& event);
  void Act(size_t host, Action& action);
  void ToPeer(size_t host, SendPeer& send);
  template <class EventType, class Reply>
  Deliver<Reply> Expect(size_t host, CallId call, Duration timeout);
  void ToWorker(size_t host, SendWorker& send);
  void ToServer(size_t host, SendServer& send);
  // True if the server fails on this day, and the call came to its end.
  bool FailsCall(const ServerName& server, const Deliver<ServerReply>& deliver) const;
  void ToStore(size_t host, SendStore& send);
  void OnAnswer(const AnswerCaller& answer);
  void NoteStart(const RunId& run);

  void MakeFleet();
  void TickHost(size_t host);
  void Sample();
  void PlaceServices();
  void ScheduleArrivals();
  void NextArrival(size_t stream, double rate);
  double RateNow(size_t stream, double rate) const;
  void Arrive(size_t index);
  double TaskScale() const;
  Duration Factor(Duration mean, double low, double high);

  const Workload& workload_;
  const BenchOptions options_;
  ManualClock clock_;
  std::mt19937_64 random_;
  RunLog log_;
  FakeStore store_;
  std::vector<Host> hosts_;
  std::map<HostName, size_t> host_index_;
  std::map<WorkerName, Outside<FakeWorker>> workers_;
  std::map<ServerName, Outside<FakeServer>> servers_;
  std::vector<ListEntry> list_;
  std::priority_queue<Timer> timers_;
  uint64_t next_order_ = 0;
  std::set<std::pair<size_t, CallId>> outstanding_;
  std::vector<Trace> traces_;
  std::vector<float> handle_micros_;
  Occupancy occupancy_;
  size_t counted_starts_ = 0;
  size_t calls_sent_ = 0;
  std::set<RequestKey> requests_sent_;
  TimePoint counts_from_{};
  TimePoint counts_until_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_BENCH_BENCH_WORLD_H_
