// A customer's day, as workloads/*.json describes it: which requests arrive, how often, how large, and how far off
// their declarations are. Drawn from a seed, so that a day can be had again.
#ifndef HIBISCUSSTAND_STANDINS_DAY_H_
#define HIBISCUSSTAND_STANDINS_DAY_H_

#include <random>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"

namespace hibiscus {

// A range to draw whole numbers from, both ends included.
struct DrawRange {
  int64_t min = 0;
  int64_t max = 0;

  friend bool operator==(const DrawRange&, const DrawRange&) = default;
  int64_t Draw(std::mt19937_64& random) const;
};

// Requests of one class and tenant that arrive at random moments.
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
  double wrong_factor = 1.0;  // These run so many times their declared time.

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
  Duration at = 0us;  // From the day's begin.
  Request request;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

// The error names what is wrong in one sentence.
tl::expected<Day, std::string> ParseDay(const std::string& text);

// All requests of the day, in order of arrival. `id_prefix` keeps the ids of two runs apart.
std::vector<Arrival> GenerateArrivals(const Day& day, uint64_t seed, const std::string& id_prefix);

// What the whole answer to a request of the day says.
std::string ExpectedAnswer(const Request& request);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_DAY_H_
