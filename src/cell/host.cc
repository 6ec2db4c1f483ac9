#include "cell/host.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kTick = 200ms;
constexpr Duration kAskAgain = 700ms;          // A request without a reply goes out again,
constexpr Duration kLongestAskAgain = 1400ms;  // and then so often: its owner may be behind with its work.
constexpr Duration kLookAgain = 50ms;          // While no owner is known.
constexpr Duration kAfterUnsure = 150ms;       // Before a request is put to the next owner.
constexpr Duration kPingAfter = 800ms;         // Without a word from the owner.
constexpr Duration kHandOverAfter = 600ms;     // Several copies of a batch have had no answer by then.
constexpr Duration kLostAfter = 2500ms;      // Without a word, callers are sent to other hosts; longer than a takeover.
constexpr Duration kNoOwnerRetryAfter = 1s;  // About a takeover.
constexpr Duration kStepDownAfter = 1s;      // As an owner: all hosts are listed by then.
constexpr Duration kStepDownFor = 2s;        // In which a stronger host takes over.
constexpr double kMuchStronger = 1.5;        // Times the processor: worth the 200 ms of a planned takeover.

}  // namespace

Host::Host(Context& context, OnNewConfiguration on_configuration)
    : context_(context),
      on_configuration_(std::move(on_configuration)),
      configuration_watch_(
          context,
          context.directory.configuration_key(),
          [this](const std::vector<StoreItem>& items) {
            std::for_each(items.begin(), items.end(), [this](const StoreItem& item) { OnConfigurationItem(item); });
          },
          [this](const StoreItem& item) { OnConfigurationItem(item); }),
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
      last_call_(context.random()) {}

Host::~Host() {
  *alive_ = false;
}

void Host::Begin() {
  configuration_watch_.Begin();
  live_watch_.Begin();
  registration_.Begin();
  Tick();
}

void Host::Tick() {
  context_.timers.In(kTick, Guarded([this] { Tick(); }));
  if (owner_ != nullptr) {
    Heard();
    OfferIfStalled();
    StepDownIfWeak();
    return;
  }
  if (context_.Now() - heard_owner_ > kPingAfter) {
    const Ping ping{context_.settings.peer_address};
    if (!IsFree()) {
      Send(known_.record.address, ping);
    }
    if (context_.Now() - heard_owner_ > kLostAfter) {
      for (const auto& [key, host] : hosts_) {
        if (host.address != context_.settings.peer_address) {
          Send(host.address, ping);
        }
      }
    }
  }
  ConsiderClaim();
}

