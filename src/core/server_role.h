// The owner's part for backend servers: health probes, slots, and the queue of calls that wait for a slot. A server
// whose last good probe is old, or that said it is leaving, gets nothing new.
#ifndef HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_

#include <map>
#include <optional>
#include <vector>

#include "core/context.h"
#include "core/run_times.h"
#include "hibiscusstand/admission.h"
#include "hibiscusstand/deadline_queue.h"
#include "hibiscusstand/outlier_detector.h"

namespace hibiscus {

struct OwnedServer {
  ListEntry entry;
  bool ours = false;  // It falls to this host, under the present view.
  bool healthy = false;
  int slots = 0;
  int in_progress = 0;
  CallId probe = 0;  // The probe that is out, or 0.
  TimePoint probe_sent{};
  TimePoint good_probe{};  // When the last good probe was sent.
  TimePoint next_probe{};
  TimePoint not_before{};  // After a call that it did not serve: nothing new until then.
  Duration pause = 0us;    // The last one; zero once it served a call.
};

struct QueuedCall {
  HostName home;
  CallDispatch dispatch;
  TimePoint arrived{};
  TimePoint start_by{};
  TimePoint finish_by{};
  double cost = 0;       // Expected seconds of a slot.
  Duration predicted{};  // Wait, as admission saw it.
};

class ServerRole {
 public:
  explicit ServerRole(CoreContext& context) : context_(context), queue_(context.settings.policy.queue) {}

  void OnList(const std::vector<ListEntry>& entries);
  void OnTick();
  bool OnServer(const ServerEvent& event);  // False: the call was not ours.
  void OnDispatch(const HostName& from, const CallDispatch& dispatch);

  // Calls that wait for a slot.
  size_t queued() const { return queue_.size(); }
  size_t open() const { return queue_.size() + executions_.size(); }

 private:
  struct Execution {
    ServerName server;
    QueuedCall call;
    TimePoint started{};
  };

  void RefreshOwned();
  bool IsServing(const OwnedServer& server) const;
  bool HasFreeSlot(const OwnedServer& server) const;
  double Capacity() const;
  void Probe(OwnedServer& server);
  void OnProbe(OwnedServer& server, const ServerEvent& event);
  void StartBackoff(OwnedServer& server);
  void OnExecuted(const Execution& execution, const ServerEvent& event);
  void RecordRunTime(const Execution& execution);
  Demand DemandOf(const QueuedCall& call) const;
  void Enqueue(QueuedCall call);
  void ServeQueue();
  OwnedServer* FindServer(const QueuedCall& call);
  bool MayUseSlow(const OwnedServer& server, const QueuedCall& call) const;
  void Execute(OwnedServer& server, const QueuedCall& call);
  void ReportStart(const QueuedCall& call);
  void Refuse(const QueuedCall& call, ResultCode code, Duration retry_after);
  void RefreshLoad();

  CoreContext& context_;
  std::map<ServerName, OwnedServer> servers_;
  std::map<CallId, ServerName> probes_;
  std::map<CallId, Execution> executions_;
  DeadlineQueue<QueuedCall> queue_;
  AdmissionControl admission_;
  OutlierDetector outliers_;
  RunTimes run_times_;
  TimePoint next_outlier_update_{};
  uint64_t refreshed_view_ = 0;  // Of the last RefreshOwned.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_
