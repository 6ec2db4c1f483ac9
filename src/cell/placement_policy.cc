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

double Fraction(int64_t part, int64_t whole) {
  return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Free share of the scarcer of CPU and memory after one task of this size is placed.
double FreeShareAfter(const CandidateView& candidate, const Resources& size) {
  const Resources remaining = candidate.free - size;
  const double cpu = Fraction(remaining.cpu_millis, candidate.capacity.cpu_millis);
  const double memory = Fraction(remaining.memory_mb, candidate.capacity.memory_mb);
  return std::min(cpu, memory);
}

// A candidate with its sort keys for gang placement.
struct RankedCandidate {
  size_t candidate = 0;
  int slots = 0;         // Members that fit now.
  double remaining = 0;  // Free share after one member is placed.
};

// Sorts by most slots first, then by the tighter fit.
void SortForGang(std::vector<RankedCandidate>& candidates) {
  std::stable_sort(candidates.begin(), candidates.end(), [](const RankedCandidate& a, const RankedCandidate& b) {
    return a.slots != b.slots ? a.slots > b.slots : a.remaining < b.remaining;
  });
}

std::vector<RankedCandidate> RankCandidates(const std::vector<CandidateView>& candidates,
                                            const TaskDemand& demand,
                                            int min_slots) {
  std::vector<RankedCandidate> ranked;
  ranked.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const int slots = SlotsOf(candidates[i], demand);
    if (slots >= min_slots) {
      ranked.push_back(RankedCandidate{i, slots, FreeShareAfter(candidates[i], demand.size)});
    }
  }
  return ranked;
}

int SlotsOf(const std::vector<RankedCandidate>& candidates) {
  int slots = 0;
  for (const RankedCandidate& candidate : candidates) {
    slots = std::min(slots + candidate.slots, kUnlimited);
  }
  return slots;
}

// Assigns members to candidates in the given order; returns nothing if they do not all fit.
std::vector<int> DistributeMembers(size_t candidates, const std::vector<RankedCandidate>& order, int members) {
  std::vector<int> counts(candidates);
  for (const RankedCandidate& each : order) {
    const int taken = std::min(members, each.slots);
    counts[each.candidate] = taken;
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

int SlotsOf(const CandidateView& candidate, const TaskDemand& demand) {
  const int slots = SlotsIn(candidate.free, demand.size);
  return demand.max_per_worker == 0 ? slots
                                    : std::min(slots, std::max(0, demand.max_per_worker - candidate.same_step_tasks));
}

int SlotsOf(const std::vector<CandidateView>& candidates, const TaskDemand& demand) {
  int slots = 0;
  for (const CandidateView& candidate : candidates) {
    slots = std::min(slots + SlotsOf(candidate, demand), kUnlimited);
  }
  return slots;
}

std::optional<size_t> TightestFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand) {
  std::optional<size_t> best;
  const auto better = [&](const CandidateView& a, const CandidateView& b) {
    if (a.preferred != b.preferred) {
      return a.preferred;
    }
    if (a.reserved != b.reserved) {
      return b.reserved;
    }
    return FreeShareAfter(a, demand.size) < FreeShareAfter(b, demand.size);
  };
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (SlotsOf(candidates[i], demand) > 0 && (!best || better(candidates[i], candidates[*best]))) {
      best = i;
    }
  }
  return best;
}

std::optional<size_t> FirstFit(const std::vector<CandidateView>& candidates, const TaskDemand& demand) {
  const auto first = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const CandidateView& candidate) { return SlotsOf(candidate, demand) > 0; });
  return first == candidates.end() ? std::nullopt : std::optional<size_t>(first - candidates.begin());
}

std::vector<int> FitGang(const std::vector<CandidateView>& candidates,
                         const TaskDemand& demand,
                         int members,
                         bool one_rack) {
  std::vector<RankedCandidate> order = RankCandidates(candidates, demand, 1);
  if (SlotsOf(order) < members) {
    return {};
  }
  SortForGang(order);
  if (one_rack) {
    std::map<std::string_view, std::vector<RankedCandidate>> racks;
    for (const RankedCandidate& each : order) {
      racks[candidates[each.candidate].rack].push_back(each);
    }
    for (const auto& [rack, in_rack] : racks) {
      std::vector<int> counts = DistributeMembers(candidates.size(), in_rack, members);
      if (!counts.empty()) {
        return counts;
      }
    }
  }
  return DistributeMembers(candidates.size(), order, members);
}

std::vector<size_t> SelectWorkersToReserve(const std::vector<CandidateView>& candidates,
                                           const TaskDemand& demand,
                                           int members) {
  std::vector<RankedCandidate> order = RankCandidates(candidates, demand, 0);
  // Most slots first, then the largest free share: that worker drains first.
  std::stable_sort(order.begin(), order.end(), [](const RankedCandidate& a, const RankedCandidate& b) {
    return a.slots != b.slots ? a.slots > b.slots : a.remaining > b.remaining;
  });
  std::vector<size_t> reserved;
  for (const RankedCandidate& each : order) {
    CandidateView empty = candidates[each.candidate];
    empty.free = empty.capacity;
    const int slots = SlotsOf(empty, demand);
    if (slots == 0) {
      continue;
    }
    reserved.push_back(each.candidate);
    members -= slots;
    if (members <= 0) {
      return reserved;
    }
  }
  return {};
}

}  // namespace hibiscus::cell
