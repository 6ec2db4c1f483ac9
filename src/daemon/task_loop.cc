#include "daemon/task_loop.h"

#include <algorithm>
#include <utility>

namespace hibiscus {

namespace {

constexpr Duration kLongestSleep = 1s;  // Timers count suspended time, the wait below does not.

}  // namespace

void TaskLoop::Post(Task task) {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (first) {
    wake_.notify_one();
  }
}

void TaskLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
}

// Waits for something to do; false at the end.
bool TaskLoop::TakePosted(std::vector<Task>& tasks) {
  const std::optional<TimePoint> due = timers_.next();
  const Duration left = due ? std::clamp(*due - clock_.Now(), Duration(0), kLongestSleep) : kLongestSleep;
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, left, [&] { return stopping_ || !posted_.empty(); });
  tasks.swap(posted_);
  return !stopping_;
}

void TaskLoop::Run() {
  std::vector<Task> tasks;
  while (TakePosted(tasks)) {
    for (const Task& task : tasks) {
      task();
    }
    tasks.clear();
    timers_.RunDue();
    after_round_();
  }
}

}  // namespace hibiscus
