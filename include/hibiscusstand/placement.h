// Placement of tasks: an index of workers by free capacity, so that a search stays cheap with many workers. Batch tasks
// go to the tightest fit by the scarcest resource; services go to the rack that runs the fewest of them.
//
// Use: Add each worker, Update it whenever its capacity changes, then search with BestFit or Spread.
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

// The capacity of one worker. A worker that is not usable is never returned by a search.
struct WorkerCapacity {
  Resources capacity;
  Resources free;
  bool usable = false;

  friend bool operator==(const WorkerCapacity&, const WorkerCapacity&) = default;
};

class CapacityIndex {
 public:
  using Id = size_t;

  // Adds a worker without capacity and returns its id.
  Id Add();
  // Sets a worker's capacity. Cheap if nothing changed.
  void Update(Id id, const WorkerCapacity& entry);
  const WorkerCapacity& entry(Id id) const { return entries_[id]; }

  // Returns the tightest fit by the scarcest resource. Scans a bounded number of workers, so it may return nothing
  // although some worker fits.
  std::optional<Id> BestFit(const Resources& size) const;
  // Returns, among the fitting workers with the most free processors, the one for which `colocated` is least, for
  // example the number of similar tasks on its rack. On a tie the one with more free processors wins.
  std::optional<Id> Spread(const Resources& size, const std::function<int(Id)>& colocated) const;
  // Returns a fitting worker by the rule, with the used share of processors as load. A baseline for comparisons.
  std::optional<Id> Choose(const Resources& size, ChoiceRule rule, std::mt19937_64& random) const;

  // True if some capacity is known and no worker could hold `size` even when empty.
  bool NeverFits(const Resources& size) const;
  // Returns how many tasks of `size` all known workers together could hold when empty.
  int64_t MaxCount(const Resources& size) const;
  // Returns the share of the usable workers' total capacity that `size` needs, by the resource with the largest share.
  double ShareOf(const Resources& size) const;

  // Returns the share of the largest worker's capacity that `size` needs, by the resource with the largest share.
  double ShareOfLargest(const Resources& size) const;

  const Resources& free() const { return free_; }          // Sum over usable workers.
  const Resources& capacity() const { return capacity_; }  // Sum over usable workers.
  Resources LargestFree() const;                           // Of the usable worker with the most free processors.

 private:
  static constexpr size_t kResourceKinds = 3;  // Processors, memory, accelerators.
  using Order = std::set<std::pair<int64_t, Id>>;

  size_t ScarcestKind() const;
  double LeftoverScore(const WorkerCapacity& entry, const Resources& size) const;
  void UpdateIndex(Id id, bool add);

  std::vector<WorkerCapacity> entries_;
  std::array<Order, kResourceKinds> by_free_;  // Usable workers, sorted by free amount.
  std::map<Resources, int> capacities_;        // Number of workers by capacity, where known, usable or not.
  Resources free_;
  Resources capacity_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_PLACEMENT_H_
