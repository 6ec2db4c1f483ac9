#include "core/log_role.h"

#include <algorithm>
#include <vector>

namespace hibiscus {

namespace {

constexpr Duration kResumeEvery = 1s;
constexpr size_t kMostResumes = 500;  // In one round.
constexpr Duration kFullCheckEvery = 10s;
constexpr Duration kTimeEvery = 30s;  // While requests are open, log time is written at least this often.

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
  Activate();
  LogFound answer{lookup.reference, lookup.key, reader_.current(), index_.Find(lookup.key)};
  const auto sequence = index_.SequenceOfAnswer(lookup.key);
  if (!sequence) {
    context_.Send(from, answer);
    return;
  }
  const CallId call = context_.NextId();
  answer_reads_[call] = AnswerRead{from, lookup};
  StoreCall get{StoreOp::kGet, LogKey(*sequence), {}, 0, 0us};
  context_.Act(SendStore{call, std::move(get), context_.settings.store_timeout});
}

void LogRole::OnAnswerRead(const AnswerRead& read, const StoreEvent& event) {
  LogFound answer{read.lookup.reference, read.lookup.key, false, {}};
  const bool there = event.delivery == Delivery::kAnswered && event.reply.status == StoreStatus::kOk;
  const auto batch = there ? DecodeLogBatch(event.reply.value) : LogBatch{};
  if (batch) {
    for (const LogRecord& record : batch->records) {
      if (record.key == read.lookup.key && record.kind == LogRecordKind::kDone) {
        answer.current = true;
        answer.found = LogEntry{LogEntry::State::kDone, {}, record.answer};
      }
    }
  }
  context_.Send(read.from, answer);
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
    reader_.Restart();
    index_.DoubtAll();
    incarnations_.clear();
    was_active_ = true;
  }
  reader_.OnTick();
  writer_.OnTick();
  trimmer_.OnTick();
  if (reader_.current() && context_.Now() >= next_resume_) {
    next_resume_ = context_.Now() + kResumeEvery;
    NoteRestarts();
    DoubtStrangers();
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

void LogRole::ResumeUnconfirmed() {
  size_t sent = 0;
  for (const RequestKey& key : index_.unconfirmed()) {
    const OpenEntry* open = index_.FindOpen(key);
    if (open->accepted.data_centre != context_.settings.data_centre) {
      continue;
    }
    const HostName to = context_.IsLive(open->holder) ? open->holder : context_.HomeOf(key);
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
  return reader_.OnStore(event) || writer_.OnStore(event) || trimmer_.OnStore(event);
}

}  // namespace hibiscus
