#include "standins/cell_world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <fmt/core.h>

#include "standins/cell_fake_host.h"

namespace hibiscus::cell {

namespace {

constexpr size_t kPageItems = 20;  // Small, so that tests exercise paging.
constexpr Duration kGangFormationTimeout = 3s;
constexpr Duration kConfigurationDelay = 15s;  // A configuration is in force by then, however long the store was out.
constexpr Duration kCrashDelay = 10ms;         // From the start of a task that crashes its worker.
constexpr Duration kRestartDelay = 3s;         // Of a worker that a task has crashed.
constexpr Duration kEntryLifetime = 600ms;     // Of an entry whose worker has restarted under another id.
constexpr int kMaxCrashes = 3;                 // Under a task; then at most two starts more.
constexpr Duration kMinRetention = 120s;       // Of an ended job; limit of the platform.
constexpr Duration kContactTime = 4s;          // After a disruption, until hosts count as in touch.
constexpr Duration kMaxStartAfterCancel = 3s;  // Limit of the platform.
constexpr int kDefaultAllowedPercent = 85;     // Workers that the advice service allows a step.
constexpr Duration kUnboundedRunTime = 1h;     // Run time of long-running and hanging tasks.

}  // namespace

// --- The store ---

StoreAnswer FakeStore::Read(const std::string& key) const {
  StoreAnswer answer;
  answer.revision = revision_;
  const auto found = items_.find(key);
  answer.status = found == items_.end() ? StoreStatus::kNotFound : StoreStatus::kOk;
  if (found != items_.end()) {
    answer.items.push_back(found->second);
  }
  return answer;
}

StoreAnswer FakeStore::Range(const std::string& prefix, const std::string& after) const {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  answer.revision = revision_;
  for (auto each = items_.upper_bound(std::max(after, prefix)); each != items_.end(); ++each) {
    if (!each->first.starts_with(prefix)) {
      break;
    }
    if (answer.items.size() == kPageItems) {
      answer.has_more = true;
      break;
    }
    answer.items.push_back(each->second);
  }
  const auto exact = items_.find(prefix);
  if (after.empty() && exact != items_.end()) {
    answer.items.insert(answer.items.begin(), exact->second);
  }
  return answer;
}

std::optional<StoreAnswer> FakeStore::Changes(const std::string& prefix, uint64_t after) const {
  StoreAnswer answer;
  answer.revision = revision_;
  if (after < history_from_) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  answer.status = StoreStatus::kOk;
  const auto first =
      std::upper_bound(history_.begin(), history_.end(), after,
                       [](uint64_t revision, const StoreItem& item) { return revision < item.revision; });
  std::copy_if(first, history_.end(), std::back_inserter(answer.items),
               [&](const StoreItem& item) { return item.key.starts_with(prefix); });
  return answer.items.empty() ? std::nullopt : std::optional(answer);
}

void FakeStore::Write(const std::string& key, const std::string& value, uint64_t lease) {
  items_[key] = StoreItem{key, value, ++revision_, lease, false};
  history_.push_back(items_[key]);
  on_change();
}

void FakeStore::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back(StoreItem{key, "", ++revision_, 0, true});
    on_change();
  }
}

StoreAnswer FakeStore::Commit(const StoreTransaction& transaction) {
  if (transaction.entries() > kMaxTransactionEntries) {
    world_.ReportViolation(fmt::format("a transaction has {} entries", transaction.entries()));
  }
  StoreAnswer answer;
  bool revisions_match = true;
  for (const RevisionCheck& each : transaction.expected) {
    const auto found = items_.find(each.key);
    revisions_match = revisions_match && each.revision == (found == items_.end() ? 0 : found->second.revision);
    if (found != items_.end()) {
      answer.items.push_back(found->second);
    }
  }
  if (!revisions_match) {
    answer.status = StoreStatus::kConflict;
    return answer;
  }
  for (const StoreWrite& each : transaction.writes) {
    if (each.lease != 0 && !leases_.contains(each.lease)) {
      return StoreAnswer{StoreStatus::kNoLease, revision_, 0, {}, false};
    }
  }
  // The whole transaction is atomic and so has a single revision.
  const uint64_t revision = ++revision_;
  for (const StoreWrite& each : transaction.writes) {
    items_[each.key] = StoreItem{each.key, each.value, revision, each.lease, false};
    history_.push_back(items_[each.key]);
  }
  for (const std::string& key : transaction.removals) {
    if (items_.erase(key) > 0) {
      history_.push_back(StoreItem{key, "", revision, 0, true});
    }
  }
  on_change();
  return StoreAnswer{StoreStatus::kOk, revision, 0, {}, false};
}

StoreAnswer FakeStore::GrantLease(Duration ttl) {
  const uint64_t lease = 70'000 + ++revision_;
  leases_[lease] = Lease{ttl, world_.Now() + ttl};
  return StoreAnswer{StoreStatus::kOk, revision_, lease, {}, false};
}

StoreAnswer FakeStore::KeepLease(uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return StoreAnswer{StoreStatus::kNotFound, revision_, 0, {}, false};
  }
  found->second.expires_at = world_.Now() + found->second.ttl;
  return StoreAnswer{StoreStatus::kOk, revision_, lease, {}, false};
}

StoreAnswer FakeStore::EndLease(uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease && lease != 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Erase(key);
  }
  return StoreAnswer{StoreStatus::kOk, revision_, 0, {}, false};
}

void FakeStore::ExpireLeases() {
  std::vector<uint64_t> expired;
  for (auto& [id, lease] : leases_) {
    if (leases_paused) {
      lease.expires_at = world_.Now() + lease.ttl;
    }
    if (lease.expires_at <= world_.Now()) {
      expired.push_back(id);
    }
  }
  for (const uint64_t id : expired) {
    EndLease(id);
  }
}

void FakeStore::RevokeLeases() {
  world_.waiting_.NoteDisruption();
  world_.routes_.NoteStoreUnstable();
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (item.lease != 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Erase(key);
  }
}

