#include "core/host_core.h"

#include <utility>

#include <fmt/core.h>

#include "core/overloaded.h"

namespace hibiscus {

HostCore::HostCore(const HostSettings& settings, const Clock& clock, uint64_t seed)
    : context_(settings, clock, seed),
      membership_(context_),
      claims_(context_),
      config_(context_),
      entry_(context_),
      digests_(context_, membership_),
      centre_claims_(context_, claims_),
      home_(context_, membership_, claims_, digests_),
      workers_(context_, claims_),
      servers_(context_),
      log_(context_, membership_),
      last_event_(clock.Now()) {}

std::vector<Action> HostCore::Handle(const Event& event) {
  DetectPause();
  std::visit(Overloaded{
                 [&](const TickEvent&) { Tick(); },
                 [&](const LeaveEvent&) { BeginLeave(); },
                 [&](const ListEvent& list) {
                   membership_.OnList(list.entries);
                   digests_.OnList(list.entries);
                   workers_.OnList(list.entries);
                   servers_.OnList(list.entries);
                 },
                 [&](const PeerEvent& peer) { Dispatch(peer.from, peer.message); },
                 [&](const WorkerEvent& reply) { workers_.OnWorker(reply); },
                 [&](const ServerEvent& reply) { servers_.OnServer(reply); },
                 [&](const StoreEvent& reply) { config_.OnStore(reply) || log_.OnStore(reply); },
                 [&](const CallerSubmit& submit) { entry_.OnSubmit(submit); },
                 [&](const CallerQuery& query) { entry_.OnQuery(query); },
                 [&](const CallerCancel& cancel) { entry_.OnCancel(cancel); },
                 [&](const OperatorConfigSet& set) { config_.OnSet(set); },
                 [&](const OperatorHistory& history) { config_.OnHistory(history); },
             },
             event);
  while (!context_.self_messages.empty()) {
    const PeerMessage message = std::move(context_.self_messages.front());
    context_.self_messages.pop_front();
    Dispatch(context_.settings.name, message);
  }
  return std::exchange(context_.actions, {});
}

// A gap between two events that exceeds the lease margins means that the process was paused. Before handling the next
// event, treat every lease as lost and discard the heartbeats of all peers, since both may be outdated.
void HostCore::DetectPause() {
  const TimePoint now = context_.Now();
  const Duration gap = now - std::exchange(last_event_, now);
  if (gap <= context_.settings.pause_threshold) {
    return;
  }
  context_.ReportStep(Step::kPauseNoticed);
  context_.Log("core", fmt::format("paused for {} ms; treating every lease as lost", Millis(gap)));
  context_.recovering_until = now + context_.settings.recovery_period;
  membership_.OnPause();
  digests_.OnPause();
  workers_.OnPause();
  home_.OnPause();
}

void HostCore::Dispatch(const HostName& from, const PeerMessage& message) {
  std::visit(Overloaded{
                 [&](const Heartbeat& m) { OnHeartbeat(from, m); },
                 [&](const ForwardRequest& m) { home_.OnForward(from, m); },
                 [&](const ForwardAnswer& m) { entry_.OnAnswer(from, m); },
                 [&](const ForwardMoved& m) { entry_.OnMoved(m); },
                 [&](const ForwardCancel& m) { home_.OnCancel(from, m); },
                 [&](const ForwardQuery& m) { home_.OnQuery(from, m); },
                 [&](const Reserve& m) { workers_.OnReserve(from, m); },
                 [&](const Reserved& m) { home_.OnReserved(from, m); },
                 [&](const Commit& m) { workers_.OnCommit(from, m); },
                 [&](const ReleaseHold& m) { workers_.OnReleaseHold(m); },
                 [&](const StopRun& m) { workers_.OnStopRun(from, m); },
                 [&](const RunReport& m) { home_.OnReport(from, m); },
                 [&](const RunReportAck& m) { workers_.OnReportAck(m); },
                 [&](const CallDispatch& m) { servers_.OnDispatch(from, m); },
                 [&](const CallResult& m) { home_.OnCallResult(from, m); },
                 [&](const Claim& m) { OnClaim(from, m); },
                 [&](const ClaimAnswer& m) { OnClaimAnswer(from, m); },
                 [&](const ConfigPush& m) { config_.OnPush(m); },
                 [&](const Digest& m) { digests_.OnDigest(from, m); },
                 [&](const CentreClaim& m) { centre_claims_.OnCentreClaim(from, m); },
                 [&](const CentreClaimAnswer& m) { home_.OnCentreClaimAnswer(m); },
                 [&](const ClaimRetract& m) { centre_claims_.OnRetract(from, m); },
                 [&](const LogAppend& m) { log_.OnAppend(from, m); },
                 [&](const LogAppended& m) { home_.OnLogAppended(m); },
                 [&](const LogLookup& m) { log_.OnLookup(from, m); },
                 [&](const LogFound& m) { home_.OnLogFound(m); },
                 [&](const LogResume& m) { home_.OnResume(from, m); },
                 [&](const LogResumed& m) { log_.OnResumed(m); },
             },
             message);
}

void HostCore::OnHeartbeat(const HostName& from, const Heartbeat& heartbeat) {
  membership_.OnHeartbeat(from, heartbeat);
  config_.OnHeartbeat(from, heartbeat);
}

// If two hosts claim the same request at once, the host with the smaller name keeps its claim and the other yields.
void HostCore::OnClaim(const HostName& from, const Claim& claim) {
  const HostName& self = context_.settings.name;
  const HostName& claimant = claim.home.empty() ? from : claim.home;
  ClaimAnswer answer{claim.key, context_.view, workers_.CoversAllWorkers(), false, {}, claim.home};
  if (claimant != self && home_.IsClaiming(claim.key)) {
    if (self < claimant) {
      answer.known_elsewhere = true;
    } else {
      home_.YieldClaim(claim.key, claimant);
    }
  }
  if (claimant != self && home_.HasRequest(claim.key)) {
    answer.known_elsewhere = true;
  }
  if (!answer.known_elsewhere) {
    claims_.Put(claim.key, claimant, claim.claim);
    answer.runs = workers_.RunsOf(claim.key);
  }
  context_.Send(from, answer);
}

void HostCore::OnClaimAnswer(const HostName& from, const ClaimAnswer& answer) {
  if (answer.home.empty()) {
    home_.OnClaimAnswer(from, answer);
  } else {
    centre_claims_.OnAnswer(from, answer);
  }
}

void HostCore::Tick() {
  membership_.OnTick();
  digests_.OnTick();
  centre_claims_.OnTick();
  claims_.OnTick();
  config_.OnTick();
  entry_.OnTick();
  home_.OnTick();
  workers_.OnTick();
  servers_.OnTick();
  log_.OnTick();
  ExitIfDone();
}

void HostCore::BeginLeave() {
  if (!context_.leaving) {
    context_.leaving = true;
    context_.ReportStep(Step::kLeaveBegun);
    context_.leave_announced_by = context_.Now() + context_.settings.suspect_timeout;
    leave_deadline_ = context_.Now() + context_.settings.leave_timeout;
  }
}

void HostCore::ExitIfDone() {
  if (!context_.leaving || exited_) {
    return;
  }
  if (!context_.HasAnnouncedLeave()) {
    return;  // A peer that has not seen the announcement may still forward a request to this host.
  }
  const bool busy = entry_.open() + home_.active() + servers_.open() + workers_.leases() > 0;
  const bool writing = home_.withdrawals() > 0 || !log_.idle();
  if ((busy || writing) && context_.Now() < leave_deadline_) {
    return;
  }
  if (busy) {
    context_.Log("core", "planned stop timed out; answering open requests with an unknown outcome");
    entry_.AnswerAllAsUnknown();
  }
  exited_ = true;
  context_.ReportStep(Step::kLeaveDone);
  context_.AddAction(Exit{});
}

}  // namespace hibiscus
