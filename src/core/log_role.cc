#include "core/log_role.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscus {

namespace {

constexpr Duration kResumeInterval = 1s;
constexpr size_t kMaxResumesPerRound = 500;  // In one round.
constexpr Duration kUnknownHomeCheckInterval = 10s;
constexpr size_t kRoundsPerRecheckCycle = 15;  // Rounds in which each open request is asked for once,
constexpr size_t kMaxRechecksPerRound = 50;    // if they are not too many.
constexpr Duration kMaxLogTimeGap = 30s;       // While requests are open, log time is written at least this often.

}  // namespace

LogRole::LogRole(CoreContext& context, const Membership& membership)
    : context_(context),
      membership_(membership),
      reader_(context, index_),
      writer_(context, index_, reader_),
      trimmer_(context, index_, reader_, writer_) {}

bool LogRole::IsActive() const {
  return context_.OwnerOf(kLogName) == context_.settings.name || context_.Now() < active_until_ || !writer_.idle();
}

void LogRole::OnAppend(const HostName& from, const LogAppend& append) {
  Activate();
  writer_.Append(from, append);
}

void LogRole::OnLookup(const HostName& from, const LogLookup& lookup) {
  context_.Pass(Step::kLogLookedUp);
  Activate();
  LookUp(LookupRequest{from, lookup});
}

// The index may lag behind the store, which other data centres write to as well. So an answer is read from its batch,
// and that there is none is told only when nothing stands at the log's end now.
void LogRole::LookUp(const LookupRequest& asked) {
  const auto answer = index_.AnswerSequence(asked.lookup.key);
  if (!answer) {
    lookups_awaiting_end_.push_back(asked);
    return;
  }
  answer_reads_[context_.ReadStore(LogKey(*answer))] = asked;
}

void LogRole::OnAnswerRead(const LookupRequest& asked, const StoreEvent& event) {
  LogFound found{asked.lookup.reference, asked.lookup.key, false, index_.Find(asked.lookup.key)};
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
  context_.Send(asked.from, found);
}

// One read serves all lookups that came before it.
void LogRole::ReadLogEnd() {
  if (lookups_awaiting_end_.empty() || end_read_call_ != 0 || context_.Now() < next_end_read_) {
    return;
  }
  if (!reader_.current()) {
    AnswerFromIndex(std::exchange(lookups_awaiting_end_, {}), false);
    return;
  }
  next_end_read_ = context_.Now() + context_.settings.log_window;
  end_read_sequence_ = reader_.next();
  lookups_in_end_read_ = std::exchange(lookups_awaiting_end_, {});
  end_read_call_ = context_.ReadStore(LogKey(end_read_sequence_));
}

void LogRole::OnLogEndRead(const StoreEvent& event) {
  end_read_call_ = 0;
  const std::vector<LookupRequest> asked = std::exchange(lookups_in_end_read_, {});
  if (event.delivery != Delivery::kAnswered) {
    AnswerFromIndex(asked, false);
  } else if (event.reply.status == StoreStatus::kAbsent) {
    AnswerFromIndex(asked, reader_.current());
  } else {
    reader_.ApplyAtEnd(end_read_sequence_, DecodeLogBatch(event.reply.value).value_or(LogBatch{}), TimePoint{});
    next_end_read_ = context_.Now();
    for (const LookupRequest& request : asked) {
      LookUp(request);
    }
  }
}

void LogRole::AnswerFromIndex(const std::vector<LookupRequest>& asked, bool current) {
  for (const LookupRequest& request : asked) {
    const RequestKey& key = request.lookup.key;
    if (index_.AnswerSequence(key)) {
      LookUp(request);  // It came meanwhile.
    } else {
      context_.Send(request.from, LogFound{request.lookup.reference, key, current, index_.Find(key)});
    }
  }
}

// A home host without a name, or one that is not live, means that nobody has the request.
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
    context_.Pass(Step::kLogTakenOver);
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

// A host that restarted or went has lost what it had in memory.
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

// Home hosts that went before this host had noted them.
void LogRole::RecheckUnknownHomes() {
  if (context_.Now() < next_unknown_home_check_) {
    return;
  }
  next_unknown_home_check_ = context_.Now() + kUnknownHomeCheckInterval;
  for (const auto& [key, open] : index_.open()) {
    if (!incarnations_.contains(open.current_home)) {
      index_.ClearConfirmation(key);
    }
  }
}

// Word that a home host gave a request up may be lost, so each is asked for again from time to time.
void LogRole::RecheckNextEntries() {
  const auto& open = index_.open();
  if (open.empty()) {
    return;
  }
  auto next = open.upper_bound(last_rechecked_);
  for (size_t count = std::min(kMaxRechecksPerRound, open.size() / kRoundsPerRecheckCycle + 1); count > 0;
       --count, ++next) {
    next = next == open.end() ? open.begin() : next;
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
    const HostName to =
        is_home_reachable ? open->current_home : context_.HomeOf(key);  // One that leaves may still be at work on it.
    if (to.empty() || ++sent > kMaxResumesPerRound) {
      return;
    }
    const Duration age = reader_.LogTime() - open->accepted.accepted_at;
    context_.Send(to, LogResume{open->accepted.request, age, open->accepted.started_by != 0});
  }
}

void LogRole::ScheduleTimeBatchIfDue() {
  const bool open = std::any_of(index_.open().begin(), index_.open().end(), [&](const auto& entry) {
    return entry.second.accepted.data_centre == context_.settings.data_centre;
  });
  if (open && reader_.LogTime() - index_.last_log_time() >= kMaxLogTimeGap) {
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
