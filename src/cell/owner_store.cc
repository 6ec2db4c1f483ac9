// The owner and the store: what it reads when it takes over, and what each batch of the group commit carries.
#include <algorithm>
#include <utility>

#include "cell/owner.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kReadAgain = 100ms;       // After a read without an answer.
constexpr Duration kWatchWait = 1s;          // A look at the workers' entries waits so long for a change.
constexpr Duration kWatchPause = 400ms;      // Between two looks: entries change far more often than they matter.
constexpr size_t kEntriesOfAJob = 2;         // Most entries that one job adds to a batch.
constexpr size_t kMostExpired = 4;           // Old records removed by one batch.
constexpr int64_t kRunsPerEpoch = 1000;      // Starts of one task under one owner stay below this.

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
                    std::function<void(const StoreItem&)> take,
                    std::function<void(uint64_t)> done) {
  context_.store.Range(
      prefix, after, [this, alive = alive_, prefix, after, take, done](const StoreAnswer& answer) {
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
    if (item.key.starts_with(kJobPrefix)) {
      TakeJobItem(item);
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

void Owner::TakeJobItem(const StoreItem& item) {
  const size_t slash = item.key.rfind('/');
  const std::string id = item.key.substr(kJobPrefix.size(), slash - kJobPrefix.size());
  if (item.key == SpecKey(id)) {
    auto record = DecodeRecord<JobRecord>(item.value);
    if (record) {
      loading_.jobs[id] = std::move(*record);
    } else {
      context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, record.error());
    }
    return;
  }
  auto progress = DecodeRecord<ProgressRecord>(item.value);
  if (progress) {
    loading_.progress[id] = std::move(*progress);
  } else {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, progress.error());
  }
}

void Owner::TakeEndedItem(const StoreItem& item) {
  const auto jobs = DecodeRecord<std::vector<EndedJob>>(item.value);
  if (!jobs) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item.key, jobs.error());
    return;
  }
  EndedBatch batch{item.key, {}, context_.wall.NowMs()};
  for (const EndedJob& job : *jobs) {
    ended_[job.id] = Ended{job.queue, job.state, job.ended_at_ms};
    batch.jobs.push_back(job.id);
  }
  ended_batches_.push_back(std::move(batch));
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
  for (const WorkerEntry& entry : loading_.workers) {
    workers_.OnEntry(entry);
  }
  for (const WorkerLifeRecord& life : loading_.roster) {
    workers_.AddFromRoster(life);
  }
  RestoreJobs();
  context_.Log("owner", "event=loaded epoch={} jobs={} ended={} workers={} roster={}", ownership_.epoch, jobs_.size(),
               ended_.size(), loading_.workers.size(), loading_.roster.size());
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
  for (auto& [id, record] : loading_.jobs) {
    auto fresh = std::make_unique<Job>();
    Job& job = *fresh;
    job.record = std::move(record);
    const QueueSpec* queue = configuration_.FindQueue(job.record.spec.queue);
    job.queue.name = job.record.spec.queue;
    if (queue != nullptr) {
      job.queue = *queue;
    }
    const int64_t age_ms = std::clamp<int64_t>(now_ms - job.record.accepted_at_ms, 0, Millis(1h));
    job.accepted_at = context_.Now() - std::chrono::milliseconds(age_ms);
    job.spec_stored = true;
    const auto progress = loading_.progress.find(id);
    if (progress != loading_.progress.end()) {
      job.progress_stored = true;
      ApplyProgress(job, progress->second, RunBase(job));
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

void Owner::AddExpired(Batch& batch) {
  const int64_t now_ms = context_.wall.NowMs();
  const int64_t kept_ms = Millis(context_.settings.state_kept) * 2;
  for (size_t i = 0; i < kMostExpired && !ended_batches_.empty(); ++i) {
    const EndedBatch& oldest = ended_batches_.front();
    if (now_ms - oldest.written_at_ms <= kept_ms) {
      return;
    }
    for (const std::string& id : oldest.jobs) {
      ended_.erase(id);
    }
    batch.removals.push_back(oldest.key);
    ended_batches_.pop_front();
  }
}

Batch Owner::FillBatch(uint64_t number) {
  Batch batch;
  BatchNews news;
  AddExpired(batch);
  if (roster_dirty_) {
    roster_dirty_ = false;
    news.roster = workers_.Roster();
    batch.writes.push_back(StoreWrite{kRosterKey, EncodeRecord(news.roster), 0});
  }
  while (!dirty_.empty() && batch.entries() + kEntriesOfAJob + 1 <= kMostBatchEntries) {
    Job* job = FindJob(dirty_.front());
    dirty_.pop_front();
    if (job == nullptr) {
      continue;
    }
    job->dirty = false;
    job->in_batch = true;
    job->on_batch_stands = std::exchange(job->on_stored, {});
    news.jobs.push_back(job->id());
    if (job->final) {
      news.ended.push_back(EndedJob{job->id(), job->record.spec.queue, job->final_state, context_.wall.NowMs()});
      if (job->spec_stored) {
        batch.removals.push_back(SpecKey(job->id()));
      }
      if (job->progress_stored) {
        batch.removals.push_back(ProgressKey(job->id()));
      }
      continue;
    }
    if (!job->spec_stored) {
      batch.writes.push_back(StoreWrite{SpecKey(job->id()), EncodeRecord(job->record), 0});
    }
    const ProgressRecord progress = ProgressOf(*job);
    if (job->progress_stored || !(progress == ProgressRecord{})) {
      batch.writes.push_back(StoreWrite{ProgressKey(job->id()), EncodeRecord(progress), 0});
      job->progress_stored = true;
    }
  }
  if (!news.ended.empty()) {
    const std::string key = fmt::format("{}{}-{}", kEndedPrefix, ownership_.epoch, number);
    batch.writes.push_back(StoreWrite{key, EncodeRecord(news.ended), 0});
    EndedBatch record{key, {}, context_.wall.NowMs()};
    for (const EndedJob& job : news.ended) {
      record.jobs.push_back(job.id);
    }
    ended_batches_.push_back(std::move(record));
  }
  if (!dirty_.empty()) {
    commit_.Request();
  } else {
    for (const auto& [id, worker] : workers_.workers()) {
      if (workers_.seen(*worker) > workers_.acknowledged(*worker)) {
        news.ends.push_back(SeenEnds{id, worker->entry.born_ms, workers_.seen(*worker)});
      }
    }
  }
  batch.stands = [this, news = std::move(news)] { OnBatchStands(news); };
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
    if (first && !job->final) {
      OpenSteps(*job);
    }
    const std::vector<std::function<void()>> waiters = std::exchange(job->on_batch_stands, {});
    std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
  }
  for (const EndedJob& ended : news.ended) {
    RetireJob(ended);
  }
  EndClosing();
  ScheduleSoon();
}

void Owner::RetireJob(const EndedJob& ended) {
  Job* job = FindJob(ended.id);
  if (job == nullptr) {
    return;
  }
  ended_[ended.id] = Ended{ended.queue, ended.state, ended.ended_at_ms};
  const std::vector<std::function<void()>> waiters = std::exchange(job->on_stored, {});
  jobs_.erase(ended.id);
  std::for_each(waiters.begin(), waiters.end(), [](const auto& waiter) { waiter(); });
}

void Owner::EndClosing() {
  if (closing_ && closed_ && dirty_.empty()) {
    commit_.Close();
    std::exchange(closed_, nullptr)(commit_.head_revision());
  }
}

}  // namespace hibiscus::cell
