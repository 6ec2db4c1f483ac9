#include "daemon/cell_daemon.h"

#include <utility>

#include <fmt/core.h>

namespace hibiscus {

namespace {

// The platform's balancer checks readiness once a second and removes a host after two failed checks.
constexpr Duration kBalancerRemovalDelay = 2500ms;
// A host that loses power leaves its connections open at the workers, which cannot tell. Most orders find a connection
// that is younger.
constexpr std::chrono::seconds kWorkerIdleTimeout(2);
constexpr Duration kExitMargin = 700ms;  // Left between the end of the drain and the kill by the platform.

}  // namespace

CellDaemon::CellDaemon(const CellDaemonSettings& settings)
    : settings_(settings),
      log_(EventLogOptions{.host = settings.cell.name}, clock_),
      loop_(timers_, clock_, [this] { AfterRound(); }),
      worker_http_(HttpClientOptions{settings.worker_connections, kWorkerIdleTimeout}),
      store_(
          store_http_,
          [this](std::function<void()> work) { loop_.PostUrgent(std::move(work)); },
          settings.store_address),
      workers_(
          worker_http_,
          [this](std::function<void()> work) { loop_.Post(std::move(work)); },
          log_),
      advice_(
          advice_http_,
          [this](std::function<void()> work) { loop_.Post(std::move(work)); },
          settings.cell.advice_address),
      context_{settings.cell, clock_,   wall_clock_, timers_,
               store_,        workers_, advice_,     peer_batcher_,
               directory_,    log_,     counters_,   std::mt19937_64(settings.cell.incarnation)} {
  counters_.on_duration = [this](const char* name, const std::string& class_name, Duration value) {
    durations_[name][class_name].Add(value);
  };
  host_ = std::make_unique<cell::Host>(
      context_, [this](const cell::CellConfiguration& configuration) { ingress_->OnConfiguration(configuration); });
  ingress_ = std::make_unique<platform::Ingress>(
      *host_, [this](std::function<void()> work) { loop_.Post(std::move(work)); }, clock_);
  link_ = std::make_unique<FrameLink>(settings_.cell.peer_address, [this](std::string bytes) {
    loop_.Post([this, bytes = std::move(bytes)] { host_->OnPeerMessage(bytes); });
  });
  ingress_->Open(settings_.callers, settings_.balancer);
  metrics_ = std::make_unique<HttpServer>(
      settings_.metrics, [this](uint64_t exchange, const HttpRequest& /*request*/) { AnswerMetrics(exchange); });
}

CellDaemon::~CellDaemon() = default;

void CellDaemon::Run() {
  LogEvent("daemon", fmt::format("event=start data_centre={} incarnation={} peer={} store={} advice={}",
                                 settings_.cell.data_centre, settings_.cell.incarnation, settings_.cell.peer_address,
                                 settings_.store_address, settings_.cell.advice_address));
  std::thread leave_thread([this] { StopAfterLeave(); });
  host_->Begin();
  loop_.Run();
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
  leave_thread.join();
  LogEvent("daemon", "event=stop");
}

void CellDaemon::AfterRound() {
  peer_batcher_.Flush(*link_);
  ingress_->SetReady(host_->ready());
}

void CellDaemon::PeerBatcher::Flush(FrameLink& link) {
  for (auto& [address, messages] : queued_) {
    link.Send(address, std::move(messages));
  }
  queued_.clear();
}

void CellDaemon::Leave() {
  {
    const std::lock_guard lock(mutex_);
    if (leaving_) {
      return;
    }
    leaving_ = true;
  }
  LogEvent("daemon", "event=leaving reason=signal");
  loop_.Post([this] { host_->Leave([this] { LogEvent("daemon", "event=left_the_cell"); }); });
  wake_.notify_all();
}

// Runs a planned stop: keeps serving until the balancer has removed the host, then finishes open requests.
void CellDaemon::StopAfterLeave() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [&] { return leaving_ || stopped_; });
  if (stopped_) {
    return;
  }
  wake_.wait_for(lock, kBalancerRemovalDelay, [&] { return stopped_; });
  lock.unlock();
  ingress_->Drain(settings_.grace_period - kBalancerRemovalDelay - kExitMargin);
  loop_.Stop();
}

void CellDaemon::Stop() {
  loop_.Stop();
}

void CellDaemon::Reload(const CellDaemonSettings& settings) {
  loop_.Post([this, settings] {
    const bool needs_restart = settings.cell.peer_address != settings_.cell.peer_address ||
                               settings.callers.address != settings_.callers.address ||
                               settings.callers.port != settings_.callers.port ||
                               settings.worker_connections != settings_.worker_connections;
    cell::CellSettings cell = settings.cell;
    cell.incarnation = settings_.cell.incarnation;
    cell.peer_address = settings_.cell.peer_address;
    cell.name = settings_.cell.name;
    context_.settings = cell;
    store_.SetAddress(settings.store_address);
    advice_.SetAddress(cell.advice_address);
    LogEvent("daemon", fmt::format("event=reloaded store={} advice={} restart_needed={}", settings.store_address,
                                   cell.advice_address, needs_restart));
  });
}

// --- Metrics ---

void CellDaemon::AnswerMetrics(uint64_t exchange) {
  loop_.Post([this, exchange] {
    metrics_->Reply(exchange, HttpReply{200, RenderMetrics(), "text/plain; version=0.0.4"});
  });
}

std::string CellDaemon::RenderMetrics() {
  host_->UpdateGauges();
  counters_.Set("peer_deliveries_lost", static_cast<double>(link_->lost()));
  const HttpConnectionCounts connections = worker_http_.connection_counts();
  counters_.Set("worker_connections", static_cast<double>(connections.open));
  counters_.Set("worker_connections_to_one", static_cast<double>(connections.open_to_one));
  counters_.Set("worker_connections_opened", static_cast<double>(connections.opened));
  counters_.Set("worker_connections_refused", static_cast<double>(connections.refused));
  std::string text;
  for (const auto& [name, value] : counters_.values()) {
    text += fmt::format("hibiscus_{} {}\n", name, value);
  }
  for (const auto& [name, histograms] : durations_) {
    text += fmt::format("# TYPE hibiscus_{} histogram\n", name);
    for (const auto& [class_name, histogram] : histograms) {
      RenderHistogram(text, "hibiscus_" + name, fmt::format("class=\"{}\"", class_name), histogram);
    }
  }
  return text;
}

}  // namespace hibiscus
