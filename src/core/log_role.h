// The group-commit log in the platform's store. One host per data centre, selected by rendezvous hashing, writes for
// all hosts of that data centre. Concurrent writers cause conflicts but are safe. The writer also tracks the open
// accepted requests and hands them over to another home host when theirs is lost.
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
  bool OnStore(const StoreEvent& event);  // Returns false if this part did not make the call.

  // True if no record is queued or in flight, or the store is unavailable.
  bool idle() const { return writer_.idle() || reader_.store_unavailable(); }

 private:
  // A lookup and the host to answer.
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
  void LookUp(const LookupRequest& request);
  void OnAnswerRead(const LookupRequest& request, const StoreEvent& event);
  void ReadLogEnd();
  void OnLogEndRead(const StoreEvent& event);
  void AnswerFromIndex(const std::vector<LookupRequest>& requests, bool current);

  // How long this host acts as a writer after the last request from a host that considers it the writer.
  static constexpr Duration kActiveTimeout = 30s;

  CoreContext& context_;
  const Membership& membership_;
  LogIndex index_;
  LogReader reader_;
  LogWriter writer_;
  LogTrimmer trimmer_;
  bool was_active_ = false;
  TimePoint active_until_{};
  RequestKey last_rechecked_;  // RecheckNextEntries() continues after this key.
  TimePoint next_resume_round_{};
  TimePoint next_unknown_home_check_{};
  std::map<HostName, uint64_t> incarnations_;  // Of the reachable hosts, to detect restarts.
  std::map<CallId, LookupRequest> answer_reads_;
  // Lookups without an answer in the index. They are answered after the log's end has been read again.
  std::vector<LookupRequest> lookups_awaiting_end_;
  std::vector<LookupRequest> lookups_in_end_read_;  // Answered by the pending read of the end.
  CallId end_read_call_ = 0;                        // 0 if no read of the end is pending.
  uint64_t end_read_sequence_ = 0;
  TimePoint next_end_read_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_LOG_ROLE_H_
