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

void ControlLoop::PostLook(Look look) {
  {
    const std::lock_guard lock(mutex_);
    looks_.push_back(std::move(look));
  }
  wake_.notify_one();
}

void ControlLoop::Run() {
  auto next_tick = std::chrono::steady_clock::now();
  while (true) {
    std::vector<Event> events;
    std::vector<Look> looks;
    {
      std::unique_lock lock(mutex_);
      wake_.wait_until(lock, next_tick, [&] { return stopping_ || !events_.empty() || !looks_.empty(); });
      if (stopping_) {
        return;
      }
      events.swap(events_);
      looks.swap(looks_);
    }
    if (std::chrono::steady_clock::now() >= next_tick) {
      next_tick = std::chrono::steady_clock::now() + kTickEvery;
      events.emplace_back(TickEvent{});
    }
    HandleRound(events, looks);
  }
}

void ControlLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
}

void ControlLoop::HandleRound(const std::vector<Event>& events, const std::vector<Look>& looks) {
  std::vector<Action> actions;
  for (const Event& event : events) {
    std::vector<Action> more = core_.Handle(event);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  }
  for (const Look& look : looks) {
    look(core_);
  }
  if (!actions.empty()) {
    sink_(std::move(actions));
  }
}

}  // namespace hibiscus
