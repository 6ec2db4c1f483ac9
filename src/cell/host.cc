#include "cell/host.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kTickInterval = 200ms;
// A request without a reply is sent again after the first delay and then at the longer interval, because the owner may
// be overloaded.
constexpr Duration kFirstResendDelay = 700ms;
constexpr Duration kResendInterval = 1400ms;
constexpr Duration kNoOwnerPollInterval = 50ms;    // Between checks for an owner while none is known.
constexpr Duration kUnsureRetryDelay = 150ms;      // Delay before an unsure request is sent to the next owner.
constexpr Duration kPingSilenceThreshold = 800ms;  // Silence of the owner after which it is pinged.
// Time without a commit after which the owner offers to hand over. By then several copies of the batch are unanswered.
constexpr Duration kHandOverStallThreshold = 600ms;
// Silence of the owner after which this host reports itself as not ready, so that callers are routed to other hosts.
// Must be longer than a takeover.
constexpr Duration kOwnerLostTimeout = 2500ms;
constexpr Duration kUnavailableRetryAfter = 1s;       // Retry-After of a failed request; about the time of a takeover.
constexpr Duration kMinOwnershipBeforeStepDown = 1s;  // All hosts are listed by then.
constexpr Duration kStepDownCooldown = 2s;            // Time for a stronger host to take over.
// The strongest host must have this many times the owner's processor time to justify the 200 ms of a planned takeover.
constexpr double kStepDownProcessorRatio = 1.5;
// A silent watch is detected early enough for several checks within the limit: their connections may be dead, too.
constexpr double kWatchShareOfLimit = 0.6;
constexpr Duration kMaxConfigurationWait = 2500ms;  // Of the store in a watch on the configuration.
// Requests that come closer together, or during one pause of the process, are read in any order.
constexpr Duration kUnorderedTime = 100ms;

Duration ConfigurationWait(const CellSettings& settings) {
  const std::chrono::duration<double, Duration::period> share = settings.configuration_limit * kWatchShareOfLimit;
  return std::min(kMaxConfigurationWait, std::chrono::duration_cast<Duration>(share));
}

}  // namespace

const char* NameOf(RouteOutcome outcome) {
  constexpr const char* kNames[] = {"found", "no_such_queue", "unconfirmed", "overtaken"};
  return kNames[static_cast<size_t>(outcome)];
}

Host::Host(Context& context, ConfigurationCallback on_configuration)
    : context_(context),
      on_configuration_(std::move(on_configuration)),
      configuration_follower_(
          context,
          [this](const StoreItem& item) { return OnConfigurationItem(item); },
          ConfigurationWait(context.settings)),
      live_watch_(
          context,
          kLivePrefix,
          [this](const std::vector<StoreItem>& items) { OnLiveReset(items); },
          [this](const StoreItem& item) { OnLiveItem(item); }),
      registration_(
          context,
          kHostPrefix + context.settings.name,
          EncodeRecord(HostRecord{context.settings.name, context.settings.peer_address, context.settings.incarnation,
                                  context.settings.processor_millis, context.settings.data_centre})),
      end_reports_(
          context,
          [this](const std::string& address, const Message& message) { Send(address, message); },
          [this] { return OtherHosts(); }),
      last_call_(context.random()) {}

Host::~Host() {
  *alive_ = false;
}

void Host::Begin() {
  configuration_follower_.Begin();
  live_watch_.Begin();
  registration_.Begin();
  Tick();
}

void Host::Tick() {
  context_.timers.In(kTickInterval, IfAlive([this] { Tick(); }));
  configuration_follower_.Tick();
  if (owner_ != nullptr) {
    NoteOwnerContact();
    ReportUnstoredEnds();
    OfferHandOverIfStalled();
    WithdrawOffers();
    StepDownForStrongerHost();
    return;
  }
  if (context_.Now() - last_owner_contact_ > kPingSilenceThreshold) {
    const OwnerQuery ping{context_.settings.peer_address};
    if (!IsUnowned()) {
      Send(known_.record.address, ping);
    }
    if (context_.Now() - last_owner_contact_ > kOwnerLostTimeout) {
      for (const auto& [key, host] : hosts_) {
        if (host.address != context_.settings.peer_address) {
          Send(host.address, ping);
        }
      }
    }
  }
  ScheduleClaimIfUnowned();
}

