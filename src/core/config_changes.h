// Operators' changes of the configuration, and the history. A change reads the record, keeps the version that it is
// about to replace under a key of its own, and then replaces the record by compare-and-swap. The record carries the ids
// of the latest changes, so that a change whose answer was lost finds itself there, even under newer versions.
#ifndef HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_
#define HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_

#include <functional>
#include <map>
#include <string>

#include "core/context.h"
#include "core/records.h"

namespace hibiscus {

// Keys of the configuration in the store: the latest record, and each version that it replaced.
inline constexpr char kConfigKey[] = "config";
std::string ConfigHistoryKey(uint64_t version);

class ConfigChanges {
 public:
  using Apply = std::function<void(const Configuration&)>;

  // `apply` is told of every configuration that is seen in force.
  ConfigChanges(CoreContext& context, Apply apply) : context_(context), apply_(std::move(apply)) {}

  void OnSet(const OperatorConfigSet& set);
  void OnHistory(const OperatorHistory& history);
  void OnTick();
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

 private:
  enum class Step {
    kReading,         // What is in force?
    kSavingPrevious,  // The version to be replaced goes to the history.
    kWriting,         // The compare-and-swap.
    kReadingBack,     // Its answer was lost, or it met a conflict: what is in force now?
  };

  struct Change {
    ExchangeId exchange = 0;
    Configuration configuration;
    Step step = Step::kReading;
    ConfigRecord previous;
    uint64_t revision = 0;               // Of `before`.
    bool write_outcome_unknown = false;  // A write's answer was lost.
    int read_backs = 0;
    TimePoint next_try{};
  };

  struct History {
    ExchangeId exchange = 0;
    size_t limit = 0;
    bool complete = true;
    int pending_calls = 0;  // Calls that are out.
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
  std::vector<Change> pending_read_backs_;  // To be read back again.
  std::map<uint64_t, History> histories_;
  std::map<CallId, uint64_t> history_calls_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_CONFIG_CHANGES_H_
