// One host of a cell on the platform: the host's core on the control thread, and the ports around it.
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
  Duration grace_period = 6s;  // After SIGTERM; the platform kills the process then.
};

class CellDaemon {
 public:
  explicit CellDaemon(const CellDaemonSettings& settings);
  ~CellDaemon();
  CellDaemon(const CellDaemon&) = delete;
  CellDaemon& operator=(const CellDaemon&) = delete;

  void Run();    // Returns when the planned stop is complete or Stop was called.
  void Leave();  // Begins the planned stop. Thread-safe, as the next two are.
  void Stop();   // Ends at once.
  // Takes over what may change while the process runs; the rest is said to need a restart.
  void Reload(const CellDaemonSettings& settings);
  void LogEvent(const char* part, const std::string& text) { log_.Write(part, text); }

 private:
  // Messages of one round go out together.
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
  std::map<std::string, std::map<std::string, Histogram>> durations_;  // By name and class. Control thread only.
  PeerBatcher peer_batcher_;
  std::unique_ptr<FrameLink> link_;
  TaskLoop loop_;
  HttpClient http_;
  HttpClient store_http_;  // Apart: the store's answers must not wait behind those of many workers.
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
  bool leaving_ = false;  // Under mutex_.
  bool stopped_ = false;  // Under mutex_.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_CELL_DAEMON_H_
