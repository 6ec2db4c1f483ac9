#include "world.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr char kHostName[] = "nony24.example";
constexpr char kPrefix[] = "/lohu930/";
constexpr char kService[] = "huvo11a";
constexpr int kClientTimeoutMs = 3000;

// Loopback addresses of the hosts (network 0) and of the proxies to them (network 1), different for each case that
// runs.
std::string HostIp(int network, size_t host) {
  constexpr int kNetworks = 100;  // All addresses are of the same length.
  return "127." + std::to_string(100 + getpid() % kNetworks) + "." + std::to_string(network) + "." +
         std::to_string(11 + host);
}

std::string ZoneName(size_t number) {
  return "zone-" + std::to_string(number);
}

Json Configuration(int max_attempts) {
  const Json route{{"Name", "r-1"},    {"Host", kHostName},   {"Prefix", kPrefix},
                   {"Kind", "unsafe"}, {"TimeoutMs", 3000},   {"TargetLatencyMs", 1200},
                   {"Priority", 1},    {"Service", kService}, {"MaxAttempts", max_attempts},
                   {"Stretch", 2.2}};
  const Json service{{"Name", kService}, {"HealthPath", "/health"}, {"EnforcesCapacity", false}};
  return Json{{"Version", 7}, {"Routes", {route}}, {"Services", {service}}, {"Limits", {{"MaxBodyBytes", 262144}}}};
}

// As on the sheet of a small deployment.
const std::map<std::string, std::string> kFields = {{"Limits.CpuShare", "0.25"},      {"Limits.Cores", "1"},
                                                    {"Bounds.MaxHoldMs", "6000"},     {"Bounds.ConfigApplyMs", "2500"},
                                                    {"Bounds.GangTimeoutMs", "3000"}, {"Bounds.status_s", "120"},
                                                    {"platform.MinTtlMs", "1000"},    {"Bounds.GraceS", "6"}};

}  // namespace

WorldSettings ReadSettings(int argc, char** argv) {
  if (argc != 3) {
    throw std::runtime_error("use: case DIRECTORY RECORD");
  }
  WorldSettings settings;
  settings.directory = argv[1];
  settings.record = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  settings.trouble = trouble == nullptr || std::string(trouble) != "0";
  return settings;
}

World::World(const WorldSettings& settings, const Minion::Planner& planner)
    : settings_(settings), record_(settings.record), store_(settings.hosts) {
  store_.Put("op/config", Configuration(settings.max_attempts).dump());
  for (size_t i = 0; i < settings.minions; ++i) {
    MinionSettings minion;
    minion.id = "i-7f3a91c" + std::to_string(i);
    minion.zone = ZoneName(i % settings.minion_zones);
    minion.service = kService;
    minion.rack = "r1-" + std::to_string(i / 4);
    minion.cpu_millis = settings.minion_cpu_millis;
    minions_.push_back(std::make_unique<Minion>(minion, settings.hosts, store_, record_, planner));
  }
  store_.SetView(
      [this](size_t host, const std::string& key, const std::string& value) { return SeenBy(host, key, value); });
  for (size_t i = 0; i < settings.hosts; ++i) {
    HostSettings host;
    host.name = "front-" + std::to_string(i);
    host.zone = ZoneName(i % settings.zones);
    host.ip = HostIp(0, i);
    host.store = store_.address(i);
    host.directory = settings.directory;
    host.fields = kFields;
    hosts_.push_back(std::make_unique<HostProcess>(host));
    if (settings.divisible) {
      const std::string peer = hosts_[i]->peer();
      const auto port = static_cast<uint16_t>(std::stoi(peer.substr(peer.find(':') + 1)));
      proxies_.push_back(std::make_unique<Proxy>(HostIp(1, i), port, peer));
    }
  }
}

// Calls of the hosts that are still being answered must not look at minions and hosts that are gone.
World::~World() {
  for (const auto& host : hosts_) {
    host->Kill();
  }
  store_.SetView(nullptr);
}

