// Keeps the log's size bounded: moves its base past what is older than the horizon, by compare-and-swap, and deletes
// the keys below. Open requests are written anew at the end first. A key is deleted one round after the base moved past
// it, so a trimmer that dies leaves nothing behind that the next one would not find.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_TRIMMER_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_TRIMMER_H_

#include <set>

#include "core/context.h"
#include "core/log_index.h"
#include "core/log_reader.h"
#include "core/log_writer.h"

namespace hibiscus {

class LogTrimmer {
 public:
  LogTrimmer(CoreContext& context, LogIndex& index, LogReader& reader, LogWriter& writer)
      : context_(context), index_(index), reader_(reader), writer_(writer) {}

  void OnTick();
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

 private:
  enum class State { kIdle, kReadingBase, kDeleting, kAdvancingBase };

  uint64_t ComputeTargetBase();
  void StartCall(State state, StoreCall call);
  void OnBaseRead(const StoreReply& reply);
  void SendDeletes();
  void AdvanceBase();
  void EndRound();

  CoreContext& context_;
  LogIndex& index_;
  LogReader& reader_;
  LogWriter& writer_;
  State state_ = State::kIdle;
  TimePoint next_round_{};
  CallId base_call_ = 0;              // The base's.
  std::set<CallId> pending_deletes_;  // Out now.
  uint64_t next_delete_ = 0;
  LogBase base_;  // As read in this round.
  uint64_t base_revision_ = 0;
  LogBase target_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_TRIMMER_H_
