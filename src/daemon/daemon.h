// One host of the system: the core on its control thread, and the ports around it.
#ifndef HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_
#define HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/control_loop.h"
#include "ports/caller_api.h"
#include "ports/http_client.h"
#include "ports/http_server.h"
#include "ports/peer_link.h"

namespace hibiscus {

struct DaemonSettings {
  HostSettings host;
  HttpServerOptions http;
  std::string peer_address;    // "ip:port" for gRPC.
  std::string store_address;   // "ip:port" of the platform's store.
  std::string list_address;    // "ip:port" of the platform's list.
  Duration list_every = 1s;    // How often the list is read.
  Duration leave_limit = 30s;  // A planned stop takes no longer.
};

class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings);
  ~Daemon();

  void Run();    // Returns when the planned stop is complete or Stop was called.
  void Leave();  // Begins the planned stop.
  void Stop();   // Ends at once.

 private:
  void OnHttp(ExchangeId exchange, const HttpRequest& request);
  void OnList(const HttpResult& result);
  void ReadList();
  void Execute(std::vector<Action> actions);
  void ExecuteOne(Action& action, std::map<HostName, std::vector<PeerMessage>>& to_peers);
  void SendToWorker(const SendWorker& action);
  void SendToServer(const SendServer& action);
  void SendToStore(const SendStore& action);
  void AnswerStatus(ExchangeId exchange);
  void AnswerConfig(ExchangeId exchange);
  void AnswerMetrics(ExchangeId exchange);

  DaemonSettings settings_;
  SteadyClock clock_;
  HostCore core_;
  ControlLoop loop_;
  HttpClient client_;
  std::map<HostName, std::string> peer_addresses_;  // Control thread only.
  std::atomic<bool> leaving_{false};
  std::atomic<uint64_t> store_calls_{0};
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_DAEMON_H_
