#include "cell/cancelled_ids.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr size_t kSegmentIds = 200;      // Under one key, which is written again with each batch that adds some.
constexpr Duration kSegmentTime = 5s;    // For which ids are added to one key: they expire together.
constexpr size_t kMaxIdsPerBatch = 500;  // Bounds the value that is written.

}  // namespace

bool CancelledIds::Add(const CancelledId& id, TimePoint now, Done on_stored) {
  if (rows_ >= kMaxIds || waiting_.size() >= kMaxIds) {
    return false;
  }
  refused_until_[id] = now + kRetention;
  rows_ += added_.insert(id).second ? 1 : 0;
  waiting_.push_back(std::move(on_stored));
  return true;
}

Duration CancelledIds::RefusedFor(const CancelledId& id, TimePoint now) const {
  const auto found = refused_until_.find(id);
  return found == refused_until_.end() ? Duration(0) : std::max(Duration(0), found->second - now);
}

bool CancelledIds::HasExpired(TimePoint now) const {
  return !segments_.empty() && segments_.front().newest_at + kRetention <= now;
}

void CancelledIds::Fill(Batch& batch, uint64_t epoch, uint64_t number, TimePoint now) {
  if (HasExpired(now)) {  // One in a batch, whose number of entries is limited.
    const Segment& oldest = segments_.front();
    for (const CancelledId& id : oldest.ids) {
      const auto found = refused_until_.find(id);
      if (found != refused_until_.end() && found->second <= now) {
        refused_until_.erase(found);
      }
    }
    batch.removals.push_back(oldest.key);
    rows_ -= oldest.ids.size();
    segments_.pop_front();
    may_append_ = may_append_ && !segments_.empty();
  }
  if (added_.empty()) {
    return;
  }
  const bool appends =
      may_append_ && segments_.back().ids.size() < kSegmentIds && now - segments_.back().begun_at < kSegmentTime;
  if (!appends) {
    segments_.push_back(Segment{BatchKey(kCancelledPrefix, epoch, number), {}, now, now});
    may_append_ = true;
  }
  Segment& segment = segments_.back();
  const auto taken = std::next(added_.begin(), static_cast<std::ptrdiff_t>(std::min(added_.size(), kMaxIdsPerBatch)));
  segment.ids.insert(segment.ids.end(), added_.begin(), taken);
  segment.newest_at = now;
  added_.erase(added_.begin(), taken);
  batch.writes.push_back(StoreWrite{segment.key, EncodeRecord(segment.ids), 0});
  if (added_.empty()) {
    storing_ = std::exchange(waiting_, {});
  }
}

std::vector<CancelledIds::Done> CancelledIds::TakeStored() {
  return std::exchange(storing_, {});
}

void CancelledIds::Load(const std::string& key, const std::vector<CancelledId>& ids, TimePoint now) {
  for (const CancelledId& id : ids) {
    refused_until_[id] = now + kRetention;
  }
  rows_ += ids.size();
  segments_.push_back(Segment{key, ids, now, now});
}

}  // namespace hibiscus::cell
