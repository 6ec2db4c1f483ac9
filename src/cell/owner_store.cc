// The owner's use of the store: loading its state after a takeover, and filling the batches of the group commit.
#include <algorithm>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kReadRetryDelay = 100ms;  // Before a failed read is retried.
constexpr Duration kWatchTimeout = 1s;       // Longest time that a watch of the worker entries waits for a change.
// Pause between two watches of the worker entries, most of whose changes do not matter to the owner.
constexpr Duration kWatchInterval = 400ms;
constexpr size_t kMaxExpiredKeys = 4;        // Expired keys of ended jobs that one batch removes.
constexpr size_t kEndedMergeCount = 12;      // Batches of ended jobs that are merged into one.
constexpr size_t kMaxCompactedSegments = 6;  // Log batches that one batch removes; each batch adds at most one.
constexpr size_t kMaxSegments = 300;         // About ten seconds of log batches; one page of a read.
// Older log batches are rewritten. Half of the shortest time for which ended jobs are retained.
constexpr Duration kMaxSegmentAge = 60s;
// Runs of an ended job are over by then: the longest hold and a stop. Longer, as clocks of hosts may jump by seconds.
constexpr Duration kMaxStopTime = 30s;
constexpr size_t kMaxLogBytes = 600'000;  // Per log batch: 0.8 MB as base64; the store allows values of 1 MB.
constexpr Duration kOpenStartsRefreshInterval = 500ms;  // Between writes of stored open starts that have not changed.
constexpr int64_t kMaxRunsPerEpoch = 1000;              // Upper bound of the starts of one task under one owner.

}  // namespace

// Runs `work` after a delay, unless the owner has been destroyed by then.
void Owner::RunAfter(Duration delay, std::function<void()> work) {
  context_.timers.In(delay, [alive = alive_, work = std::move(work)] {
    if (*alive) {
      work();
    }
  });
}

// --- Loading ---

void Owner::ReadPrefix(const std::string& prefix,
                       const std::string& after,
                       const std::function<void(const StoreItem&)>& on_item,
                       const std::function<void(uint64_t)>& done,
                       std::optional<uint64_t> first_revision) {
  context_.store.Range(prefix, after, [=, this, alive = alive_](const StoreAnswer& answer) {
    if (!*alive) {
      return;
    }
    if (answer.status != StoreStatus::kOk) {
      context_.Log("owner", "event=read_again prefix={} status={}", prefix, NameOf(answer.status));
      RunAfter(kReadRetryDelay, [=, this] { ReadPrefix(prefix, after, on_item, done, first_revision); });
      return;
    }
    std::for_each(answer.items.begin(), answer.items.end(), on_item);
    if (answer.has_more && !answer.items.empty()) {
      ReadPrefix(prefix, answer.items.back().key, on_item, done, first_revision.value_or(answer.revision));
    } else {
      done(first_revision.value_or(answer.revision));
    }
  });
}

void Owner::ReadJobs() {
  const auto load = [this]<class Record>(const StoreItem& item, Record& target) {
    auto record = DecodeRecord<Record>(item.value);
    if (record) {
      target = std::move(*record);
    } else {
      context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, record.error());
    }
  };
  const auto on_item = [this, load](const StoreItem& item) {
    if (item.key.starts_with(kLogPrefix)) {
      LoadLogItem(item);
    } else if (item.key.starts_with(kEndedPrefix)) {
      LoadEndedItem(item);
    } else if (item.key.starts_with(kCancelledPrefix)) {
      std::vector<CancelledId> ids;
      load(item, ids);
      cancelled_ids_.Load(item.key, ids, context_.Now());
    } else if (item.key == kRosterKey) {
      load(item, loading_.roster);
    } else if (item.key == kOpenStartsKey) {
      load(item, loading_.open_starts);
    }
  };
  ReadPrefix(kDataPrefix, "", on_item, [this](uint64_t) { ReadWorkers(); });
}

// Log batches are read in order, so a later record of a job replaces an earlier one.
void Owner::LoadLogItem(const StoreItem& item) {
  auto log = DecodeRecord<LogRecord>(item.value);
  if (!log) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, log.error());
    return;
  }
  segments_[item.key].written_at = context_.Now();
  for (JobRecord& record : log->jobs) {
    LoadedJob& job = loading_.jobs[record.spec.id];
    job.record = std::move(record);
    job.spec_key = item.key;
  }
  for (JobProgress& each : log->progress) {
    LoadedJob& job = loading_.jobs[each.id];
    job.progress = std::move(each.progress);
    job.progress_key = item.key;
  }
}

