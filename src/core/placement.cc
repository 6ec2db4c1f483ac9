#include "hibiscusstand/placement.h"

#include <algorithm>
#include <cmath>

namespace hibiscus {

namespace {

constexpr size_t kMaxScanned = 96;              // Rooms looked at from one end of an order.
constexpr size_t kMaxCompared = 12;             // Rooms that fit and are compared.
constexpr int64_t kUnlimitedCount = 1'000'000;  // Of what needs nothing.
constexpr double kUnusedAcceleratorPenalty =
    100;  // Added where a task without need of accelerators would sit beside some.

std::array<int64_t, 3> KindsOf(const Resources& resources) {
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
  rooms_.emplace_back();
  return rooms_.size() - 1;
}

void CapacityIndex::Update(Id id, const Room& room) {
  if (rooms_[id] == room) {
    return;
  }
  Count(id, false);
  rooms_[id] = room;
  Count(id, true);
}

void CapacityIndex::Count(Id id, bool add) {
  const Room& room = rooms_[id];
  if (room.capacity != Resources{}) {
    int& rooms = capacities_[room.capacity];
    rooms += add ? 1 : -1;
    if (rooms == 0) {
      capacities_.erase(room.capacity);
    }
  }
  if (!room.usable) {
    return;
  }
  const std::array<int64_t, kKinds> kinds = KindsOf(room.free);
  for (size_t kind = 0; kind < kKinds; ++kind) {
    if (add) {
      by_free_[kind].insert({kinds[kind], id});
    } else {
      by_free_[kind].erase({kinds[kind], id});
    }
  }
  if (add) {
    free_ += room.free;
    capacity_ += room.capacity;
  } else {
    free_ -= room.free;
    capacity_ -= room.capacity;
  }
}

size_t CapacityIndex::ScarcestKind() const {
  const std::array<int64_t, kKinds> free = KindsOf(free_);
  const std::array<int64_t, kKinds> capacity = KindsOf(capacity_);
  size_t scarcest = 0;
  for (size_t kind = 1; kind < 2; ++kind) {  // Accelerators are no measure for tasks that need none.
    if (Ratio(free[kind], capacity[kind]) < Ratio(free[scarcest], capacity[scarcest])) {
      scarcest = kind;
    }
  }
  return scarcest;
}

// What would stay free, and how far from even it would be between processors and memory.
double CapacityIndex::LeftoverScore(const Room& room, const Resources& size) const {
  const Resources left = room.free - size;
  const double processors = Ratio(left.cpu_millis, room.capacity.cpu_millis);
  const double memory = Ratio(left.memory_mb, room.capacity.memory_mb);
  const bool waste = size.accelerators == 0 && room.capacity.accelerators > 0;
  return processors + memory + 2 * std::abs(processors - memory) + (waste ? kUnusedAcceleratorPenalty : 0);
}

std::optional<CapacityIndex::Id> CapacityIndex::BestFit(const Resources& size) const {
  const size_t kind = size.accelerators > 0 ? 2 : ScarcestKind();
  const Order& order = by_free_[kind];
  std::optional<Id> best;
  double best_left = 0;
  size_t fitting = 0;
  const auto consider = [&](Id id) {
    const Room& candidate = rooms_[id];
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
  size_t looked = 0;
  auto room = order.lower_bound({KindsOf(size)[kind], 0});
  for (; room != order.end() && looked < kMaxScanned && fitting < kMaxCompared; ++room, ++looked) {
    consider(room->second);
  }
  looked = 0;
  for (auto from_top = order.rbegin(); !best && from_top != order.rend() && looked < kMaxScanned;
       ++from_top, ++looked) {
    consider(from_top->second);
  }
  return best;
}

std::optional<CapacityIndex::Id> CapacityIndex::Spread(const Resources& size,
                                                       const std::function<int(Id)>& crowding) const {
  std::optional<Id> best;
  int fewest_colocated = 0;
  size_t looked = 0;
  size_t fitting = 0;
  const Order& order = by_free_[0];
  for (auto room = order.rbegin(); room != order.rend() && looked < kMaxScanned && fitting < kMaxCompared;
       ++room, ++looked) {
    if (!size.FitsIn(rooms_[room->second].free)) {
      continue;
    }
    ++fitting;
    const int crowd = crowding(room->second);
    if (!best || crowd < fewest_colocated) {
      best = room->second;
      fewest_colocated = crowd;
    }
  }
  return best;
}

std::optional<CapacityIndex::Id> CapacityIndex::Choose(const Resources& size,
                                                       ChoiceRule rule,
                                                       std::mt19937_64& random) const {
  std::vector<Id> fitting;
  std::vector<double> loads;
  for (Id id = 0; id < rooms_.size(); ++id) {
    const Room& candidate = rooms_[id];
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
  const std::array<int64_t, kKinds> need = KindsOf(size);
  int64_t most = 0;
  for (const auto& [capacity, rooms] : capacities_) {
    const std::array<int64_t, kKinds> have = KindsOf(capacity);
    int64_t each = kUnlimitedCount;
    for (size_t kind = 0; kind < kKinds; ++kind) {
      each = need[kind] == 0 ? each : std::min(each, have[kind] / need[kind]);
    }
    most += each * rooms;
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
  return by_free_[0].empty() ? Resources{} : rooms_[by_free_[0].rbegin()->second].free;
}

}  // namespace hibiscus
