#include "core/entry_role.h"

#include <utility>
#include <vector>

namespace hibiscus {

namespace {

// The home host answers by the finish target; allows for the network delay of its reply.
constexpr Duration kAnswerGrace = 500ms;
constexpr Duration kQueryTimeout = 2s;        // For queries and cancellations.
constexpr Duration kFirstPollDelay = 1s;      // First poll of a silent home host; the interval doubles from then on.
constexpr Duration kMovedHomeTrustTime = 2s;  // How long a home host named by another host counts as reachable.

}  // namespace

void EntryRole::OnSubmit(const CallerSubmit& submit) {
  const Request& request = submit.request;
  const ResultCode code = Check(request);
  if (code != ResultCode::kOk) {
    Refuse(submit.exchange, request.key, code);
    return;
  }
  const ClassSpec* spec = context_.configuration.FindClass(request.class_name);
  const TimePoint deadline = context_.Now() + spec->finish_within + kAnswerGrace;
  Exchange exchange;
  exchange.id = submit.exchange;
  exchange.request = request;
  exchange.key = request.key;
  exchange.deadline = deadline;
  Open(std::move(exchange));
}

void EntryRole::OnQuery(const CallerQuery& query) {
  OpenQuery(query.exchange, Kind::kQuery, query.key);
}

void EntryRole::OnCancel(const CallerCancel& cancel) {
  OpenQuery(cancel.exchange, Kind::kCancel, cancel.key);
}

void EntryRole::OpenQuery(ExchangeId id, Kind kind, const RequestKey& key) {
  Exchange exchange;
  exchange.id = id;
  exchange.kind = kind;
  exchange.key = key;
  exchange.deadline = context_.Now() + kQueryTimeout;
  Open(std::move(exchange));
}

void EntryRole::OnAnswer(const HostName& from, const ForwardAnswer& answer) {
  const auto exchange = open_.find(answer.forward_id);
  if (exchange == open_.end()) {
    return;  // Late: the caller has its answer already.
  }
  if (exchange->second.home != from && answer.answer.verdict != Verdict::kDone) {
    return;  // Another home host has the request now: from an earlier one only a completed result counts.
  }
  if (IsPollReply(answer.forward_id, exchange->second, answer.answer)) {
    return;
  }
  HIBISCUS_INVARIANT(exchange->second.key == answer.answer.key, exchange->second.key.ToString(),
                     "An answer must go to its own caller: report which hosts forwarded it.");
  // "Not run" covers the current home host only: an earlier one may have started the request.
  const bool outcome_unknown = answer.answer.verdict == Verdict::kNotRun && exchange->second.resubmitted;
  context_.AddAction(
      AnswerCaller{exchange->second.id, outcome_unknown ? UnknownAnswer(exchange->second) : answer.answer});
  Close(exchange);
}

void EntryRole::OnMoved(const ForwardMoved& moved) {
  const auto exchange = open_.find(moved.forward_id);
  if (exchange == open_.end()) {
    return;
  }
  exchange->second.home = moved.home;
  const bool in_other_centre = !context_.IsLive(moved.home);
  if (in_other_centre) {
    exchange->second.home_trusted_until = context_.Now() + kMovedHomeTrustTime;
    exchange->second.request.attempt = 0;  // From now on another data centre may have the request.
  }
  exchange->second.resubmitted = true;
  if (!context_.IsReachable(moved.home)) {
    last_reachable_.clear();  // The next tick checks every home host again.
  }
  Forward(moved.forward_id, exchange->second, true);
}

void EntryRole::OnTick() {
  ResubmitFromLostHomes();
  PollHomes();
  while (!deadlines_.empty() && deadlines_.begin()->first <= context_.Now()) {
    const auto exchange = open_.find(deadlines_.begin()->second);
    context_.AddAction(AnswerCaller{exchange->second.id, UnknownAnswer(exchange->second)});
    Close(exchange);
  }
}

// Forwards the requests of lost home hosts to the next home host.
void EntryRole::ResubmitFromLostHomes() {
  const bool same = last_reachable_ == context_.reachable && last_remote_ == context_.remote;
  if (context_.live.empty() || same) {
    return;
  }
  last_reachable_ = context_.reachable;
  last_remote_ = context_.remote;
  for (auto& [forward_id, exchange] : open_) {
    const bool lost = !context_.IsReachable(exchange.home);
    if (lost && context_.Now() < exchange.home_trusted_until) {
      last_reachable_.clear();  // Checked again at the next tick.
    } else if (lost) {
      exchange.home = context_.HomeOf(exchange.key);
      exchange.resubmitted = true;
      Forward(forward_id, exchange, true);
    }
  }
}

// Polls silent home hosts, since the request or its answer may have been lost. A query carries no payload and starts
// nothing.
void EntryRole::PollHomes() {
  while (!poll_times_.empty() && poll_times_.begin()->first <= context_.Now()) {
    const uint64_t forward_id = poll_times_.begin()->second;
    poll_times_.erase(poll_times_.begin());
    Exchange& exchange = open_.at(forward_id);
    exchange.poll_interval *= 2;
    exchange.next_poll = context_.Now() + exchange.poll_interval;
    poll_times_.insert({exchange.next_poll, forward_id});
    context_.Send(exchange.home, ForwardQuery{forward_id, exchange.key});
  }
}

// True if the home host has the request in progress or does not have it: the exchange stays open.
bool EntryRole::IsPollReply(uint64_t forward_id, Exchange& exchange, const Answer& answer) {
  if (exchange.kind != Kind::kSubmit || exchange.request.deferred) {
    return false;
  }
  if (answer.code == ResultCode::kNotFound) {
    exchange.resubmitted = true;
    Forward(forward_id, exchange, true);
  }
  return answer.code == ResultCode::kNotFound || answer.code == ResultCode::kAccepted;
}

void EntryRole::Close(std::map<uint64_t, Exchange>::iterator exchange) {
  deadlines_.erase({exchange->second.deadline, exchange->first});
  poll_times_.erase({exchange->second.next_poll, exchange->first});
  open_.erase(exchange);
}

void EntryRole::AnswerAllAsUnknown() {
  for (const auto& [forward_id, exchange] : open_) {
    context_.AddAction(AnswerCaller{exchange.id, UnknownAnswer(exchange)});
  }
  open_.clear();
  deadlines_.clear();
  poll_times_.clear();
}

ResultCode EntryRole::Check(const Request& request) const {
  if (context_.leaving) {
    return ResultCode::kHostLeaving;
  }
  if (context_.IsRecovering()) {
    return ResultCode::kHostRecovering;
  }
  if (context_.configuration.version == 0) {
    return ResultCode::kNoConfiguration;
  }
  const ClassSpec* spec = context_.configuration.FindClass(request.class_name);
  if (spec == nullptr) {
    return ResultCode::kUnknownClass;
  }
  const bool members_fit = spec->kind == WorkKind::kGang ? request.members >= 1 : request.members == 1;
  const bool has_key = !request.key.tenant.empty() && !request.key.id.empty();
  if (!has_key || !members_fit || !request.size.IsValid() || request.run_time < 0us || request.attempt < 0) {
    return ResultCode::kBadRequest;
  }
  return ResultCode::kOk;
}

void EntryRole::Open(Exchange exchange) {
  exchange.home = context_.HomeOf(exchange.key);
  if (exchange.home.empty()) {
    Refuse(exchange.id, exchange.key, ResultCode::kHostLeaving);
    return;
  }
  const uint64_t forward_id = context_.NextId();
  if (exchange.kind == Kind::kSubmit && !exchange.request.deferred) {
    exchange.poll_interval = kFirstPollDelay;
    exchange.next_poll = context_.Now() + exchange.poll_interval;
    poll_times_.insert({exchange.next_poll, forward_id});
  }
  open_[forward_id] = exchange;
  deadlines_.insert({exchange.deadline, forward_id});
  Forward(forward_id, exchange, false);
}

void EntryRole::Forward(uint64_t forward_id, const Exchange& exchange, bool resubmit) {
  context_.ReportStep(resubmit ? Step::kResubmitted : Step::kForwarded);
  switch (exchange.kind) {
    case Kind::kSubmit:
      context_.Send(exchange.home, ForwardRequest{forward_id, exchange.request, resubmit});
      return;
    case Kind::kQuery:
      context_.Send(exchange.home, ForwardQuery{forward_id, exchange.key});
      return;
    case Kind::kCancel:
      context_.Send(exchange.home, ForwardCancel{forward_id, exchange.key});
      return;
  }
}

void EntryRole::Refuse(ExchangeId exchange, const RequestKey& key, ResultCode code) {
  const Duration retry_after = InfoOf(code).come_back ? kDefaultRetryAfter : 0us;
  context_.AddAction(AnswerCaller{exchange, Answer{key, code, Verdict::kNotRun, {}, retry_after}});
}

// A query or cancellation without an answer says nothing about the request: the caller should retry it.
Answer EntryRole::UnknownAnswer(const Exchange& exchange) const {
  const Duration retry_after = exchange.kind == Kind::kSubmit ? 0us : kDefaultRetryAfter;
  return Answer{exchange.key, ResultCode::kUnknownOutcome, Verdict::kUnknown, {}, retry_after};
}

}  // namespace hibiscus