void Owner::LoadEndedItem(const StoreItem& item) {
  const auto jobs = DecodeRecord<std::vector<EndedJob>>(item.value);
  if (!jobs) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, jobs.error());
    return;
  }
  for (const EndedJob& job : *jobs) {
    if (context_.wall.NowMs() - job.ended_at_ms < Millis(kMaxStopTime)) {
      ended_running_[job.tenant] += job.still_running;
    }
    ended_jobs_[job.id] = EndedJobState{job.queue, job.state, job.ended_at_ms, job.tenant};
  }
  ended_batches_.push_back(EndedBatch{item.key, *jobs, context_.wall.NowMs(), jobs->size() > kEndedMergeCount});
}

void Owner::ReadWorkers() {
  const auto on_item = [this](const StoreItem& item) {
    const auto entry = context_.directory.ReadWorker(item);
    if (entry) {
      loading_.workers.push_back(*entry);
    } else {
      context_.Log("worker", "event=unreadable_entry key={} reason=\"{}\"", item.key, entry.error());
    }
  };
  ReadPrefix(context_.directory.worker_prefix(), "", on_item, [this](uint64_t revision) {
    workers_revision_ = revision;
    FinishLoading();
  });
}

void Owner::FinishLoading() {
  if (closing_) {
    return;
  }
  relay_.SetWorkerCount(loading_.workers.size());
  for (const WorkerEntry& entry : loading_.workers) {
    workers_.OnEntry(entry);
  }
  // The claim was committed before loading began.
  workers_.SetEarlierOwners(loading_began_at_ + std::min(ownership_.earlier_owners_act_for, kMaxDoubt));
  for (const WorkerInstanceRecord& instance : loading_.roster) {
    workers_.AddFromRoster(instance);
  }
  workers_.SetStoredRoster(loading_.roster);
  RestoreJobs();
  loaded_ = true;
  OnReportedEnds(std::exchange(reported_ends_, {}));  // A run that is known to have ended did not crash.
  RestoreCrashes();
  for (const OpenStartRecord& start : loading_.open_starts) {
    workers_.AddOpenStart(start);
  }
  context_.Log("owner", "event=loaded epoch={} jobs={} ended={} workers={} roster={} open_starts={}", ownership_.epoch,
               jobs_.size(), ended_jobs_.size(), loading_.workers.size(), loading_.roster.size(),
               loading_.open_starts.size());
  context_.counters.RecordDuration("takeover_seconds", "load", context_.Now() - loading_began_at_);
  loading_ = Loading{};
  WatchWorkers();
  std::vector<std::pair<CallerRequest, Reply>> deferred = std::exchange(deferred_requests_, {});
  for (auto& [request, reply] : deferred) {
    Handle(request, std::move(reply));
  }
  SchedulePlacementPass();
}

void Owner::RestoreJobs() {
  const int64_t now_ms = context_.wall.NowMs();
  for (auto& [id, loaded] : loading_.jobs) {
    if (loaded.spec_key.empty() || ended_jobs_.contains(id)) {
      continue;  // The job has ended; its remaining log records are out of date.
    }
    auto new_job = std::make_unique<Job>();
    Job& job = *new_job;
    job.record = std::move(loaded.record);
    const QueueSpec* queue = configuration_.FindQueue(job.record.spec.queue);
    SetQueue(job, queue == nullptr ? job.record.queue : *queue);
    const int64_t age_ms = std::clamp<int64_t>(now_ms - job.record.accepted_at_ms, 0, Millis(1h));
    job.accepted_at = context_.Now() - std::chrono::milliseconds(age_ms);
    job.spec_stored = true;
    job.spec_key = loaded.spec_key;
    segments_[job.spec_key].specs.insert(id);
    if (!loaded.progress_key.empty()) {
      job.progress_key = loaded.progress_key;
      segments_[job.progress_key].progress.insert(id);
      ApplyProgress(job, loaded.progress, RunNumberBase(job));
    }
    if (job.record.spec.occurrences == 0 && job.next_occurrence == 0) {
      job.occurrences.emplace(0, MakeOccurrence(job, 0, RunNumberBase(job)));
      job.next_occurrence = 1;
    }
    jobs_[id] = std::move(new_job);
    OpenSteps(job);
    BeginDueOccurrences(job);  // Before workers report about runs of occurrences without stored progress.
    if (job.occurrences_done == job.occurrence_count()) {
      FinishJob(job, JobState::kCompleted);
    }
  }
}