void FakeStore::ForgetHistory() {
  world_.waiting_.NoteDisruption();
  world_.routes_.NoteStoreUnstable();
  history_.clear();
  history_from_ = revision_;
}

// --- Workers ---

FakeWorker::FakeWorker(CellWorld& world, WorkerEntry worker_entry)
    : entry(std::move(worker_entry)), world_(world), clock_base_(world.Now() - 1s) {}

Duration FakeWorker::ClockNow() const {
  return Duration(static_cast<int64_t>(static_cast<double>((world_.Now() - clock_base_).count()) * clock_rate));
}

TimePoint FakeWorker::TimeAtClock(Duration clock) const {
  return clock_base_ + Duration(static_cast<int64_t>(static_cast<double>(clock.count()) / clock_rate) + 1);
}

OrderAnswer FakeWorker::MakeAnswer(OrderStatus status) const {
  OrderAnswer answer;
  answer.status = status;
  answer.worker_clock = std::chrono::floor<std::chrono::milliseconds>(ClockNow());
  answer.born_ms = entry.born_ms;
  return answer;
}

void FakeWorker::ExtendHold(Duration deadline) {
  if (ClockNow() >= hold_until_) {
    last_end_before_renewal_ = last_end_;
    world_.ends_.OnLapsed(*this, last_end_, LeaseEnd());
  }
  hold_until_ = std::max(hold_until_, std::min(deadline, ClockNow() + world_.max_hold));
  next_end_.reset();
}

int64_t FakeWorker::LastLapsedEnd() const {
  return ClockNow() >= hold_until_ ? last_end_ : last_end_before_renewal_;
}

OrderAnswer FakeWorker::Start(const StartOrder& order) {
  FinishDueRuns();
  if (order.token < token_) {
    return MakeAnswer(OrderStatus::kFenced);
  }
  token_ = order.token;
  if (ClockNow() >= order.deadline) {
    return MakeAnswer(OrderStatus::kLate);
  }
  if (runs_.contains(order.run)) {
    return MakeAnswer(OrderStatus::kOk);
  }
  ExtendHold(order.deadline);
  const auto highest = highest_ended_run_.find(order.run.task);
  if (highest != highest_ended_run_.end() && order.run.run <= highest->second) {
    return MakeAnswer(OrderStatus::kStale);
  }
  const JobSpec* spec = world_.SpecOf(order.run.task.job);
  const QueueSpec* queue = world_.QueueOf(order.run.task.job);
  if (queue != nullptr && queue->advice) {
    const Duration until(order.ticket.empty() ? 0 : std::stoll(order.ticket));
    if (world_.Now().time_since_epoch() > until) {
      return MakeAnswer(OrderStatus::kNoTicket);
    }
  }
  world_.OnRunStarted(*this, order);
  Run run;
  if (spec != nullptr) {
    const StepSpec& step = spec->steps[static_cast<size_t>(order.run.task.step)];
    const TaskBehaviour behaviour = world_.BehaviourOf(order.run.task.job);
    run.size = step.size;
    run.gang = step.gang;
    run.how = order.run.run % 1000 <= behaviour.fails ? EndKind::kFailed : EndKind::kDone;
    const bool unbounded = step.long_running && !behaviour.ends_by_itself;
    const Duration takes = unbounded ? kUnboundedRunTime : behaviour.takes;
    run.ends_at = world_.Now() + Duration(static_cast<int64_t>(static_cast<double>(takes.count()) / speed));
    run.started_at = world_.Now();
    if (fails_every_run && !run.gang) {
      run.how = EndKind::kFailed;
      run.ends_at = world_.Now() + 5ms;
    }
    if (hangs && !run.gang) {
      run.hangs = true;
      run.ends_at = world_.Now() + kUnboundedRunTime;
    }
    if (run.gang) {
      run.ends_at = TimePoint::max();
      run.gang_timeout_at = world_.Now() + kGangFormationTimeout;
    }
  }
  runs_[order.run] = run;
  next_end_.reset();
  if (run.gang) {
    world_.OnGangMemberStarted(*this, order.run);
  }
  if (const TaskBehaviour behaviour = world_.BehaviourOf(order.run.task.job);
      behaviour.crashes_worker == order.run.task.index) {
    CrashSoon(order.run, behaviour.restarts_under_new_id);
  }
  return MakeAnswer(OrderStatus::kOk);
}

OrderAnswer FakeWorker::Stop(const RunRef& run, uint64_t token) {
  FinishDueRuns();
  if (token < token_) {
    return MakeAnswer(OrderStatus::kFenced);
  }
  token_ = token;
  int& highest = highest_ended_run_[run.task];
  highest = std::max(highest, run.run);
  const auto found = runs_.find(run);
  if (found != runs_.end() && !found->second.stopping) {
    next_end_.reset();
    found->second.stopping = true;
    found->second.ends_at = world_.Now() + min_stop_time * (1 + run.task.index % kStopTimeSteps);
    found->second.how = EndKind::kStopped;
  }
  return MakeAnswer(OrderStatus::kOk);
}

int FakeWorker::ProgressPercent(const Run& run) const {
  if (run.hangs || run.ends_at == TimePoint::max()) {
    return 0;
  }
  const double run_time = static_cast<double>((run.ends_at - run.started_at).count());
  const double member_run_time = run.gang ? run_time / speed : run_time;  // Faster members wait for the others.
  const double share = static_cast<double>((world_.Now() - run.started_at).count()) / std::max(1.0, member_run_time);
  return static_cast<int>(100 * std::min(1.0, share));
}

