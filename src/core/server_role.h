// The owner's part for backend servers: health probes, slots, and the queue of calls that wait for a slot. A server
// whose last good probe is old, or that said it is leaving, gets nothing new.
#ifndef HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_

#include <map>
#include <vector>

#include "core/context.h"

namespace hibiscus {

struct OwnedServer {
  ListEntry entry;
  bool healthy = false;
  int slots = 0;
  int in_progress = 0;
  CallId probe = 0;  // The probe that is out, or 0.
  TimePoint probe_sent{};
  TimePoint good_probe{};  // When the last good probe was sent.
  TimePoint next_probe{};
  TimePoint not_before{};  // After a refusal: nothing new until then.
};

struct QueuedCall {
  HostName home;
  CallDispatch dispatch;
  TimePoint start_by{};
  TimePoint finish_by{};
};

class ServerRole {
 public:
  explicit ServerRole(CoreContext& context) : context_(context) {}

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
  };

  bool Usable(const OwnedServer& server) const;
  void Probe(OwnedServer& server);
  void OnProbe(OwnedServer& server, const ServerEvent& event);
  void OnExecuted(const Execution& execution, const ServerEvent& event);
  void Enqueue(QueuedCall call);
  void ServeQueue();
  OwnedServer* FindSlot();
  void Execute(OwnedServer& server, const QueuedCall& call);
  void ObserveStart(const QueuedCall& call);
  void Refuse(const QueuedCall& call, ResultCode code);
  void RefreshLoad();

  CoreContext& context_;
  std::map<ServerName, OwnedServer> servers_;
  std::map<CallId, ServerName> probes_;
  std::map<CallId, Execution> executions_;
  std::vector<QueuedCall> queue_;  // Earliest start target first.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_SERVER_ROLE_H_