// Earlier owners may have sent starts that were never recorded, so each epoch has its own range of run numbers.
int Owner::RunNumberBase(const Job& job) const {
  return static_cast<int>(static_cast<int64_t>(ownership_.epoch - job.record.epoch) * kMaxRunsPerEpoch);
}

// --- Worker entries ---

void Owner::WatchWorkers() {
  context_.store.Watch(context_.directory.worker_prefix(), workers_revision_, kWatchTimeout,
                       [this, alive = alive_](const StoreAnswer& answer) {
                         if (!*alive) {
                           return;
                         }
                         if (answer.status == StoreStatus::kHistoryLost) {
                           context_.Log("worker", "event=worker_history_lost revision={}", workers_revision_);
                           RereadWorkers();
                           return;
                         }
                         if (answer.status == StoreStatus::kOk) {
                           workers_revision_ = std::max(workers_revision_, answer.revision);
                           for (const StoreItem& item : answer.items) {
                             ApplyWorkerItem(item);
                           }
                         }
                         RunAfter(kWatchInterval, [this] { WatchWorkers(); });
                       });
}

// Reads all worker entries again after the watch lost its history, and treats missing ones as removed.
void Owner::RereadWorkers() {
  auto seen = std::make_shared<std::vector<std::string>>();
  const auto on_item = [this, seen](const StoreItem& item) {
    seen->push_back(item.key.substr(context_.directory.worker_prefix().size()));
    ApplyWorkerItem(item);
  };
  ReadPrefix(context_.directory.worker_prefix(), "", on_item, [this, seen](uint64_t revision) {
    workers_revision_ = revision;
    std::vector<std::string> missing;
    for (const auto& [id, worker] : workers_.workers()) {
      if (std::find(seen->begin(), seen->end(), id) == seen->end()) {
        missing.push_back(id);
      }
    }
    for (const std::string& id : missing) {
      workers_.OnEntryGone(id);
    }
    WatchWorkers();
  });
}

void Owner::ApplyWorkerItem(const StoreItem& item) {
  const std::string id = item.key.substr(context_.directory.worker_prefix().size());
  if (item.removed) {
    workers_.OnEntryGone(id);
    return;
  }
  const auto entry = context_.directory.ReadWorker(item);
  if (!entry) {
    // Ignored: a worker that is already known keeps its previous entry until its hold runs out.
    context_.Log("worker", "event=unreadable_entry key={} reason=\"{}\"", item.key, entry.error());
    return;
  }
  workers_.OnEntry(*entry);
}

// --- Batches ---

void Owner::MarkDirty(Job& job) {
  if (!job.dirty) {
    job.dirty = true;
    dirty_jobs_.push_back(job.id());
  }
  commit_.Request();
}

// Removes ended jobs whose retention time has passed. Log batches of that age are already removed, so no log record can
// restore such a job.
void Owner::AddExpiredRemovals(Batch& batch) {
  for (size_t i = 0; i < kMaxExpiredKeys && !ended_batches_.empty(); ++i) {
    const EndedBatch& oldest = ended_batches_.front();
    if (!HasExpired(oldest)) {
      return;
    }
    for (const EndedJob& job : oldest.jobs) {
      ended_jobs_.erase(job.id);
    }
    batch.removals.push_back(oldest.key);
    ended_batches_.pop_front();
  }
}

void Owner::AddRoster(Batch& batch, BatchContents& contents) {
  if (roster_dirty_) {
    roster_dirty_ = false;
    contents.roster = workers_.TakeRoster();
    contents.has_roster = true;
    workers_.SetPendingRoster(contents.roster);
    batch.writes.push_back(StoreWrite{kRosterKey, EncodeRecord(contents.roster), 0});
  }
}

void Owner::AddOpenStarts(Batch& batch) {
  const uint64_t version = workers_.open_starts_version();
  if (version == stored_open_starts_ && !on_closed_ && !OpenStartsAreOutdated()) {
    return;
  }
  const std::vector<OpenStartRecord> starts = workers_.open_starts(on_closed_ != nullptr);
  stored_open_starts_ = version;
  any_open_start_stored_ = !starts.empty();
  open_starts_stored_at_ = context_.Now();
  batch.writes.push_back(StoreWrite{kOpenStartsKey, EncodeRecord(starts), 0});
}

// The record says how much longer each start is open, and a successor counts that from when it loads it.
bool Owner::OpenStartsAreOutdated() const {
  return any_open_start_stored_ && context_.Now() - open_starts_stored_at_ >= kOpenStartsRefreshInterval;
}