OrderAnswer FakeWorker::Hold(const HoldOrder& order) {
  FinishDueRuns();
  if (order.token < token_) {
    return MakeAnswer(OrderStatus::kFenced);
  }
  token_ = order.token;
  if (order.deadline > Duration(0)) {
    ExtendHold(order.deadline);
  }
  const auto first_unacknowledged =
      std::find_if(ended_.begin(), ended_.end(), [&](const EndedRun& row) { return row.number > order.acknowledged; });
  std::vector<EndedRun> acknowledged_ends(ended_.begin(), first_unacknowledged);
  // The platform allows the owner to rerun a task whose end it receives only after the worker's hold has expired.
  std::erase_if(acknowledged_ends, [last = LastLapsedEnd()](const EndedRun& row) {
    return row.how == EndKind::kDone && row.number <= last;
  });
  for (const EndedRun& row : acknowledged_ends) {
    if (row.number > last_end_listed_) {
      world_.Log(fmt::format(
          "end_forgotten_unlisted worker={} born_ms={} up_to={} end={} how={} job={} step={} index={} run={}", entry.id,
          entry.born_ms, order.acknowledged, row.number, NameOf(row.how), row.run.task.job, row.run.task.step,
          row.run.task.index, row.run.run));
    }
  }
  world_.OnEndsAcknowledged(*this, acknowledged_ends);
  ended_.erase(ended_.begin(), first_unacknowledged);
  OrderAnswer answer = MakeAnswer(OrderStatus::kOk);
  for (const auto& [run, state] : runs_) {
    answer.running.push_back(RunningRun{run, "", ProgressPercent(state)});
  }
  answer.ended.assign(ended_.begin(),
                      ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), kMaxEndedRuns)));
  world_.ends_.OnListed(*this, answer.ended);
  last_end_listed_ = answer.ended.empty() ? last_end_listed_ : answer.ended.back().number;
  return change_lists ? change_lists(answer) : answer;
}

bool FakeWorker::ListsEndOf(const TaskRef& task) const {
  return std::any_of(ended_.begin(), ended_.end(), [&](const EndedRun& row) { return row.run.task == task; });
}

void FakeWorker::Finish(const RunRef& ended, EndKind how) {
  const RunRef run = ended;  // Copy: `ended` may refer to the map key that is erased below.
  const bool gang = runs_[run].gang;
  runs_.erase(run);
  next_end_.reset();
  int& highest = highest_ended_run_[run.task];
  highest = std::max(highest, run.run);
  ended_.push_back(EndedRun{++last_end_, run, how, ""});
  world_.OnRunEnded(*this, run, how);
  if (gang) {
    world_.OnGangMemberEnded(run, how);
  }
  world_.WakeReadyWaiters(world_.pending_holds_[this]);
}

void FakeWorker::FinishDueRuns() {
  if (!up || NextEnd() > world_.Now()) {
    return;
  }
  if (!runs_.empty() && ClockNow() >= hold_until_) {
    while (!runs_.empty()) {
      Finish(runs_.begin()->first, EndKind::kHoldExpired);
    }
    return;
  }
  while (true) {
    const auto due = std::find_if(runs_.begin(), runs_.end(), [&](const auto& entry_of) {
      const Run& run = entry_of.second;
      return run.ends_at <= world_.Now() ||
             (run.gang && run.ends_at == TimePoint::max() && run.gang_timeout_at <= world_.Now());
    });
    if (due == runs_.end()) {
      return;
    }
    Finish(due->first, due->second.ends_at <= world_.Now() ? due->second.how : EndKind::kGangIncomplete);
  }
}

TimePoint FakeWorker::NextEnd() const {
  if (!up || runs_.empty()) {
    return TimePoint::max();
  }
  if (!next_end_) {
    next_end_ = TimeAtClock(hold_until_);
    for (const auto& [run, state] : runs_) {
      next_end_ = std::min(*next_end_, state.ends_at == TimePoint::max() ? state.gang_timeout_at : state.ends_at);
    }
  }
  return *next_end_;
}

void FakeWorker::EndAllRuns(EndKind how) {
  while (!runs_.empty()) {
    Finish(runs_.begin()->first, how);
  }
}

void FakeWorker::FinishIfRunning(const RunRef& run, EndKind how) {
  if (runs_.contains(run)) {
    Finish(run, how);
  }
}

bool FakeWorker::RunsTask(const TaskRef& task) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& each) { return each.first.task == task; });
}

void FakeWorker::CrashSoon(const RunRef& run, bool new_id) {
  world_.In(kCrashDelay, [this, run, new_id, born = entry.born_ms] {
    if (!up || entry.born_ms != born || !IsRunning(run)) {
      return;
    }
    Crash();
    refuses = true;
    world_.WakeReadyWaiters(world_.pending_holds_[this]);
    world_.In(kRestartDelay, [this, new_id, born] {
      if (!up && entry.born_ms == born) {
        new_id && !world_.new_id_at_restart ? RestartUnderNewId() : Restart();
      }
    });
  });
}

void FakeWorker::RestartUnderNewId() {
  TakeNewId();
  Restart();
}

void FakeWorker::TakeNewId() {
  world_.In(kEntryLifetime, [&world = world_, key = "workers/" + entry.id] { world.store_.Erase(key); });
  entry.id += "n";
}

void FakeWorker::Crash() {
  world_.OnWorkerCrash(*this);
  LoseProcess();
}

void FakeWorker::Depart() {
  world_.waiting_.NoteDisruption();
  LoseProcess();
  departed = true;
  world_.RemoveWorkerEntry(*this);
}

void FakeWorker::LoseProcess() {
  up = false;
  next_end_.reset();
  while (!runs_.empty()) {
    const RunRef run = runs_.begin()->first;
    const bool gang = runs_.begin()->second.gang;
    runs_.erase(run);
    world_.OnRunEnded(*this, run, EndKind::kHoldExpired);
    if (gang) {
      world_.OnGangMemberEnded(run, EndKind::kHoldExpired);
    }
  }
}

