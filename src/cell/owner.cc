#include "cell/owner.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kTickInterval = 100ms;  // Period of Tick.
// Less than the time in which another host can take over: the lease of the owner less one renewal interval.
constexpr Duration kPauseThreshold = 500ms;
// Callers accept counts of pending jobs up to 2 s old. Such a count may be that of an owner which has been replaced for
// as long as the second bound.
constexpr Duration kMaxPendingCountAge = 500ms;
constexpr Duration kMaxPendingDoubt = 1s;
// If the store has not confirmed a job's end by then, a state query gets the last stored state.
constexpr Duration kStateStallTimeout = 600ms;
// For which cancels of unknown jobs are collected: anybody can send any number of them.
constexpr Duration kCancelWindow = 50ms;
constexpr Duration kCancelStallTimeout = 600ms;  // If the cancel is not stored by then, the caller is to come back.
constexpr Duration kUnavailableRetryAfter = 1s;  // A new configuration reaches all hosts within seconds.

Duration CallerTimeLeft(const CallerRequest& request) {
  return request.time_left > Duration(0) ? request.time_left : Owner::kMaxCallerWait;
}

}  // namespace

Owner::Owner(Context& context,
             const Ownership& ownership,
             CellConfiguration configuration,
             ConfigurationFollower& configuration_follower,
             std::function<void()> on_deposed,
             WorkerTable::LateEnds on_late_ends)
    : context_(context),
      ownership_(ownership),
      configuration_(std::move(configuration)),
      maxima_(MaximaOf(configuration_.tenants)),
      configuration_follower_(configuration_follower),
      ownership_proof_(context, ownership.epoch, [this] { OnFenced(); }),
      on_deposed_(std::move(on_deposed)),
      relay_(context, ownership.term),
      workers_(context, relay_, ownership.term, *this, std::move(on_late_ends)),
      advice_(context),
      placement_(context.settings.policies),
      commit_(
          context,
          ownership.epoch,
          ownership.head_revision,
          [this](uint64_t number) { return FillBatch(number); },
          [this] { OnFenced(); }),
      lease_until_(ownership.lease_until) {}

Owner::~Owner() {
  *alive_ = false;
  SetWaitingGauges({});
}

void Owner::Begin() {
  context_.Log("owner", "event=takeover epoch={} term={}", ownership_.epoch, ownership_.term);
  loading_began_at_ = context_.Now();
  last_active_at_ = context_.Now();
  ConfirmConfigurationIfNeeded();
  ReadJobs();
  Tick();
}

// After a pause, orders that were due before it must not go out on an ownership that may have been lost meanwhile.
void Owner::CheckForPause() {
  const TimePoint now = context_.Now();
  const Duration paused = now - last_active_at_;
  last_active_at_ = now;
  if (paused > kPauseThreshold) {
    context_.counters.Add("owner_pauses");
    context_.Log("owner", "event=paused epoch={} for_ms={} workers={}", ownership_.epoch, Millis(paused),
                 workers_.workers().size());
    workers_.RecheckAll();
  }
}

void Owner::OnLeaseConfirmed(TimePoint sent_at) {
  const Duration ttl = std::max(kOwnerLeaseTtl, context_.settings.min_lease_ttl);
  lease_until_ = std::max(lease_until_, sent_at + ttl);
  UpdateAuthority();
}

void Owner::OnClaimable() {
  claimable_since_ = claimable_since_.value_or(context_.Now());
  UpdateAuthority();
}

void Owner::OnRecordRenewed() {
  claimable_since_.reset();
  UpdateAuthority();
}

void Owner::OnReleasing() {
  releasing_since_ = releasing_since_.value_or(context_.Now());
  OnClaimable();
}

Duration Owner::OwnersActFor() const {
  const TimePoint now = context_.Now();
  const Duration own = releasing_since_.value_or(now) + kMaxReleasedDoubt - now;
  // An owner that has not loaded its workers has sent them nothing.
  const Duration earlier = loaded_ ? workers_.EarlierOwnersInactiveAt() - now : ownership_.earlier_owners_act_for;
  return std::max({Duration(0), own, earlier});
}

void Owner::UpdateAuthority() {
  Authority authority;
  authority.sole_until = SoleUntil();
  const Duration max_doubt = releasing_since_ ? kMaxReleasedDoubt : kMaxDoubt;
  const TimePoint by_witnesses = std::min(workers_.WitnessedUntil(), authority.sole_until + max_doubt);
  authority.active_until = std::max(authority.sole_until, by_witnesses);
  workers_.SetAuthority(authority);
  if (!workers_.IsInDoubt()) {
    steps_on_hold_.clear();
  }
  if (workers_.MayAct() != was_active_) {
    was_active_ = workers_.MayAct();
    context_.counters.Add("owner_suspensions", was_active_ ? 0 : 1);
    context_.Log("owner", "event={} epoch={} lease_over_ms={} claimable={}", was_active_ ? "active_again" : "suspended",
                 ownership_.epoch, Millis(context_.Now() - lease_until_), claimable());
    SchedulePlacementPass();
  }
}