void Owner::AppendSpec(Job& job, LogRecord& log, const std::string& key) {
  if (!job.spec_key.empty()) {
    segments_[job.spec_key].specs.erase(job.id());
  }
  job.spec_key = key;
  segments_[key].specs.insert(job.id());
  log.jobs.push_back(job.record);
}

void Owner::AppendProgress(Job& job, LogRecord& log, const std::string& key) {
  if (!job.progress_key.empty()) {
    segments_[job.progress_key].progress.erase(job.id());
  }
  job.progress_key = key;
  segments_[key].progress.insert(job.id());
  log.progress.push_back(JobProgress{job.id(), ProgressOf(job)});
}

// Drops the job from the log batches that hold its newest records; the log no longer has to retain them.
void Owner::DropFromSegments(Job& job) {
  if (!job.spec_key.empty()) {
    segments_[job.spec_key].specs.erase(job.id());
  }
  if (!job.progress_key.empty()) {
    segments_[job.progress_key].progress.erase(job.id());
  }
  job.spec_key.clear();
  job.progress_key.clear();
}

// Removes log batches that hold no job's newest record. If there are too many batches, or the oldest is too old, copies
// the records still needed from the oldest into this batch and removes it as well.
void Owner::CompactLog(LogRecord& log, Batch& batch, const std::string& key) {
  size_t compacted = 0;
  for (auto each = segments_.begin(); each != segments_.end() && compacted < kMaxCompactedSegments;) {
    if (each->first == key) {
      ++each;
      continue;
    }
    const bool old = each == segments_.begin() &&
                     (segments_.size() > kMaxSegments || context_.Now() - each->second.written_at > kMaxSegmentAge);
    if (!each->second.empty() && !old) {
      ++each;
      continue;
    }
    const LogSegment segment = each->second;
    for (const std::string& id : segment.specs) {
      AppendSpec(*jobs_.at(id), log, key);
    }
    for (const std::string& id : segment.progress) {
      AppendProgress(*jobs_.at(id), log, key);
    }
    batch.removals.push_back(each->first);
    each = segments_.erase(each);
    ++compacted;
  }
}

void Owner::AddJobs(Batch& batch, BatchContents& contents, const std::string& key) {
  LogRecord log;
  size_t bytes = 0;
  while (!dirty_jobs_.empty() && bytes < kMaxLogBytes) {
    Job* job = FindJob(dirty_jobs_.front());
    dirty_jobs_.pop_front();
    if (job == nullptr) {
      continue;
    }
    job->dirty = false;
    job->in_batch = true;
    job->on_withdrawn.clear();
    job->on_batch_committed = std::exchange(job->on_stored, {});
    contents.jobs.push_back(job->id());
    if (job->final) {
      contents.ended.push_back(EndedJob{job->id(), job->record.spec.queue, job->final_state, context_.wall.NowMs(),
                                        job->record.tenant, StillRunning(*job)});
      DropFromSegments(*job);
      continue;
    }
    if (job->spec_key.empty()) {
      AppendSpec(*job, log, key);
      bytes += job->record.spec.payload.size() + job->record.spec.steps.size() * sizeof(StepSpec);
    }
    if (!job->progress_key.empty() || !(ProgressOf(*job) == ProgressRecord{})) {
      AppendProgress(*job, log, key);
      bytes += sizeof(ProgressRecord);
    }
  }
  CompactLog(log, batch, key);
  if (!(log == LogRecord{})) {
    segments_[key].written_at = context_.Now();
    batch.writes.push_back(StoreWrite{key, EncodeRecord(log), 0});
  }
}

void Owner::AddEndedJobs(Batch& batch, const BatchContents& contents, uint64_t number) {
  if (!contents.ended.empty()) {
    const std::string key = BatchKey(kEndedPrefix, ownership_.epoch, number);
    batch.writes.push_back(StoreWrite{key, EncodeRecord(contents.ended), 0});
    ended_batches_.push_back(EndedBatch{key, contents.ended, context_.wall.NowMs(), false});
  }
  MergeEndedBatches(batch, number);
}