void FakeWorker::Restart(bool write_entry) {
  if (departed) {
    return;
  }
  world_.waiting_.NoteDisruption();
  world_.ends_.OnLapsed(*this, last_end_, LeaseEnd());
  if (world_.new_id_at_restart) {
    TakeNewId();
  }
  up = true;
  refuses = false;
  next_end_.reset();
  entry.born_ms += 1000;
  clock_base_ = world_.Now();
  token_ = 0;
  hold_until_ = Duration(0);
  highest_ended_run_.clear();
  ended_.clear();
  last_end_ = 0;
  last_end_listed_ = 0;
  last_end_before_renewal_ = 0;
  if (write_entry) {
    world_.WriteWorkerEntry(*this);
  }
}

// --- The world ---

CellWorld::CellWorld(uint64_t seed, int hosts, int workers, const Policies& host_policies)
    : policies(host_policies), random_(seed), store_(*this) {
  store_.on_change = [this] { WakeReadyWaiters(watches_); };
  for (int i = 0; i < workers; ++i) {
    WorkerEntry entry;
    entry.id = fmt::format("w{}", i);
    entry.born_ms = 1'000'000 + i;
    entry.service = "pool";
    entry.address = fmt::format("10.9.0.{}:1", i);
    entry.data_centre = fmt::format("dc{}", i % 3);
    entry.capacity = Resources{16'000, 64'000, 0};
    entry.labels = {"a", fmt::format("r{}", i / 4)};
    AddWorker(entry);
  }
  for (int i = 0; i < hosts; ++i) {
    AddHost();
  }
}

CellWorld::~CellWorld() = default;

void CellWorld::Log(const std::string& text) const {
  if (log_to_stdout) {
    std::printf("%lld world %s\n", Millis(Now().time_since_epoch()) - 3'600'000, text.c_str());
  }
}

void CellWorld::ReportViolation(const std::string& what) {
  violations_.push_back(fmt::format("{} ms: {}", Millis(Now().time_since_epoch()) - 3'600'000, what));
}

bool CellWorld::IsReplacedUnderItsId(const FakeWorker& worker) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& each) {
    return each->entry.id == worker.entry.id && each->entry.born_ms > worker.entry.born_ms;
  });
}

void CellWorld::WriteWorkerEntry(const FakeWorker& worker) {
  if (!worker.departed && !IsReplacedUnderItsId(worker)) {
    store_.Put("workers/" + worker.entry.id, EncodeWorkerEntry(worker.entry));
  }
}

void CellWorld::RemoveWorkerEntry(const FakeWorker& worker) {
  if (!IsReplacedUnderItsId(worker)) {
    store_.Erase("workers/" + worker.entry.id);
  }
}

size_t CellWorld::AddWorker(const WorkerEntry& entry) {
  waiting_.NoteDisruption();
  workers_.push_back(std::make_unique<FakeWorker>(*this, entry));
  workers_.back()->min_stop_time = max_stop_time_ / FakeWorker::kStopTimeSteps;
  WriteWorkerEntry(*workers_.back());
  return workers_.size() - 1;
}

void CellWorld::SetMaxStopTime(Duration time) {
  max_stop_time_ = time;
  for (const auto& worker : workers_) {
    worker->min_stop_time = time / FakeWorker::kStopTimeSteps;
  }
}

void CellWorld::Configure() {
  ++configuration.version;
  published_.emplace_back(Now(), configuration);
  if (LowersMaximum()) {
    waiting_.NoteDisruption();
  }
  std::string value = std::to_string(configuration.version);
  value.resize(std::max(value.size(), configuration_bytes), ' ');
  store_.Put("configuration", value);
}

const CellConfiguration* CellWorld::ConfigurationOf(uint64_t version) const {
  const auto found = std::find_if(published_.begin(), published_.end(),
                                  [&](const auto& each) { return each.second.version == version; });
  return found == published_.end() ? nullptr : &found->second;
}

std::optional<std::string> CellWorld::TenantAt(const KeyDigest& key, TimePoint sent) const {
  for (size_t i = published_.size(); i > 0; --i) {
    if (const TenantSpec* tenant = published_[i - 1].second.FindTenantByKey(key); tenant != nullptr) {
      return tenant->name;
    }
    const bool may_still_be_in_force =
        key_withdrawal_limit == Duration(0) || sent <= published_[i - 1].first + key_withdrawal_limit;
    if (!may_still_be_in_force) {
      break;  // This configuration replaced the one before it longer ago than allowed.
    }
  }
  return std::nullopt;
}

std::string CellWorld::TenantOfKey(const KeyDigest& key) const {
  const auto found = std::find_if(published_.rbegin(), published_.rend(),
                                  [&](const auto& each) { return each.second.FindTenantByKey(key) != nullptr; });
  return found == published_.rend() ? std::string() : found->second.FindTenantByKey(key)->name;
}

std::string CellWorld::TenantOfJob(const std::string& job) const {
  const auto key = keys_.find(job);
  return key == keys_.end() || key->second.empty() ? std::string() : TenantOfKey(key->second);
}

bool CellWorld::LowersMaximum() const {
  if (published_.size() < 2) {
    return false;
  }
  const CellConfiguration& before = published_[published_.size() - 2].second;
  const auto lower = [](int64_t now, int64_t then) { return now != 0 && (then == 0 || now < then); };
  return std::any_of(configuration.tenants.begin(), configuration.tenants.end(), [&](const TenantSpec& tenant) {
    const TenantSpec* former = before.FindTenant(tenant.name);
    const Resources then = former == nullptr ? Resources{} : former->maximum;
    return lower(tenant.maximum.cpu_millis, then.cpu_millis) || lower(tenant.maximum.memory_mb, then.memory_mb) ||
           lower(tenant.maximum.accelerators, then.accelerators);
  });
}

bool CellWorld::AdviceAllows(const QueueSpec& queue, const TaskRef& step, const std::string& worker) const {
  const auto configured = allowed_percent.find(queue.name);
  const int allowed = configured == allowed_percent.end() ? kDefaultAllowedPercent : configured->second;
  const size_t hash_percent = std::hash<std::string>()(fmt::format("{}.{}.{}", step.job, step.step, worker)) % 100;
  return hash_percent < static_cast<size_t>(allowed);
}

