// Callers and operators of the randomised driver, and the check of every answer they get.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_CALLERS_H_
#define HIBISCUSSTAND_TESTS_CHAOS_CALLERS_H_

#include <map>
#include <string>
#include <vector>

#include "tests/chaos_world.h"

namespace hibiscus {

// One submit of a request to one host.
struct Attempt {
  Node* host = nullptr;
  int generation = 0;  // Of the host, at the submit.
  TimePoint sent{};
  TimePoint answered{};
  int answers = 0;
  bool broken = false;  // The host died first.
  Answer answer;
};

// A request and its attempts, as its caller sees them.
struct Errand {
  Request request;
  ClassSpec spec;
  DataCentre data_centre;
  bool marked = true;    // The caller states attempt numbers.
  bool probe = false;    // Sent after everything healed: it must be served.
  bool settled = false;  // The caller repeats no more.
  std::vector<Attempt> attempts;
};

class ChaosCallers final : public ChaosWorld::Listener {
 public:
  explicit ChaosCallers(ChaosWorld& world);

  // Sends requests until `until`; repeats end then too.
  void Start(TimePoint until);
  // One request of each class in each data centre; each must be served in time.
  void Probe();
  void Submit(const std::string& class_name, const DataCentre& data_centre, const Resources& size, bool probe);
  void CancelWave();
  void ChangeConfiguration(Node& host);
  void OnHostDied(const Node& host);

  // In a seed whose faults leave no outcome in doubt: no first attempt may be answered as unknown.
  void ExpectNoUnknown() { expect_no_unknown_ = true; }

  // Everything that must be true when the world has come to rest.
  void CheckAtRest();

  size_t errands() const { return errands_.size(); }
  size_t answers_of(Verdict verdict) const { return verdicts_[static_cast<size_t>(verdict)]; }

  void OnAnswer(const Node& host, const AnswerCaller& answer) override;
  void OnOperatorAnswer(const Node& host, const AnswerOperator& answer) override;
  void OnExit(const Node& host) override;
  void OnConfiguration(const Node& host) override;

 private:
  struct Change {
    std::string id;
    uint64_t version = 0;
    bool answered = false;
    ResultCode code = ResultCode::kOk;
  };

  void SendOne(TimePoint until);
  void Try(Errand& errand, Node& host);
  void Repeat(Errand& errand);
  void CheckAnswer(const Errand& errand, const Attempt& attempt);
  void CheckErrand(const Errand& errand);
  void CheckConfigurations();
  void CheckInForce(uint64_t version);
  int StartsOf(const Errand& errand) const;

  ChaosWorld& world_;
  TimePoint repeat_until_{};
  std::deque<Errand> errands_;
  std::map<ExchangeId, std::pair<Errand*, size_t>> exchanges_;
  std::map<ExchangeId, Change> changes_;
  std::map<uint64_t, std::string> in_force_;  // Change id of each version that any host ever applied.
  ExchangeId next_exchange_ = 1;
  size_t verdicts_[5] = {};
  bool expect_no_unknown_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_CALLERS_H_
