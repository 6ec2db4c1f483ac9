// What a worker holds and has free. The ledger never lets the sum of sizes pass the capacity.
#ifndef HIBISCUSSTAND_SRC_CORE_LEDGER_H_
#define HIBISCUSSTAND_SRC_CORE_LEDGER_H_

#include <map>
#include <string>

#include "core/messages.h"

namespace hibiscus {

class Ledger {
 public:
  void Reset(const Resources& capacity) {
    capacity_ = capacity;
    used_ = {};
    entries_.clear();
  }

  // False, and nothing is changed, if it does not fit or stands here already.
  bool Add(const RunId& run, const Resources& size) {
    if (entries_.contains(run) || !size.FitsIn(free())) {
      return false;
    }
    AddUnchecked(run, size);
    return true;
  }

  // For runs that are there whether or not they fit, as found in a takeover.
  void AddUnchecked(const RunId& run, const Resources& size) {
    used_ += size;
    entries_[run] = size;
  }

  void Remove(const RunId& run) {
    const auto entry = entries_.find(run);
    if (entry != entries_.end()) {
      used_ -= entry->second;
      entries_.erase(entry);
    }
  }

  const Resources& capacity() const { return capacity_; }
  const Resources& used() const { return used_; }
  Resources free() const { return capacity_ - used_; }

 private:
  Resources capacity_;
  Resources used_;
  std::map<RunId, Resources> entries_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LEDGER_H_
