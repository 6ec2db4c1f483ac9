#include "hibiscusstand/placement.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr size_t kMaxScanned = 96;                 // Workers scanned from one end of an order.
constexpr size_t kMaxCompared = 12;                // Fitting workers that are compared.
constexpr int64_t kUnlimitedCount = 1'000'000;     // For a size that needs none of a resource.
constexpr double kUnusedAcceleratorPenalty = 100;  // For a worker with accelerators, if the task needs none.

std::array<int64_t, 3> AmountsOf(const Resources& resources) {
  return {resources.cpu_millis, resources.memory_mb, resources.accelerators};
}

double Ratio(int64_t part, int64_t whole) {
  return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double LargestRatio(const Resources& part, const Resources& whole) {
  return std::max({Ratio(part.cpu_millis, whole.cpu_millis), Ratio(part.memory_mb, whole.memory_mb),
                   Ratio(part.accelerators, whole.accelerators)});
}

}  // namespace

CapacityIndex::Id CapacityIndex::Add() {
  entries_.emplace_back();
  return entries_.size() - 1;
}

void CapacityIndex::Update(Id id, const WorkerCapacity& entry) {
  if (entries_[id] == entry) {
    return;
  }
  UpdateIndex(id, false);
  entries_[id] = entry;
  UpdateIndex(id, true);
}

void CapacityIndex::UpdateIndex(Id id, bool add) {
  const WorkerCapacity& entry = entries_[id];
  if (entry.capacity != Resources{}) {
    int& workers = capacities_[entry.capacity];
    workers += add ? 1 : -1;
    if (workers == 0) {
      capacities_.erase(entry.capacity);
    }
  }
  if (!entry.usable) {
    return;
  }
  const std::array<int64_t, kResourceKinds> kinds = AmountsOf(entry.free);
  for (size_t kind = 0; kind < kResourceKinds; ++kind) {
    if (add) {
      by_free_[kind].insert({kinds[kind], id});
    } else {
      by_free_[kind].erase({kinds[kind], id});
    }
  }
  if (add) {
    free_ += entry.free;
    capacity_ += entry.capacity;
  } else {
    free_ -= entry.free;
    capacity_ -= entry.capacity;
  }
}

size_t CapacityIndex::ScarcestKind() const {
  const std::array<int64_t, kResourceKinds> free = AmountsOf(free_);
  const std::array<int64_t, kResourceKinds> capacity = AmountsOf(capacity_);
  size_t scarcest = 0;
  for (size_t kind = 1; kind < 2; ++kind) {  // Accelerators don't matter for tasks that need none.
    if (Ratio(free[kind], capacity[kind]) < Ratio(free[scarcest], capacity[scarcest])) {
      scarcest = kind;
    }
  }
  return scarcest;
}

// Scores a placement, lower is better: the share that would stay free, plus a penalty for an imbalance between free
// processors and free memory.
double CapacityIndex::LeftoverScore(const WorkerCapacity& entry, const Resources& size) const {
  const Resources left = entry.free - size;
  const double processors = Ratio(left.cpu_millis, entry.capacity.cpu_millis);
  const double memory = Ratio(left.memory_mb, entry.capacity.memory_mb);
  const bool wastes_accelerators = size.accelerators == 0 && entry.capacity.accelerators > 0;
  return processors + memory + 2 * std::abs(processors - memory) +
         (wastes_accelerators ? kUnusedAcceleratorPenalty : 0);
}

std::optional<CapacityIndex::Id> CapacityIndex::BestFit(const Resources& size) const {
  const size_t kind = size.accelerators > 0 ? 2 : ScarcestKind();
  const Order& order = by_free_[kind];
  std::optional<Id> best;
  double best_left = 0;
  size_t fitting = 0;
  const auto consider = [&](Id id) {
    const WorkerCapacity& candidate = entries_[id];
    if (!size.FitsIn(candidate.free)) {
      return;
    }
    ++fitting;
    const double left = LeftoverScore(candidate, size);
    if (!best || left < best_left) {
      best = id;
      best_left = left;
    }
  };
  size_t scanned = 0;
  auto entry = order.lower_bound({AmountsOf(size)[kind], 0});
  for (; entry != order.end() && scanned < kMaxScanned && fitting < kMaxCompared; ++entry, ++scanned) {
    consider(entry->second);
  }
  scanned = 0;
  for (auto from_top = order.rbegin(); !best && from_top != order.rend() && scanned < kMaxScanned;
       ++from_top, ++scanned) {
    consider(from_top->second);
  }
  return best;
}

std::optional<CapacityIndex::Id> CapacityIndex::Spread(const Resources& size,
                                                       const std::function<int(Id)>& colocated) const {
  std::optional<Id> best;
  int fewest_colocated = 0;
  size_t scanned = 0;
  size_t fitting = 0;
  const Order& order = by_free_[0];
  for (auto entry = order.rbegin(); entry != order.rend() && scanned < kMaxScanned && fitting < kMaxCompared;
       ++entry, ++scanned) {
    if (!size.FitsIn(entries_[entry->second].free)) {
      continue;
    }
    ++fitting;
    const int count = colocated(entry->second);
    if (!best || count < fewest_colocated) {
      best = entry->second;
      fewest_colocated = count;
    }
  }
  return best;
}

std::optional<CapacityIndex::Id> CapacityIndex::Choose(const Resources& size,
                                                       ChoiceRule rule,
                                                       std::mt19937_64& random) const {
  std::vector<Id> fitting;
  std::vector<double> loads;
  for (Id id = 0; id < entries_.size(); ++id) {
    const WorkerCapacity& candidate = entries_[id];
    if (candidate.usable && size.FitsIn(candidate.free)) {
      fitting.push_back(id);
      loads.push_back(-Ratio(candidate.free.cpu_millis, candidate.capacity.cpu_millis));
    }
  }
  return fitting.empty() ? std::nullopt : std::optional<Id>(fitting[ChoiceFor(rule).Pick(loads, random)]);
}

bool CapacityIndex::NeverFits(const Resources& size) const {
  const auto holds = [&](const auto& entry) { return size.FitsIn(entry.first); };
  return !capacities_.empty() && std::none_of(capacities_.begin(), capacities_.end(), holds);
}

int64_t CapacityIndex::MaxCount(const Resources& size) const {
  const std::array<int64_t, kResourceKinds> need = AmountsOf(size);
  int64_t most = 0;
  for (const auto& [capacity, workers] : capacities_) {
    const std::array<int64_t, kResourceKinds> have = AmountsOf(capacity);
    int64_t each = kUnlimitedCount;
    for (size_t kind = 0; kind < kResourceKinds; ++kind) {
      each = need[kind] == 0 ? each : std::min(each, have[kind] / need[kind]);
    }
    most += each * workers;
  }
  return most;
}

double CapacityIndex::ShareOf(const Resources& size) const {
  return LargestRatio(size, capacity_);
}

double CapacityIndex::ShareOfLargest(const Resources& size) const {
  return capacities_.empty() ? 0 : LargestRatio(size, capacities_.rbegin()->first);
}

Resources CapacityIndex::LargestFree() const {
  return by_free_[0].empty() ? Resources{} : entries_[by_free_[0].rbegin()->second].free;
}

}  // namespace hibiscus
