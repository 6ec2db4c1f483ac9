// Callers of the randomised driver that defer their work: they submit, ask for the result, repeat and cancel, and check
// every answer against what they were told before and against the log.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_KEPT_H_
#define HIBISCUSSTAND_TESTS_CHAOS_KEPT_H_

#include <map>
#include <optional>
#include <string>

#include "tests/chaos_log.h"
#include "tests/chaos_world.h"

namespace hibiscus {

// A deferred request, as its caller sees it.
struct KeptErrand {
  Request request;
  ClassSpec spec;
  DataCentre data_centre;
  bool marked = true;  // The caller states attempt numbers.
  int submits = 0;
  int refused = 0;                        // Submits answered as not run.
  int steps = 0;                          // Of the caller's: submits, questions, cancellations.
  bool cancelled = false;                 // The caller asked for it.
  TimePoint accepted = TimePoint::max();  // When it was first told.
  TimePoint told = TimePoint::max();      // When its final answer was first told.
  Answer answer;                          // That one.
};

class KeptCallers final : public ChaosWorld::Listener {
 public:
  KeptCallers(ChaosWorld& world, const LogAudit& audit);

  // Sends requests and questions until `until`.
  void Start(TimePoint until);
  void CancelWave();
  void OnHostDied(const Node& host);

  // Asks for every accepted request in every data centre; each must be answered from the log.
  void AskAll();

  // In a seed whose faults leave no outcome in doubt: no accepted request may end as unknown.
  void ExpectNoUnknown() { expect_no_unknown_ = true; }

  // Everything that must be true when the world has come to rest.
  void CheckAtRest();

  size_t accepted() const;

  void OnAnswer(const Node& host, const AnswerCaller& told) override;
  void OnOperatorAnswer(const Node&, const AnswerOperator&) override {}
  void OnExit(const Node& host) override;
  void OnConfiguration(const Node&) override {}

 private:
  enum class Kind { kSubmit, kAsk, kLastAsk, kCancel };

  // One call of a caller to one host.
  struct Exchange {
    KeptErrand* errand = nullptr;
    Kind kind = Kind::kSubmit;
    Node* host = nullptr;
    int generation = 0;
    TimePoint sent{};
    bool answered = false;
    bool broken = false;  // The host died first.
  };

  void SendOne();
  void Step(KeptErrand& errand);
  void Submit(KeptErrand& errand, Node& host);
  void Ask(KeptErrand& errand, Node& host, Kind kind);
  ExchangeId Open(KeptErrand& errand, Node& host, Kind kind);
  void Deliver(Node& host, Event event);
  Node* AnyHost(const DataCentre& data_centre);
  static bool IsFinal(const Exchange& exchange, const Answer& answer);
  void CheckInTime(const Exchange& exchange);
  void CheckAnswer(const Exchange& exchange, const Answer& answer);
  void CheckWhole(const KeptErrand& errand, const Answer& answer);
  void CheckErrand(const KeptErrand& errand);
  int StartsOf(const KeptErrand& errand) const;

  ChaosWorld& world_;
  const LogAudit& audit_;
  TimePoint until_{};
  std::deque<KeptErrand> errands_;
  std::map<ExchangeId, Exchange> exchanges_;
  ExchangeId next_exchange_ = ExchangeId{1} << 32;  // Apart from those of the other callers.
  bool expect_no_unknown_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_KEPT_H_