void Owner::Tick() {
  CheckForPause();
  UpdateAuthority();
  context_.timers.In(kTickInterval, [this, alive = alive_] {
    if (*alive) {
      Tick();
    }
  });
  relay_.SetWorkerCount(workers_.workers().size());
  relay_.Sweep();
  workers_.Sweep();
  RefreshWorkers();  // The sweep may have removed workers.
  if (!loaded_) {
    return;
  }
  ResolveRestoredSuspects();
  WithdrawUnsentJobs();
  quarantine_.SetTargetCount(workers_.workers().size());
  quarantine_.ReleaseUnprobed(context_.Now());
  for (const auto& [id, job] : jobs_) {
    BeginDueOccurrences(*job);
  }
  RequestExpiry();
  if (OpenStartsAreOutdated()) {
    commit_.Request();
  }
  ExpireRefusals();
  CheckWaitingSteps();
  SchedulePlacementPass();
}

Job* Owner::FindJob(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void Owner::Handle(const CallerRequest& request, Reply reply) {
  if (is_deposed_ || closing_) {
    reply(CallerReply{.call = request.call, .outcome = CallerOutcome::kNotOwner});
    return;
  }
  if (!loaded_) {
    deferred_requests_.emplace_back(request, std::move(reply));
    return;
  }
  if (request.kind == CallerKind::kSubmit) {
    Submit(request, reply);
    return;
  }
  const std::optional<std::string> tenant = Authorize(request, reply);
  if (!tenant) {
    return;
  }
  switch (request.kind) {
    case CallerKind::kSubmit:
      return;  // Handled above.
    case CallerKind::kState:
      ReplyState(request, *tenant, reply);
      return;
    case CallerKind::kCancel:
      Cancel(request, *tenant, reply);
      return;
    case CallerKind::kPending:
      ReplyPending(request, reply);
      return;
  }
}

// --- Submit ---

void Owner::Submit(const CallerRequest& request, const Reply& reply) {
  const CallId call(request.reply_to, request.call);
  if (const auto earlier_refusal = refusals_.find(call); earlier_refusal != refusals_.end()) {
    reply(earlier_refusal->second);
    return;
  }
  const Job* existing = FindJob(request.job);
  if (existing != nullptr && existing->submissions.contains(call)) {
    SubmitKnown(request, reply);
    return;
  }
  const std::optional<std::string> tenant = Authorize(request, reply);
  if (!tenant) {
    return;
  }
  const std::optional<std::string> known = TenantOfJob(request.job);
  if (!known) {
    SubmitNew(request, *tenant, reply);
  } else if (MayAccess(request, *tenant, *known)) {
    SubmitKnown(request, reply);
  } else {
    context_.Log("admission", "event=rejected job={} queue={} tenant={} reason=id_of_other_tenant", request.job,
                 request.queue, *tenant);
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kInvalidJob});
  }
}

// Submission of a job that was already submitted, or a copy of an earlier request.
void Owner::SubmitKnown(const CallerRequest& request, const Reply& reply) {
  Job* job = FindJob(request.job);
  if (job == nullptr || job->spec_stored) {
    reply(CallerReply{.call = request.call, .outcome = CallerOutcome::kDone});
    return;
  }
  AwaitAcceptance(*job, request, reply);
}

// Replies once the job is stored or withdrawn.
void Owner::AwaitAcceptance(Job& job, const CallerRequest& request, const Reply& reply) {
  job.submissions.emplace(request.reply_to, request.call);
  job.on_withdrawn.push_back([this, request, reply](Duration retry_after) {
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kRejected, .retry_after = retry_after});
  });
  job.caller_deadline = std::max(job.caller_deadline, context_.Now() + CallerTimeLeft(request));
  job.WhenStored([call = request.call, reply] { reply(CallerReply{.call = call, .outcome = CallerOutcome::kDone}); });
}

