// Asks the advice service for the owner. The service serves the calls of each calling host one after the other, and
// some take most of a second, so the questions are spread over all hosts: each goes where it is answered soonest.
#ifndef HIBISCUSSTAND_SRC_CELL_ADVICE_DESK_H_
#define HIBISCUSSTAND_SRC_CELL_ADVICE_DESK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cell/context.h"
#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

class AdviceDesk {
 public:
  using Done = AdvicePort::Done;

  explicit AdviceDesk(Context& context) : context_(context), last_call_(context.random()) {}
  ~AdviceDesk() { *alive_ = false; }
  AdviceDesk(const AdviceDesk&) = delete;
  AdviceDesk& operator=(const AdviceDesk&) = delete;

  // The hosts that may ask, this one included.
  void SetHosts(const std::vector<HostRecord>& hosts);
  // Whether a question would be answered soon. The others wait with their owner, who knows which matters most.
  bool HasRoom() const;
  // Whether a question would have to wait for others.
  bool IsBusy() const;
  // Whether more than half of the hosts have nothing to ask.
  bool IsMostlyIdle() const;
  size_t in_line() const { return questions_.size(); }
  // An unanswered question counts as not answered once `cost` and some patience have passed.
  void Ask(const TaskRef& step, const std::vector<std::string>& workers, Duration cost, Done done);
  void OnReply(const AdviceReply& reply);

 private:
  struct Asker {
    bool self = false;
    TimePoint busy_until{};   // By the costs of what it was given.
    TimePoint avoid_until{};  // It did not answer lately.
  };
  struct Question {
    std::string asker;
    Done done;
    TimePoint asked{};
  };

  std::map<std::string, Asker>::const_iterator SoonestFree() const;
  void Finish(uint64_t call, const AdviceAnswer& answer);

  Context& context_;
  std::map<std::string, Asker> askers_;  // By peer address.
  std::map<uint64_t, Question> questions_;
  uint64_t last_call_;  // Begins at random: answers to an earlier owner on this host match nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADVICE_DESK_H_
