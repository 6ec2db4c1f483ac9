#include "daemon/metrics.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <variant>

#include <fmt/core.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace hibiscus {

namespace {

// Upper bounds of the buckets in seconds. One more bucket counts larger values.
constexpr std::array<double, 16> kBounds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
                                            0.5,   1.0,   2.0,   5.0,  10.0, 30.0, 60.0, 300.0};
constexpr size_t kMaxSeries = 1000;  // Pairs of tenant and class. Further tenants are counted as kOverflowTenant.
constexpr char kOverflowTenant[] = "other";

using BucketCounts = std::array<uint64_t, kBounds.size() + 1>;

// Accumulator that counts values per bucket.
struct BucketCountsImpl : boost::accumulators::accumulator_base {
  using result_type = const BucketCounts&;  // NOLINT(readability-identifier-naming): the library's name.

  explicit BucketCountsImpl(boost::accumulators::dont_care /*args*/) {}

  template <class Args>
  void operator()(const Args& args) {
    const double value = args[boost::accumulators::sample];
    const auto bucket = std::lower_bound(kBounds.begin(), kBounds.end(), value) - kBounds.begin();
    ++counts_[static_cast<size_t>(bucket)];
  }

  result_type result(boost::accumulators::dont_care /*args*/) const { return counts_; }  // NOLINT: the library's name.

 private:
  BucketCounts counts_{};
};

struct BucketCountsTag : boost::accumulators::depends_on<> {
  using impl = boost::mpl::always<BucketCountsImpl>;  // NOLINT: the library's name.
};

const boost::accumulators::extractor<BucketCountsTag> kBucketCounts = {};

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

// In the order of PeerMessage.
constexpr std::string_view kPeerMessageKinds[] = {"heartbeat",      "forward_request", "forward_answer",
                                                  "forward_moved",  "forward_cancel",  "forward_query",
                                                  "reserve",        "reserved",        "commit",
                                                  "release_hold",   "stop_run",        "run_report",
                                                  "run_report_ack", "call_dispatch",   "call_result",
                                                  "claim",          "claim_answer",    "config_push",
                                                  "digest",         "centre_claim",    "centre_claim_answer",
                                                  "claim_retract",  "log_append",      "log_appended",
                                                  "log_lookup",     "log_found",       "log_resume",
                                                  "log_resumed"};
static_assert(std::size(kPeerMessageKinds) == std::variant_size_v<PeerMessage>, "each kind of message needs a name");

constexpr std::string_view kStoreOps[] = {"get", "put", "delete", "watch"};
constexpr std::string_view kWorkerOps[] = {"acquire", "start", "stop", "release"};
constexpr std::string_view kServerOps[] = {"probe", "execute"};

template <class Op, size_t Count>
void RenderOps(std::string& text,
               const char* name,
               const std::string_view (&names)[Count],
               const std::map<Op, uint64_t>& counts) {
  text += fmt::format("# TYPE {} counter\n", name);
  for (const auto& [op, count] : counts) {
    text += fmt::format("{}{{op=\"{}\"}} {}\n", name, names[static_cast<size_t>(op)], count);
  }
}

void RenderGauge(std::string& text, const char* name, uint64_t value) {
  text += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value);
}

}  // namespace

struct Histogram::State {
  boost::accumulators::accumulator_set<double,
                                       boost::accumulators::stats<boost::accumulators::tag::count,
                                                                  boost::accumulators::tag::sum,
                                                                  boost::accumulators::tag::max,
                                                                  BucketCountsTag>>
      values;
};

Histogram::Histogram() : state_(std::make_unique<State>()) {}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Add(Duration value) {
  state_->values(std::chrono::duration<double>(value).count());
}

const std::vector<double>& Histogram::BoundsSeconds() {
  static const std::vector<double> kBoundsVector(kBounds.begin(), kBounds.end());
  return kBoundsVector;
}

uint64_t Histogram::CumulativeCount(size_t bound) const {
  const BucketCounts& counts = kBucketCounts(state_->values);
  uint64_t sum = 0;
  for (size_t i = 0; i <= bound && i < counts.size(); ++i) {
    sum += counts[i];
  }
  return sum;
}

uint64_t Histogram::count() const {
  return boost::accumulators::count(state_->values);
}

double Histogram::sum_seconds() const {
  return boost::accumulators::sum(state_->values);
}

double Histogram::max_seconds() const {
  return count() == 0 ? 0.0 : boost::accumulators::max(state_->values);
}

std::string_view PeerMessageKind(const PeerMessage& message) {
  return kPeerMessageKinds[message.index()];
}