// The store may be unreachable from this host only, so the owner offers the other hosts to take over. If none of them
// reaches the store either, the offer has no effect.
void Host::OfferHandOverIfStalled() {
  if (owner_->store_stalled_for() < kHandOverStallThreshold) {
    return;
  }
  offered_ = true;
  owner_->OnClaimable();
  for (const auto& [key, host] : hosts_) {
    if (host.address != context_.settings.peer_address) {
      Send(host.address, OwnershipHandover{known_.term});
    }
  }
}

std::vector<HostRecord> Host::ListedHosts() const {
  std::vector<HostRecord> hosts;
  for (const auto& [key, host] : hosts_) {
    hosts.push_back(host);
  }
  return hosts;
}

int Host::MaxProcessorMillis() const {
  int max_millis = context_.settings.processor_millis;
  for (const auto& [key, host] : hosts_) {
    max_millis = std::max(max_millis, host.processor_millis);
  }
  return max_millis;
}

// The owner has much more work than any other host, and the first host to claim may have little processor time, for
// instance when all hosts have just started.
void Host::StepDownForStrongerHost() {
  const int own = context_.settings.processor_millis;
  const int max_millis = MaxProcessorMillis();
  if (leaving_ || stepping_down_ || restoring_ || own == 0 || max_millis < kStepDownProcessorRatio * own ||
      context_.Now() - owner_since_ < kMinOwnershipBeforeStepDown) {
    return;
  }
  context_.Log("owner", "event=stepping_down epoch={} processor_millis={} strongest_millis={}",
               owner_->ownership().epoch, own, max_millis);
  stepping_down_ = true;
  ReleaseOwnership([this] {
    stepping_down_ = false;
    step_down_cooldown_until_ = context_.Now() + kStepDownCooldown;
    if (owner_ != nullptr) {
      DestroyOwner();
    }
  });
}

void Host::OnHandOver(const OwnershipHandover& hand_over) {
  if (owner_ != nullptr || hand_over.term != known_.term || !live_watch_.healthy() ||
      context_.Now() < hand_overs_ignored_until_) {
    return;
  }
  known_.handed_over = true;
  ScheduleClaimIfUnowned();
}

bool Host::ready() const {
  const bool in_contact = owner_ != nullptr || context_.Now() - last_owner_contact_ < kOwnerLostTimeout;
  return configuration_.version > 0 && !leaving_ && in_contact;
}

void Host::UpdateGauges() {
  context_.counters.Set("config_version", static_cast<double>(configuration_.version));
  if (const std::optional<Duration> age = configuration_follower_.age(); age) {
    context_.counters.Set("config_age", std::chrono::duration<double>(*age).count());
  }
  context_.counters.Set("is_owner", owner_ != nullptr ? 1 : 0);
  context_.counters.Set("hosts_listed", static_cast<double>(hosts_.size()));
  context_.counters.Set("requests_pending", static_cast<double>(pending_.size()));
  if (owner_ != nullptr) {
    owner_->UpdateGauges();
  }
}

// --- Callers ---

void Host::Handle(CallerRequest request, TimePoint deadline, Reply reply) {
  const uint64_t call = ++last_call_;
  request.call = call;
  if (configuration_.version > 0 && configuration_.FindQueue(request.queue) == nullptr) {
    context_.Log("route", "event=dropped queue={} job={} kind={} config={}", request.queue, request.job,
                 NameOf(request.kind), configuration_.version);
    reply(CallerReply{.call = call, .outcome = CallerOutcome::kUnavailable, .retry_after = kUnavailableRetryAfter});
    return;
  }
  deadline = std::min(deadline, answer_by_);
  if (context_.Now() >= answer_by_) {
    reply(CallerReply{.call = call, .outcome = CallerOutcome::kUnavailable, .retry_after = kUnavailableRetryAfter});
    return;
  }
  newest_calls_[request.queue] = context_.Now();
  request.reply_to = context_.settings.peer_address;
  pending_[call] = PendingRequest{std::move(request), deadline, std::move(reply), false, 0, 0, kFirstResendDelay};
  context_.timers.In(std::max(Duration(0), deadline - context_.Now()), IfAlive([this, call] { OnDeadline(call); }));
  Dispatch(call);
}

