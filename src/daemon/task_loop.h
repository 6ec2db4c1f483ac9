// The control thread: runs what other threads post, and what timers say is due.
#ifndef HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_
#define HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "cell/timers.h"

namespace hibiscus {

class TaskLoop {
 public:
  using Task = std::function<void()>;

  // `after_round` runs on the control thread whenever what was there has been done.
  TaskLoop(cell::Timers& timers, const Clock& clock, Task after_round)
      : timers_(timers), clock_(clock), after_round_(std::move(after_round)) {}

  void Post(Task task);  // Thread-safe.
  void Run();            // Returns after Stop.
  void Stop();           // Thread-safe.

 private:
  bool TakePosted(std::vector<Task>& tasks);

  cell::Timers& timers_;
  const Clock& clock_;
  Task after_round_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Task> posted_;
  bool stopping_ = false;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_
