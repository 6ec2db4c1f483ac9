#include "core/log_role.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscus {

namespace {

constexpr Duration kResumeInterval = 1s;
constexpr size_t kMaxResumesPerRound = 500;
constexpr Duration kUnknownHomeCheckInterval = 10s;
// Every open request is rechecked once in this many rounds, unless kMaxRechecksPerRound stretches the cycle.
constexpr size_t kRoundsPerRecheckCycle = 15;
constexpr size_t kMaxRechecksPerRound = 50;
constexpr Duration kMaxLogTimeGap = 30s;  // While requests are open, log time is written at least this often.

}  // namespace

LogRole::LogRole(CoreContext& context, const Membership& membership)
    : context_(context),
      membership_(membership),
      reader_(context, index_),
      writer_(context, index_, reader_),
      trimmer_(context, index_, reader_, writer_) {}

bool LogRole::IsActive() const {
  return context_.OwnerOf(kLogWriterKey) == context_.settings.name || context_.Now() < active_until_ || !writer_.idle();
}

void LogRole::OnAppend(const HostName& from, const LogAppend& append) {
  Activate();
  writer_.Append(from, append);
}

void LogRole::OnLookup(const HostName& from, const LogLookup& lookup) {
  context_.ReportStep(Step::kLogLookedUp);
  Activate();
  LookUp(LookupRequest{from, lookup});
}

// The index holds no answers, only the sequences of their batches, and may lag behind the store, which other data
// centres write to as well. An answer is therefore read from its batch, and the absence of an answer is reported only
// after a read has confirmed the end of the log.
void LogRole::LookUp(const LookupRequest& request) {
  const auto sequence = index_.AnswerSequence(request.lookup.key);
  if (!sequence) {
    lookups_awaiting_end_.push_back(request);
    return;
  }
  answer_reads_[context_.ReadStore(LogKey(*sequence))] = request;
}

void LogRole::OnAnswerRead(const LookupRequest& request, const StoreEvent& event) {
  LogFound found{request.lookup.reference, request.lookup.key, false, index_.Find(request.lookup.key)};
  const bool batch_read = event.delivery == Delivery::kAnswered && event.reply.status == StoreStatus::kOk;
  const auto batch = batch_read ? DecodeLogBatch(event.reply.value) : LogBatch{};
  if (batch) {
    for (const LogRecord& record : batch->records) {
      if (record.key == found.key && record.kind == LogRecordKind::kDone) {
        found.current = true;
        found.found = LogEntry{LogEntry::State::kDone, {}, record.answer};
      }
    }
  }
  context_.Send(request.from, found);
}

// Reads the key behind the last known batch. One read serves all lookups that arrived before it.
void LogRole::ReadLogEnd() {
  if (lookups_awaiting_end_.empty() || end_read_call_ != 0 || context_.Now() < next_end_read_) {
    return;
  }
  if (!reader_.current()) {
    AnswerFromIndex(std::exchange(lookups_awaiting_end_, {}), false);
    return;
  }
  next_end_read_ = context_.Now() + context_.settings.log_batch_window;
  end_read_sequence_ = reader_.next_sequence();
  lookups_in_end_read_ = std::exchange(lookups_awaiting_end_, {});
  end_read_call_ = context_.ReadStore(LogKey(end_read_sequence_));
}

void LogRole::OnLogEndRead(const StoreEvent& event) {
  end_read_call_ = 0;
  const std::vector<LookupRequest> requests = std::exchange(lookups_in_end_read_, {});
  if (event.delivery != Delivery::kAnswered) {
    AnswerFromIndex(requests, false);
  } else if (event.reply.status == StoreStatus::kAbsent) {
    AnswerFromIndex(requests, reader_.current());
  } else {
    reader_.ApplyAtEnd(end_read_sequence_, DecodeLogBatch(event.reply.value).value_or(LogBatch{}), TimePoint{});
    next_end_read_ = context_.Now();
    for (const LookupRequest& request : requests) {
      LookUp(request);
    }
  }
}

void LogRole::AnswerFromIndex(const std::vector<LookupRequest>& requests, bool current) {
  for (const LookupRequest& request : requests) {
    const RequestKey& key = request.lookup.key;
    if (index_.AnswerSequence(key)) {
      LookUp(request);  // The answer was recorded in the meantime.
    } else {
      context_.Send(request.from, LogFound{request.lookup.reference, key, current, index_.Find(key)});
    }
  }
}

// An empty or unreachable home host means that no host processes the request: the entry stays unconfirmed.
void LogRole::OnResumed(const LogResumed& resumed) {
  index_.Confirm(resumed.key, resumed.home);
  if (!context_.IsReachable(resumed.home)) {
    index_.ClearConfirmation(resumed.key);
  }
}

