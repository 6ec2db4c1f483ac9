// Looks in a CellWorld for tasks of cancelled jobs that an order which was carried out late has started and that run
// on. The platform sets no bound in time for such a start, but its run must be gone again some time after it, unless
// there was a disruption near that time.
#ifndef HIBISCUSSTAND_STANDINS_CELL_LATE_RUN_CHECK_H_
#define HIBISCUSSTAND_STANDINS_CELL_LATE_RUN_CHECK_H_

#include <vector>

#include "cell/values.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CellWorld;
class FakeWorker;

class LateRunCheck {
 public:
  explicit LateRunCheck(CellWorld& world) : world_(world) {}

  // An order that was carried out late has started this run.
  void NoteStarted(const FakeWorker& worker, const RunRef& run);
  // Reports the runs whose time is over. To be called at each step of the world.
  void Check();

 private:
  struct LateRun {
    const FakeWorker* worker = nullptr;
    RunRef run;
    TimePoint started_at{};
  };

  // The time at which the run must be gone; max if its job is not cancelled.
  TimePoint LastTimeOf(const LateRun& late) const;

  CellWorld& world_;
  std::vector<LateRun> runs_;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_LATE_RUN_CHECK_H_
