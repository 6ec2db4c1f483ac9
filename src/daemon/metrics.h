// What a host counts and measures, and its text for Prometheus. Histograms are accumulator sets of Boost.Accumulators.
// Belongs to the control thread.
#ifndef HIBISCUSSTAND_SRC_DAEMON_METRICS_H_
#define HIBISCUSSTAND_SRC_DAEMON_METRICS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.h"

namespace hibiscus {

// Durations in buckets with fixed bounds, so that the histograms of several hosts can be added.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  void Add(Duration value);

  static const std::vector<double>& BoundsSeconds();
  // How many values lie at or below the bound with this index; one more index than bounds counts all.
  uint64_t CumulativeCount(size_t bound) const;
  uint64_t count() const;
  double sum_seconds() const;
  double max_seconds() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// One histogram as Prometheus reads it; `labels` are key="value" words, at least one.
void RenderHistogram(std::string& text, const std::string& name, const std::string& labels, const Histogram& histogram);

// Names of the kinds of message between hosts, in the order of PeerMessage.
std::string_view PeerMessageKind(const PeerMessage& message);

// Values that are read when the text is asked for.
struct Gauges {
  size_t workers_leased = 0;
  size_t workers_quarantined = 0;
  size_t requests_active = 0;
  size_t queued_tasks = 0;
  size_t queued_calls = 0;
  size_t live_hosts = 0;
  uint64_t config_version = 0;
  bool leaving = false;
  size_t caller_connections = 0;
  uint64_t peer_deliveries_lost = 0;

  friend auto operator<=>(const Gauges&, const Gauges&) = default;
};

class Metrics {
 public:
  explicit Metrics(DataCentre local_centre) : local_centre_(std::move(local_centre)) {}

  void OnObserved(const Observed& observation);
  void OnAnswer(ResultCode code) { ++answers_[code]; }
  void OnPeerSent(const HostName& to, const DataCentre& centre, const PeerMessage& message, size_t bytes);
  void OnStoreCall(StoreOp op) { ++store_calls_[op]; }
  void OnWorkerCall(WorkerOp op) { ++worker_calls_[op]; }
  void OnServerCall(ServerOp op) { ++server_calls_[op]; }

  std::string Render(const Gauges& gauges) const;

 private:
  // Who a histogram belongs to.
  struct SeriesKey {
    std::string tenant;
    std::string class_name;
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
  };
  struct Series {
    Histogram wait_time;
    Histogram total_time;
  };
  // Whom control traffic goes to, or of which kind it is.
  struct TrafficKey {
    DataCentre centre;
    std::string name;
    friend auto operator<=>(const TrafficKey&, const TrafficKey&) = default;
  };
  struct Traffic {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };

  void RenderHistograms(std::string& text, const char* name, Histogram Series::*member) const;
  void RenderTraffic(std::string& text) const;

  DataCentre local_centre_;
  std::map<SeriesKey, Series> series_;
  std::map<ResultCode, uint64_t> answers_;
  std::map<TrafficKey, Traffic> by_peer_;
  std::map<TrafficKey, Traffic> by_kind_;
  std::map<StoreOp, uint64_t> store_calls_;
  std::map<WorkerOp, uint64_t> worker_calls_;
  std::map<ServerOp, uint64_t> server_calls_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_METRICS_H_
