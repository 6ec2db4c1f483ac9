// Configuration changes by operators, and the history of past versions. A change reads the current record, saves the
// version that it replaces under a history key, and then replaces the record by compare-and-swap. The record contains
// the ids of the most recent changes: if the store's answer to a write is lost, reading the record back shows whether
// the change was written, even if newer versions have replaced it since.
#ifndef HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_
#define HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_

#include <functional>
#include <map>
#include <string>

#include "core/context.h"
#include "core/records.h"

namespace hibiscus {

// Store keys of the latest configuration record and of the past versions.
inline constexpr char kConfigKey[] = "config";
std::string ConfigHistoryKey(uint64_t version);

class ConfigChanges {
 public:
  using Apply = std::function<void(const Configuration&)>;

  // `apply` is called with every configuration that is known to be in effect.
  ConfigChanges(CoreContext& context, Apply apply) : context_(context), apply_(std::move(apply)) {}

  void OnSet(const OperatorConfigSet& set);
  void OnHistory(const OperatorHistory& history);
  void OnTick();
  bool OnStore(const StoreEvent& event);  // Returns false if this class did not make the call.

 private:
  enum class Step {
    kReading,         // Reading the current record.
    kSavingPrevious,  // Saving the version to be replaced in the history.
    kWriting,         // Replacing the record by compare-and-swap.
    kReadingBack,     // Reading the record again after a lost answer or a conflict.
  };

  struct Change {
    ExchangeId exchange = 0;
    Configuration configuration;
    Step step = Step::kReading;
    ConfigRecord previous;
    uint64_t revision = 0;               // Store revision of `previous`.
    bool write_outcome_unknown = false;  // The answer to a write was lost.
    int read_backs = 0;
    TimePoint next_try{};
  };

  struct History {
    ExchangeId exchange = 0;
    size_t limit = 0;
    bool complete = true;
    int pending_calls = 0;  // Store calls that have not been answered yet.
    std::map<uint64_t, Configuration> versions;
  };

  void Call(Change change, StoreCall call);
  void Read(Change change, Step step);
  void SavePrevious(Change change);
  void Write(Change change);
  void OnRead(Change change, const StoreReply& reply);
  void OnWritten(Change change, const StoreEvent& event);
  void RetryOrGiveUp(Change change);
  void Answer(const Change& change, ResultCode code);
  void OnVersionRead(uint64_t reference, const StoreEvent& event);
  void ReadOlderVersions(uint64_t reference, History& history, uint64_t latest);

  CoreContext& context_;
  Apply apply_;
  std::map<CallId, Change> changes_;
  std::vector<Change> pending_read_backs_;  // Read-backs to be retried at `next_try`.
  std::map<uint64_t, History> histories_;
  std::map<CallId, uint64_t> history_calls_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_
