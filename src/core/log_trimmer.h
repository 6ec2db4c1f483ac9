// Bounds the size of the log: advances its base past the batches older than the horizon, by compare-and-swap, and
// deletes the keys below it. The accepted records of open requests are first rewritten at the end of the log. Keys are
// deleted one round after the base has passed them, so the stored base always tells a later trimmer which keys a failed
// one may have left.
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
  bool OnStore(const StoreEvent& event);  // Returns false if this part did not make the call.

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
  CallId base_call_ = 0;  // Pending read or write of the base; 0 if none.
  std::set<CallId> pending_deletes_;
  uint64_t next_delete_ = 0;
  LogBase base_;  // As last read from the store.
  uint64_t base_revision_ = 0;
  LogBase target_;  // Written at the end of the round.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_TRIMMER_H_
