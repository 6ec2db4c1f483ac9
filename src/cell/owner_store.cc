// The owner and the store: what it reads when it takes over, and what each batch of the group commit carries.
#include <algorithm>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kReadAgain = 100ms;     // After a read without an answer.
constexpr Duration kWatchWait = 1s;        // A look at the workers' entries waits so long for a change.
constexpr Duration kWatchPause = 400ms;    // Between two looks: entries change far more often than they matter.
constexpr size_t kMostExpired = 4;         // Old records of ended jobs removed by one batch.
constexpr size_t kMergedAtOnce = 12;       // Records of ended jobs that become one.
constexpr size_t kMostCleaned = 6;         // Batches of the log removed by one batch; it writes one.
constexpr size_t kMostSegments = 300;      // Batches of the log: some ten seconds, and one page to read.
constexpr Duration kOldestSegment = 60s;   // Older ones are written anew; half of the least time ended jobs are kept.
constexpr size_t kMostLogBytes = 600'000;  // Of one batch: base64 makes 0.8 MB of it, a value may have 1 MB.
constexpr int64_t kRunsPerEpoch = 1000;    // Starts of one task under one owner stay below this.

}  // namespace

// Retries `work` after a delay, if this owner still is.
void Owner::Again(Duration delay, std::function<void()> work) {
  context_.timers.In(delay, [alive = alive_, work = std::move(work)] {
    if (*alive) {
      work();
    }
  });
}

// --- Loading ---

void Owner::ReadAll(const std::string& prefix,
                    const std::string& after,
                    const std::function<void(const StoreItem&)>& take,
                    const std::function<void(uint64_t)>& done) {
  context_.store.Range(prefix, after, [this, alive = alive_, prefix, after, take, done](const StoreAnswer& answer) {
    if (!*alive) {
      return;
    }
    if (answer.status != StoreStatus::kOk) {
      context_.Log("owner", "event=read_again prefix={} status={}", prefix, NameOf(answer.status));
      Again(kReadAgain, [this, prefix, after, take, done] { ReadAll(prefix, after, take, done); });
      return;
    }
    std::for_each(answer.items.begin(), answer.items.end(), take);
    if (answer.has_more && !answer.items.empty()) {
      ReadAll(prefix, answer.items.back().key, take, done);
    } else {
      done(answer.revision);
    }
  });
}

void Owner::ReadJobs() {
  const auto take = [this](const StoreItem& item) {
    if (item.key.starts_with(kLogPrefix)) {
      TakeLogItem(item);
    } else if (item.key.starts_with(kEndedPrefix)) {
      TakeEndedItem(item);
    } else if (item.key == kRosterKey) {
      auto roster = DecodeRecord<std::vector<WorkerLifeRecord>>(item.value);
      if (roster) {
        loading_.roster = std::move(*roster);
      } else {
        context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, roster.error());
      }
    }
  };
  ReadAll(kDataPrefix, "", take, [this](uint64_t) { ReadWorkers(); });
}

// Batches come in order, so the later word replaces the earlier one.
void Owner::TakeLogItem(const StoreItem& item) {
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

void Owner::TakeEndedItem(const StoreItem& item) {
  const auto jobs = DecodeRecord<std::vector<EndedJob>>(item.value);
  if (!jobs) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, jobs.error());
    return;
  }
  for (const EndedJob& job : *jobs) {
    ended_[job.id] = Ended{job.queue, job.state, job.ended_at_ms};
  }
  ended_batches_.push_back(EndedBatch{item.key, *jobs, context_.wall.NowMs(), jobs->size() > kMergedAtOnce});
}

void Owner::ReadWorkers() {
  const auto take = [this](const StoreItem& item) {
    const auto entry = context_.directory.ReadWorker(item);
    if (entry) {
      loading_.workers.push_back(*entry);
    } else {
      context_.Log("worker", "event=unreadable_entry key={} reason=\"{}\"", item.key, entry.error());
    }
  };
  ReadAll(context_.directory.worker_prefix(), "", take, [this](uint64_t revision) {
    workers_revision_ = revision;
    FinishLoading();
  });
}

void Owner::FinishLoading() {
  relay_.SetWorkerCount(loading_.workers.size());
  for (const WorkerEntry& entry : loading_.workers) {
    workers_.OnEntry(entry);
  }
  for (const WorkerLifeRecord& life : loading_.roster) {
    workers_.AddFromRoster(life);
  }
  RestoreJobs();
  context_.Log("owner", "event=loaded epoch={} jobs={} ended={} workers={} roster={}", ownership_.epoch, jobs_.size(),
               ended_.size(), loading_.workers.size(), loading_.roster.size());
  context_.counters.RecordDuration("takeover_seconds", "load", context_.Now() - began_);
  loading_ = Loading{};
  loaded_ = true;
  WatchWorkers();
  std::vector<std::pair<CallerRequest, Reply>> early = std::exchange(early_, {});
  for (auto& [request, reply] : early) {
    Handle(request, std::move(reply));
  }
  ScheduleSoon();
}