void Host::HandleUnknownRoute(const std::string& host_name,
                              const std::string& path,
                              TimePoint deadline,
                              const RouteReply& reply) {
  const auto answer = [this, host_name, path, reply, asked_at = context_.Now()](bool confirmed) {
    reply(AnswerUnknownRoute(host_name, path, confirmed, asked_at));
  };
  configuration_follower_.Require(std::min(deadline, answer_by_), IfAlive(answer));
}

RouteOutcome Host::AnswerUnknownRoute(const std::string& host_name,
                                      const std::string& path,
                                      bool confirmed,
                                      TimePoint asked_at) {
  const bool found = configuration_.FindQueueForPath(host_name, path) != nullptr;
  const bool overtaken = newest_dropped_call_ + kUnorderedTime > asked_at;
  const RouteOutcome outcome = found       ? (overtaken ? RouteOutcome::kOvertaken : RouteOutcome::kFound)
                               : confirmed ? RouteOutcome::kNoSuchQueue
                                           : RouteOutcome::kUnconfirmed;
  const std::optional<Duration> age = configuration_follower_.age();
  context_.counters.Add(fmt::format("unknown_routes{{outcome=\"{}\"}}", NameOf(outcome)));
  context_.Log("route", "event=unknown outcome={} asked={}{} config={} config_age_ms={} store_silent_ms={}",
               NameOf(outcome), host_name, path, configuration_.version, age ? Millis(*age) : -1,
               Millis(configuration_follower_.silent_for()));
  return outcome;
}

void Host::NoteDroppedQueues() {
  std::erase_if(newest_calls_, [this](const auto& each) {
    const bool dropped = configuration_.FindQueue(each.first) == nullptr;
    newest_dropped_call_ = dropped ? std::max(newest_dropped_call_, each.second) : newest_dropped_call_;
    return dropped;
  });
}

void Host::CountUnknownKey(const KeyDigest& key, uint64_t version) {
  const char* reason = key.empty() ? "no_key" : "unknown_key";
  context_.counters.Add(fmt::format("key_refusals{{reason=\"{}\"}}", reason));
  context_.Log("key", "event=refused reason={} key={} config={}", reason, LoggedDigits(key), version);
}

void Host::DispatchIn(uint64_t call, Duration delay) {
  const auto pending = pending_.find(call);
  if (pending == pending_.end()) {
    return;
  }
  const uint64_t timer_number = ++pending->second.timer_number;
  context_.timers.In(delay, IfAlive([this, call, timer_number] {
                       const auto found = pending_.find(call);
                       if (found != pending_.end() && found->second.timer_number == timer_number) {
                         Dispatch(call);
                       }
                     }));
}

void Host::Dispatch(uint64_t call) {
  PendingRequest& pending = pending_.at(call);
  pending.request.time_left = std::max<Duration>(pending.deadline - context_.Now(), 1ms);
  if (owner_ != nullptr) {
    pending.sent = true;
    pending.newest_sent_term = known_.term;
    ++pending.timer_number;
    owner_->Handle(pending.request, IfAlive([this](CallerReply reply) {
                     reply.term = known_.term;
                     OnReply(reply);
                   }));
    return;
  }
  if (!IsUnowned() && known_.record.address != context_.settings.peer_address) {
    pending.sent = true;
    pending.newest_sent_term = std::max(pending.newest_sent_term, known_.term);
    pending.request.term = known_.term;
    Send(known_.record.address, pending.request);
    DispatchIn(call, std::exchange(pending.resend_delay, kResendInterval));
    return;
  }
  DispatchIn(call, kNoOwnerPollInterval);
}

void Host::DispatchAll() {
  std::vector<uint64_t> calls;
  for (const auto& [call, pending] : pending_) {
    calls.push_back(call);
  }
  for (const uint64_t call : calls) {
    if (pending_.contains(call)) {
      Dispatch(call);
    }
  }
}

void Host::OnReply(const CallerReply& reply) {
  const auto found = pending_.find(reply.call);
  if (found == pending_.end()) {
    return;
  }
  if (reply.outcome == CallerOutcome::kNotOwner) {
    DispatchIn(reply.call, kNoOwnerPollInterval);
    return;
  }
  if (reply.outcome == CallerOutcome::kOutcomeUnknown) {
    DispatchIn(reply.call, kUnsureRetryDelay);
    return;
  }
  if (IsRefusal(reply.outcome) && reply.term < found->second.newest_sent_term) {
    // A newer owner also has the request and may accept it, so its reply is decisive.
    context_.Log("caller", "event=refusal_overtaken job={} term={} asked_term={}", found->second.request.job,
                 reply.term, found->second.newest_sent_term);
    return;
  }
  LogAnswer(found->second.request, reply);
  const Reply done = std::move(found->second.reply);
  pending_.erase(found);
  done(reply);
}

