#include "daemon/control_loop.h"

#include <chrono>
#include <iterator>

namespace hibiscus {

void ControlLoop::Post(Event event) {
  {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  wake_.notify_one();
}

void ControlLoop::PostTask(Task task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
}

void ControlLoop::Run() {
  auto next_tick = std::chrono::steady_clock::now();
  while (true) {
    std::vector<Event> events;
    std::vector<Task> tasks;
    {
      std::unique_lock lock(mutex_);
      wake_.wait_until(lock, next_tick, [&] { return stopping_ || !events_.empty() || !tasks_.empty(); });
      if (stopping_) {
        return;
      }
      events.swap(events_);
      tasks.swap(tasks_);
    }
    if (std::chrono::steady_clock::now() >= next_tick) {
      next_tick = std::chrono::steady_clock::now() + kTickInterval;
      events.emplace_back(TickEvent{});
    }
    HandleRound(events, tasks);
  }
}

void ControlLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
}

void ControlLoop::HandleRound(const std::vector<Event>& events, const std::vector<Task>& tasks) {
  std::vector<Action> actions;
  for (const Event& event : events) {
    std::vector<Action> new_actions = core_.Handle(event);
    actions.insert(actions.end(), std::make_move_iterator(new_actions.begin()),
                   std::make_move_iterator(new_actions.end()));
  }
  for (const Task& task : tasks) {
    task(core_);
  }
  if (!actions.empty()) {
    sink_(std::move(actions));
  }
}

}  // namespace hibiscus