void Owner::RestoreJobs() {
  const int64_t now_ms = context_.wall.NowMs();
  for (auto& [id, loaded] : loading_.jobs) {
    if (loaded.spec_key.empty() || ended_.contains(id)) {
      continue;  // Ended: what the log still has of it is not the last word.
    }
    auto fresh = std::make_unique<Job>();
    Job& job = *fresh;
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
      ApplyProgress(job, loaded.progress, RunBase(job));
    }
    if (job.record.spec.occurrences == 0 && job.next_occurrence == 0) {
      job.occurrences.emplace(0, MakeOccurrence(job, 0, RunBase(job)));
      job.next_occurrence = 1;
    }
    jobs_[id] = std::move(fresh);
    OpenSteps(job);
  }
}

// Where the numbers of starts begin: an earlier owner may have given starts that nobody recorded.
int Owner::RunBase(const Job& job) const {
  return static_cast<int>(static_cast<int64_t>(ownership_.epoch - job.record.epoch) * kRunsPerEpoch);
}

// --- The workers' entries ---

void Owner::WatchWorkers() {
  context_.store.Watch(context_.directory.worker_prefix(), workers_revision_, kWatchWait,
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
                             TakeWorkerItem(item);
                           }
                         }
                         Again(kWatchPause, [this] { WatchWorkers(); });
                       });
}

// Everything anew; what is not there any more is gone.
void Owner::RereadWorkers() {
  auto seen = std::make_shared<std::vector<std::string>>();
  const auto take = [this, seen](const StoreItem& item) {
    seen->push_back(item.key.substr(context_.directory.worker_prefix().size()));
    TakeWorkerItem(item);
  };
  ReadAll(context_.directory.worker_prefix(), "", take, [this, seen](uint64_t revision) {
    workers_revision_ = revision;
    std::vector<std::string> gone;
    for (const auto& [id, worker] : workers_.workers()) {
      if (std::find(seen->begin(), seen->end(), id) == seen->end()) {
        gone.push_back(id);
      }
    }
    for (const std::string& id : gone) {
      workers_.OnEntryGone(id);
    }
    WatchWorkers();
  });
}

void Owner::TakeWorkerItem(const StoreItem& item) {
  const std::string id = item.key.substr(context_.directory.worker_prefix().size());
  if (item.removed) {
    workers_.OnEntryGone(id);
    return;
  }
  const auto entry = context_.directory.ReadWorker(item);
  if (!entry) {
    // An entry that cannot be read names no worker; one that was known stays as it was until it lapses.
    context_.Log("worker", "event=unreadable_entry key={} reason=\"{}\"", item.key, entry.error());
    return;
  }
  workers_.OnEntry(*entry);
}

// --- Batches ---

void Owner::MarkDirty(Job& job) {
  if (!job.dirty) {
    job.dirty = true;
    dirty_.push_back(job.id());
  }
  commit_.Request();
}

// Ended jobs that need no longer be told of. Batches of the log that old are gone, so nothing brings them back.
void Owner::AddExpired(Batch& batch) {
  for (size_t i = 0; i < kMostExpired && !ended_batches_.empty(); ++i) {
    const EndedBatch& oldest = ended_batches_.front();
    if (!HasExpired(oldest)) {
      return;
    }
    for (const EndedJob& job : oldest.jobs) {
      ended_.erase(job.id);
    }
    batch.removals.push_back(oldest.key);
    ended_batches_.pop_front();
  }
}