// Names the owner whose knowledge an answer rests on, for the answers that are promises about jobs that don't run.
void Host::LogAnswer(const CallerRequest& request, const CallerReply& reply) {
  if (request.kind == CallerKind::kCancel || reply.outcome == CallerOutcome::kNoSuchJob) {
    context_.Log("caller", "event=answered kind={} job={} outcome={} term={} known_owner={} known_term={}",
                 NameOf(request.kind), request.job, NameOf(reply.outcome), reply.term, known_.record.host, known_.term);
  }
}

void Host::OnDeadline(uint64_t call) {
  const auto found = pending_.find(call);
  if (found == pending_.end()) {
    return;
  }
  const PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  const CallerOutcome outcome = pending.sent ? CallerOutcome::kOutcomeUnknown : CallerOutcome::kUnavailable;
  context_.counters.Add("requests_given_up");
  context_.Log("caller", "event=given_up job={} queue={} kind={} sent={} owner={} owner_silent_ms={}",
               pending.request.job, pending.request.queue, static_cast<int>(pending.request.kind), pending.sent,
               known_.present ? known_.record.host : "none", Millis(context_.Now() - last_owner_contact_));
  pending.reply(CallerReply{.call = call, .outcome = outcome, .retry_after = kUnavailableRetryAfter});
}

void Host::AnswerBy(TimePoint latest) {
  answer_by_ = latest;
  context_.timers.In(std::max(Duration(0), latest - context_.Now()), IfAlive([this] { EndAllPending(); }));
}

void Host::EndAllPending() {
  std::vector<uint64_t> calls;
  for (const auto& [call, pending] : pending_) {
    calls.push_back(call);
  }
  for (const uint64_t call : calls) {
    OnDeadline(call);
  }
}

// --- Other hosts ---

void Host::Send(const std::string& address, const Message& message) {
  context_.peers.Send(address, EncodeMessage(message));
}

void Host::OnPeerMessage(const std::string& bytes) {
  const auto message = DecodeMessage(bytes);
  if (!message) {
    context_.Log("peer", "event=unreadable_message bytes={} reason=\"{}\"", bytes.size(), message.error());
    return;
  }
  std::visit(Overloaded{
                 [&](const CallerRequest& request) { OnCallerRequest(request); },
                 [&](const CallerReply& reply) {
                   if (reply.outcome != CallerOutcome::kNotOwner) {
                     NoteOwnerContact();
                   }
                   OnReply(reply);
                 },
                 [&](const AdviceRequest& request) { OnAdviceRequest(request); },
                 [&](const AdviceReply& reply) {
                   if (owner_ != nullptr) {
                     owner_->OnAdviceReply(reply);
                   }
                 },
                 [&](const OwnerQuery& ping) { OnOwnerQuery(ping); },
                 [&](const OwnerAnnouncement& announcement) { OnOwnerAnnouncement(announcement); },
                 [&](const OwnershipHandover& hand_over) { OnHandOver(hand_over); },
                 [&](const StartRequest& request) {
                   if (context_.Now().time_since_epoch() > request.valid_until) {
                     RefuseLateOrder(request.reply_to, request.call);
                     return;
                   }
                   RelayOrder(request, [&](auto done) { context_.workers.Start(request.worker, request.order, done); });
                 },
                 [&](const StopRequest& request) {
                   RelayOrder(request, [&](auto done) {
                     context_.workers.Stop(request.worker, request.run, request.token, done);
                   });
                 },
                 [&](const HoldRequest& request) {
                   if (request.valid_until > Duration(0) && context_.Now().time_since_epoch() > request.valid_until) {
                     RefuseLateOrder(request.reply_to, request.call);
                     return;
                   }
                   RelayOrder(request, [&](auto done) { context_.workers.Hold(request.worker, request.order, done); });
                 },
                 [&](const OrderReply& reply) {
                   if (owner_ == nullptr || !owner_->OnOrderReply(reply)) {
                     ReportEnds(reply.answer.ended);
                   }
                 },
                 [&](const EndReport& report) { OnEndReport(report); },
                 [&](const EndReportReply& reply) { end_reports_.OnReply(reply); },
             },
             *message);
}

