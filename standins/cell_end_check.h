// Looks in a CellWorld for starts of a task after a run of it has ended as done, if that end is taken note of. By the
// platform's rules it is when an order to the worker names it, before the start or later, unless the worker's lease
// lapsed between the two; and where nothing is disturbed already a short time after the worker has listed it.
//
// Starts after an end that was named before are reported by CellWorld itself. Speculative and long-running steps are
// exempt.
#ifndef HIBISCUSSTAND_STANDINS_CELL_END_CHECK_H_
#define HIBISCUSSTAND_STANDINS_CELL_END_CHECK_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/ports.h"
#include "cell/values.h"
#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class CellWorld;
class FakeWorker;

class EndCheck {
 public:
  explicit EndCheck(CellWorld& world) : world_(world) {}

  // A worker begins a run of a task of this step. `name` is that of the run, for the report.
  void OnStarted(const TaskRef& task, const StepSpec& step, const std::string& name);
  void OnDone(const FakeWorker& worker, int64_t number, const RunRef& run, const StepSpec& step);
  // The worker gives an answer with these ends, whoever hears it.
  void OnListed(const FakeWorker& worker, const std::vector<EndedRun>& ends);
  // An order names this end to the worker, whose lease has not lapsed since.
  void OnAcknowledged(const FakeWorker& worker, const EndedRun& end, const StepSpec& step);
  // The lease of the worker's current life lapsed at that time, or will do so with the life over. `last_end` is the
  // number of the life's last end until then.
  void OnLapsed(const FakeWorker& worker, int64_t last_end, TimePoint time);

 private:
  // A worker from one start of its process to the next.
  struct Life {
    const FakeWorker* worker = nullptr;
    int64_t born_ms = 0;

    friend auto operator<=>(const Life&, const Life&) = default;
  };
  struct Lapse {
    int64_t last_end = 0;
    TimePoint time{};
  };
  struct DoneEnd {
    Life life;
    int64_t number = 0;
    RunRef run;
    std::optional<TimePoint> listed_at;
    std::string first_start_since;  // Empty: none.
  };

  static Life LifeOf(const FakeWorker& worker);
  // The end of any member of a gang stands for all of them.
  static TaskRef KeyOf(const TaskRef& task, const StepSpec& step);
  bool HadLapsedBy(const DoneEnd& end, TimePoint time) const;
  void CheckListed(const DoneEnd& end, const std::string& name) const;

  CellWorld& world_;
  std::map<TaskRef, std::vector<DoneEnd>> ends_;
  std::map<Life, std::vector<Lapse>> lapses_;
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_STANDINS_CELL_END_CHECK_H_
