// Serves fakes of a small cell's external systems on one loopback HTTP port: store, host list, workers and backend
// servers, as specified in docs/PLATFORM.md. Run by hibiscus_standin and embedded in tests.
#ifndef HIBISCUSSTAND_STANDINS_STANDIN_H_
#define HIBISCUSSTAND_STANDINS_STANDIN_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ports/http_server.h"
#include "standins/fakes.h"

namespace hibiscus {

struct StandinOptions {
  uint16_t port = 0;                 // 0: any free port.
  std::string hosts_file;            // Host list as a JSON array; read again at each request.
  std::vector<std::string> workers;  // Names.
  Resources worker_capacity{64'000, 262'144, 0};
  std::vector<std::string> servers;  // Names.
  int slots = 8;                     // Concurrent calls per server.
  Duration service_time = 20ms;      // Of a call.
  Duration store_delay = 0us;        // Added before each store call is handled.
  std::string journal_file;          // Journal of the store's writes, replayed at start; empty: none.
};

class Standin {
 public:
  explicit Standin(const StandinOptions& options);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  uint16_t port() const { return http_->port(); }
  void SetHosts(std::string json);  // Used if no hosts file is set.

 private:
  // Processor usage of one worker: the samples for its mean, and the peak.
  struct CpuUsage {
    double cpu_millis_sum = 0.0;
    int64_t cpu_millis_peak = 0;
    int64_t samples = 0;
  };
  // Calls that a backend server received after it began to leave.
  struct LeavingServer {
    TimePoint since;
    uint64_t offers = 0;
    Duration last_offer = 0us;  // Time since it began to leave.
  };
  struct DelayedStoreCall {
    TimePoint due_at;
    HttpServer::ExchangeId exchange = 0;
    std::string body;
  };

  void TickLoop();
  void Tick();
  void OnHttp(HttpServer::ExchangeId exchange, const HttpRequest& request);
  void ReplayJournal();
  void JournalWrite(const StoreCall& call, const StoreReply& reply);
  void CheckFencing(const std::string& worker, const WorkerCall& call, const WorkerReply& reply);
  void CountOffer(const std::string& server, const ServerCall& call);
  void OnStore(HttpServer::ExchangeId exchange, const std::string& body);
  bool OnFaultRequest(HttpServer::ExchangeId exchange, const HttpRequest& request);
  void OnWorker(HttpServer::ExchangeId exchange, const std::string& name, const std::string& body);
  void OnServer(HttpServer::ExchangeId exchange, const std::string& name, const std::string& body);
  void HandleStore(HttpServer::ExchangeId exchange, const std::string& body);
  void ReplyText(HttpServer::ExchangeId exchange, std::string text);
  std::string HostList() const;
  std::string Usage();
  std::string RunLogJson() const;
  std::string StartsOf(const std::string& request) const;

  const StandinOptions options_;
  SteadyClock clock_;
  RunLog log_;
  std::mutex mutex_;
  std::string hosts_;
  Duration store_delay_;
  FakeStore store_;
  std::map<std::string, FakeWorker> workers_;
  std::map<std::string, CpuUsage> cpu_usage_;
  std::map<std::string, FakeServer> servers_;
  std::vector<DelayedStoreCall> delayed_store_calls_;
  std::map<std::string, uint64_t> start_replies_;         // By holder and status.
  std::map<std::string, uint64_t> newest_token_;          // By worker.
  std::map<std::string, LeavingServer> leaving_servers_;  // By backend server.
  std::unique_ptr<HttpServer> http_;
  std::atomic<bool> stopping_{false};
  std::thread ticker_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_STANDIN_H_