// Merges many small batches of ended jobs into one, so that the next owner has fewer keys to read.
void Owner::MergeEndedBatches(Batch& batch, uint64_t number) {
  const auto first =
      std::find_if(ended_batches_.begin(), ended_batches_.end(), [](const EndedBatch& each) { return !each.merged; });
  const auto unmerged = static_cast<size_t>(ended_batches_.end() - first);
  if (unmerged <= kEndedMergeCount) {
    return;
  }
  const auto last = first + static_cast<std::ptrdiff_t>(kEndedMergeCount);
  // They expire together, so none may be older than the newest of them.
  EndedBatch merged{BatchKey(kEndedPrefix, ownership_.epoch, number) + "m", {}, (last - 1)->written_at_ms, true};
  for (auto each = first; each != last; ++each) {
    merged.jobs.insert(merged.jobs.end(), each->jobs.begin(), each->jobs.end());
    batch.removals.push_back(each->key);
  }
  batch.writes.push_back(StoreWrite{merged.key, EncodeRecord(merged.jobs), 0});
  *first = std::move(merged);
  ended_batches_.erase(first + 1, last);
}

Batch Owner::FillBatch(uint64_t number) {
  Batch batch;
  BatchContents contents;
  if (!loaded_) {
    // Requested by Close; nothing has changed. Log batches whose jobs are not restored yet would pass for unused.
    batch.on_committed = [this] { FinishClosing(); };
    return batch;
  }
  AddExpiredRemovals(batch);
  AddRoster(batch, contents);
  AddOpenStarts(batch);
  AddJobs(batch, contents, BatchKey(kLogPrefix, ownership_.epoch, number));
  AddEndedJobs(batch, contents, number);
  cancelled_ids_.Fill(batch, ownership_.epoch, number, context_.Now());
  contents.last = on_closed_ && dirty_jobs_.empty() && !cancelled_ids_.HasUnstored();
  if (cancelled_ids_.HasUnstored()) {
    commit_.Request();
  }
  if (!dirty_jobs_.empty()) {
    commit_.Request();
  } else {
    contents.ends_stored = ends_received_;
    for (const auto& [id, worker] : workers_.workers()) {
      if (workers_.seen(*worker) > workers_.acknowledged(*worker)) {
        contents.acknowledgements.push_back(EndAcknowledgement{id, worker->entry.born_ms, workers_.seen(*worker)});
      }
    }
  }
  batch.on_committed = [this, contents = std::move(contents)] { OnBatchCommitted(contents); };
  return batch;
}

void Owner::OnBatchCommitted(const BatchContents& contents) {
  workers_.OnCommitted(commit_.head_revision());
  const std::vector<CancelledIds::Done> cancels = cancelled_ids_.TakeStored();
  std::for_each(cancels.begin(), cancels.end(), [](const auto& done) { done(); });
  while (!unstored_ends_.empty() && ends_received_ - unstored_ends_.size() < contents.ends_stored) {
    unstored_ends_.pop_front();
  }
  for (const EndAcknowledgement& each : contents.acknowledgements) {
    workers_.Acknowledge(each.worker, each.born_ms, each.number);
  }
  if (contents.has_roster) {
    workers_.SetStoredRoster(contents.roster);
  }
  for (const WorkerInstanceRecord& instance : contents.roster) {
    Worker* worker = workers_.Find(instance.id);
    if (worker != nullptr && worker->entry.born_ms == instance.born_ms) {
      worker->in_roster = true;
    }
  }
  for (const std::string& id : contents.jobs) {
    Job* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    job->in_batch = false;
    const bool first = !job->spec_stored;
    job->spec_stored = true;
    if (first) {
      context_.counters.RecordDuration("accept_seconds", job->queue.name, context_.Now() - job->accepted_at);
    }
    if (first && !job->final) {
      OpenSteps(*job);
    }
    const std::vector<std::function<void()>> waiters = std::exchange(job->on_batch_committed, {});
    std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
  }
  for (const EndedJob& ended : contents.ended) {
    RetireJob(ended);
  }
  if (contents.last) {
    FinishClosing();
  }
  SchedulePlacementPass();
}

void Owner::RetireJob(const EndedJob& ended) {
  Job* job = FindJob(ended.id);
  if (job == nullptr) {
    return;
  }
  ended_jobs_[ended.id] = EndedJobState{ended.queue, ended.state, ended.ended_at_ms, ended.tenant};
  if (workers_.AnyUnsettled()) {
    ended_running_[ended.tenant] += ended.still_running;
  }
  const std::vector<std::function<void()>> waiters = std::exchange(job->on_stored, {});
  std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
  jobs_.erase(ended.id);
}

// Changes after the last batch are not stored: the workers report them to the next owner, as does this host.
void Owner::FinishClosing() {
  commit_.Close();
  if (on_closed_) {
    std::exchange(on_closed_, nullptr)();
  }
}

}  // namespace hibiscus::cell
