// The control thread: runs what other threads post, and what timers say is due.
#ifndef HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_
#define HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
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
  // Runs before everything that was posted and not begun: what the store says, on which this host's role hangs.
  // Thread-safe.
  void PostUrgent(Task task);
  void Run();   // Returns after Stop.
  void Stop();  // Thread-safe.

 private:
  // What was posted until the control thread took it.
  struct Batch {
    TimePoint first_post_time{};  // When the first was posted.
    std::deque<Task> tasks;
  };

  bool TakePosted();
  void RunUrgent();

  cell::Timers& timers_;
  const Clock& clock_;
  Task after_round_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Batch> batches_;             // Control thread only; oldest first, none of them empty.
  Batch posted_;                          // Under mutex_.
  std::vector<Task> urgent_;              // Under mutex_.
  std::atomic<bool> has_urgent_ = false;  // So that the mutex is taken only if there are some.
  bool stopping_ = false;                 // Under mutex_.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_
