// Follows the keys with a prefix: reads all of them, then watches for changes, and reads all again if the store no
// longer has the history.
#ifndef HIBISCUSSTAND_SRC_CELL_PREFIX_WATCH_H_
#define HIBISCUSSTAND_SRC_CELL_PREFIX_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cell/context.h"

namespace hibiscus::cell {

class PrefixWatch {
 public:
  using OnReset = std::function<void(const std::vector<StoreItem>&)>;  // All current items.
  using OnChange = std::function<void(const StoreItem&)>;              // One change; changes come in order.

  PrefixWatch(Context& context, std::string prefix, OnReset on_reset, OnChange on_change);
  ~PrefixWatch() { *alive_ = false; }
  PrefixWatch(const PrefixWatch&) = delete;
  PrefixWatch& operator=(const PrefixWatch&) = delete;

  void Begin() { ReadPage(""); }
  bool healthy() const { return !failing_; }
  uint64_t revision() const { return revision_; }
  // Time since the store last answered a read or a watch.
  Duration silent_for() const { return context_.Now() - last_answer_at_; }
  // Duration of the latest successful read from the store.
  Duration round_trip() const { return round_trip_; }

 private:
  void ReadPage(const std::string& after);
  void OnPage(const StoreAnswer& answer, const std::string& after, TimePoint sent);
  void Watch();
  void OnChanges(const StoreAnswer& answer);
  void OnFailure(const char* operation, StoreStatus status);
  void RetryLater(std::function<void()> retry);

  Context& context_;
  const std::string prefix_;
  OnReset on_reset_;
  OnChange on_change_;
  std::vector<StoreItem> items_;
  uint64_t revision_ = 0;
  uint64_t first_page_revision_ = 0;  // Of the read in progress.
  TimePoint last_answer_at_{};
  Duration round_trip_{};
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_PREFIX_WATCH_H_
