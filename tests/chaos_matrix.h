// The fault matrix: how often each fault struck while each step of the core was in progress or just done.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_MATRIX_H_
#define HIBISCUSSTAND_TESTS_CHAOS_MATRIX_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "core/steps.h"
#include "hibiscusstand/types.h"

namespace hibiscus {

enum class Fault {
  kHostKilled,
  kHostPaused,
  kMessagesLost,
  kMessagesLate,
  kLinkCut,
  kCutFromStore,
  kStoreDown,
  kStoreSlow,
  kStoreAnswerLost,
  kWorkerRestarted,
  kWorkerCut,
  kWorkerFailsAll,
  kWrongRunTimes,
  kImpossibleJob,
  kCancelWave,
  kRacingOperators,
  kServerLeaves,
  kServerDies,
  kPlannedStop,
  kHostCut,
  kHostCutFromWorkers,
  kWorkerGone,
};
inline constexpr size_t kFaultCount = static_cast<size_t>(Fault::kWorkerGone) + 1;

std::string_view NameOf(Fault fault);

struct FaultMatrix {
  uint64_t hits[kFaultCount][kStepCount] = {};

  void Add(const FaultMatrix& other);
  // The page docs/FAULT-MATRIX.md.
  std::string ToMarkdown(uint64_t first_seed, uint64_t last_seed) const;
  // The empty cells, one line each.
  std::string Uncovered() const;
};

// Fills a matrix during one seed.
class MatrixRecorder {
 public:
  // A step on a host of the data centre.
  void OnStep(TimePoint now, const DataCentre& where, Step step);
  // A fault begins; an empty `where` is everywhere.
  void OnFault(TimePoint now, const DataCentre& where, Fault fault, Duration length);

  const FaultMatrix& matrix() const { return matrix_; }

 private:
  struct Passed {
    TimePoint at;
    DataCentre where;
    Step step;
  };
  struct Active {
    TimePoint until;
    DataCentre where;
    Fault fault;
  };

  void Count(Fault fault, Step step) { ++matrix_.hits[static_cast<size_t>(fault)][static_cast<size_t>(step)]; }

  std::deque<Passed> passed_;
  std::vector<Active> active_;
  FaultMatrix matrix_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_MATRIX_H_