// Of the configurations that may be in force, the one with the highest maximum counts.
void CellWorld::CheckQuota(const StartOrder& order, const StepSpec& step) {
  const std::string tenant = TenantOfKey(keys_[order.run.task.job]);
  Resources maximum;
  for (size_t i = published_.size(); i > 0; --i) {
    const TenantSpec* of = published_[i - 1].second.FindTenant(tenant);
    if (of == nullptr || of->maximum.cpu_millis == 0) {
      return;
    }
    maximum.cpu_millis = std::max(maximum.cpu_millis, of->maximum.cpu_millis);
    if (published_[i - 1].first + kConfigurationDelay < Now()) {
      break;
    }
  }
  int64_t used = 0;
  for (const std::unique_ptr<FakeWorker>& worker : workers_) {
    for (const auto& [run, state] : worker->runs_) {
      const auto key = keys_.find(run.task.job);
      const bool same = key != keys_.end() && TenantOfKey(key->second) == tenant;
      used += same ? SpecOf(run.task.job)->steps[static_cast<size_t>(run.task.step)].size.cpu_millis : 0;
    }
  }
  if (10 * used > 11 * maximum.cpu_millis) {
    ReportViolation(fmt::format("tenant {} has {} running of {} and starts {}", tenant, used, maximum.cpu_millis,
                                step.size.cpu_millis));
  }
}

void CellWorld::CheckKey(const CallerRequest& request, TimePoint sent, const CallerReply& reply) {
  const QueueSpec* queue = configuration.FindQueue(request.queue);
  if (reply.outcome != CallerOutcome::kDone || queue == nullptr || !configuration.NeedsKey(queue)) {
    return;
  }
  const std::optional<std::string> tenant = TenantAt(request.key, sent);
  const auto owner = tenants_.find(request.job);
  if (!tenant) {
    ReportViolation(fmt::format("served a request with the invalid key '{}' for job {}", request.key, request.job));
  } else if (request.kind == CallerKind::kSubmit) {
    tenants_.emplace(request.job, *tenant);
  } else if (request.kind != CallerKind::kPending && owner != tenants_.end() && owner->second != *tenant) {
    ReportViolation(fmt::format("tenant {} saw or cancelled job {} of {}", *tenant, request.job, owner->second));
  }
}

bool CellWorld::AcceptedBefore(const std::string& job, TimePoint time) const {
  const auto accepted = accepted_.find(job);
  return accepted != accepted_.end() && accepted->second <= time;
}

void CellWorld::CheckUnknownJob(const CallerRequest& request, TimePoint sent, const CallerReply& reply) {
  const JobSpec* spec = SpecOf(request.job);
  if (reply.outcome != CallerOutcome::kNoSuchJob || spec == nullptr || spec->queue != request.queue ||
      !AcceptedBefore(request.job, sent) || Now() - accepted_.at(request.job) > kMinRetention) {
    return;
  }
  const auto tenant = tenants_.find(request.job);
  if (tenant == tenants_.end() || TenantAt(request.key, sent) == tenant->second) {
    ReportViolation(
        fmt::format("{} of an accepted job is answered no_such_job: {}", NameOf(request.kind), request.job));
  }
}

// Callers take the answer that there is no such job for an acknowledgement, too.
void CellWorld::RecordCancel(const CallerRequest& request, TimePoint sent, const CallerReply& reply) {
  const bool acknowledged = reply.outcome == CallerOutcome::kDone || reply.outcome == CallerOutcome::kNoSuchJob;
  if (request.kind != CallerKind::kCancel || !acknowledged) {
    return;
  }
  if (AcceptedBefore(request.job, sent)) {
    acknowledged_cancels_.emplace(request.job, Now());
  } else if (const auto last = last_submissions_.find(request.job);
             last != last_submissions_.end() && last->second < sent) {
    if (cancels_of_unknown_.emplace(request.job, Now()).second) {
      In(kMaxStartAfterCancel + max_stop_time_ + kContactTime,
         [this, job = request.job] { CheckCancelOfUnknown(job); });
    }
  }
}

// No task of the job is running unless its caller has submitted it again.
void CellWorld::CheckCancelOfUnknown(const std::string& job) {
  if (!cancels_of_unknown_.contains(job)) {
    return;
  }
  for (auto each = running_.lower_bound(TaskRef{job, 0, 0, 0}); each != running_.end() && each->first.job == job;
       ++each) {
    if (!each->second.empty()) {
      ReportViolation("running on although its cancelling was answered as of an unknown job: " + job);
      return;
    }
  }
}

void CellWorld::Call(size_t index, const CallerRequest& request, OnReply reply) {
  if (request.kind == CallerKind::kCancel) {
    waiting_.Close(request.job);
  }
  hosts_[index]->Call(
      request, [this, index, request, sent = Now(), reply = std::move(reply)](const CallerReply& answer) {
        CheckKey(request, sent, answer);
        if (checks_routes && answer.outcome == CallerOutcome::kDone) {
          routes_.OnAnswer(index, request.queue, sent, true);
        }
        CheckUnknownJob(request, sent, answer);
        RecordCancel(request, sent, answer);
        if (request.kind == CallerKind::kState && answer.outcome == CallerOutcome::kDone && IsFinal(answer.state)) {
          waiting_.Close(request.job);
        }
        reply(answer);
      });
}

TimePoint CellWorld::NextEvent() const {
  TimePoint next = timers_.next().value_or(TimePoint::max());
  for (const std::unique_ptr<FakeHost>& host : hosts_) {
    next = std::min(next, host->NextDue());
  }
  for (const std::unique_ptr<FakeWorker>& worker : workers_) {
    next = std::min(next, worker->NextEnd());
  }
  return next;
}

void CellWorld::AddWaiter(Waiters& waiters,
                          TimePoint until,
                          std::function<bool()> is_ready,
                          std::function<void()> resume) {
  if (is_ready()) {
    In(Duration(0), std::move(resume));  // The change came in while the previous answer was in transit.
    return;
  }
  auto waiter = std::make_shared<Waiter>(Waiter{std::move(is_ready), std::move(resume), false});
  waiters.push_back(waiter);
  In(until - Now(), [waiter] {
    if (!std::exchange(waiter->completed, true)) {
      waiter->resume();
    }
  });
}

