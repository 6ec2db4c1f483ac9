// Metrics: histograms per tenant and class, control traffic per peer, link and kind.
#include "daemon/metrics.h"

#include <string>

#include <catch2/catch.hpp>

#include "ports/explain_api.h"

namespace hibiscus {

namespace {

bool Has(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE("a histogram counts a value at its bound, and all values above the last") {
  Histogram histogram;
  histogram.Add(1ms);
  histogram.Add(1001us);
  histogram.Add(1h);
  CHECK(histogram.CumulativeCount(0) == 1);
  CHECK(histogram.CumulativeCount(1) == 2);
  CHECK(histogram.CumulativeCount(Histogram::BoundsSeconds().size()) == 3);
  CHECK(histogram.count() == 3);
  CHECK(histogram.max_seconds() == 3600.0);
}

TEST_CASE("waiting and total time stand per tenant and class") {
  Metrics metrics("dc-a");
  metrics.OnObserved(RequestObservation{RequestObservation::Milestone::kStarted, "t", "c", 3ms});
  metrics.OnObserved(RequestObservation{RequestObservation::Milestone::kEnded, "t", "c", 30ms});
  metrics.OnObserved(RequestObservation{RequestObservation::Milestone::kEnded, "odd\"name", "c", 30ms});
  const std::string text = metrics.Render(Gauges{});
  CHECK(Has(text, R"(hibiscus_waiting_seconds_bucket{tenant="t",class="c",le="0.002"} 0)"));
  CHECK(Has(text, R"(hibiscus_waiting_seconds_bucket{tenant="t",class="c",le="0.005"} 1)"));
  CHECK(Has(text, R"(hibiscus_waiting_seconds_count{tenant="t",class="c"} 1)"));
  CHECK(Has(text, R"(hibiscus_total_seconds_bucket{tenant="t",class="c",le="+Inf"} 1)"));
  CHECK(Has(text, R"(hibiscus_total_seconds_count{tenant="odd\"name",class="c"} 1)"));
}

TEST_CASE("control traffic stands per peer and per kind, with its link") {
  Metrics metrics("dc-a");
  metrics.OnPeerSent("b1", "dc-b", Heartbeat{}, 40);
  metrics.OnPeerSent("b1", "dc-b", Heartbeat{}, 40);
  metrics.OnPeerSent("b2", "dc-b", Claim{}, 7);
  metrics.OnStoreCall(StoreOp::kWatch);
  metrics.OnAnswer(ResultCode::kOverloaded);
  const std::string text = metrics.Render(Gauges{});
  CHECK(Has(text, R"(hibiscus_peer_bytes_total{from="dc-a",to="dc-b",peer="b1"} 80)"));
  CHECK(Has(text, R"(hibiscus_peer_messages_total{from="dc-a",to="dc-b",peer="b2"} 1)"));
  CHECK(Has(text, R"(hibiscus_kind_bytes_total{from="dc-a",to="dc-b",kind="claim"} 7)"));
  CHECK(Has(text, R"(hibiscus_kind_messages_total{from="dc-a",to="dc-b",kind="heartbeat"} 2)"));
  CHECK(Has(text, R"(hibiscus_store_calls_total{op="watch"} 1)"));
  CHECK(Has(text, R"(hibiscus_answers_total{code="200",name="overloaded"} 1)"));
}

TEST_CASE("quarantined workers stand in the metrics and in the explanation of the worker") {
  Gauges gauges;
  gauges.workers_quarantined = 2;
  CHECK(Has(Metrics("dc-a").Render(gauges), "hibiscus_workers_quarantined 2"));
  WorkerExplanation view;
  view.leased = true;
  view.quarantine = QuarantineState{true, 3, 5s, 1s};
  const std::string text = RenderExplanation(view);
  CHECK(text.find(R"("quarantined":true)") != std::string::npos);
  CHECK(text.find(R"("requests_failed":3)") != std::string::npos);
  CHECK(text.find(R"("probe_in_ms":1000)") != std::string::npos);
}

TEST_CASE("endless new tenants do not grow the metrics without end") {
  Metrics metrics("dc-a");
  for (int i = 0; i < 3000; ++i) {
    metrics.OnObserved(RequestObservation{RequestObservation::Milestone::kEnded, "t" + std::to_string(i), "c", 1ms});
  }
  CHECK(Has(metrics.Render(Gauges{}), R"(hibiscus_total_seconds_count{tenant="other",class="c"} 2000)"));
}

}  // namespace hibiscus
