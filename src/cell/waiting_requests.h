// Requests that wait for a call to the store that is newer than they are. While any wait, their owner is asked
// periodically to look for those that have waited too long, and whether another call has to be sent.
#ifndef HIBISCUSSTAND_SRC_CELL_WAITING_REQUESTS_H_
#define HIBISCUSSTAND_SRC_CELL_WAITING_REQUESTS_H_

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "cell/context.h"

namespace hibiscus::cell {

template <class Result>
class WaitingRequests {
 public:
  using Done = std::function<void(Result)>;
  struct Request {
    TimePoint made_at{};  // A call that was sent then or later answers it.
    TimePoint deadline{};
    Done done;
  };

  static constexpr Duration kCheckInterval = 50ms;

  // `check` may destroy this object.
  WaitingRequests(Context& context, std::function<void()> check) : context_(context), check_(std::move(check)) {}
  ~WaitingRequests() { *alive_ = false; }
  WaitingRequests(const WaitingRequests&) = delete;
  WaitingRequests& operator=(const WaitingRequests&) = delete;

  void Add(TimePoint deadline, Done done) {
    requests_.push_back(Request{context_.Now(), deadline, std::move(done)});
    ScheduleCheck();
  }
  // Removes the requests that match and calls them back. A callback may destroy this object or add a request.
  void Reply(Result result, const std::function<bool(const Request&)>& matches) {
    std::vector<Done> callbacks;
    std::erase_if(requests_, [&](Request& request) {
      const bool matched = matches(request);
      if (matched) {
        callbacks.push_back(std::move(request.done));
      }
      return matched;
    });
    for (const Done& done : callbacks) {
      done(result);
    }
  }

  bool empty() const { return requests_.empty(); }
  size_t size() const { return requests_.size(); }
  // When the newest was made; there must be one.
  TimePoint newest_made_at() const { return requests_.back().made_at; }

 private:
  void ScheduleCheck() {
    if (check_scheduled_ || requests_.empty()) {
      return;
    }
    check_scheduled_ = true;
    context_.timers.In(kCheckInterval, [this, alive = alive_] {
      if (!*alive) {
        return;
      }
      check_scheduled_ = false;
      check_();
      if (*alive) {
        ScheduleCheck();
      }
    });
  }

  Context& context_;
  const std::function<void()> check_;
  std::deque<Request> requests_;
  bool check_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_WAITING_REQUESTS_H_
