// Releases in a randomised course of a cell: workers drain, leave and are replaced, and hosts join and are removed.
#ifndef HIBISCUSSTAND_TESTS_CELL_CHAOS_RELEASES_H_
#define HIBISCUSSTAND_TESTS_CELL_CHAOS_RELEASES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standins/cell_world.h"

namespace hibiscus::cell {

// Draws from an engine of its own, so that the other faults of a seed stay as they are.
class CellReleases {
 public:
  using OnNote = std::function<void(const std::string&)>;

  // `same_id_at_once`: workers may join under the id of one that still runs.
  CellReleases(CellWorld& world, uint64_t seed, bool same_id_at_once, OnNote note);

  // Releases workers and hosts again and again, until Stop.
  void Begin();
  void Stop() { over_ = true; }
  // Index of the worker that is in the place of this one of the first workers.
  size_t WorkerAt(size_t place) const { return places_[place]; }

 private:
  // How a worker is replaced.
  struct Replacement {
    bool new_first = false;     // The new one joins before the old one drains, otherwise after it has left.
    bool same_address = false;  // Only after the old one has left.
    bool same_id = false;       // With a later start.
    bool cut_off = false;       // The old one has no path to any host from its draining on.
    bool lapses = false;        // The old one's entry disappears while it still runs.
  };

  Duration Between(Duration least, Duration most);
  bool Chance(double share);
  Replacement AnyReplacement();
  void ReplaceWorkers();
  void Replace(size_t place, const Replacement& how);
  void Join(size_t place, const WorkerEntry& former, const Replacement& how);
  void Drain(FakeWorker& worker, const Replacement& how);
  void ChangeHosts();
  void RemoveHost(size_t host);

  CellWorld& world_;
  std::mt19937_64 random_;
  const bool same_id_at_once_;
  const OnNote note_;
  std::vector<size_t> places_;  // Index of the present worker, by index of the first one.
  std::set<size_t> busy_;       // Places whose worker is being replaced.
  std::set<size_t> removed_hosts_;
  int joined_workers_ = 0;
  bool over_ = false;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_TESTS_CELL_CHAOS_RELEASES_H_
