#include "cell/placement_policy.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>

namespace hibiscus::cell {

namespace {

constexpr int kUnlimited = std::numeric_limits<int>::max() / 2;

int Slots(int64_t free, int64_t size) {
  if (size <= 0) {
    return kUnlimited;
  }
  return free < size ? 0 : static_cast<int>(std::min<int64_t>(free / size, kUnlimited));
}

double Share(int64_t part, int64_t whole) {
  return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// The share of a room that stays free, of its scarcest resource.
double LeftAfter(const RoomView& room, const Resources& size) {
  const Resources left = room.free - size;
  const double cpu = Share(left.cpu_millis, room.capacity.cpu_millis);
  const double memory = Share(left.memory_mb, room.capacity.memory_mb);
  return std::min(cpu, memory);
}

// Spreads members over rooms in this order; empty if they do not all fit.
std::vector<int> Fill(const std::vector<RoomView>& rooms,
                      const std::vector<size_t>& order,
                      const RoomNeed& need,
                      int members) {
  std::vector<int> counts(rooms.size());
  for (const size_t i : order) {
    const int taken = std::min(members, SlotsOf(rooms[i], need));
    counts[i] = taken;
    members -= taken;
    if (members == 0) {
      return counts;
    }
  }
  return {};
}

std::vector<size_t> BySlots(const std::vector<RoomView>& rooms, const RoomNeed& need) {
  std::vector<size_t> order(rooms.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const int slots_a = SlotsOf(rooms[a], need);
    const int slots_b = SlotsOf(rooms[b], need);
    return slots_a != slots_b ? slots_a > slots_b : LeftAfter(rooms[a], need.size) < LeftAfter(rooms[b], need.size);
  });
  return order;
}

}  // namespace

int SlotsIn(const Resources& free, const Resources& size) {
  const int cpu = Slots(free.cpu_millis, size.cpu_millis);
  const int memory = Slots(free.memory_mb, size.memory_mb);
  const int accelerators = Slots(free.accelerators, size.accelerators);
  return std::min({cpu, memory, accelerators});
}

int SlotsOf(const RoomView& room, const RoomNeed& need) {
  const int slots = SlotsIn(room.free, need.size);
  return need.most_per_worker == 0 ? slots : std::min(slots, std::max(0, need.most_per_worker - room.already_there));
}

std::optional<size_t> TightestFit(const std::vector<RoomView>& rooms, const RoomNeed& need) {
  std::optional<size_t> best;
  const auto better = [&](const RoomView& a, const RoomView& b) {
    if (a.preferred != b.preferred) {
      return a.preferred;
    }
    if (a.kept != b.kept) {
      return b.kept;
    }
    return LeftAfter(a, need.size) < LeftAfter(b, need.size);
  };
  for (size_t i = 0; i < rooms.size(); ++i) {
    if (SlotsOf(rooms[i], need) > 0 && (!best || better(rooms[i], rooms[*best]))) {
      best = i;
    }
  }
  return best;
}

std::vector<int> FitGang(const std::vector<RoomView>& rooms, const RoomNeed& need, int members, bool one_rack) {
  const std::vector<size_t> order = BySlots(rooms, need);
  if (one_rack) {
    std::map<std::string, std::vector<size_t>> racks;
    for (const size_t i : order) {
      racks[rooms[i].rack].push_back(i);
    }
    for (const auto& [rack, of_rack] : racks) {
      std::vector<int> counts = Fill(rooms, of_rack, need, members);
      if (!counts.empty()) {
        return counts;
      }
    }
  }
  return Fill(rooms, order, need, members);
}

std::vector<size_t> RoomsToKeep(const std::vector<RoomView>& rooms, const RoomNeed& need, int members) {
  std::vector<size_t> kept;
  for (const size_t i : BySlots(rooms, need)) {
    RoomView empty = rooms[i];
    empty.free = empty.capacity;
    const int slots = SlotsOf(empty, need);
    if (slots == 0) {
      continue;
    }
    kept.push_back(i);
    members -= slots;
    if (members <= 0) {
      return kept;
    }
  }
  return {};
}

}  // namespace hibiscus::cell
