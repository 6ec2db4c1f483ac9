// The loop of the control thread: runs the tasks that other threads post, and due timers.
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

  // `after_round` runs on the control thread at the end of each round of tasks and timers.
  TaskLoop(cell::Timers& timers, const Clock& clock, Task after_round)
      : timers_(timers), clock_(clock), after_round_(std::move(after_round)) {}

  void Post(Task task);  // Thread-safe.
  // Runs before all posted tasks that have not begun. For replies of the store, which decide this host's role.
  // Thread-safe.
  void PostUrgent(Task task);
  void Run();   // Returns after Stop.
  void Stop();  // Thread-safe.

 private:
  // Tasks that the control thread takes over together.
  struct Batch {
    TimePoint first_post_time{};  // Of the first task.
    std::deque<Task> tasks;
  };

  bool TakePosted();
  void RunUrgent();

  cell::Timers& timers_;
  const Clock& clock_;
  Task after_round_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Batch> batches_;             // Control thread only. Oldest first, none empty.
  Batch posted_;                          // Guarded by mutex_.
  std::vector<Task> urgent_;              // Guarded by mutex_.
  std::atomic<bool> has_urgent_ = false;  // Avoids locking mutex_ when urgent_ is empty.
  bool stopping_ = false;                 // Guarded by mutex_.
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_TASK_LOOP_H_
