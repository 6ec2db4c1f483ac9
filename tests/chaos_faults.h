// The faults of the randomised driver and the run of one seed.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_
#define HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "tests/chaos_callers.h"
#include "tests/chaos_world.h"

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

// What came of one seed.
struct ChaosReport {
  std::vector<std::string> broken;  // Empty: every invariant held.
  std::vector<Fault> faults;
  size_t events = 0;
  size_t requests = 0;
  size_t starts = 0;
  size_t done = 0;
  size_t not_run = 0;
  size_t unknown = 0;
};

class ChaosRun {
 public:
  ChaosRun(uint64_t seed, bool trace);
  ChaosReport Run();

 private:
  using Action = void (ChaosRun::*)(Duration length);

  void Schedule();
  void Begin(Fault fault, Duration length);
  Node* AnyHost();

  void KillHost(Duration length);
  void PauseHost(Duration length);
  void LoseMessages(Duration length);
  void DelayMessages(Duration length);
  void CutLink(Duration length);
  void CutFromStore(Duration length);
  void StopStore(Duration length);
  void SlowStore(Duration length);
  void LoseStoreAnswers(Duration length);
  void RestartWorker(Duration length);
  void CutWorker(Duration length);
  void FailAllOnWorker(Duration length);
  void ChangeRunTimes(Duration length);
  void SubmitImpossible(Duration length);
  void CancelAll(Duration length);
  void RaceOperators(Duration length);
  void ServerLeaves(Duration length);
  void ServerDies(Duration length);
  void StopHost(Duration length);
  void CutHost(Duration length);
  void CutHostFromWorkers(Duration length);
  void RemoveWorker(Duration length);

  void CutPair(const std::string& from, const std::string& to, Duration length);

  static const Action kActions[kFaultCount];

  ChaosWorld world_;
  ChaosCallers callers_;
  Duration longest_{};
  std::vector<Fault> faults_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_
