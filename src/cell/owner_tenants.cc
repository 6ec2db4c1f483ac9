// The configuration in force at the owner, whether a caller's API key allows its request, and the tenants' quotas.
//
// Every answer that reports success comes from the owner, so the owner alone decides whether a key is valid, however
// old the configuration of the host that took the request is.
#include <algorithm>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kConfirmInterval = 300ms;  // Bounds the age of the confirmation at the start of a store outage.
constexpr int kClockErrorDivisor = 50;        // Clocks of hosts may run 2% off, which shortens the limit.

}  // namespace

void Owner::OnConfiguration(const CellConfiguration& configuration) {
  if (configuration.version <= configuration_.version) {
    return;
  }
  configuration_ = configuration;
  maxima_ = MaximaOf(configuration_.tenants);
  context_.Log("config", "event=config_at_owner version={} tenants={}", configuration_.version,
               configuration_.tenants.size());
  ConfirmConfigurationIfNeeded();
  for (const auto& [id, job] : jobs_) {
    if (const QueueSpec* queue = configuration_.FindQueue(job->record.spec.queue); queue != nullptr) {
      SetQueue(*job, *queue);
    }
  }
  SchedulePlacementPass();
}

void Owner::ConfirmConfigurationIfNeeded() {
  const bool needed = configuration_.needs_keys && context_.settings.key_withdrawal_limit > Duration(0);
  if (needed && !std::exchange(confirms_configuration_, true)) {
    ConfirmConfiguration();
  }
}

void Owner::ConfirmConfiguration() {
  configuration_follower_.Check();
  RunAfter(kConfirmInterval, [this] { ConfirmConfiguration(); });
}

// A withdrawn API key must not be accepted for longer than a limit after the withdrawal, also if this host is cut off
// or was paused. A confirmation holds as of the time at which its call was sent, because a newer configuration may be
// stored at any time after that.
bool Owner::MayJudgeKeys() const {
  const Duration limit = context_.settings.key_withdrawal_limit;
  if (limit == Duration(0)) {
    return true;
  }
  const std::optional<Duration> age = configuration_follower_.confirmed_age();
  return age && *age < limit - limit / kClockErrorDivisor;
}

std::optional<std::string> Owner::Authorize(const CallerRequest& request, const Reply& reply) {
  if (!configuration_.needs_keys) {
    return std::string();  // Spares the search for the queue, which is done for each request otherwise.
  }
  const TenantSpec* tenant = configuration_.FindTenantByKey(request.key);
  const std::string name = tenant == nullptr ? std::string() : tenant->name;
  if (!configuration_.NeedsKey(configuration_.FindQueue(request.queue))) {
    return name;
  }
  if (!MayJudgeKeys()) {
    RefuseKey(request, reply, CallerOutcome::kUnavailable, "config_unconfirmed");
    return std::nullopt;
  }
  if (tenant == nullptr) {
    RefuseKey(request, reply, CallerOutcome::kUnauthorized, request.key.empty() ? "no_key" : "unknown_key");
    return std::nullopt;
  }
  return name;
}

void Owner::RefuseKey(const CallerRequest& request, const Reply& reply, CallerOutcome outcome, const char* reason) {
  context_.counters.Add(fmt::format("key_refusals{{reason=\"{}\"}}", reason));
  const std::optional<Duration> age = configuration_follower_.confirmed_age();
  context_.Log("key", "event=refused reason={} key={} job={} queue={} config={} config_age_ms={}", reason,
               LoggedDigits(request.key), request.job, request.queue, configuration_.version, age ? Millis(*age) : -1);
  // An earlier owner may have accepted another copy of this request, which "not accepted" would deny.
  const bool may_be_accepted = request.kind == CallerKind::kSubmit && TenantOfJob(request.job).has_value() &&
                               context_.Now() - loading_began_at_ < kDuplicateWindow;
  if (may_be_accepted) {
    reply(CallerReply{.call = request.call, .outcome = CallerOutcome::kOutcomeUnknown});
    return;
  }
  CallerReply refusal{.call = request.call, .outcome = outcome, .retry_after = RetryAfter(CurrentLoad())};
  if (request.kind == CallerKind::kSubmit) {
    Refuse(request, reply, refusal);
  } else {
    reply(refusal);
  }
}

bool Owner::MayAccess(const CallerRequest& request, const std::string& tenant, const std::string& job_tenant) const {
  return tenant == job_tenant || !configuration_.NeedsKey(configuration_.FindQueue(request.queue));
}

bool Owner::NeverFits(const JobSpec& spec, const std::string& tenant_name) const {
  const TenantSpec* tenant = configuration_.FindTenant(tenant_name);
  return tenant != nullptr && std::any_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
           return step.gang && !FitsMaximum(tenant->maximum, step.size, step.count);
         });
}

// After a takeover a tenant must not wait for the last worker's answer if it has enough left of its maximum.
void Owner::RefreshUnaccountedRuns() {
  unaccounted_ = UnaccountedRuns{};
  unaccounted_.any = workers_.AnyUnsettled() || workers_.AnyUnknownDemand();
  if (!unaccounted_.any) {
    return;
  }
  unaccounted_.capacity = workers_.UnaccountedResources();
  if (!workers_.AnyUnsettled()) {
    return;
  }
  unaccounted_.tasks = ended_running_;
  for (const auto& [id, job] : jobs_) {
    if (job->record.epoch == ownership_.epoch) {
      continue;
    }
    Resources& sum = (*unaccounted_.tasks)[job->record.tenant];
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
        sum += Multiply(step->quota_size(), step->waiting);
      }
    }
  }
}

Resources Owner::StillRunning(const Job& job) const {
  const bool may_run_unknown = job.record.epoch != ownership_.epoch && workers_.AnyUnsettled();
  Resources sum;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const std::unique_ptr<StepRun>& step : occurrence.steps) {
      sum += Multiply(step->quota_size(), step->placed() + (may_run_unknown ? step->waiting : 0));
    }
  }
  return sum;
}

std::optional<std::string> Owner::TenantOfJob(const std::string& job) {
  if (const Job* open = FindJob(job); open != nullptr) {
    return open->record.tenant;
  }
  const auto ended = ended_jobs_.find(job);
  return ended == ended_jobs_.end() ? std::nullopt : std::optional(ended->second.tenant);
}

}  // namespace hibiscus::cell
