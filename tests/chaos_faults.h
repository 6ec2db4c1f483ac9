// The faults of the randomised driver and the run of one seed.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_
#define HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "tests/chaos_callers.h"
#include "tests/chaos_kept.h"
#include "tests/chaos_log.h"
#include "tests/chaos_matrix.h"
#include "tests/chaos_world.h"

namespace hibiscus {

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
  size_t accepted = 0;  // Deferred requests that a caller was told are accepted.
  size_t batches = 0;   // Of the log.
  size_t trims = 0;
  FaultMatrix matrix;
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
  WorkerNode& AnyWorker();
  ServerNode& AnyServer();
  void Watch();

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

  // Reports the steps of the hosts of one data centre.
  class Observer final : public StepObserver {
   public:
    Observer(ChaosRun& run, DataCentre where) : run_(run), where_(std::move(where)) {}
    void OnStep(Step step) override { run_.recorder_.OnStep(run_.world_.Now(), where_, step); }

   private:
    ChaosRun& run_;
    DataCentre where_;
  };

  static const Action kActions[kFaultCount];

  ChaosWorld world_;
  ChaosCallers callers_;
  LogAudit audit_;
  KeptCallers kept_;
  Duration longest_{};
  std::vector<Fault> faults_;
  std::deque<Observer> observers_;
  MatrixRecorder recorder_;
  DataCentre struck_;  // Where the fault that begins strikes; empty: everywhere.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_FAULTS_H_
