// Synthetic workload of one customer's day, described in workloads/*.json: which requests arrive, how often, how large,
// and how far their declared run times are off. Generated from a seed, so that it can be reproduced.
#ifndef HIBISCUSSTAND_STANDINS_DAY_H_
#define HIBISCUSSTAND_STANDINS_DAY_H_

#include <random>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"

namespace hibiscus {

// An inclusive range of integers for uniform random values.
struct DrawRange {
  int64_t min = 0;
  int64_t max = 0;

  friend bool operator==(const DrawRange&, const DrawRange&) = default;
  int64_t Draw(std::mt19937_64& random) const;
};

// Requests of one class and tenant with exponentially distributed gaps between arrivals.
struct DayStream {
  std::string class_name;
  std::string tenant;
  double per_second = 1.0;
  DrawRange cpu_millis;
  DrawRange memory_mb;
  DrawRange accelerators;
  DrawRange members{1, 1};
  DrawRange run_ms{0, 0};
  double wrong_share = 0.0;   // Share of requests whose declared run time is wrong.
  double wrong_factor = 1.0;  // Ratio of their actual to their declared run time.

  friend bool operator==(const DayStream&, const DayStream&) = default;
};

struct Day {
  double seconds = 20.0;
  std::vector<DayStream> streams;
  std::vector<ClassSpec> classes;

  friend bool operator==(const Day&, const Day&) = default;
  const ClassSpec* FindClass(const std::string& name) const;
};

// One request of the day.
struct Arrival {
  Duration at = 0us;  // Offset from the start of the day.
  Request request;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

// Parses a workload file. The error describes the problem in one sentence.
tl::expected<Day, std::string> ParseDay(const std::string& text);

// Generates all requests of the day in order of arrival. `id_prefix` makes request ids unique to one run.
std::vector<Arrival> GenerateArrivals(const Day& day, uint64_t seed, const std::string& id_prefix);

// Body of a complete answer to the request: the expected bodies of all members, concatenated.
std::string ExpectedAnswer(const Request& request);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_DAY_H_