void CellWorld::WakeReadyWaiters(Waiters& waiters) {
  std::erase_if(waiters, [this](const std::shared_ptr<Waiter>& waiter) {
    if (!waiter->completed && waiter->is_ready()) {
      waiter->completed = true;
      In(Duration(0), waiter->resume);
    }
    return waiter->completed;
  });
}

void CellWorld::Step(TimePoint until) {
  const TimePoint next = std::min(NextEvent(), until);
  // Checks between two events only observe: an event of their own would have leases expire earlier.
  while (checks_waiting && waiting_.next_check() > Now() && waiting_.next_check() < next) {
    clock_.Set(waiting_.next_check());
    waiting_.RunDue();
  }
  if (next > clock_.Now()) {
    clock_.Set(next);
  }
  if (checks_routes) {
    routes_.Observe();
  }
  store_.ExpireLeases();
  for (const std::unique_ptr<FakeWorker>& worker : workers_) {
    worker->FinishDueRuns();
  }
  timers_.RunDue();
  for (const std::unique_ptr<FakeHost>& host : hosts_) {
    host->RunDue();
  }
  if (checks_routes) {
    routes_.Observe();
  }
  late_runs_.Check();
  if (checks_waiting) {
    waiting_.RunDue();
  }
}

void CellWorld::RunFor(Duration time) {
  const TimePoint until = Now() + time;
  while (Now() < until) {
    Step(until);
  }
}

bool CellWorld::RunUntil(const std::function<bool()>& done, Duration limit) {
  const TimePoint until = Now() + limit;
  while (!done()) {
    if (Now() >= until) {
      return false;
    }
    Step(until);
  }
  return true;
}

Host* CellWorld::host(size_t index) {
  return hosts_[index]->host();
}

std::optional<size_t> CellWorld::OwnerIndex() const {
  std::optional<size_t> newest;
  uint64_t term = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const Host* host = hosts_[i]->host();
    if (host != nullptr && host->owner() != nullptr && host->owner()->ownership().term > term) {
      term = host->owner()->ownership().term;
      newest = i;
    }
  }
  return newest;
}

void CellWorld::Kill(size_t index) {
  waiting_.NoteDisruption();
  hosts_[index]->Kill();
}

size_t CellWorld::LargeReadsOf(size_t host) const {
  return hosts_[host]->large_reads();
}

void CellWorld::Boot(size_t index) {
  waiting_.NoteDisruption();
  if (hosts_[index]->removed) {
    return;
  }
  routes_.NoteStarted(index);
  hosts_[index]->Boot();
}

void CellWorld::Freeze(size_t index, Duration time) {
  waiting_.NoteDisruption();
  hosts_[index]->Freeze(time);
}

size_t CellWorld::AddHost() {
  hosts_.push_back(std::make_unique<FakeHost>(*this, fmt::format("h{}", hosts_.size())));
  Boot(hosts_.size() - 1);
  return hosts_.size() - 1;
}

void CellWorld::RemoveHost(size_t index) {
  Kill(index);
  hosts_[index]->removed = true;
}

void CellWorld::SetProcessorMillis(size_t index, int millis) {
  hosts_[index]->processor_millis = millis;
}

void CellWorld::Leave(size_t index) {
  waiting_.NoteDisruption();
  routes_.NoteLeaving(index);
  hosts_[index]->host()->Leave([] {});
}

void CellWorld::CutPeers(size_t index, bool cut) {
  hosts_[index]->cut_from_peers = cut;
}

void CellWorld::SetWallOffset(size_t index, Duration offset) {
  waiting_.NoteDisruption();
  hosts_[index]->wall_offset = offset;
}

void CellWorld::CutWorkers(size_t index, bool cut) {
  hosts_[index]->cut_from_workers = cut;
}

double CellWorld::CounterOf(size_t index, const std::string& name) const {
  return hosts_[index]->CounterOf(name);
}

void CellWorld::CutPath(size_t index, const FakeWorker& worker, bool cut) {
  std::set<std::string>& unreachable = hosts_[index]->unreachable_workers;
  if (cut) {
    unreachable.insert(worker.entry.id);
  } else {
    unreachable.erase(worker.entry.id);
  }
}

void CellWorld::CutOffWithWorkers(size_t index, const std::set<size_t>& workers, bool cut) {
  StoreFaultsOf(index).silent = cut;
  CutPeers(index, cut);
  for (size_t i = 0; i < workers_.size(); ++i) {
    for (size_t host = 0; host < hosts_.size(); ++host) {
      const bool same_side = (host == index) == workers.contains(i);
      CutPath(host, *workers_[i], cut && !same_side);
    }
  }
}

void CellWorld::SilenceWatches(size_t index, bool silent) {
  if (silent) {
    store_.silent_watches.insert(hosts_[index]->name());
  } else {
    store_.silent_watches.erase(hosts_[index]->name());
  }
  store_.on_change();
}

void CellWorld::LoseWatches(size_t index, int later) {
  waiting_.NoteDisruption();
  routes_.NoteDisturbed(index);
  hosts_[index]->LoseWatches(later);
}

void CellWorld::LoseTransfers(size_t index) {
  waiting_.NoteDisruption();
  routes_.NoteDisturbed(index);
  hosts_[index]->LoseTransfers();
}

CallFaults& CellWorld::StoreFaultsOf(size_t index) {
  return store_.host_faults[hosts_[index]->name()];
}

// --- Callers ---

