// Ids of jobs that were cancelled while no such job was known. The answer that there is none says that the job will not
// run. But a request to accept it may still be under way: in a host that stands still, on a silent path between hosts,
// or in a copy that a host repeats. So such a request is refused until it can no longer arrive, also by the next owner.
//
// The ids are stored with the owner's batches, some hundred under one key, and removed once they have expired. Earlier
// versions ignore these keys.
#ifndef HIBISCUSSTAND_SRC_CELL_CANCELLED_IDS_H_
#define HIBISCUSSTAND_SRC_CELL_CANCELLED_IDS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/group_commit.h"
#include "cell/records.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CancelledIds {
 public:
  using Done = std::function<void()>;

  // A request arrives within this time after its caller has left: it waits in its host for 30 s at most, the longest
  // timeout of callers, and that host, or the path to the owner, may stand still for some seconds before.
  static constexpr Duration kRetention = 45s;
  static constexpr size_t kMaxIds = 20'000;  // Remembered at the same time.

  // Refuses requests for this id from now on, and calls `on_stored` once that holds for the next owner, too. Returns
  // false if too many ids are remembered already.
  bool Add(const CancelledId& id, TimePoint now, Done on_stored);
  // How much longer a request for this job is to be refused; 0 if it is not.
  Duration RefusedFor(const CancelledId& id, TimePoint now) const;

  // Adds new ids, and the removal of expired ones, to a batch of this epoch and number.
  void Fill(Batch& batch, uint64_t epoch, uint64_t number, TimePoint now);
  // The ids of the last batch are stored. Returns the callbacks of their Add.
  std::vector<Done> TakeStored();
  bool HasUnstored() const { return !added_.empty(); }
  bool HasExpired(TimePoint now) const;

  // Ids that an earlier owner has stored under this key. Their time begins anew.
  void Load(const std::string& key, const std::vector<CancelledId>& ids, TimePoint now);
  size_t size() const { return refused_until_.size(); }

 private:
  // The ids under one key.
  struct Segment {
    std::string key;
    std::vector<CancelledId> ids;
    TimePoint begun_at{};
    TimePoint newest_at{};
  };

  std::map<CancelledId, TimePoint> refused_until_;
  std::deque<Segment> segments_;  // Stored, oldest first.
  std::set<CancelledId> added_;   // Not in a batch yet.
  std::vector<Done> waiting_;     // For `added_`.
  std::vector<Done> storing_;     // For the batch that was filled last.
  size_t rows_ = 0;               // In `segments_` and `added_`; an id may have several.
  bool may_append_ = false;       // The last segment was written by this owner.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_CANCELLED_IDS_H_
