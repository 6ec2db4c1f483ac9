// The loop of the control thread, which alone accesses the core. Other threads post events and tasks; the resulting
// actions go to a sink.
#ifndef HIBISCUSSTAND_SRC_DAEMON_CONTROL_LOOP_H_
#define HIBISCUSSTAND_SRC_DAEMON_CONTROL_LOOP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "core/host_core.h"

namespace hibiscus {

class ControlLoop {
 public:
  // Executes the actions of one round. Called on the control thread.
  using Sink = std::function<void(std::vector<Action>)>;
  // Accesses the core on the control thread.
  using Task = std::function<void(HostCore&)>;

  ControlLoop(HostCore& core, Sink sink) : core_(core), sink_(std::move(sink)) {}

  // Post, PostTask and Stop are thread-safe.
  void Post(Event event);
  void PostTask(Task task);
  void Run();  // Returns after Stop.
  void Stop();

 private:
  void HandleRound(const std::vector<Event>& events, const std::vector<Task>& tasks);

  HostCore& core_;
  Sink sink_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Event> events_;
  std::vector<Task> tasks_;
  bool stopping_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_CONTROL_LOOP_H_