void CellWorld::Submit(size_t index, const JobSpec& job, const TaskBehaviour& behaviour, OnReply reply) {
  submitted_[job.id] = job;
  behaviours_[job.id] = behaviour;
  ++submission_counts_[job.id].first;
  last_submissions_[job.id] = Now();
  cancels_of_unknown_.erase(job.id);
  if (const QueueSpec* queue = configuration.FindQueue(job.queue); queue != nullptr) {
    queues_.emplace(job.id, *queue);
  }
  CallerRequest request;
  request.kind = CallerKind::kSubmit;
  request.queue = job.queue;
  request.job = job.id;
  request.spec = EncodeRecord(job);
  request.key = keys_[job.id];
  Call(index, request, [this, id = job.id, reply = std::move(reply)](const CallerReply& answer) {
    if (answer.outcome == CallerOutcome::kDone) {
      accepted_.emplace(id, Now());
    } else if (IsRefusal(answer.outcome)) {
      ++submission_counts_[id].second;
    }
    reply(answer);
  });
}

// Callers find no host that was removed.
size_t CellWorld::AnyHost() {
  std::vector<size_t> present;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i]->removed) {
      present.push_back(i);
    }
  }
  return present[random_() % present.size()];
}

void CellWorld::SubmitWithRetries(const JobSpec& job, const TaskBehaviour& behaviour) {
  const size_t index = AnyHost();
  auto answered = std::make_shared<bool>(false);
  Submit(index, job, behaviour, [this, job, behaviour, answered](const CallerReply& reply) {
    *answered = true;
    const bool again = reply.outcome == CallerOutcome::kUnavailable || !IsRefusal(reply.outcome);
    if (reply.outcome != CallerOutcome::kDone && again) {
      In(500ms, [this, job, behaviour] { SubmitWithRetries(job, behaviour); });
    }
  });
  // The host may crash while it handles the request.
  In(4s, [this, job, behaviour, answered] {
    if (!*answered) {
      SubmitWithRetries(job, behaviour);
    }
  });
}

void CellWorld::Ask(size_t index, CallerKind kind, const std::string& queue, const std::string& job, OnReply reply) {
  CallerRequest request;
  request.kind = kind;
  request.queue = queue;
  request.job = job;
  request.key = keys_[job];
  Call(index, request, std::move(reply));
}

std::optional<JobState> CellWorld::StateOf(const std::string& queue, const std::string& job) {
  std::optional<CallerReply> final_reply;
  for (int i = 0; i < 30 && !final_reply; ++i) {
    Ask(AnyHost(), CallerKind::kState, queue, job, [&](const CallerReply& reply) {
      if (reply.outcome == CallerOutcome::kDone || reply.outcome == CallerOutcome::kNoSuchJob) {
        final_reply = reply;
      }
    });
    RunUntil([&] { return final_reply.has_value(); }, 4s);
  }
  return !final_reply || final_reply->outcome == CallerOutcome::kNoSuchJob ? std::nullopt
                                                                           : std::optional(final_reply->state);
}

// --- Invariant checks ---

const JobSpec* CellWorld::SpecOf(const std::string& job) const {
  const auto found = submitted_.find(job);
  return found == submitted_.end() ? nullptr : &found->second;
}

const QueueSpec* CellWorld::QueueOf(const std::string& job) const {
  const auto found = queues_.find(job);
  return found == queues_.end() ? nullptr : &found->second;
}

TaskBehaviour CellWorld::BehaviourOf(const std::string& job) const {
  return behaviours_.at(job);
}

int CellWorld::RunningCount(const TaskRef& task) const {
  const auto found = running_.find(task);
  return found == running_.end() ? 0 : static_cast<int>(found->second.size());
}

int CellWorld::CompletionCount(const TaskRef& task) const {
  const auto found = completions_.find(task);
  return found == completions_.end() ? 0 : found->second;
}

void CellWorld::OnRunStarted(FakeWorker& worker, const StartOrder& order) {
  ++starts_;
  const TaskRef& task = order.run.task;
  const std::string name = fmt::format("{}.{}.{}.{} run {} on {}", task.job, task.occurrence, task.step, task.index,
                                       order.run.run, worker.entry.id);
  const JobSpec* spec = SpecOf(task.job);
  if (spec == nullptr || spec->payload != order.payload) {
    ReportViolation("started a task that was not submitted or with another payload: " + name);
    return;
  }
  if (const auto& [submissions, refusals] = submission_counts_[task.job]; submissions == refusals) {
    ReportViolation("started although the job was reported as not accepted: " + name);
  }
  const StepSpec& step = spec->steps[static_cast<size_t>(task.step)];
  if (!running_[task].empty() && !step.speculative) {
    ReportViolation("task runs in two places: " + name + " and " + running_[task].begin()->first);
  }
  if (step.gang) {
    CheckSingleGangRun(order.run, step, name);
  }
  if (acknowledged_done_.contains(task)) {
    ReportViolation("started after its end was acknowledged: " + name);
  }
  ends_.OnStarted(task, step, name);
  const auto cancelled = acknowledged_cancels_.find(task.job);
  const bool bounded_in_time = !carries_out_late_;  // LateRunCheck judges the others.
  if (bounded_in_time && cancelled != acknowledged_cancels_.end() && Now() - cancelled->second > kMaxStartAfterCancel) {
    ReportViolation(fmt::format("started {} ms after its cancelling was acknowledged: {}",
                                Millis(Now() - cancelled->second), name));
  }
  if (const auto unknown = cancels_of_unknown_.find(task.job);
      bounded_in_time && unknown != cancels_of_unknown_.end() && Now() - unknown->second > kMaxStartAfterCancel) {
    ReportViolation(fmt::format("started {} ms after its cancelling was answered as of an unknown job: {}",
                                Millis(Now() - unknown->second), name));
  }
  for (const int before : step.after) {
    for (int i = 0; i < spec->steps[static_cast<size_t>(before)].count; ++i) {
      if (CompletionCount(TaskRef{task.job, task.occurrence, before, i}) == 0) {
        ReportViolation("started before a step that it depends on was done: " + name);
      }
    }
  }
  const QueueSpec* queue = QueueOf(task.job);
  const TaskRef counted{task.job, task.occurrence, task.step, step.gang ? 0 : task.index};
  if (queue != nullptr && !step.long_running && acknowledged_failures_[counted] >= queue->max_attempts) {
    ReportViolation("started after the maximum number of failed attempts: " + name);
  }
  CheckQuota(order, step);
  Resources used = step.size;
  for (const auto& [run, state] : worker.runs_) {
    used += state.size;
  }
  if (!used.FitsIn(worker.entry.capacity)) {
    ReportViolation("exceeds the worker's capacity: " + name);
  }
  CheckCrashes(order.run, step);
  running_[task].insert({worker.entry.id, order.run.run});
  if (carries_out_late_) {
    late_runs_.NoteStarted(worker, order.run);
  }
}

