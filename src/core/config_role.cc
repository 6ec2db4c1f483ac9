#include "core/config_role.h"

#include <algorithm>

#include <fmt/core.h>

#include "core/records.h"

namespace hibiscus {

namespace {

constexpr Duration kWatchRetryDelay = 500ms;
constexpr Duration kPeerPushDelay = 1s;  // After this, any peer pushes to an outdated host, not only the watcher.

}  // namespace

ConfigRole::ConfigRole(CoreContext& context)
    : context_(context), changes_(context, [this](const Configuration& configuration) { Apply(configuration); }) {}

bool ConfigRole::IsWatcher() const {
  return context_.OwnerOf(kConfigKey) == context_.settings.name;
}

void ConfigRole::OnTick() {
  if (IsWatcher() && watch_call_ == 0 && context_.Now() >= next_watch_) {
    Watch();
  }
  changes_.OnTick();
}

// The watcher pushes the configuration to an outdated peer at once. If the watcher cannot, because it is disconnected
// from the store or from that peer, any other host does after kPeerPushDelay.
void ConfigRole::OnHeartbeat(const HostName& from, const Heartbeat& heartbeat) {
  if (heartbeat.config_version >= context_.configuration.version) {
    outdated_since_.erase(from);
    return;
  }
  const TimePoint since = outdated_since_.try_emplace(from, context_.Now()).first->second;
  if (IsWatcher() || context_.Now() - since >= kPeerPushDelay) {
    context_.Send(from, ConfigPush{context_.configuration});
  }
}

bool ConfigRole::OnStore(const StoreEvent& event) {
  if (event.call == 0 || event.call != watch_call_) {
    return changes_.OnStore(event);
  }
  watch_call_ = 0;
  if (event.delivery != Delivery::kAnswered) {
    next_watch_ = context_.Now() + kWatchRetryDelay;
    return true;
  }
  OnWatchReply(event.reply);
  if (IsWatcher()) {
    Watch();
  }
  return true;
}

void ConfigRole::Apply(const Configuration& configuration) {
  if (configuration.version <= context_.configuration.version) {
    return;
  }
  context_.ReportStep(Step::kConfigApplied);
  context_.configuration = configuration;
  context_.Log("config", fmt::format("version {} is in effect", configuration.version));
  if (!configuration.quotas.empty()) {
    context_.Log("config", "the configuration contains quotas; they are not enforced yet");
  }
}

void ConfigRole::Watch() {
  const Duration wait = context_.settings.watch_wait;
  watch_call_ = context_.CallStore(StoreCall{StoreOp::kWatch, kConfigKey, {}, watched_revision_, wait});
}

void ConfigRole::OnWatchReply(const StoreReply& reply) {
  if (reply.status == StoreStatus::kAbsent || reply.revision <= watched_revision_) {
    return;
  }
  watched_revision_ = reply.revision;
  const auto configuration = DecodeConfiguration(reply.value);
  if (!configuration) {
    context_.Log("config",
                 fmt::format("the configuration record in the store is malformed: {}", configuration.error()));
    return;
  }
  Apply(*configuration);
}

}  // namespace hibiscus