void Metrics::OnObserved(const RequestObservation& observation) {
  SeriesKey key{observation.tenant, observation.class_name};
  if (series_.size() >= kMaxSeries && !series_.contains(key)) {
    key.tenant = kOverflowTenant;
  }
  Series& series = series_[key];
  Histogram& histogram =
      observation.milestone == RequestObservation::Milestone::kStarted ? series.wait_time : series.total_time;
  histogram.Add(observation.elapsed);
}

void Metrics::OnPeerSent(const HostName& to, const DataCentre& centre, const PeerMessage& message, size_t bytes) {
  for (Traffic* traffic : {&by_peer_[TrafficKey{centre, to}],  //
                           &by_kind_[TrafficKey{centre, std::string(PeerMessageKind(message))}]}) {
    ++traffic->messages;
    traffic->bytes += bytes;
  }
}

std::string Metrics::Render(const Gauges& gauges) const {
  std::string text;
  RenderHistograms(text, "hibiscus_waiting_seconds", &Series::wait_time);
  RenderHistograms(text, "hibiscus_total_seconds", &Series::total_time);
  text += "# TYPE hibiscus_answers_total counter\n";
  for (const auto& [code, count] : answers_) {
    text += fmt::format("hibiscus_answers_total{{code=\"{}\",name=\"{}\"}} {}\n", static_cast<int>(code),
                        InfoOf(code).name, count);
  }
  RenderTraffic(text);
  RenderOps(text, "hibiscus_store_calls_total", kStoreOps, store_calls_);
  RenderOps(text, "hibiscus_worker_calls_total", kWorkerOps, worker_calls_);
  RenderOps(text, "hibiscus_server_calls_total", kServerOps, server_calls_);
  RenderGauge(text, "hibiscus_workers_leased", gauges.workers_leased);
  RenderGauge(text, "hibiscus_workers_quarantined", gauges.workers_quarantined);
  RenderGauge(text, "hibiscus_requests_active", gauges.requests_active);
  RenderGauge(text, "hibiscus_queued_tasks", gauges.queued_tasks);
  RenderGauge(text, "hibiscus_queued_calls", gauges.queued_calls);
  RenderGauge(text, "hibiscus_live_hosts", gauges.live_hosts);
  RenderGauge(text, "hibiscus_config_version", gauges.config_version);
  RenderGauge(text, "hibiscus_leaving", gauges.leaving ? 1 : 0);
  RenderGauge(text, "hibiscus_caller_connections", gauges.caller_connections);
  RenderGauge(text, "hibiscus_peer_deliveries_lost", gauges.peer_deliveries_lost);
  return text;
}

void RenderHistogram(std::string& text,
                     const std::string& name,
                     const std::string& labels,
                     const Histogram& histogram) {
  const std::vector<double>& bounds = Histogram::BoundsSeconds();
  for (size_t i = 0; i < bounds.size(); ++i) {
    text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, bounds[i], histogram.CumulativeCount(i));
  }
  text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, histogram.count());
  text += fmt::format("{}_sum{{{}}} {}\n", name, labels, histogram.sum_seconds());
  text += fmt::format("{}_count{{{}}} {}\n", name, labels, histogram.count());
}

void Metrics::RenderHistograms(std::string& text, const char* name, Histogram Series::*member) const {
  text += fmt::format("# TYPE {} histogram\n", name);
  for (const auto& [key, series] : series_) {
    const Histogram& histogram = series.*member;
    if (histogram.count() == 0) {
      continue;
    }
    const std::string labels =
        fmt::format("tenant=\"{}\",class=\"{}\"", EscapeLabel(key.tenant), EscapeLabel(key.class_name));
    RenderHistogram(text, name, labels, histogram);
  }
}

void Metrics::RenderTraffic(std::string& text) const {
  const auto render = [&](const char* name, const char* label, const auto& traffic_map, uint64_t Traffic::*member) {
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto& [key, traffic] : traffic_map) {
      text += fmt::format("{}{{from=\"{}\",to=\"{}\",{}=\"{}\"}} {}\n", name, EscapeLabel(local_centre_),
                          EscapeLabel(key.centre), label, EscapeLabel(key.name), traffic.*member);
    }
  };
  render("hibiscus_peer_bytes_total", "peer", by_peer_, &Traffic::bytes);
  render("hibiscus_peer_messages_total", "peer", by_peer_, &Traffic::messages);
  render("hibiscus_kind_bytes_total", "kind", by_kind_, &Traffic::bytes);
  render("hibiscus_kind_messages_total", "kind", by_kind_, &Traffic::messages);
}

}  // namespace hibiscus