void Owner::SubmitNew(const CallerRequest& request, const std::string& tenant, const Reply& reply) {
  const QueueSpec* queue = configuration_.FindQueue(request.queue);
  auto spec = DecodeRecord<JobSpec>(request.spec);
  if (queue == nullptr || !spec) {
    context_.Log("admission", "event=rejected job={} queue={} reason={} config={}", request.job, request.queue,
                 queue == nullptr ? "queue_not_configured_here" : "unreadable", configuration_.version);
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kUnavailable, .retry_after = kUnavailableRetryAfter});
    return;
  }
  if (const Duration left = cancelled_ids_.RefusedFor(CancelledIdOf(request, tenant), context_.Now());
      left > Duration(0)) {
    context_.Log("admission", "event=rejected job={} queue={} tenant={} reason=cancelled for_ms={}", request.job,
                 request.queue, tenant, Millis(left));
    context_.counters.Add(fmt::format("rejected{{queue=\"{}\"}}", queue->name));
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kRejected, .retry_after = left});
    return;
  }
  if (NeverFits(*spec, tenant)) {
    context_.Log("admission", "event=rejected job={} queue={} tenant={} reason=above_maximum config={}", request.job,
                 request.queue, tenant, configuration_.version);
    context_.counters.Add(fmt::format("rejected{{queue=\"{}\"}}", queue->name));
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kInvalidJob});
    return;
  }
  const OwnerLoad load = CurrentLoad();
  const RefusalReason reason = ReasonToRefuse(load, context_.settings.policies);
  if (reason != RefusalReason::kNone && !MayWaitForStore(reason, Duration(0), CallerTimeLeft(request))) {
    const Duration retry_after = RetryAfter(load);
    context_.counters.Add(fmt::format("rejected{{queue=\"{}\"}}", queue->name));
    context_.Log("admission",
                 "event=rejected job={} queue={} reason={} jobs={} store_stalled_ms={} thread_late_ms={} "
                 "start_delay_ms={} retry_after_ms={}",
                 request.job, queue->name, NameOf(reason), load.jobs, Millis(load.store_stalled),
                 Millis(load.thread_delay), Millis(load.start_delay), Millis(retry_after));
    Refuse(request, reply, CallerReply{.outcome = CallerOutcome::kRejected, .retry_after = retry_after});
    return;
  }
  AwaitAcceptance(AcceptJob(std::move(*spec), *queue, tenant), request, reply);
}

void Owner::Refuse(const CallerRequest& request, const Reply& reply, CallerReply refusal) {
  refusal.call = request.call;
  const std::pair key(request.reply_to, request.call);
  refusals_[key] = refusal;
  refusal_times_.emplace_back(context_.Now(), key);
  reply(refusal);
}

void Owner::ExpireRefusals() {
  while (!refusal_times_.empty() && context_.Now() - refusal_times_.front().first > kDuplicateWindow) {
    refusals_.erase(refusal_times_.front().second);
    refusal_times_.pop_front();
  }
}

OwnerLoad Owner::CurrentLoad() const {
  return OwnerLoad{jobs_.size(), commit_.stalled_for(), context_.timers.lateness(), workers_.start_delay()};
}

// While the store does not answer, rejects accepted jobs that were never sent to it. Such a job certainly never runs,
// and its callers are told so.
void Owner::WithdrawUnsentJobs() {
  const OwnerLoad load = CurrentLoad();
  if (ReasonToRefuse(load, context_.settings.policies) != RefusalReason::kStoreStalled) {
    return;
  }
  std::vector<std::string> withdrawn;
  std::erase_if(dirty_jobs_, [&](const std::string& id) {
    const Job* job = FindJob(id);
    const bool unsent = job != nullptr && !job->spec_stored && !job->in_batch && !job->final;
    if (!unsent || MayWaitForStore(RefusalReason::kStoreStalled, context_.Now() - job->accepted_at,
                                   job->caller_deadline - context_.Now())) {
      return false;
    }
    withdrawn.push_back(id);
    return true;
  });
  for (const std::string& id : withdrawn) {
    const auto submitters = std::move(FindJob(id)->on_withdrawn);
    jobs_.erase(id);
    context_.Log("admission", "event=withdrawn job={} reason=store_stalled stalled_ms={}", id,
                 Millis(load.store_stalled));
    for (const auto& refuse : submitters) {
      refuse(RetryAfter(load));
    }
  }
}

