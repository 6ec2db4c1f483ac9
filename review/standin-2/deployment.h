// A small deployment on loopback: the store, minions, and the project's daemons as the deploy file starts them.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_2_DEPLOYMENT_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "minion.h"
#include "record.h"
#include "store.h"

namespace review {

struct DaemonProcess {
  std::string name;
  std::string zone;
  std::string ip;
  std::string front;  // Addresses.
  std::string ready;
  std::string metrics;
  std::string settings_file;
  std::string log_file;
  pid_t pid = -1;
  Clock::time_point ended_at{};
  int ends = 0;  // How often it ended by itself or for its memory.
  int64_t peak_mb = 0;
  std::optional<Clock::time_point> killed_at;  // The end of its grace period.
};

// How one attempt of a client ended.
struct Attempt {
  int status = 0;  // 0: no answer.
  std::string body;
  double sent_s = 0;
  double answered_s = 0;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  int max_attempts = 4;
};

class Deployment {
 public:
  // The daemons and the record have their places: `folder` for record.txt.
  Deployment(const std::string& folder, int daemons);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Record& record() { return record_; }
  Store& store() { return store_; }
  const Route& route() const { return route_; }
  std::vector<std::unique_ptr<Minion>>& minions() { return minions_; }
  Minion& AddMinion(MinionSettings settings);
  // Publishes the configuration, and starts the minions and daemons. False if the daemons don't get ready.
  bool Start();

  // --- Clients ---
  // One attempt at one daemon.
  Attempt Call(const std::string& method, const std::string& path, const std::string& body, Millis timeout);
  // Hands a job in: repeats after no answer, 502, 503, 504 and 429 for as long as `patience`. The status of the last.
  int Submit(const std::string& id, const nlohmann::json& job, Millis patience);
  // The job's state as shown, "410" or "" if there is no answer.
  std::string StateOf(const std::string& id, Millis patience);
  std::string NewId();

  // --- The platform ---
  std::vector<WorkingRun> Working();
  std::vector<DaemonProcess>& daemons() { return daemons_; }
  // The daemon that owns the cell, by its metrics; empty if there is none.
  std::string OwnerName();
  // SIGTERM, and SIGKILL after the grace period, as for a planned stop. Then the daemon is started again.
  void StopPlanned(const std::string& name);
  bool AllReady();
  void Wait(double seconds);

 private:
  void WriteSettings(const DaemonProcess& daemon) const;
  void StartDaemon(DaemonProcess& daemon);
  static bool IsReady(const DaemonProcess& daemon);
  // Ends what exceeds its memory, and starts what has ended again after a short delay.
  void Watch();

  std::filesystem::path scratch_;
  Record record_;
  Store store_;
  Route route_;
  std::vector<std::unique_ptr<Minion>> minions_;
  std::mutex daemons_mutex_;
  std::vector<DaemonProcess> daemons_;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> next_daemon_{0};
  std::atomic<uint64_t> last_id_ = 0;
  std::thread ticker_;
  std::thread watcher_;
};

// "0" in the environment variable TROUBLE: without the disruption.
bool HasTrouble();

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_2_DEPLOYMENT_H_