// Alone turned away by the store: others may reach it. If nobody does, nothing is lost by the offer.
void Host::OfferIfStalled() {
  if (owner_->store_stalled_for() < kHandOverAfter) {
    return;
  }
  for (const auto& [key, host] : hosts_) {
    if (host.address != context_.settings.peer_address) {
      Send(host.address, HandOver{known_.term});
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

int Host::StrongestProcessor() const {
  int strongest = context_.settings.processor_millis;
  for (const auto& [key, host] : hosts_) {
    strongest = std::max(strongest, host.processor_millis);
  }
  return strongest;
}

// The owner does far more than any other host. The first to claim may be a weak one, as when all have just started.
void Host::StepDownIfWeak() {
  const int own = context_.settings.processor_millis;
  const int strongest = StrongestProcessor();
  if (leaving_ || stepping_down_ || restoring_ || own == 0 || strongest < kMuchStronger * own ||
      context_.Now() - owner_since_ < kStepDownAfter) {
    return;
  }
  context_.Log("owner", "event=stepping_down epoch={} processor_millis={} strongest_millis={}",
               owner_->ownership().epoch, own, strongest);
  stepping_down_ = true;
  HandBack([this] {
    stepping_down_ = false;
    stepped_down_until_ = context_.Now() + kStepDownFor;
    if (owner_ != nullptr) {
      DropOwner();
    }
  });
}

void Host::OnHandOver(const HandOver& word) {
  if (owner_ != nullptr || word.term != known_.term || !live_watch_.healthy() || context_.Now() < no_claim_until_) {
    return;
  }
  known_.handed_over = true;
  ConsiderClaim();
}

bool Host::ready() const {
  const bool in_contact = owner_ != nullptr || context_.Now() - heard_owner_ < kLostAfter;
  return configuration_.version > 0 && !leaving_ && in_contact;
}

void Host::UpdateGauges() {
  context_.counters.Set("config_version", static_cast<double>(configuration_.version));
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
  request.reply_to = context_.settings.peer_address;
  pending_[call] = Pending{std::move(request), deadline, std::move(reply), false, 0, 0, kAskAgain};
  context_.timers.In(std::max(Duration(0), deadline - context_.Now()), Guarded([this, call] { GiveUp(call); }));
  Dispatch(call);
}

void Host::DispatchIn(uint64_t call, Duration delay) {
  const auto pending = pending_.find(call);
  if (pending == pending_.end()) {
    return;
  }
  const uint64_t timer = ++pending->second.timer;
  context_.timers.In(delay, Guarded([this, call, timer] {
                       const auto found = pending_.find(call);
                       if (found != pending_.end() && found->second.timer == timer) {
                         Dispatch(call);
                       }
                     }));
}

void Host::Dispatch(uint64_t call) {
  Pending& pending = pending_.at(call);
  pending.request.time_left = std::max<Duration>(pending.deadline - context_.Now(), 1ms);
  if (owner_ != nullptr) {
    pending.sent = true;
    pending.newest_term = known_.term;
    ++pending.timer;
    owner_->Handle(pending.request, Guarded([this](CallerReply reply) {
                     reply.term = known_.term;
                     OnReply(reply);
                   }));
    return;
  }
  if (!IsFree() && known_.record.address != context_.settings.peer_address) {
    pending.sent = true;
    pending.newest_term = std::max(pending.newest_term, known_.term);
    pending.request.term = known_.term;
    Send(known_.record.address, pending.request);
    DispatchIn(call, std::exchange(pending.ask_again, kLongestAskAgain));
    return;
  }
  DispatchIn(call, kLookAgain);
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
    DispatchIn(reply.call, kLookAgain);
    return;
  }
  if (reply.outcome == CallerOutcome::kUnsure) {
    DispatchIn(reply.call, kAfterUnsure);
    return;
  }
  const bool refused = reply.outcome == CallerOutcome::kRejected || reply.outcome == CallerOutcome::kUnavailable;
  if (refused && reply.term < found->second.newest_term) {
    // A later owner has a copy and may accept it: its word counts.
    context_.Log("caller", "event=refusal_overtaken job={} term={} asked_term={}", found->second.request.job,
                 reply.term, found->second.newest_term);
    return;
  }
  const Reply done = std::move(found->second.reply);
  pending_.erase(found);
  done(reply);
}

void Host::GiveUp(uint64_t call) {
  const auto found = pending_.find(call);
  if (found == pending_.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  const CallerOutcome outcome = pending.sent ? CallerOutcome::kUnsure : CallerOutcome::kUnavailable;
  context_.counters.Add("requests_given_up");
  context_.Log("caller", "event=given_up job={} queue={} kind={} sent={} owner={} owner_silent_ms={}",
               pending.request.job, pending.request.queue, static_cast<int>(pending.request.kind), pending.sent,
               known_.present ? known_.record.host : "none", Millis(context_.Now() - heard_owner_));
  pending.reply(CallerReply{.call = call, .outcome = outcome, .retry_after = kNoOwnerRetryAfter});
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
                     Heard();
                   }
                   OnReply(reply);
                 },
                 [&](const AdviceRequest& request) { OnAdviceRequest(request); },
                 [&](const AdviceReply& reply) {
                   if (owner_ != nullptr) {
                     owner_->OnAdvice(reply);
                   }
                 },
                 [&](const Ping& ping) { OnPing(ping); },
                 [&](const OwnerNews& news) { OnOwnerNews(news); },
                 [&](const HandOver& word) { OnHandOver(word); },
                 [&](const StartRequest& request) {
                   if (context_.Now().time_since_epoch() > request.valid_until) {
                     context_.counters.Add("orders_too_late_to_pass_on");
                     SendOrderReply(request.reply_to, request.call, AnswerOf(OrderStatus::kNotSent));
                     return;
                   }
                   PassOn(request, [&](auto done) { context_.workers.Start(request.worker, request.order, done); });
                 },
                 [&](const StopRequest& request) {
                   PassOn(request,
                          [&](auto done) { context_.workers.Stop(request.worker, request.run, request.token, done); });
                 },
                 [&](const HoldRequest& request) {
                   PassOn(request, [&](auto done) { context_.workers.Hold(request.worker, request.order, done); });
                 },
                 [&](const OrderReply& reply) {
                   if (owner_ != nullptr) {
                     owner_->OnOrderReply(reply);
                   }
                 },
             },
             *message);
}

void Host::OnCallerRequest(const CallerRequest& request) {
  // One that was meant for an owner before this one may be a copy that an owner in between has refused.
  if (owner_ == nullptr || request.term < owner_->ownership().term) {
    Send(request.reply_to, CallerReply{.call = request.call, .outcome = CallerOutcome::kNotOwner});
    return;
  }
  owner_->Handle(request, Guarded([this, to = request.reply_to](CallerReply reply) {
                   reply.term = known_.term;
                   Send(to, reply);
                 }));
}

void Host::OnAdviceRequest(const AdviceRequest& request) {
  Heard();
  context_.advice.Ask(request.step, request.workers, request.timeout,
                      Guarded([this, call = request.call, to = request.reply_to](const AdviceAnswer& answer) {
                        Send(to, AdviceReply{call, answer.answered, answer.allowed});
                      }));
}

// Gives the owner's order to a worker. An owner that this host knows to be replaced is not served: the worker would
// refuse the order only once it has seen the new owner's token.
template <class Request, class Give>
void Host::PassOn(const Request& request, Give give) {
  if (request.term < known_.term) {
    context_.counters.Add("orders_of_replaced_owner");
    SendOrderReply(request.reply_to, request.call, AnswerOf(OrderStatus::kNotSent));
    return;
  }
  Heard();
  give(Guarded([this, call = request.call, to = request.reply_to](const OrderAnswer& answer) {
    SendOrderReply(to, call, answer);
  }));
}

void Host::SendOrderReply(const std::string& address, uint64_t call, const OrderAnswer& answer) {
  Send(address, OrderReply{call, answer, context_.Now().time_since_epoch()});
}

void Host::OnPing(const Ping& ping) {
  OwnerNews news;
  if (!IsFree()) {
    news = OwnerNews{known_.term, known_.record.host, known_.record.address};
  }
  Send(ping.reply_to, news);
}

void Host::OnOwnerNews(const OwnerNews& news) {
  if (news.term == 0) {
    return;
  }
  if (news.term > known_.term) {
    Learn(news.term, true, OwnerRecord{news.host, news.address, 0, 0, false});
  }
  if (news.term == known_.term && known_.present) {
    Heard();
  }
}

}  // namespace hibiscus::cell