void Owner::AddRoster(Batch& batch, BatchNews& news) {
  if (roster_dirty_) {
    roster_dirty_ = false;
    news.roster = workers_.TakeRoster();
    batch.writes.push_back(StoreWrite{kRosterKey, EncodeRecord(news.roster), 0});
  }
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

// The log has nothing to say about it any more.
void Owner::Forget(Job& job) {
  if (!job.spec_key.empty()) {
    segments_[job.spec_key].specs.erase(job.id());
  }
  if (!job.progress_key.empty()) {
    segments_[job.progress_key].progress.erase(job.id());
  }
  job.spec_key.clear();
  job.progress_key.clear();
}

// Removes batches that have no last word on any job, and writes anew what the oldest still has when there are many.
void Owner::CleanLog(LogRecord& log, Batch& batch, const std::string& key) {
  size_t cleaned = 0;
  for (auto each = segments_.begin(); each != segments_.end() && cleaned < kMostCleaned;) {
    if (each->first == key) {
      ++each;
      continue;
    }
    const bool old = each == segments_.begin() &&
                     (segments_.size() > kMostSegments || context_.Now() - each->second.written_at > kOldestSegment);
    if (!each->second.empty() && !old) {
      ++each;
      continue;
    }
    const Segment segment = each->second;
    for (const std::string& id : segment.specs) {
      AppendSpec(*jobs_.at(id), log, key);
    }
    for (const std::string& id : segment.progress) {
      AppendProgress(*jobs_.at(id), log, key);
    }
    batch.removals.push_back(each->first);
    each = segments_.erase(each);
    ++cleaned;
  }
}

void Owner::AddJobs(Batch& batch, BatchNews& news, const std::string& key) {
  LogRecord log;
  size_t bytes = 0;
  while (!dirty_.empty() && bytes < kMostLogBytes) {
    Job* job = FindJob(dirty_.front());
    dirty_.pop_front();
    if (job == nullptr) {
      continue;
    }
    job->dirty = false;
    job->in_batch = true;
    job->on_withdrawn.clear();
    job->on_batch_stands = std::exchange(job->on_stored, {});
    news.jobs.push_back(job->id());
    if (job->final) {
      news.ended.push_back(EndedJob{job->id(), job->record.spec.queue, job->final_state, context_.wall.NowMs()});
      Forget(*job);
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
  CleanLog(log, batch, key);
  if (!(log == LogRecord{})) {
    segments_[key].written_at = context_.Now();
    batch.writes.push_back(StoreWrite{key, EncodeRecord(log), 0});
  }
}

void Owner::AddEnded(Batch& batch, const BatchNews& news, uint64_t number) {
  if (!news.ended.empty()) {
    const std::string key = BatchKey(kEndedPrefix, ownership_.epoch, number);
    batch.writes.push_back(StoreWrite{key, EncodeRecord(news.ended), 0});
    ended_batches_.push_back(EndedBatch{key, news.ended, context_.wall.NowMs(), false});
  }
  MergeEnded(batch, number);
}

// Many small records of ended jobs become one, so that a successor has few to read.
void Owner::MergeEnded(Batch& batch, uint64_t number) {
  const auto first =
      std::find_if(ended_batches_.begin(), ended_batches_.end(), [](const EndedBatch& each) { return !each.merged; });
  const auto available = static_cast<size_t>(ended_batches_.end() - first);
  if (available <= kMergedAtOnce) {
    return;
  }
  EndedBatch merged{BatchKey(kEndedPrefix, ownership_.epoch, number) + "m", {}, first->written_at_ms, true};
  const auto last = first + static_cast<std::ptrdiff_t>(kMergedAtOnce);
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
  BatchNews news;
  news.last = closing_;
  AddExpired(batch);
  AddRoster(batch, news);
  AddJobs(batch, news, BatchKey(kLogPrefix, ownership_.epoch, number));
  AddEnded(batch, news, number);
  if (!dirty_.empty()) {
    commit_.Request();
  } else {
    for (const auto& [id, worker] : workers_.workers()) {
      if (workers_.seen(*worker) > workers_.acknowledged(*worker)) {
        news.ends.push_back(SeenEnds{id, worker->entry.born_ms, workers_.seen(*worker)});
      }
    }
  }
  batch.on_committed = [this, news = std::move(news)] { OnBatchStands(news); };
  return batch;
}

void Owner::OnBatchStands(const BatchNews& news) {
  for (const SeenEnds& ends : news.ends) {
    workers_.Acknowledge(ends.worker, ends.born_ms, ends.number);
  }
  for (const WorkerLifeRecord& life : news.roster) {
    Worker* worker = workers_.Find(life.id);
    if (worker != nullptr && worker->entry.born_ms == life.born_ms) {
      worker->rostered = true;
    }
  }
  for (const std::string& id : news.jobs) {
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
    const std::vector<std::function<void()>> waiters = std::exchange(job->on_batch_stands, {});
    std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
  }
  for (const EndedJob& ended : news.ended) {
    RetireJob(ended);
  }
  if (news.last) {
    EndClosing();
  }
  ScheduleSoon();
}

void Owner::RetireJob(const EndedJob& ended) {
  Job* job = FindJob(ended.id);
  if (job == nullptr) {
    return;
  }
  ended_[ended.id] = Ended{ended.queue, ended.state, ended.ended_at_ms};
  const std::vector<std::function<void()>> waiters = std::exchange(job->on_stored, {});
  std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
  jobs_.erase(ended.id);
}

// What comes to be known after the last batch, the next owner hears from the workers.
void Owner::EndClosing() {
  commit_.Close();
  if (closed_) {
    std::exchange(closed_, nullptr)();
  }
}

}  // namespace hibiscus::cell