void Host::OnCallerRequest(const CallerRequest& request) {
  // A request addressed to an earlier owner may be a copy that an intermediate owner has already refused.
  if (owner_ == nullptr || request.term < owner_->ownership().term) {
    Send(request.reply_to, CallerReply{.call = request.call, .outcome = CallerOutcome::kNotOwner});
    return;
  }
  owner_->Handle(request, IfAlive([this, to = request.reply_to](CallerReply reply) {
                   reply.term = known_.term;
                   Send(to, reply);
                 }));
}

void Host::OnAdviceRequest(const AdviceRequest& request) {
  NoteOwnerContact();
  context_.advice.Ask(request.step, request.workers, request.timeout,
                      IfAlive([this, call = request.call, to = request.reply_to](const AdviceAnswer& answer) {
                        Send(to, AdviceReply{call, answer.answered, answer.allowed});
                      }));
}

// Sends the owner's order to a worker. Orders of an owner known to be replaced are rejected here, because the worker
// refuses them only after it has seen the new owner's token.
template <class Request, class SendToWorker>
void Host::RelayOrder(const Request& request, SendToWorker send_to_worker) {
  if (request.term < known_.term) {
    context_.counters.Add("orders_of_replaced_owner");
    SendOrderReply(request.reply_to, request.call, AnswerOf(OrderStatus::kNotSent));
    return;
  }
  NoteOwnerContact();
  send_to_worker(IfAlive([this, call = request.call, to = request.reply_to](const OrderAnswer& answer) {
    SendOrderReply(to, call, answer);
  }));
}

void Host::RefuseLateOrder(const std::string& reply_to, uint64_t call) {
  context_.counters.Add("orders_too_late_to_pass_on");
  SendOrderReply(reply_to, call, AnswerOf(OrderStatus::kNotSent));
}

void Host::SendOrderReply(const std::string& address, uint64_t call, const OrderAnswer& answer) {
  Send(address, OrderReply{call, answer, context_.Now().time_since_epoch()});
}

std::vector<HostRecord> Host::OtherHosts() const {
  std::vector<HostRecord> hosts = ListedHosts();
  std::erase_if(hosts, [this](const HostRecord& host) { return host.address == context_.settings.peer_address; });
  return hosts;
}

void Host::ReportUnstoredEnds() {
  if (owner_->stopped_writing()) {
    ReportEnds(owner_->TakeUnstoredEnds());
  }
}

// Only these ends decide whether a task may start again.
void Host::ReportEnds(const std::vector<EndedRun>& ends) {
  std::vector<EndedRun> decisive;
  std::copy_if(ends.begin(), ends.end(), std::back_inserter(decisive),
               [](const EndedRun& end) { return end.how == EndKind::kDone || end.how == EndKind::kFailed; });
  if (owner_ != nullptr && !owner_->stopped_writing()) {
    owner_->OnReportedEnds(decisive);  // They were listed to an earlier owner of this host, or late.
  } else {
    end_reports_.Report(decisive);
  }
}

void Host::OnEndReport(const EndReport& report) {
  const std::vector<EndedRun> added = end_reports_.OnReport(report);
  if (owner_ != nullptr) {
    owner_->OnReportedEnds(added);
  }
}

void Host::OnOwnerQuery(const OwnerQuery& ping) {
  OwnerAnnouncement announcement;
  if (!IsUnowned()) {
    announcement = OwnerAnnouncement{known_.term, known_.record.host, known_.record.address};
  }
  Send(ping.reply_to, announcement);
}

void Host::OnOwnerAnnouncement(const OwnerAnnouncement& announcement) {
  if (announcement.term == 0) {
    return;
  }
  // Of terms up to its revision the watch knows better: the sender may be cut off and that owner gone.
  if (announcement.term > known_.term && announcement.term > live_watch_.revision()) {
    UpdateKnownOwner(announcement.term, true, OwnerRecord{announcement.host, announcement.address, 0, 0, false});
  }
  if (announcement.term == known_.term && known_.present) {
    NoteOwnerContact();
  }
}

}  // namespace hibiscus::cell
