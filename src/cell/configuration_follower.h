// Follows the configuration, which may be large, over a link that may be slow and connections that may be dead. A watch
// brings each version as it is published; checks beside it tell whether the version in force is still the newest, which
// a host must know before it tells a caller that a queue does not exist.
//
// A check brings the configuration only if it has changed, so that checks of an unchanged one cost next to nothing
// whatever its size. While an answer arrives, no other call is sent, and calls that would bring the same are cancelled:
// they would only take bandwidth from it. After a large answer the next call asks for the newest version and not for
// all versions since.
#ifndef HIBISCUSSTAND_SRC_CELL_CONFIGURATION_FOLLOWER_H_
#define HIBISCUSSTAND_SRC_CELL_CONFIGURATION_FOLLOWER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "cell/context.h"
#include "cell/waiting_requests.h"

namespace hibiscus::cell {

class ConfigurationFollower {
 public:
  // Puts the configuration that was read in force. Returns false if it is unreadable.
  using Apply = std::function<bool(const StoreItem&)>;
  // True: the configuration in force was the newest at some time after the request was made.
  using Done = std::function<void(bool confirmed)>;

  // `wait` is how long the store waits for a change before it answers a watch.
  ConfigurationFollower(Context& context, Apply apply, Duration wait);
  ~ConfigurationFollower() { *alive_ = false; }
  ConfigurationFollower(const ConfigurationFollower&) = delete;
  ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

  void Begin();
  // Looks for dead connections; called several times a second.
  void Tick();
  // Calls `done` exactly once: with true after a check that was sent at this time or later, with false if there is none
  // by the deadline, or for a while in which nothing arrives. Requests that come together share a check, and the rate
  // of checks is limited.
  void Require(TimePoint deadline, Done done);
  // Sends a check unless one was sent just now or an answer is arriving.
  void Check();

  // Time since the configuration in force was the newest, as far as the store told. Empty: it never did.
  std::optional<Duration> age() const;
  // The same by checks and reads alone: a watch may be silent although there are changes.
  std::optional<Duration> confirmed_age() const;
  // Time since the store last answered.
  Duration silent_for() const { return context_.Now() - last_answer_at_; }

 private:
  enum class Kind { kRead, kWatch, kCheck };
  struct Call {
    Kind kind = Kind::kRead;
    StoreConnection connection = StoreConnection::kAny;
    StoreCall number = 0;
    TimePoint sent_at{};
    std::optional<TimePoint> arriving_since;  // Empty: nothing of the answer has arrived.
  };
  using Calls = std::list<Call>;
  using Requests = WaitingRequests<bool>;

  void Send(Kind kind, StoreConnection connection = StoreConnection::kAny);
  // Sends the call that the present state needs: a read before the first version, a check after a large answer or a
  // failure, and a watch otherwise.
  void SendNext();
  void SendOverdueRead();
  void OnProgress(Calls::iterator call);
  void OnAnswer(Calls::iterator answered, const StoreAnswer& answer);
  void OnSuccess(const Call& call, const StoreAnswer& answer);
  void OnFailure(StoreStatus status);
  void ApplyNewest(const StoreAnswer& answer);
  void LogAnswer(const Call& call, const StoreAnswer& answer);
  void CancelCall(Calls::iterator call);
  void CancelAllExcept(const Call* kept);
  static const char* NameOf(Kind kind);
  long long ArrivingMillis(const Call& call) const;  // Since its answer began to arrive; 0 if it has not.
  size_t CallCount(Kind kind) const;
  // Whether an answer is on its way in: a call has received a part of it, and the last one lately.
  bool IsArriving() const;
  // Whether an answer has begun to arrive and does not go on.
  bool HasStalledCall() const;
  // Whether the store should have answered the watch by now.
  bool IsWatchOverdue() const;
  void CheckRequests();

  Context& context_;
  const Apply apply_;
  const Duration wait_;
  Calls calls_;  // Without an answer yet.
  // Of the store, up to which the changes of the configuration are known here. 0: none, or its history is lost.
  uint64_t store_revision_ = 0;
  uint64_t item_revision_ = 0;  // Of the newest configuration that was read. 0: none.
  bool in_force_ = false;       // That one is in force: it was readable.
  bool check_next_ = false;     // Before the next watch: there may be several newer versions, or the store is silent.
  Requests requests_;           // Waiting for a check.
  TimePoint last_answer_at_{};
  TimePoint last_arrival_at_{};            // Of a part of an answer.
  std::optional<TimePoint> watched_at_;    // When the newest watch was sent that was answered.
  std::optional<TimePoint> confirmed_at_;  // When the newest check or read was sent that was answered.
  std::optional<TimePoint> last_check_at_;
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_CONFIGURATION_FOLLOWER_H_
