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
  bool idle() const { return writer_.idle() || reader_.store_unavailable(); }

 private:
  struct LookupRequest {
    HostName from;
    LogLookup lookup;
  };

  bool IsActive() const;
  void Activate() { active_until_ = context_.Now() + kActiveTimeout; }
  void DetectRestarts();
  void RecheckUnknownHomes();
  void RecheckNextEntries();
  void ResumeUnconfirmed();
  void ScheduleTimeBatchIfDue();
  void LookUp(const LookupRequest& asked);
  void OnAnswerRead(const LookupRequest& asked, const StoreEvent& event);
  void ReadLogEnd();
  void OnLogEndRead(const StoreEvent& event);
  void AnswerFromIndex(const std::vector<LookupRequest>& asked, bool current);

  static constexpr Duration kActiveTimeout = 30s;  // After another host took this one for the writer.

  CoreContext& context_;
  const Membership& membership_;
  LogIndex index_;
  LogReader reader_;
  LogWriter writer_;
  LogTrimmer trimmer_;
  bool was_active_ = false;
  TimePoint active_until_{};
  RequestKey last_rechecked_;
  TimePoint next_resume_round_{};
  TimePoint next_unknown_home_check_{};
  std::map<HostName, uint64_t> incarnations_;
  std::map<CallId, LookupRequest> answer_reads_;
  std::vector<LookupRequest>
      lookups_awaiting_end_;                        // Without an answer in the index: told once the log's end was read.
  std::vector<LookupRequest> lookups_in_end_read_;  // Served by the read that is out.
  CallId end_read_call_ = 0;                        // 0: none is out.
  uint64_t end_read_sequence_ = 0;
  TimePoint next_end_read_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_ROLE_H_
