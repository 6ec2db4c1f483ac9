// Checks what callers see of changes of the configuration: some time after a version was published, a host in touch
// neither refuses a request as for an unknown queue that this version and all later ones have, nor serves one on a
// queue that none of them has. A host is in touch if neither its process, its network nor the store was disturbed for a
// while. And no process of a host, in touch or not, handles a request by an older version than one sent earlier.
#ifndef HIBISCUSSTAND_STANDINS_CELL_ROUTE_CHECK_H_
#define HIBISCUSSTAND_STANDINS_CELL_ROUTE_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CellWorld;

class RouteCheck {
 public:
  explicit RouteCheck(CellWorld& world) : world_(world) {}

  // Notes the disturbances that last; called whenever faults may have begun or ended.
  void Observe();
  // The host's connections broke at this moment, or its process started.
  void NoteDisturbed(size_t host);
  void NoteStarted(size_t host);
  // The host was told to stop; it is not in touch until NoteDisturbed.
  void NoteLeaving(size_t host) { disturbed_at_[host] = TimePoint::max(); }
  // The store lost its history or leases, but kept answering.
  void NoteStoreUnstable();

  // The host refused a request as for an unknown queue, or served it.
  void OnAnswer(size_t host, const std::string& queue, TimePoint sent, bool served);

  int refused() const { return refused_; }
  int judged() const { return judged_; }  // Answers by hosts in touch.

 private:
  bool IsDisturbed(size_t host) const;
  // Index of the oldest version that may have been in force for a request sent at this time.
  std::optional<size_t> OldestAllowed(TimePoint sent) const;
  void CheckOrder(size_t host, const std::string& queue, TimePoint sent, bool served);
  void ReportRollback(size_t host, size_t newer, size_t older, Duration later);

  struct Answer {
    std::string queue;
    bool served = false;
    size_t newest = 0;  // Index of the newest version that allows it, of those published by then.

    friend auto operator<=>(const Answer&, const Answer&) = default;
  };
  bool IsAllowed(const Answer& answer, size_t version) const;
  // Index of the last version that allows the answer, from Answer::newest on without a gap.
  size_t LastAllowing(const Answer& answer) const;

  // What the answers of one process of a host show.
  struct Handled {
    // By index of the version: when the first request was sent that no version before this one allows.
    std::map<size_t, TimePoint> earliest;
    std::map<Answer, TimePoint> latest;  // When the last request was sent that had this answer.
  };

  CellWorld& world_;
  std::map<size_t, Handled> handled_;      // By host.
  std::map<size_t, TimePoint> frozen_at_;  // By host.
  std::map<size_t, TimePoint> disturbed_at_;
  TimePoint store_unstable_at_{};
  int refused_ = 0;
  int judged_ = 0;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_ROUTE_CHECK_H_
