// Accounts for a worker's capacity: its runs' sizes and the free remainder. Add() never exceeds the capacity.
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

  // Returns false and changes nothing if the run does not fit or is present already.
  bool Add(const RunId& run, const Resources& size) {
    if (entries_.contains(run) || !size.FitsIn(free())) {
      return false;
    }
    AddUnchecked(run, size);
    return true;
  }

  // For runs found in a takeover, which exist whether or not they fit.
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