void LogRole::OnTick() {
  const bool active = IsActive();
  if (!active) {
    was_active_ = false;
    return;
  }
  if (!was_active_) {
    context_.ReportStep(Step::kLogTakenOver);
    reader_.Restart();
    index_.ClearAllConfirmations();
    incarnations_.clear();
    was_active_ = true;
  }
  reader_.OnTick();
  writer_.OnTick();
  trimmer_.OnTick();
  ReadLogEnd();
  if (reader_.current() && context_.Now() >= next_resume_round_) {
    next_resume_round_ = context_.Now() + kResumeInterval;
    DetectRestarts();
    RecheckUnknownHomes();
    RecheckNextEntries();
    ResumeUnconfirmed();
    ScheduleTimeBatchIfDue();
  }
}

// A host that restarted or became unreachable has lost the state in its memory: its open requests need a new
// confirmation.
void LogRole::DetectRestarts() {
  std::vector<HostName> lost_hosts;
  for (const auto& [host, incarnation] : incarnations_) {
    const Heartbeat* heartbeat = context_.IsReachable(host) ? membership_.LoadOf(host) : nullptr;
    if (heartbeat == nullptr || (host != context_.settings.name && heartbeat->incarnation != incarnation)) {
      lost_hosts.push_back(host);
    }
  }
  for (const HostName& host : lost_hosts) {
    index_.ClearConfirmationsOf(host);
    incarnations_.erase(host);
  }
  for (const HostName& host : context_.reachable) {
    if (const Heartbeat* heartbeat = membership_.LoadOf(host); heartbeat != nullptr) {
      incarnations_.try_emplace(host, heartbeat->incarnation);
    }
  }
}

// Covers home hosts that were lost before this host had recorded their incarnation, which DetectRestarts() misses.
void LogRole::RecheckUnknownHomes() {
  if (context_.Now() < next_unknown_home_check_) {
    return;
  }
  next_unknown_home_check_ = context_.Now() + kUnknownHomeCheckInterval;
  for (const auto& [key, open] : index_.open_entries()) {
    if (!incarnations_.contains(open.current_home)) {
      index_.ClearConfirmation(key);
    }
  }
}

// A message by which a home host gave up a request may be lost, so every open request is rechecked periodically.
void LogRole::RecheckNextEntries() {
  const auto& entries = index_.open_entries();
  if (entries.empty()) {
    return;
  }
  auto next = entries.upper_bound(last_rechecked_);
  for (size_t count = std::min(kMaxRechecksPerRound, entries.size() / kRoundsPerRecheckCycle + 1); count > 0;
       --count, ++next) {
    next = next == entries.end() ? entries.begin() : next;
    last_rechecked_ = next->first;
    index_.ClearConfirmation(next->first);
  }
}

void LogRole::ResumeUnconfirmed() {
  size_t sent = 0;
  for (const RequestKey& key : index_.unconfirmed()) {
    const OpenEntry* open = index_.FindOpen(key);
    if (open->accepted.data_centre != context_.settings.data_centre) {
      continue;
    }
    const bool is_home_reachable =
        std::binary_search(context_.reachable.begin(), context_.reachable.end(), open->current_home);
    // `reachable` includes leaving hosts: one of them may still process the request.
    const HostName to = is_home_reachable ? open->current_home : context_.HomeOf(key);
    if (to.empty() || ++sent > kMaxResumesPerRound) {
      return;
    }
    const Duration age = reader_.LogTime() - open->accepted.accepted_at;
    context_.Send(to, LogResume{open->accepted.request, age, open->accepted.started_by != 0});
  }
}

void LogRole::ScheduleTimeBatchIfDue() {
  const bool has_open = std::any_of(index_.open_entries().begin(), index_.open_entries().end(), [&](const auto& entry) {
    return entry.second.accepted.data_centre == context_.settings.data_centre;
  });
  if (has_open && reader_.LogTime() - index_.last_log_time() >= kMaxLogTimeGap) {
    writer_.ScheduleTimeBatch();
  }
}

bool LogRole::OnStore(const StoreEvent& event) {
  if (const auto read = answer_reads_.extract(event.call); !read.empty()) {
    reader_.RecordDelivery(event.delivery);
    OnAnswerRead(read.mapped(), event);
    return true;
  }
  if (event.call != 0 && event.call == end_read_call_) {
    reader_.RecordDelivery(event.delivery);
    OnLogEndRead(event);
    return true;
  }
  return reader_.OnStore(event) || writer_.OnStore(event) || trimmer_.OnStore(event);
}

}  // namespace hibiscus
