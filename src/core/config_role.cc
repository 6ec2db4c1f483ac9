#include "core/config_role.h"

#include <fmt/core.h>

#include "core/records.h"

namespace hibiscus {

namespace {
constexpr Duration kWatchRetry = 500ms;
}  // namespace

void ConfigRole::OnTick() {
  if (watch_ == 0 && context_.Now() >= next_watch_) {
    Watch();
  }
}

void ConfigRole::OnSet(const OperatorConfigSet& set) {
  PendingSet pending{set.exchange, set.configuration, {}};
  pending.configuration.version = set.expected_version + 1;
  if (!CheckConfiguration(pending.configuration).empty()) {
    AnswerSet(pending, ResultCode::kBadRequest);
    return;
  }
  if (set.expected_version != context_.configuration.version) {
    AnswerSet(pending, ResultCode::kConflict);
    return;
  }
  StoreCall put{StoreOp::kPut, kConfigKey, EncodeConfiguration(pending.configuration), watched_revision_, 0us};
  const CallId call = context_.NextId();
  writes_[call] = pending;
  context_.Pass(Step::kConfigWritten);
  context_.Act(SendStore{call, put, context_.settings.store_timeout});
}

void ConfigRole::OnHeartbeat(const HostName& from, const Heartbeat& heartbeat) {
  if (heartbeat.config_version < context_.configuration.version) {
    context_.Send(from, ConfigPush{context_.configuration});
  }
}

bool ConfigRole::OnStore(const StoreEvent& event) {
  if (event.call == watch_) {
    watch_ = 0;
    if (event.delivery == Delivery::kAnswered) {
      Learn(event.reply);
    } else {
      next_watch_ = context_.Now() + kWatchRetry;
    }
    return true;
  }
  if (auto write = writes_.extract(event.call); !write.empty()) {
    OnSetReply(write.mapped(), event);
    return true;
  }
  if (auto read = read_backs_.extract(event.call); !read.empty()) {
    const bool answered = event.delivery == Delivery::kAnswered;
    if (answered) {
      Learn(event.reply);
    }
    PendingSet& set = read.mapped();
    if (context_.configuration.version == set.configuration.version) {
      set.standing = context_.configuration.change_id;
    }
    AnswerSet(set, OutcomeOf(set));
    return true;
  }
  return false;
}

void ConfigRole::Apply(const Configuration& configuration) {
  if (configuration.version <= context_.configuration.version) {
    return;
  }
  context_.configuration = configuration;
  NoteStanding(configuration);
  context_.Pass(Step::kConfigApplied);
  context_.Log("config", fmt::format("version {} is in force", configuration.version));
}

void ConfigRole::Watch() {
  watch_ = context_.NextId();
  StoreCall call{StoreOp::kWatch, kConfigKey, {}, watched_revision_, context_.settings.watch_wait};
  context_.Act(SendStore{watch_, call, context_.settings.watch_wait + context_.settings.store_timeout});
}

void ConfigRole::Learn(const StoreReply& reply) {
  if (reply.status == StoreStatus::kAbsent || reply.revision <= watched_revision_) {
    return;
  }
  watched_revision_ = reply.revision;
  const auto configuration = DecodeConfiguration(reply.value);
  if (!configuration) {
    context_.Log("config", fmt::format("the store's record is unreadable: {}", configuration.error()));
    return;
  }
  Apply(*configuration);
}

void ConfigRole::OnSetReply(const PendingSet& set, const StoreEvent& event) {
  if (event.delivery == Delivery::kUnknown) {
    const CallId call = context_.NextId();
    read_backs_[call] = set;
    context_.Pass(Step::kConfigReadBack);
    StoreCall get{StoreOp::kGet, kConfigKey, {}, 0, 0us};
    context_.Act(SendStore{call, get, context_.settings.store_timeout});
    return;
  }
  if (event.delivery == Delivery::kNotSent) {
    AnswerSet(set, ResultCode::kStoreUnavailable);
    return;
  }
  if (event.reply.status != StoreStatus::kOk) {
    AnswerSet(set, ResultCode::kConflict);
    return;
  }
  watched_revision_ = std::max(watched_revision_, event.reply.revision);
  Apply(set.configuration);
  AnswerSet(set, ResultCode::kOk);
}

// Which change stands under a version is decided once for all: remembered for the writes whose answer was lost.
void ConfigRole::NoteStanding(const Configuration& configuration) {
  for (auto* pending : {&writes_, &read_backs_}) {
    for (auto& [call, set] : *pending) {
      if (set.configuration.version == configuration.version) {
        set.standing = configuration.change_id;
      }
    }
  }
}

// What became of a write whose answer was lost. An older version read back proves nothing, since the write may still
// arrive; nor does a newer one, since ours may have stood in between.
ResultCode ConfigRole::OutcomeOf(const PendingSet& set) {
  if (set.standing.empty()) {
    return ResultCode::kUnknownOutcome;
  }
  return set.standing == set.configuration.change_id ? ResultCode::kOk : ResultCode::kConflict;
}

void ConfigRole::AnswerSet(const PendingSet& set, ResultCode code) {
  context_.Act(AnswerOperator{set.exchange, code, context_.configuration});
}

}  // namespace hibiscus
