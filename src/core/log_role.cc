#include "core/log_role.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hibiscus {

namespace {

constexpr Duration kResumeEvery = 1s;
constexpr size_t kMostResumes = 500;  // In one round.
constexpr Duration kFullCheckEvery = 10s;
constexpr size_t kRoundsPerDoubt = 15;  // Rounds in which each open request is asked for once,
constexpr size_t kMostDoubts = 50;      // if they are not too many.
constexpr Duration kTimeEvery = 30s;    // While requests are open, log time is written at least this often.

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
  LookUp(Asked{from, lookup});
}

// The index may lag behind the store, which other data centres write to as well. So an answer is read from its batch,
// and that there is none is told only when nothing stands at the log's end now.
void LogRole::LookUp(const Asked& asked) {
  const auto answer = index_.SequenceOfAnswer(asked.lookup.key);
  if (!answer) {
    at_end_.push_back(asked);
    return;
  }
  answer_reads_[context_.ReadStore(LogKey(*answer))] = asked;
}

void LogRole::OnAnswerRead(const Asked& asked, const StoreEvent& event) {
  LogFound found{asked.lookup.reference, asked.lookup.key, false, index_.Find(asked.lookup.key)};
  const bool there = event.delivery == Delivery::kAnswered && event.reply.status == StoreStatus::kOk;
  const auto batch = there ? DecodeLogBatch(event.reply.value) : LogBatch{};
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
void LogRole::ReadEnd() {
  if (at_end_.empty() || end_call_ != 0 || context_.Now() < next_end_read_) {
    return;
  }
  if (!reader_.current()) {
    AnswerAtEnd(std::exchange(at_end_, {}), false);
    return;
  }
  next_end_read_ = context_.Now() + context_.settings.log_window;
  end_sequence_ = reader_.next();
  end_asked_ = std::exchange(at_end_, {});
  end_call_ = context_.ReadStore(LogKey(end_sequence_));
}

void LogRole::OnEndRead(const StoreEvent& event) {
  end_call_ = 0;
  const std::vector<Asked> asked = std::exchange(end_asked_, {});
  if (event.delivery != Delivery::kAnswered) {
    AnswerAtEnd(asked, false);
  } else if (event.reply.status == StoreStatus::kAbsent) {
    AnswerAtEnd(asked, reader_.current());
  } else {
    reader_.Take(end_sequence_, DecodeLogBatch(event.reply.value).value_or(LogBatch{}), TimePoint{});
    next_end_read_ = context_.Now();
    for (const Asked& one : asked) {
      LookUp(one);
    }
  }
}

void LogRole::AnswerAtEnd(const std::vector<Asked>& asked, bool current) {
  for (const Asked& one : asked) {
    const RequestKey& key = one.lookup.key;
    if (index_.SequenceOfAnswer(key)) {
      LookUp(one);  // It came meanwhile.
    } else {
      context_.Send(one.from, LogFound{one.lookup.reference, key, current, index_.Find(key)});
    }
  }
}

// A home host without a name, or one that is not live, means that nobody has the request.
void LogRole::OnResumed(const LogResumed& resumed) {
  index_.Confirm(resumed.key, resumed.home);
  if (!context_.IsReachable(resumed.home)) {
    index_.Doubt(resumed.key);
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
    index_.DoubtAll();
    incarnations_.clear();
    was_active_ = true;
  }
  reader_.OnTick();
  writer_.OnTick();
  trimmer_.OnTick();
  ReadEnd();
  if (reader_.current() && context_.Now() >= next_resume_) {
    next_resume_ = context_.Now() + kResumeEvery;
    NoteRestarts();
    DoubtStrangers();
    DoubtNext();
    ResumeUnconfirmed();
    KeepTime();
  }
}

// A host that restarted or went has lost what it had in memory.
void LogRole::NoteRestarts() {
  std::vector<HostName> lost;
  for (const auto& [host, incarnation] : incarnations_) {
    const Heartbeat* now = context_.IsReachable(host) ? membership_.LoadOf(host) : nullptr;
    if (now == nullptr || (host != context_.settings.name && now->incarnation != incarnation)) {
      lost.push_back(host);
    }
  }
  for (const HostName& host : lost) {
    index_.DoubtAllOf(host);
    incarnations_.erase(host);
  }
  for (const HostName& host : context_.reachable) {
    if (const Heartbeat* now = membership_.LoadOf(host); now != nullptr) {
      incarnations_.try_emplace(host, now->incarnation);
    }
  }
}

// Home hosts that went before this host had noted them.
void LogRole::DoubtStrangers() {
  if (context_.Now() < next_full_check_) {
    return;
  }
  next_full_check_ = context_.Now() + kFullCheckEvery;
  for (const auto& [key, open] : index_.open()) {
    if (!incarnations_.contains(open.holder)) {
      index_.Doubt(key);
    }
  }
}

// Word that a home host gave a request up may be lost, so each is asked for again from time to time.
void LogRole::DoubtNext() {
  const auto& open = index_.open();
  if (open.empty()) {
    return;
  }
  auto next = open.upper_bound(last_doubted_);
  for (size_t count = std::min(kMostDoubts, open.size() / kRoundsPerDoubt + 1); count > 0; --count, ++next) {
    next = next == open.end() ? open.begin() : next;
    last_doubted_ = next->first;
    index_.Doubt(next->first);
  }
}

void LogRole::ResumeUnconfirmed() {
  size_t sent = 0;
  for (const RequestKey& key : index_.unconfirmed()) {
    const OpenEntry* open = index_.FindOpen(key);
    if (open->accepted.data_centre != context_.settings.data_centre) {
      continue;
    }
    const bool here = std::binary_search(context_.reachable.begin(), context_.reachable.end(), open->holder);
    const HostName to = here ? open->holder : context_.HomeOf(key);  // One that leaves may still be at work on it.
    if (to.empty() || ++sent > kMostResumes) {
      return;
    }
    const Duration age = reader_.LogNow() - open->accepted.accepted_at;
    context_.Send(to, LogResume{open->accepted.request, age, open->accepted.started_by != 0});
  }
}

void LogRole::KeepTime() {
  const bool open = std::any_of(index_.open().begin(), index_.open().end(), [&](const auto& entry) {
    return entry.second.accepted.data_centre == context_.settings.data_centre;
  });
  if (open && reader_.LogNow() - index_.last_time() >= kTimeEvery) {
    writer_.WriteTime();
  }
}

bool LogRole::OnStore(const StoreEvent& event) {
  if (const auto read = answer_reads_.extract(event.call); !read.empty()) {
    reader_.NoteStore(event.delivery);
    OnAnswerRead(read.mapped(), event);
    return true;
  }
  if (event.call != 0 && event.call == end_call_) {
    reader_.NoteStore(event.delivery);
    OnEndRead(event);
    return true;
  }
  return reader_.OnStore(event) || writer_.OnStore(event) || trimmer_.OnStore(event);
}

}  // namespace hibiscus
