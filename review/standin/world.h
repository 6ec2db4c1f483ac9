// A small deployment of the platform: store, minions, hosts of the system, and a client that retries as clients do.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_WORLD_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_WORLD_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hosts.h"
#include "minion.h"
#include "proxy.h"
#include "record.h"
#include "store.h"

namespace review {

// Results of a case, as exit codes.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

struct WorldSettings {
  std::string directory;  // Temporary.
  std::string record;
  bool trouble = true;  // False: the same without the disruption.
  size_t hosts = 3;
  size_t minions = 6;
  // Of the hosts, and of the minions, one in so many is in the first zone.
  size_t zones = 1;
  size_t minion_zones = 1;
  int minion_cpu_millis = 16000;
  int max_attempts = 4;
  // The first host and the minions of its zone can be cut off from all others with CutOffFirstZone.
  bool divisible = false;
};

// Reads the command line of a case: the temporary directory and the record; TROUBLE=0 in the environment.
WorldSettings ReadSettings(int argc, char** argv);

class World {
 public:
  World(const WorldSettings& settings, const Minion::Planner& planner);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Starts the hosts; false if they don't become ready. The first one is ready before the others start, and leads.
  bool Start();

  // The first zone (host 0 and its minions) and all else, the store too, no longer reach each other.
  void CutOffFirstZone(bool cut);

  Record& record() { return record_; }
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Minion>>& minions() { return minions_; }
  HostProcess& host(size_t number) { return *hosts_[number]; }
  size_t hosts() const { return hosts_.size(); }
  // The number of the host that leads: it last wrote to the store under a condition.
  size_t leader() { return static_cast<size_t>(std::max(0, store_.last_conditional_writer())); }

  // Sends to host after host until there is a final answer. False if there is none in time.
  bool Submit(const std::string& id, const nlohmann::json& job);
  HttpResult Ask(size_t host, const std::string& method, const std::string& id);
  std::string State(const std::string& id);  // Empty: no answer.

  void Sleep(int ms);
  // False if the condition does not come true in time.
  bool WaitFor(int timeout_ms, const std::function<bool()>& condition);

 private:
  std::string SeenBy(size_t host, const std::string& key, const std::string& value) const;
  bool IsHostInFirstZone(size_t host) const { return host % settings_.zones == 0; }
  bool IsMinionInFirstZone(size_t minion) const { return minion % settings_.minion_zones == 0; }

  const WorldSettings settings_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Minion>> minions_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::vector<std::unique_ptr<Proxy>> proxies_;  // To each host, between the first zone and the others.
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_WORLD_H_
