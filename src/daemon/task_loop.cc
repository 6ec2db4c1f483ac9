#include "daemon/task_loop.h"

#include <algorithm>
#include <utility>

namespace hibiscus {

namespace {

constexpr Duration kMaxSleep = 1s;         // The timers' clock counts suspended time, the wait below does not.
constexpr Duration kTimerInterval = 10ms;  // Posted tasks delay timers by at most this and the time of one task.

}  // namespace

void TaskLoop::Post(Task task) {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = posted_.tasks.empty();
    if (first) {
      posted_.first_post_time = clock_.Now();
    }
    posted_.tasks.push_back(std::move(task));
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

// Takes over posted tasks. If there are none left from earlier, first waits for tasks or the next timer. False after
// Stop.
bool TaskLoop::TakePosted() {
  const std::optional<TimePoint> next_timer = timers_.next();
  const Duration max_wait = next_timer ? std::clamp(*next_timer - clock_.Now(), Duration(0), kMaxSleep) : kMaxSleep;
  std::unique_lock lock(mutex_);
  if (batches_.empty()) {
    wake_.wait_for(lock, max_wait, [&] { return stopping_ || !posted_.tasks.empty() || !urgent_.empty(); });
  }
  if (!posted_.tasks.empty()) {
    batches_.push_back(std::exchange(posted_, Batch{}));
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
  while (TakePosted()) {
    const TimePoint round_start = clock_.Now();
    timers_.SetQueueDelay(batches_.empty() ? Duration(0) : round_start - batches_.front().first_post_time);
    RunUrgent();
    while (!batches_.empty() && clock_.Now() - round_start < kTimerInterval) {
      std::deque<Task>& tasks = batches_.front().tasks;
      const Task task = std::move(tasks.front());
      tasks.pop_front();
      if (tasks.empty()) {
        batches_.pop_front();
      }
      task();
      RunUrgent();
    }
    timers_.RunDue();
    after_round_();
  }
}

}  // namespace hibiscus