Job& Owner::AcceptJob(JobSpec spec, const QueueSpec& queue, const std::string& tenant) {
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  job.record = JobRecord{ownership_.epoch, context_.wall.NowMs(), std::move(spec), queue, tenant};
  SetQueue(job, queue);
  job.accepted_at = context_.Now();
  const TenantSpec* of = configuration_.FindTenant(tenant);
  job.beyond_share = of != nullptr && !shares_.IsWithinShare(tenant, of->jobs_per_second, job.accepted_at);
  jobs_[job.id()] = std::move(new_job);
  if (job.record.spec.occurrences == 0) {
    job.occurrences.emplace(0, MakeOccurrence(job, 0, 0));
    job.next_occurrence = 1;
  }
  context_.counters.Add(fmt::format("accepted{{queue=\"{}\"}}", queue.name));
  context_.Log("admission", "event=accepted job={} queue={} tenant={} steps={} widest={} jobs={} config={}", job.id(),
               queue.name, tenant, job.record.spec.steps.size(), WidestStep(job.record.spec), jobs_.size(),
               configuration_.version);
  MarkDirty(job);
  if (ReasonToRefuse(CurrentLoad(), context_.settings.policies) == RefusalReason::kNone) {
    RequestAdviceAhead(job);  // Not while overloaded: the job may still be withdrawn.
  }
  return job;
}

// --- State, cancel, pending ---

void Owner::ReplyState(const CallerRequest& request, const std::string& tenant, const Reply& reply) {
  const auto answer = [call = request.call, reply](CallerOutcome outcome, JobState state) {
    reply(CallerReply{.call = call, .outcome = outcome, .state = state});
  };
  const auto ended = ended_jobs_.find(request.job);
  if (ended != ended_jobs_.end()) {
    const bool own = ended->second.queue == request.queue && MayAccess(request, tenant, ended->second.tenant);
    own ? answer(CallerOutcome::kDone, ended->second.state) : ReplyUnknownJob(request, reply);
    return;
  }
  Job* job = FindJob(request.job);
  if (job == nullptr || job->record.spec.queue != request.queue || !MayAccess(request, tenant, job->record.tenant)) {
    ReplyUnknownJob(request, reply);
    return;
  }
  if (!job->final && job->spec_stored) {
    answer(CallerOutcome::kDone, job->visible_state());
    return;
  }
  const auto answered = std::make_shared<bool>(false);
  job->WhenStored([answer, job, answered] {
    if (!std::exchange(*answered, true)) {
      answer(CallerOutcome::kDone, job->final ? job->final_state : job->visible_state());
    }
  });
  if (job->spec_stored) {
    // The end of the job is not committed yet. If the store does not confirm it in time, report the stored state.
    RunAfter(kStateStallTimeout, [answer, answered] {
      if (!std::exchange(*answered, true)) {
        answer(CallerOutcome::kDone, JobState::kRunning);
      }
    });
  }
}

void Owner::ReplyUnknownJob(const CallerRequest& request, const Reply& reply) {
  const bool known_id = TenantOfJob(request.job).has_value();  // Of another queue or tenant.
  ownership_proof_.Require([this, request, reply, known_id](ProofResult result) {
    if (!known_id && TenantOfJob(request.job).has_value()) {
      Handle(request, reply);  // The job was accepted while the store was asked.
      return;
    }
    context_.Log("caller", "event=unknown_job kind={} job={} queue={} epoch={} term={} lease_left_ms={} proof={}",
                 NameOf(request.kind), request.job, request.queue, ownership_.epoch, ownership_.term,
                 Millis(lease_until_ - context_.Now()), NameOf(result));
    ReplyProven(request, reply, result, CallerReply{.outcome = CallerOutcome::kNoSuchJob});
  });
}

// Sends the proven answer, or asks the caller to come back if this owner may have been replaced.
void Owner::ReplyProven(const CallerRequest& request,
                        const Reply& reply,
                        ProofResult result,
                        const CallerReply& proven) {
  CallerReply answer = proven;
  if (result == ProofResult::kReplaced) {
    answer = CallerReply{.outcome = CallerOutcome::kNotOwner};
  } else if (result == ProofResult::kUnproven) {
    answer = CallerReply{.outcome = CallerOutcome::kUnavailable, .retry_after = RetryAfter(CurrentLoad())};
  }
  answer.call = request.call;
  reply(answer);
}

void Owner::Cancel(const CallerRequest& request, const std::string& tenant, const Reply& reply) {
  const auto done = [call = request.call, reply] { reply(CallerReply{.call = call, .outcome = CallerOutcome::kDone}); };
  const auto ended = ended_jobs_.find(request.job);
  Job* job = FindJob(request.job);
  const bool known = job != nullptr ? job->record.spec.queue == request.queue
                                    : ended != ended_jobs_.end() && ended->second.queue == request.queue;
  if (!known || !MayAccess(request, tenant, *TenantOfJob(request.job))) {
    // An id of another queue or tenant stays theirs, and no other id than a valid one is ever accepted.
    const bool may_come = !TenantOfJob(request.job).has_value() && IsJobId(request.job);
    may_come ? CancelUnknownJob(request, tenant, reply) : ReplyUnknownJob(request, reply);
    return;
  }
  if (job == nullptr) {
    done();
    return;
  }
  if (!job->final) {
    FinishJob(*job, JobState::kCancelled);
  }
  job->WhenStored(done);
}

