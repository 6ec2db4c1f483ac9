// One host of the system: the core, which runs on the control thread, and its ports.
#ifndef HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_
#define HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/control_loop.h"
#include "daemon/metrics.h"
#include "ports/caller_api.h"
#include "ports/http_client.h"
#include "ports/http_server.h"
#include "ports/peer_link.h"

namespace hibiscus {

struct DaemonSettings {
  HostSettings host;
  HttpServerOptions http;
  std::string peer_address;     // "ip:port" for gRPC.
  std::string store_address;    // "ip:port" of the platform's store.
  std::string list_address;     // "ip:port" of the platform's host list.
  Duration list_interval = 1s;  // Between two reads of the host list.
  Duration leave_linger = 2s;  // A leaving host refuses callers at least this long, so that the balancer can remove it.
};

class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);
  ~Daemon();

  void Run();    // Returns after a completed planned stop or after Stop.
  void Leave();  // Begins a planned stop.
  void Stop();   // Stops immediately.

  uint16_t http_port() const { return http_->port(); }

 private:
  void OnHttp(ExchangeId exchange, const HttpRequest& request);
  void OnList(const HttpResult& result);
  void PollListUntilStop();
  void FetchList();
  void StopAfterLeave();
  void NotifyStopped();
  void Execute(std::vector<Action> actions);
  void ExecuteAction(Action& action, std::map<HostName, std::vector<PeerMessage>>& messages_by_host);
  void SendToPeer(const HostName& host, const std::vector<PeerMessage>& messages);
  void SendToWorker(const SendWorker& action);
  void SendToServer(const SendServer& action);
  void SendToStore(const SendStore& action);
  void AnswerLeave(ExchangeId exchange);
  void AnswerHealth(ExchangeId exchange);
  void AnswerStatus(ExchangeId exchange);
  void AnswerConfig(ExchangeId exchange);
  void AnswerMetrics(ExchangeId exchange);
  void AnswerExplain(ExchangeId exchange, const RequestKey& key);
  void AnswerExplain(ExchangeId exchange, const WorkerName& worker);

  DaemonSettings settings_;
  SteadyClock clock_;
  HostCore core_;
  ControlLoop loop_;
  HttpClient client_;
  Metrics metrics_;                            // Control thread only.
  std::map<HostName, ListEntry> entry_hosts_;  // Control thread only: the last known list entry of each entry host.
  std::atomic<bool> leaving_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  bool drained_ = false;  // Guarded by mutex_: no request is open in the core.
  bool stopped_ = false;  // Guarded by mutex_: the control loop has returned.
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_
