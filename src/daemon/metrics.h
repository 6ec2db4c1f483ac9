// Metrics of a host in the text format of Prometheus. Histograms use Boost.Accumulators. Control thread only.
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

// Counts durations in buckets. The bounds are fixed, so that histograms of several hosts can be added.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  void Add(Duration value);

  static const std::vector<double>& BoundsSeconds();
  // Number of values at or below the bound with this index. The index after the last bound counts all values.
  uint64_t CumulativeCount(size_t bound) const;
  uint64_t count() const;
  double sum_seconds() const;
  double max_seconds() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Appends a histogram in Prometheus format. `labels` is a comma-separated list of key="value", not empty.
void RenderHistogram(std::string& text, const std::string& name, const std::string& labels, const Histogram& histogram);

// Name of a message's type, as in metrics.
std::string_view PeerMessageKind(const PeerMessage& message);

// Current values, sampled for each rendering.
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

  void OnObserved(const RequestObservation& observation);
  void OnAnswer(ResultCode code) { ++answers_[code]; }
  void OnPeerSent(const HostName& to, const DataCentre& centre, const PeerMessage& message, size_t bytes);
  void OnStoreCall(StoreOp op) { ++store_calls_[op]; }
  void OnWorkerCall(WorkerOp op) { ++worker_calls_[op]; }
  void OnServerCall(ServerOp op) { ++server_calls_[op]; }

  std::string Render(const Gauges& gauges) const;

 private:
  // Labels of a histogram.
  struct SeriesKey {
    std::string tenant;
    std::string class_name;
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
  };
  struct Series {
    Histogram wait_time;
    Histogram total_time;
  };
  // Labels of a traffic counter: the receiver's data centre, and the receiver's name or the kind of message.
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
