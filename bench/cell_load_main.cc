// Plays a deployment's load on a cell in virtual time and prints how each class was served.
//   hibiscus_cell_load --deployment=small --seeds=1..5
//   hibiscus_cell_load --deployment=large --length_s=8 --burst=quick:2:2:4
#include <cstdio>
#include <ctime>
#include <optional>
#include <string>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "bench/cell_load.h"
#include "standins/seed_range.h"

DEFINE_string(deployment, "small", "small (48 workers), large (350) or fleet (1100)");
DEFINE_string(seeds, "1..1", "first..last");
DEFINE_double(length_s, 20, "seconds of traffic");
DEFINE_double(load, 1, "times the deployment's usual rate");
DEFINE_int32(event_cost_us, 0, "processor time of a host for each event, in microseconds");
DEFINE_string(without, "", "a policy to switch off, by its name in cell/policies.h");
DEFINE_bool(log, false, "prints what the hosts log; for one seed");
DEFINE_string(burst, "", "QUEUE:FACTOR:AT:SECONDS, many jobs of one class at once");

namespace hibiscus::cell {
namespace {

LoadBurst ParseBurst(const std::string& text) {
  LoadBurst burst;
  const size_t colon = text.find(':');
  burst.queue = text.substr(0, colon);
  double at = 0;
  double length = 0;
  if (colon == std::string::npos ||
      std::sscanf(text.c_str() + colon, ":%lf:%lf:%lf", &burst.factor, &at, &length) != 3) {
    throw std::runtime_error("--burst is QUEUE:FACTOR:AT:SECONDS, not " + text);
  }
  burst.at = Duration(static_cast<int64_t>(at * 1e6));
  burst.length = Duration(static_cast<int64_t>(length * 1e6));
  return burst;
}

std::optional<LoadOptions> DeploymentNamed(const std::string& name) {
  if (name == "small") {
    return SmallDeployment();
  }
  if (name == "large") {
    return LargeDeployment();
  }
  if (name == "fleet") {
    return FleetDeployment();
  }
  return std::nullopt;
}

// Empty: none. False if there is no such policy.
bool SwitchOff(const std::string& name, Policies& policies) {
  for (const NamedPolicy& policy : kNamedPolicies) {
    if (policy.name == name) {
      policies.*policy.on = false;
      return true;
    }
  }
  return name.empty();
}

void Print(uint64_t seed, const LoadOutcome& outcome, double processor_s) {
  fmt::print("seed {}: {} starts, {:.0f} s of advice, {:.2f} s of processor time, {} rules broken\n", seed,
             outcome.starts, outcome.advice_seconds, processor_s, outcome.violations.size());
  fmt::print("{:10} {:>6} {:>7} {:>6} {:>8} {:>10} {:>9} {:>6} {:>8} {:>8} {:>8}\n", "class", "asked", "in time",
             "late", "refused", "unanswered", "too late", "work", "core s", "p50 ms", "p99 ms");
  for (const auto& [name, of] : outcome.classes) {
    fmt::print("{:10} {:>6} {:>7} {:>6} {:>8} {:>10} {:>9} {:>6.3f} {:>8.0f} {:>8} {:>8}\n", name, of.asked, of.in_time,
               of.late, of.refused, of.unanswered, of.too_late, of.work, of.served, Millis(of.median), Millis(of.p99));
  }
  for (size_t i = 0; i < outcome.violations.size() && i < 5; ++i) {
    fmt::print("  {}\n", outcome.violations[i]);
  }
}

}  // namespace
}  // namespace hibiscus::cell

int main(int argc, char** argv) {
  using hibiscus::cell::LoadClass;
  using hibiscus::cell::LoadOptions;
  using hibiscus::cell::LoadOutcome;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::optional<LoadOptions> deployment = hibiscus::cell::DeploymentNamed(FLAGS_deployment);
  if (!deployment) {
    fmt::print(stderr, "--deployment is small, large or fleet, not {}\n", FLAGS_deployment);
    return 2;
  }
  LoadOptions options = *deployment;
  options.length = hibiscus::Duration(static_cast<int64_t>(FLAGS_length_s * 1e6));
  options.event_cost = std::chrono::microseconds(FLAGS_event_cost_us);
  options.log = FLAGS_log;
  for (LoadClass& of : options.classes) {
    of.jobs_a_second *= FLAGS_load;
  }
  if (!FLAGS_burst.empty()) {
    options.bursts.push_back(hibiscus::cell::ParseBurst(FLAGS_burst));
  }
  if (!hibiscus::cell::SwitchOff(FLAGS_without, options.policies)) {
    fmt::print(stderr, "--without names no policy: {}\n", FLAGS_without);
    return 2;
  }
  const auto [first, last] = hibiscus::ParseSeeds(FLAGS_seeds);
  bool broken = false;
  for (options.seed = first; options.seed <= last; ++options.seed) {
    const std::clock_t begin = std::clock();
    const LoadOutcome outcome = hibiscus::cell::RunLoad(options);
    hibiscus::cell::Print(options.seed, outcome, static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    broken = broken || !outcome.violations.empty();
  }
  return broken ? 1 : 0;
}
