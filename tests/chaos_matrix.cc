#include "tests/chaos_matrix.h"

#include <algorithm>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr Duration kJustDone = 100ms;  // A step this old still counts as struck by a fault that begins.
constexpr Duration kAftermath = 1s;    // A fault of no length is felt for this long.

constexpr std::string_view kNames[kFaultCount] = {
    "host killed",      "host paused",    "messages lost",
    "messages late",    "link cut",       "cut from store",
    "store down",       "store slow",     "store answer lost",
    "worker restarted", "worker cut",     "worker fails all",
    "wrong run times",  "impossible job", "cancel wave",
    "racing operators", "server leaves",  "server dies",
    "planned stop",     "host cut",       "host cut from workers",
    "worker gone",
};

}  // namespace

std::string_view NameOf(Fault fault) {
  return kNames[static_cast<size_t>(fault)];
}

void FaultMatrix::Add(const FaultMatrix& other) {
  for (size_t fault = 0; fault < kFaultCount; ++fault) {
    for (size_t step = 0; step < kStepCount; ++step) {
      hits[fault][step] += other.hits[fault][step];
    }
  }
}

std::string FaultMatrix::ToMarkdown(uint64_t first_seed, uint64_t last_seed) const {
  std::string page = "# Fault matrix\n\n";
  page += fmt::format("Written by `hibiscus_chaos --matrix --seeds={}..{}`. Do not edit.\n\n", first_seed, last_seed);
  page +=
      "Rows are the steps of `src/core/steps.h`, columns the faults of `tests/chaos_matrix.h`. A cell counts how often "
      "a host of the struck data centre passed the step while the fault lasted (or within 1 s of a fault of no "
      "length), "
      "or in the 100 ms before it began. 0 means not covered.\n\n| step |";
  for (const std::string_view name : kNames) {
    page += fmt::format(" {} |", name);
  }
  page += "\n|---|";
  for (size_t fault = 0; fault < kFaultCount; ++fault) {
    page += "---:|";
  }
  size_t empty = 0;
  for (size_t step = 0; step < kStepCount; ++step) {
    page += fmt::format("\n| {} |", kStepNames[step]);
    for (const auto& row : hits) {
      page += fmt::format(" {} |", row[step]);
      empty += row[step] == 0 ? 1 : 0;
    }
  }
  page += fmt::format("\n\n{} of {} cells are not covered", empty, kFaultCount * kStepCount);
  return page + (empty == 0 ? ".\n" : ":\n" + Uncovered());
}

std::string FaultMatrix::Uncovered() const {
  std::string lines;
  for (size_t fault = 0; fault < kFaultCount; ++fault) {
    for (size_t step = 0; step < kStepCount; ++step) {
      if (hits[fault][step] == 0) {
        lines += fmt::format("\n- {} at {}", kNames[fault], kStepNames[step]);
      }
    }
  }
  return lines + "\n";
}

void MatrixRecorder::OnStep(TimePoint now, const DataCentre& where, Step step) {
  for (const Active& active : active_) {
    if (now <= active.until && (active.where.empty() || active.where == where)) {
      Count(active.fault, step);
    }
  }
  passed_.push_back(Passed{now, where, step});
  while (passed_.front().at + kJustDone < now) {
    passed_.pop_front();
  }
}

void MatrixRecorder::OnFault(TimePoint now, const DataCentre& where, Fault fault, Duration length) {
  for (const Passed& passed : passed_) {
    if (passed.at + kJustDone >= now && (where.empty() || where == passed.where)) {
      Count(fault, passed.step);
    }
  }
  active_.push_back(Active{now + std::max(length, kAftermath), where, fault});
}

}  // namespace hibiscus