// Each host reaches each minion on a path of its own. Between the first zone and the others, hosts reach each other
// through proxies, whose addresses are as long, so that they can replace the others in any encoding.
std::string World::SeenBy(size_t host, const std::string& key, const std::string& value) const {
  std::string seen = value;
  const auto replace = [&](const std::string& from, const std::string& to) {
    if (const size_t at = seen.find(from); at != std::string::npos) {
      seen.replace(at, from.size(), to);
    }
  };
  for (const auto& minion : minions_) {
    if (key == "servers/" + minion->id()) {
      replace(minion->address(0), minion->address(host));
    }
  }
  for (size_t other = 0; settings_.divisible && other < hosts_.size(); ++other) {
    if (IsHostInFirstZone(host) != IsHostInFirstZone(other)) {
      const std::string peer = hosts_[other]->peer();
      replace(peer, HostIp(1, other) + peer.substr(peer.find(':')));
    }
  }
  return seen;
}

void World::CutOffFirstZone(bool cut) {
  record_.Line(cut ? "the first zone is cut off" : "the first zone is back");
  for (const auto& proxy : proxies_) {
    proxy->SetCut(cut);
  }
  for (size_t host = 0; host < hosts_.size(); ++host) {
    for (size_t minion = 0; minion < minions_.size(); ++minion) {
      if (IsHostInFirstZone(host) != IsMinionInFirstZone(minion)) {
        minions_[minion]->SetCut(host, cut);
      }
    }
    if (IsHostInFirstZone(host)) {
      store_.SetCut(host, cut);
    }
  }
  for (size_t minion = 0; minion < minions_.size(); ++minion) {
    if (IsMinionInFirstZone(minion)) {
      minions_[minion]->SetCutFromStore(cut);
    }
  }
}

bool World::Start() {
  const auto ready = [](const std::unique_ptr<HostProcess>& host) {
    return HttpCall(host->ready(), "GET", "/readiness", {{"Host", host->ready()}}, "", 500).status == 200;
  };
  hosts_.front()->Start();
  if (!WaitFor(10'000, [&] { return ready(hosts_.front()); })) {
    return false;
  }
  for (size_t host = 1; host < hosts_.size(); ++host) {
    hosts_[host]->Start();
  }
  return WaitFor(10'000, [&] { return std::all_of(hosts_.begin(), hosts_.end(), ready); });
}

HttpResult World::Ask(size_t host, const std::string& method, const std::string& id) {
  return HttpCall(hosts_[host]->front(), method, kPrefix + id,
                  {{"Host", kHostName}, {"X-Hibiscusstand-Deadline-Ms", std::to_string(kClientTimeoutMs)}}, "",
                  kClientTimeoutMs);
}

bool World::Submit(const std::string& id, const Json& job) {
  for (size_t attempt = 0; attempt < 5; ++attempt) {
    const size_t host = attempt % hosts_.size();
    const HttpResult result =
        HttpCall(hosts_[host]->front(), "POST", kPrefix + id,
                 {{"Host", kHostName}, {"X-Hibiscusstand-Deadline-Ms", std::to_string(kClientTimeoutMs)}}, job.dump(),
                 kClientTimeoutMs);
    record_.Line("client POST " + id + " to " + hosts_[host]->name() + " -> " + std::to_string(result.status));
    if (result.status == 200) {
      return true;
    }
    Sleep(500);
  }
  return false;
}

std::string World::State(const std::string& id) {
  for (size_t host = 0; host < hosts_.size(); ++host) {
    const HttpResult result = Ask(host, "GET", id);
    record_.Line("client GET " + id + " from " + hosts_[host]->name() + " -> " + std::to_string(result.status) + " " +
                 result.body);
    if (result.status == 200) {
      return Json::parse(result.body).value("State", "");
    }
  }
  return "";
}

void World::Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool World::WaitFor(int timeout_ms, const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) {
      return true;
    }
    Sleep(20);
  }
  return condition();
}

}  // namespace review
