#include "daemon/task_loop.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscus {

namespace {

constexpr Duration kLongestSleep = 1s;   // Timers count suspended time, the wait below does not.
constexpr Duration kTimersEvery = 10ms;  // A long queue of posted tasks delays timers by no more than this and a task.

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

void TaskLoop::PostUrgent(Task task) {
  {
    const std::lock_guard lock(mutex_);
    urgent_.push_back(std::move(task));
    has_urgent_ = true;
  }
  wake_.notify_one();
}

void TaskLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
}

// Waits for something to do, unless `tasks` has some left; false at the end.
bool TaskLoop::TakePosted(std::deque<Task>& tasks) {
  const std::optional<TimePoint> due = timers_.next();
  const Duration left = due ? std::clamp(*due - clock_.Now(), Duration(0), kLongestSleep) : kLongestSleep;
  std::unique_lock lock(mutex_);
  if (tasks.empty()) {
    wake_.wait_for(lock, left, [&] { return stopping_ || !posted_.empty() || !urgent_.empty(); });
    tasks.swap(posted_);
  } else {
    std::move(posted_.begin(), posted_.end(), std::back_inserter(tasks));
    posted_.clear();
  }
  return !stopping_;
}

void TaskLoop::RunUrgent() {
  if (!has_urgent_) {
    return;
  }
  std::vector<Task> urgent;
  {
    const std::lock_guard lock(mutex_);
    urgent.swap(urgent_);
    has_urgent_ = false;
  }
  for (const Task& task : urgent) {
    task();
  }
}

void TaskLoop::Run() {
  std::deque<Task> tasks;
  while (TakePosted(tasks)) {
    const TimePoint until = clock_.Now() + kTimersEvery;
    RunUrgent();
    while (!tasks.empty() && clock_.Now() < until) {
      const Task task = std::move(tasks.front());
      tasks.pop_front();
      task();
      RunUrgent();
    }
    timers_.RunDue();
    after_round_();
  }
}

}  // namespace hibiscus
