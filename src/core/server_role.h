// Manages the backend servers that this host owns: health probes, slots, and the queue of calls that wait for a slot. A
// server whose last good probe is too old, or that reports that it is leaving, gets no new calls.
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
  bool owned_here = false;  // This host owns it in the current membership view.
  bool healthy = false;
  int slots = 0;
  int in_progress = 0;
  CallId pending_probe = 0;  // The unanswered probe, or 0.
  TimePoint probe_sent{};
  TimePoint last_good_probe{};  // When the last good probe was sent.
  TimePoint next_probe{};
  TimePoint backoff_until{};  // No new calls before this time.
  Duration backoff = 0us;     // The last backoff; zero after a served call.
};

struct QueuedCall {
  HostName home;
  CallDispatch dispatch;
  TimePoint arrived{};
  TimePoint start_by{};
  TimePoint finish_by{};
  double cost = 0;            // Expected seconds in a slot.
  Duration predicted_wait{};  // Predicted by admission control on arrival.
};

class ServerRole {
 public:
  explicit ServerRole(CoreContext& context) : context_(context), queue_(context.settings.policy.queue) {}

  void OnList(const std::vector<ListEntry>& entries);
  void OnTick();
  bool OnServer(const ServerEvent& event);  // Returns false if another role made the call.
  void OnDispatch(const HostName& from, const CallDispatch& dispatch);

  // Number of calls that wait for a slot.
  size_t queued() const { return queue_.size(); }
  // Number of calls that are queued or executing.
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
  uint64_t refreshed_view_ = 0;  // The view at the last RefreshOwned.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_
