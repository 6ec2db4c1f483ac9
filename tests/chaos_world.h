// A small world in virtual time for the randomised driver: host cores of several data centres, the fakes of the outside
// systems, and a network that delays, loses, reorders and is cut. One seed decides everything that happens.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_WORLD_H_
#define HIBISCUSSTAND_TESTS_CHAOS_WORLD_H_

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>

#include "core/host_core.h"
#include "standins/fakes.h"

namespace hibiscus {

// One entry host. A restart is a new core under the same name.
struct Node {
  HostName name;
  DataCentre data_centre;
  Duration clock_offset{};  // Clocks of two hosts share no origin.
  ManualClock clock;
  std::unique_ptr<HostCore> core;
  StepObserver* observer = nullptr;
  int generation = 0;
  bool up = false;
  bool leaving = false;
  bool paused = false;
  TimePoint last_paused{};     // When the last pause ended.
  std::vector<Event> waiting;  // Arrived during the pause.
  uint64_t config_version = 0;
};

struct WorkerNode {
  WorkerName name;
  DataCentre data_centre;
  FakeWorker fake;
  bool up = true;
  bool cut = false;
  bool listed = true;
};

struct ServerNode {
  ServerName name;
  DataCentre data_centre;
  FakeServer fake;
  bool up = true;
  TimePoint left = TimePoint::max();  // Since when it truly leaves.
  bool listed_leaving = false;        // The platform's list lags.
};

// What the faults turn.
struct Weather {
  double loss = 0;  // Share of messages lost.
  double late = 0;  // Share of messages that come up to kLateness later.
  std::set<std::pair<DataCentre, DataCentre>> cut_links;
  std::set<std::pair<std::string, std::string>> cut_pairs;  // From one host, worker or server to another; one way.
  std::set<DataCentre> cut_from_store;
  bool store_down = false;
  bool store_slow = false;
  bool store_loses_answers = false;
};

class ChaosWorld {
 public:
  // Told of what leaves a host towards callers and operators.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnAnswer(const Node& host, const AnswerCaller& answer) = 0;
    virtual void OnOperatorAnswer(const Node& host, const AnswerOperator& answer) = 0;
    virtual void OnExit(const Node& host) = 0;
    virtual void OnConfiguration(const Node& host) = 0;
  };

  ChaosWorld(uint64_t seed, bool trace);

  void add_listener(Listener* listener) { listeners_.push_back(listener); }
  // Told of every write that took effect in the store.
  void set_write_watcher(std::function<void(const StoreCall&)> watcher) { write_watcher_ = std::move(watcher); }
  void RunUntil(TimePoint until);
  void At(Duration from_now, std::function<void()> what);

  // Hands an event to a host now; a paused host finds it when it wakes.
  void Deliver(Node& node, Event event);
  void Boot(Node& node);
  void Kill(Node& node);
  void Pause(Node& node);
  void Wake(Node& node);

  TimePoint Now() const { return clock_.Now(); }
  Duration Elapsed() const { return clock_.Now() - start_; }
  uint64_t Draw(uint64_t below) { return random_() % below; }
  Duration DrawTime(Duration least, Duration most);
  bool Chance(double share) { return static_cast<double>(Draw(1'000'000)) < share * 1e6; }
  std::vector<Node*> UpHosts(const DataCentre& data_centre);

  void Broken(std::string what) { log_.Broken(std::move(what)); }
  template <class... Args>
  void Trace(fmt::format_string<Args...> format, Args&&... args) {
    if (trace_on_) {
      Say(fmt::format(format, std::forward<Args>(args)...));
    }
  }

  std::deque<Node>& nodes() { return nodes_; }
  std::deque<WorkerNode>& workers() { return workers_; }
  std::deque<ServerNode>& servers() { return servers_; }
  const HostSettings& settings() const { return settings_; }
  const std::vector<DataCentre>& data_centres() const { return data_centres_; }
  RunLog& log() { return log_; }
  FakeStore& store() { return store_; }
  Weather& weather() { return weather_; }
  size_t events() const { return events_; }

  // Until when the faults begun so far may be felt.
  TimePoint disturbed_until() const { return disturbed_until_; }
  void DisturbFor(Duration length) { disturbed_until_ = std::max(disturbed_until_, Now() + length); }

 private:
  struct Scheduled {
    TimePoint at;
    uint64_t order;
    std::function<void()> what;
    friend bool operator<(const Scheduled& a, const Scheduled& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  // An outside call of a host: it gets exactly one reply or, at its timeout, word that there is none.
  struct Outside {
    Node* node;
    int generation;
    CallId call;
    std::shared_ptr<bool> over = std::make_shared<bool>(false);
  };

  void Build();
  void TickAll();
  void ShowList();
  void Carry(Node& node, const Action& action);
  void CarryPeer(const Node& node, const SendPeer& send);
  void CarryWorker(Node& node, const SendWorker& send);
  void CarryServer(Node& node, const SendServer& send);
  void CarryStore(Node& node, const SendStore& send);
  void Wrote(const StoreCall& call, const StoreReply& reply);
  template <class EventType, class Reply>
  void Finish(const Outside& outside, Delivery delivery, const Reply& reply);
  void Say(const std::string& line) const;
  Duration Latency(const DataCentre& from, const DataCentre& to);
  bool LostBetween(const DataCentre& from, const DataCentre& to);
  template <class From, class To>
  bool Lost(const From& from, const To& to) {
    return weather_.cut_pairs.contains({from.name, to.name}) || LostBetween(from.data_centre, to.data_centre);
  }

  std::mt19937_64 random_;
  bool trace_on_;
  ManualClock clock_;
  TimePoint start_;
  RunLog log_;
  FakeStore store_;
  Weather weather_;
  HostSettings settings_;  // Of every host, but for name and data centre.
  std::vector<DataCentre> data_centres_;
  std::deque<Node> nodes_;
  std::deque<WorkerNode> workers_;
  std::deque<ServerNode> servers_;
  std::vector<Scheduled> heap_;  // By std::push_heap: the next one in front.
  uint64_t next_order_ = 0;
  size_t events_ = 0;
  size_t broken_said_ = 0;
  std::vector<Listener*> listeners_;
  std::function<void(const StoreCall&)> write_watcher_;
  TimePoint disturbed_until_{};
};

// The configuration that every seed starts with: calls, tasks and gangs, each kind once with and once without leave to
// run twice.
Configuration FirstConfiguration();

// One line for the trace.
std::string Describe(const PeerMessage& message);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_WORLD_H_
