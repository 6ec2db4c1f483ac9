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

// A room in the order in which a gang takes them.
struct Ranked {
  size_t room = 0;
  int slots = 0;    // Members that fit now.
  double left = 0;  // Share that one member leaves free.
};

// Most slots first, then the tighter fit.
void Sort(std::vector<Ranked>& rooms) {
  std::stable_sort(rooms.begin(), rooms.end(), [](const Ranked& a, const Ranked& b) {
    return a.slots != b.slots ? a.slots > b.slots : a.left < b.left;
  });
}

std::vector<Ranked> Rank(const std::vector<RoomView>& rooms, const RoomNeed& need, int least_slots) {
  std::vector<Ranked> ranked;
  ranked.reserve(rooms.size());
  for (size_t i = 0; i < rooms.size(); ++i) {
    const int slots = SlotsOf(rooms[i], need);
    if (slots >= least_slots) {
      ranked.push_back(Ranked{i, slots, LeftAfter(rooms[i], need.size)});
    }
  }
  return ranked;
}

int SlotsOf(const std::vector<Ranked>& rooms) {
  int slots = 0;
  for (const Ranked& room : rooms) {
    slots = std::min(slots + room.slots, kUnlimited);
  }
  return slots;
}

// Spreads members over rooms in this order; empty if they do not all fit.
std::vector<int> Fill(size_t rooms, const std::vector<Ranked>& order, int members) {
  std::vector<int> counts(rooms);
  for (const Ranked& each : order) {
    const int taken = std::min(members, each.slots);
    counts[each.room] = taken;
    members -= taken;
    if (members == 0) {
      return counts;
    }
  }
  return {};
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
  return need.max_per_worker == 0 ? slots : std::min(slots, std::max(0, need.max_per_worker - room.already_there));
}

int SlotsOf(const std::vector<RoomView>& rooms, const RoomNeed& need) {
  int slots = 0;
  for (const RoomView& room : rooms) {
    slots = std::min(slots + SlotsOf(room, need), kUnlimited);
  }
  return slots;
}

std::optional<size_t> TightestFit(const std::vector<RoomView>& rooms, const RoomNeed& need) {
  std::optional<size_t> best;
  const auto better = [&](const RoomView& a, const RoomView& b) {
    if (a.preferred != b.preferred) {
      return a.preferred;
    }
    if (a.reserved != b.reserved) {
      return b.reserved;
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

std::optional<size_t> FirstFit(const std::vector<RoomView>& rooms, const RoomNeed& need) {
  const auto first =
      std::find_if(rooms.begin(), rooms.end(), [&](const RoomView& room) { return SlotsOf(room, need) > 0; });
  return first == rooms.end() ? std::nullopt : std::optional<size_t>(first - rooms.begin());
}

std::vector<int> FitGang(const std::vector<RoomView>& rooms, const RoomNeed& need, int members, bool one_rack) {
  std::vector<Ranked> order = Rank(rooms, need, 1);
  if (SlotsOf(order) < members) {
    return {};
  }
  Sort(order);
  if (one_rack) {
    std::map<std::string_view, std::vector<Ranked>> racks;
    for (const Ranked& each : order) {
      racks[rooms[each.room].rack].push_back(each);
    }
    for (const auto& [rack, of_rack] : racks) {
      std::vector<int> counts = Fill(rooms.size(), of_rack, members);
      if (!counts.empty()) {
        return counts;
      }
    }
  }
  return Fill(rooms.size(), order, members);
}

std::vector<size_t> RoomsToReserve(const std::vector<RoomView>& rooms, const RoomNeed& need, int members) {
  std::vector<Ranked> order = Rank(rooms, need, 0);
  // Most slots first, then the most room: it drains first.
  std::stable_sort(order.begin(), order.end(), [](const Ranked& a, const Ranked& b) {
    return a.slots != b.slots ? a.slots > b.slots : a.left > b.left;
  });
  std::vector<size_t> reserved;
  for (const Ranked& each : order) {
    RoomView empty = rooms[each.room];
    empty.free = empty.capacity;
    const int slots = SlotsOf(empty, need);
    if (slots == 0) {
      continue;
    }
    reserved.push_back(each.room);
    members -= slots;
    if (members <= 0) {
      return reserved;
    }
  }
  return {};
}

}  // namespace hibiscus::cell