CancelledId Owner::CancelledIdOf(const CallerRequest& request, const std::string& tenant) const {
  const bool has_tenant = configuration_.NeedsKey(configuration_.FindQueue(request.queue));
  return CancelledId{request.job, request.queue, has_tenant ? tenant : std::string()};
}

// The batch that stores the id proves that no other host had taken over by then.
void Owner::CancelUnknownJob(const CallerRequest& request, const std::string& tenant, const Reply& reply) {
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, request, reply, answered](CallerOutcome outcome) {
    if (std::exchange(*answered, true)) {
      return;
    }
    context_.Log("caller", "event=unknown_job kind={} job={} queue={} epoch={} term={} outcome={} refused_for_ms={}",
                 NameOf(request.kind), request.job, request.queue, ownership_.epoch, ownership_.term, NameOf(outcome),
                 Millis(CancelledIds::kRetention));
    reply(CallerReply{.call = request.call, .outcome = outcome, .retry_after = RetryAfter(CurrentLoad())});
  };
  const auto on_stored = [answer] { answer(CallerOutcome::kNoSuchJob); };
  if (!cancelled_ids_.Add(CancelledIdOf(request, tenant), context_.Now(), on_stored)) {
    context_.counters.Add("cancels_refused");
    answer(CallerOutcome::kUnavailable);
    return;
  }
  RunAfter(kCancelStallTimeout, [answer] { answer(CallerOutcome::kUnavailable); });
  if (!std::exchange(cancel_batch_scheduled_, true)) {
    RunAfter(kCancelWindow, [this] {
      cancel_batch_scheduled_ = false;
      commit_.Request();
    });
  }
}

void Owner::ReplyPending(const CallerRequest& request, const Reply& reply) {
  const auto answer = [this, request, reply](ProofResult result) {
    ReplyProven(request, reply, result,
                CallerReply{.outcome = CallerOutcome::kDone, .pending = CountPending(request.queue)});
  };
  context_.Now() <= SoleUntil() + kMaxPendingDoubt ? answer(ProofResult::kSoleOwner) : ownership_proof_.Require(answer);
}

int64_t Owner::CountPending(const std::string& queue) {
  PendingCount& pending = pending_counts_[queue];
  if (pending.counted_at == TimePoint{} || context_.Now() - pending.counted_at > kMaxPendingCountAge) {
    pending.counted_at = context_.Now();
    pending.count = std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
      const Job& job = *entry.second;
      return job.spec_stored && !job.started && !job.final && job.record.spec.queue == queue;
    });
  }
  return pending.count;
}

// --- Shutdown ---

void Owner::StopPlacing() {
  closing_ = true;
  for (auto& [request, reply] : deferred_requests_) {
    reply(CallerReply{.call = request.call, .outcome = CallerOutcome::kNotOwner});
  }
  deferred_requests_.clear();
}

void Owner::Close(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  commit_.Request();
}

// True if the state of the batch's jobs need no longer be reported to callers.
bool Owner::HasExpired(const EndedBatch& batch) const {
  const int64_t retention_ms = Millis(context_.settings.ended_job_retention) * 2;
  return context_.wall.NowMs() - batch.written_at_ms > retention_ms;
}

void Owner::RequestExpiry() {
  const bool jobs_expired = !ended_batches_.empty() && HasExpired(ended_batches_.front());
  if (jobs_expired || cancelled_ids_.HasExpired(context_.Now())) {
    commit_.Request();  // The next batch removes the expired keys.
  }
}

void Owner::UpdateGauges() {
  Counters& counters = context_.counters;
  counters.Set("jobs_open", static_cast<double>(jobs_.size()));
  counters.Set("jobs_ended_remembered", static_cast<double>(ended_jobs_.size()));
  counters.Set("cancelled_ids_remembered", static_cast<double>(cancelled_ids_.size()));
  counters.Set("workers_known", static_cast<double>(workers_.workers().size()));
  const TimePoint now = context_.Now();
  const auto usable_workers = std::count_if(workers_.workers().begin(), workers_.workers().end(),
                                            [&](const auto& entry) { return entry.second->UsableAt(now); });
  counters.Set("workers_usable", static_cast<double>(usable_workers));
  counters.Set("owner_epoch", static_cast<double>(ownership_.epoch));
}

}  // namespace hibiscus::cell
