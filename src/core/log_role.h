// The group-commit log on the platform's store. One host of each data centre, picked by rendezvous, writes for all of
// them; several writers at once cost conflicts, never safety. The writer also knows the accepted requests that are
// open, and hands those whose home host is gone to the next one.
#ifndef HIBISCUSSTAND_SRC_CORE_LOG_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_LOG_ROLE_H_

#include <map>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/log_index.h"
#include "core/log_reader.h"
#include "core/log_trimmer.h"
#include "core/log_writer.h"
#include "core/membership.h"

namespace hibiscus {

class LogRole {
 public:
  LogRole(CoreContext& context, const Membership& membership);

  void OnAppend(const HostName& from, const LogAppend& append);
  void OnLookup(const HostName& from, const LogLookup& lookup);
  void OnResumed(const LogResumed& resumed);
  void OnTick();
  bool OnStore(const StoreEvent& event);  // False: the call was not ours.

  // No record waits to be written, or none can be.
  bool idle() const { return writer_.idle() || reader_.store_out(); }

 private:
  struct Asked {
    HostName from;
    LogLookup lookup;
  };

  bool IsActive() const;
  void Activate() { active_until_ = context_.Now() + kKeepActive; }
  void NoteRestarts();
  void DoubtStrangers();
  void DoubtNext();
  void ResumeUnconfirmed();
  void KeepTime();
  void LookUp(const Asked& asked);
  void OnAnswerRead(const Asked& asked, const StoreEvent& event);
  void ReadEnd();
  void OnEndRead(const StoreEvent& event);
  void AnswerAtEnd(const std::vector<Asked>& asked, bool current);

  static constexpr Duration kKeepActive = 30s;  // After another host took this one for the writer.

  CoreContext& context_;
  const Membership& membership_;
  LogIndex index_;
  LogReader reader_;
  LogWriter writer_;
  LogTrimmer trimmer_;
  bool was_active_ = false;
  TimePoint active_until_{};
  RequestKey last_doubted_;
  TimePoint next_resume_{};
  TimePoint next_full_check_{};
  std::map<HostName, uint64_t> incarnations_;
  std::map<CallId, Asked> answer_reads_;
  std::vector<Asked> at_end_;     // Without an answer in the index: told once the log's end was read.
  std::vector<Asked> end_asked_;  // Served by the read that is out.
  CallId end_call_ = 0;           // 0: none is out.
  uint64_t end_sequence_ = 0;
  TimePoint next_end_read_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_ROLE_H_
