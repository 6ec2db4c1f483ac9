// Where a task goes: an index of workers by what they have free, so that finding room costs little however many there
// are. Batch goes where it fits tightest by the scarcest resource; services go where their rack has fewest of them.
#ifndef HIBISCUSSTAND_PLACEMENT_H_
#define HIBISCUSSTAND_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "hibiscusstand/choice.h"
#include "hibiscusstand/types.h"

namespace hibiscus {

// What a worker has. Rooms that are not usable are never picked.
struct Room {
  Resources capacity;
  Resources free;
  bool usable = false;

  friend bool operator==(const Room&, const Room&) = default;
};

class CapacityIndex {
 public:
  using Id = size_t;

  Id Add();
  // Cheap if nothing changed.
  void Update(Id id, const Room& room);
  const Room& room(Id id) const { return rooms_[id]; }

  // The tightest fit, measured by the scarcest resource first; none if nothing near enough fits.
  std::optional<Id> BestFit(const Resources& size) const;
  // Among the emptiest that fit, the one with the least crowding; a draw goes to the emptier one.
  std::optional<Id> Spread(const Resources& size, const std::function<int(Id)>& crowding) const;
  // Any that fits, by the rule, with the used share of processors as load: for baselines.
  std::optional<Id> Choose(const Resources& size, ChoiceRule rule, std::mt19937_64& random) const;

  // True if rooms are known and not one of them could hold it even when empty.
  bool NeverFits(const Resources& size) const;
  // How many of a size all known rooms could hold when empty.
  int64_t MaxCount(const Resources& size) const;
  // The share of all usable volume that a size takes of its scarcest resource.
  double ShareOf(const Resources& size) const;

  // The share of the largest room, when empty, that a size takes of its scarcest resource.
  double ShareOfLargest(const Resources& size) const;

  const Resources& free() const { return free_; }          // Sum over usable rooms.
  const Resources& capacity() const { return capacity_; }  // Sum over usable rooms.
  Resources LargestFree() const;                           // The usable room with the most free processors.

 private:
  static constexpr size_t kKinds = 3;  // Processors, memory, accelerators.
  using Order = std::set<std::pair<int64_t, Id>>;

  size_t ScarcestKind() const;
  double LeftoverScore(const Room& room, const Resources& size) const;
  void Count(Id id, bool add);

  std::vector<Room> rooms_;
  std::array<Order, kKinds> by_free_;    // Usable rooms.
  std::map<Resources, int> capacities_;  // Of rooms whose capacity is known, usable or not.
  Resources free_;
  Resources capacity_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_PLACEMENT_H_