// All members of a gang that run at the same time belong to the same run.
void CellWorld::CheckSingleGangRun(const RunRef& started, const StepSpec& step, const std::string& name) {
  for (int i = 0; i < step.count; ++i) {
    const auto others = running_.find(TaskRef{started.task.job, started.task.occurrence, started.task.step, i});
    if (others == running_.end()) {
      continue;
    }
    for (const auto& [worker, run] : others->second) {
      if (run != started.run) {
        ReportViolation(fmt::format("gang runs twice at once: {} and member {} run {} on {}", name, i, run, worker));
        return;
      }
    }
  }
}

void CellWorld::CheckCrashes(const RunRef& run, const StepSpec& step) {
  const int guilty = BehaviourOf(run.task.job).crashes_worker;
  const TaskRef counted{run.task.job, run.task.occurrence, run.task.step, guilty};
  if (guilty < 0 || (!step.gang && guilty != run.task.index) || crashes_[counted] < kMaxCrashes) {
    return;
  }
  starts_after_crashes_[counted].insert(run.run);
  if (static_cast<int>(starts_after_crashes_[counted].size()) >= kMaxCrashes) {
    ReportViolation(fmt::format("started three times more after three workers had crashed under it: {}.{}.{}.{} run {}",
                                run.task.job, run.task.occurrence, run.task.step, run.task.index, run.run));
  }
}

void CellWorld::OnWorkerCrash(const FakeWorker& worker) {
  for (const auto& [run, state] : worker.runs_) {
    ++crashes_[run.task];
  }
}

int CellWorld::CrashCount(const std::string& job) const {
  int most = 0;
  for (const auto& [task, crashes] : crashes_) {
    most = task.job == job ? std::max(most, crashes) : most;
  }
  return most;
}

void CellWorld::OnRunEnded(FakeWorker& worker, const RunRef& run, EndKind how) {
  running_[run.task].erase({worker.entry.id, run.run});
  waiting_.NoteRunEnded(run, how);
  const JobSpec* spec = SpecOf(run.task.job);
  if (how != EndKind::kDone || spec == nullptr) {
    return;
  }
  const StepSpec& step = spec->steps[static_cast<size_t>(run.task.step)];
  ends_.OnDone(worker, worker.last_end_, run, step);
  if (!step.gang) {
    ++completions_[run.task];
    return;
  }
  for (int i = 0; i < step.count; ++i) {
    ++completions_[TaskRef{run.task.job, run.task.occurrence, run.task.step, i}];
  }
}

void CellWorld::OnEndsAcknowledged(const FakeWorker& worker, const std::vector<EndedRun>& ends) {
  for (const EndedRun& row : ends) {
    const JobSpec* spec = SpecOf(row.run.task.job);
    if (spec == nullptr) {
      continue;
    }
    const StepSpec& step = spec->steps[static_cast<size_t>(row.run.task.step)];
    TaskRef task = row.run.task;
    if (row.how == EndKind::kDone && !step.long_running) {
      ends_.OnAcknowledged(worker, row, step);
      for (int i = 0; i < step.count; ++i) {
        if (step.gang || i == task.index) {
          acknowledged_done_.insert(TaskRef{task.job, task.occurrence, task.step, i});
        }
      }
    } else if (row.how == EndKind::kFailed) {
      task.index = step.gang ? 0 : task.index;
      ++acknowledged_failures_[task];
    }
  }
}

void CellWorld::OnGangMemberStarted(FakeWorker& worker, const RunRef& run) {
  const RunRef key{TaskRef{run.task.job, run.task.occurrence, run.task.step, 0}, run.run};
  GangRun& gang = gangs_[key];
  gang.arrived_members.insert(fmt::format("{}/{}", worker.entry.id, run.task.index));
  gang.workers.push_back(&worker);
  const StepSpec& step = SpecOf(run.task.job)->steps[static_cast<size_t>(run.task.step)];
  if (static_cast<int>(gang.arrived_members.size()) < step.count) {
    return;
  }
  const TaskBehaviour behaviour = BehaviourOf(run.task.job);
  for (FakeWorker* each : gang.workers) {
    for (auto& [member, state] : each->runs_) {
      if (member.task.job == run.task.job && member.task.step == run.task.step && member.run == run.run) {
        state.started_at = Now();
        state.ends_at = Now() + behaviour.takes;
        each->next_end_.reset();
      }
    }
  }
}

// The end of one member ends the whole gang: the others end as done if it is done, otherwise as broken.
void CellWorld::OnGangMemberEnded(const RunRef& run, EndKind how) {
  const RunRef key{TaskRef{run.task.job, run.task.occurrence, run.task.step, 0}, run.run};
  const auto found = gangs_.find(key);
  if (found == gangs_.end()) {
    return;
  }
  const GangRun gang = std::move(found->second);
  gangs_.erase(found);
  for (FakeWorker* each : gang.workers) {
    std::vector<RunRef> members;
    for (const auto& [member, state] : each->runs_) {
      if (member.task.job == run.task.job && member.task.step == run.task.step && member.run == run.run) {
        members.push_back(member);
      }
    }
    for (const RunRef& member : members) {
      each->FinishIfRunning(member, how == EndKind::kDone ? EndKind::kDone : EndKind::kGangMemberEnded);
    }
  }
}

}  // namespace hibiscus::cell
