// The control thread's loop: what may not wait for a long queue.
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "daemon/task_loop.h"
#include "ports/boot_clock.h"

namespace hibiscus {
namespace {

struct Rig {
  BootClock clock;
  cell::Timers timers{clock};
  TaskLoop loop{timers, clock, [] {}};
};

TEST_CASE("an urgent task runs before those that wait") {
  Rig rig;
  std::vector<int> order;
  for (int i = 0; i < 100; ++i) {
    rig.loop.Post([&, i] {
      order.push_back(i);
      if (i == 3) {
        rig.loop.PostUrgent([&] { order.push_back(-1); });
      }
      if (i == 99) {
        rig.loop.Stop();
      }
    });
  }
  rig.loop.Run();
  REQUIRE(order.size() > 5);
  CHECK(order[4] == -1);
}

// A thousand tasks that each take a millisecond: the timer's time comes after a few.
TEST_CASE("timers run between the tasks of a long queue") {
  Rig rig;
  int done = 0;
  int done_at_timer = -1;
  rig.timers.In(5ms, [&] { done_at_timer = done; });
  for (int i = 0; i < 1000; ++i) {
    rig.loop.Post([&] {
      std::this_thread::sleep_for(1ms);
      if (++done == 1000 || done_at_timer >= 0) {
        rig.loop.Stop();
      }
    });
  }
  rig.loop.Run();
  CHECK(done_at_timer >= 0);
  CHECK(done_at_timer < 500);
}

// An owner refuses new jobs by this figure: timers that run on time must not hide a queue that grows.
TEST_CASE("a long queue shows as lateness although timers run between its tasks") {
  Rig rig;
  Duration most{};
  rig.timers.In(5ms, [] {});
  int done = 0;
  for (int i = 0; i < 200; ++i) {
    rig.loop.Post([&] {
      std::this_thread::sleep_for(1ms);
      most = std::max(most, rig.timers.lateness());
      if (++done == 200) {
        rig.loop.Stop();
      }
    });
  }
  rig.loop.Run();
  CHECK(most >= 100ms);
}

}  // namespace
}  // namespace hibiscus
