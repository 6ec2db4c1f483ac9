// Stand-in of a minion: carries out starts, stops and holds as the platform's pages say, and runs no real work.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_MINION_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_MINION_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

// How a run goes: when it ends by itself, and how. A negative time: it runs until it is stopped.
struct RunPlan {
  int64_t lasts_ms = -1;
  std::string how = "done";
};

struct MinionSettings {
  std::string id;
  std::string zone;
  std::string service;
  std::string rack;
  int cpu_millis = 16000;
  int memory_mb = 65536;
  int max_hold_ms = 6000;
  int stop_ms = 50;
  int heartbeat_ms = 1500;
};

class Minion {
 public:
  using Planner = std::function<RunPlan(const std::string& task, int run)>;

  // Has one address for each host, so that a test can cut single paths.
  Minion(const MinionSettings& settings, size_t hosts, Store& store, Record& record, Planner planner);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  const std::string& id() const { return settings_.id; }
  std::string address(size_t host) const { return servers_[host]->address(); }
  // Calls on a path that is cut have no effect and get no answer. Cut off from the store: writes no heartbeats.
  void SetCut(size_t host, bool cut);
  void SetCutFromStore(bool cut);
  // The process dies with all its runs; Restart begins the next life under the same id and address.
  void Crash();
  void Restart();

  // All that runs here ends by itself now.
  void EndRuns(const std::string& how);
  size_t running();
  bool Runs(const std::string& task);

 private:
  using Name = std::pair<std::string, int>;  // Task and run.
  struct Run {
    size_t index = 0;  // In the record.
    int64_t ends_at = -1;
    std::string how;
    bool stopping = false;
    int64_t started_at = 0;
    int64_t lasts_ms = -1;
  };
  struct End {
    int64_t number = 0;
    Name name;
    std::string how;
    size_t index = 0;
  };

  HttpResponse Handle(size_t host, const HttpRequest& request);
  HttpResponse Start(const nlohmann::json& body);
  HttpResponse Stop(const nlohmann::json& body);
  HttpResponse Hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
  HttpResponse Refuse(const std::string& reason);
  HttpResponse Answer(int status, nlohmann::json body);
  bool IsFenced(const nlohmann::json& body);
  void ExtendLease(int64_t deadline);
  int64_t ClockMs() const;
  void EndRun(const Name& name, const std::string& how);
  void EndDueRuns();
  void WriteEntry();
  void TickLoop();

  const MinionSettings settings_;
  Store& store_;
  Record& record_;
  Planner planner_;
  std::mutex mutex_;
  std::condition_variable ended_;
  bool stopping_ = false;
  bool up_ = true;
  bool cut_from_store_ = false;
  std::vector<bool> cut_;
  int64_t life_ = 0;  // Number of this life.
  int64_t born_ms_ = 0;
  std::chrono::steady_clock::time_point born_;
  int64_t sequence_ = 0;
  int64_t token_ = 0;
  int64_t lease_until_ = 0;  // On its clock.
  int64_t last_end_ = 0;
  std::map<Name, Run> runs_;
  std::map<std::string, int> highest_ended_;  // Run number by task.
  std::vector<End> ends_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::thread ticker_;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_MINION_H_
