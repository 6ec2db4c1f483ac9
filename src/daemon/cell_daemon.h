// One host of a cell on the platform: the host's logic, which runs on the control thread, and its ports.
#ifndef HIBISCUSSTAND_SRC_DAEMON_CELL_DAEMON_H_
#define HIBISCUSSTAND_SRC_DAEMON_CELL_DAEMON_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cell/host.h"
#include "daemon/metrics.h"
#include "daemon/task_loop.h"
#include "platform/ingress.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "ports/boot_clock.h"
#include "ports/event_log.h"
#include "ports/frame_link.h"
#include "ports/http_client.h"
#include "ports/http_server.h"

namespace hibiscus {

struct CellDaemonSettings {
  cell::CellSettings cell;
  HttpServerOptions callers;
  HttpServerOptions balancer;
  HttpServerOptions metrics;
  std::string store_address;
  ConnectionLimits worker_connections;  // To each worker.
  Duration grace_period = 6s;           // The platform kills the process this long after SIGTERM.
};

class CellDaemon {
 public:
  explicit CellDaemon(const CellDaemonSettings& settings);
  ~CellDaemon();
  CellDaemon(const CellDaemon&) = delete;
  CellDaemon& operator=(const CellDaemon&) = delete;

  void Run();    // Returns after a completed planned stop or after Stop.
  void Leave();  // Begins a planned stop. Thread-safe, like Stop and Reload.
  void Stop();   // Stops immediately.
  // Applies the settings that can change at run time; logs whether others changed, which need a restart.
  void Reload(const CellDaemonSettings& settings);
  void LogEvent(const char* part, const std::string& text) { log_.Write(part, text); }

 private:
  // Collects the messages of one round of the control loop, to send them together.
  class PeerBatcher final : public cell::PeerPort {
   public:
    void Send(const std::string& address, std::string message) override {
      queued_[address].push_back(std::move(message));
    }
    void Flush(FrameLink& link);

   private:
    std::map<std::string, std::vector<std::string>> queued_;
  };

  void AfterRound();
  void AnswerMetrics(uint64_t exchange);
  std::string RenderMetrics();
  void StopAfterLeave();

  CellDaemonSettings settings_;
  BootClock clock_;
  SystemWallClock wall_clock_;
  cell::Timers timers_{clock_};
  EventLog log_;
  cell::Counters counters_;
  std::map<std::string, std::map<std::string, Histogram>> durations_;  // Control thread only. By metric name and class.
  PeerBatcher peer_batcher_;
  std::unique_ptr<FrameLink> link_;
  TaskLoop loop_;
  HttpClient advice_http_;
  HttpClient worker_http_;
  HttpClient store_http_;  // Separate, so that replies of the store do not queue behind those of many workers.
  platform::Directory directory_;
  platform::StoreClient store_;
  platform::WorkerClient workers_;
  platform::AdviceClient advice_;
  cell::Context context_;
  std::unique_ptr<cell::Host> host_;
  std::unique_ptr<platform::Ingress> ingress_;
  std::unique_ptr<HttpServer> metrics_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool leaving_ = false;  // Guarded by mutex_.
  bool stopped_ = false;  // Guarded by mutex_.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_CELL_DAEMON_H_
