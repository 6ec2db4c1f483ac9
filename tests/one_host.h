// One HostCore in virtual time, played by hand: a test sends it events and looks at its actions.
#ifndef HIBISCUSSTAND_TESTS_ONE_HOST_H_
#define HIBISCUSSTAND_TESTS_ONE_HOST_H_

#include <string>
#include <utility>
#include <vector>

#include "core/host_core.h"

namespace hibiscus {

inline HostSettings SettingsOf(const HostName& name) {
  HostSettings settings;
  settings.name = name;
  settings.data_centre = "dc";
  return settings;
}

class OneHost {
 public:
  explicit OneHost(const HostName& name) : core(SettingsOf(name), clock, 1) {}

  void Do(const Event& event) {
    for (Action& action : core.Handle(event)) {
      actions.push_back(std::move(action));
    }
  }

  // Lets time pass in ticks; `peers` go on sending their heartbeat.
  void Pass(Duration duration, const std::vector<HostName>& peers = {}) {
    for (const TimePoint end = clock.Now() + duration; clock.Now() < end; clock.Advance(kTickInterval)) {
      for (const HostName& peer : peers) {
        Do(PeerEvent{peer, Heartbeat{"dc", 7, false, 1, {}, {}, 0}});
      }
      Do(TickEvent{});
    }
  }

  void Configure(const std::vector<ClassSpec>& classes) {
    Do(PeerEvent{"peer", ConfigPush{Configuration{1, "c", classes, {}}}});
  }

  // The actions of one kind since the last call, oldest first; all others are dropped.
  template <class Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> taken;
    for (const Action& action : std::exchange(actions, {})) {
      if (const Kind* kind = std::get_if<Kind>(&action)) {
        taken.push_back(*kind);
      }
    }
    return taken;
  }

  // The peer messages of one kind since the last call; all other actions are dropped.
  template <class Message>
  std::vector<std::pair<HostName, Message>> TakeSent() {
    std::vector<std::pair<HostName, Message>> taken;
    for (const SendPeer& send : Take<SendPeer>()) {
      if (const Message* message = std::get_if<Message>(&send.message)) {
        taken.emplace_back(send.to, *message);
      }
    }
    return taken;
  }

  ManualClock clock;
  HostCore core;
  std::vector<Action> actions;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_ONE_HOST_H_
