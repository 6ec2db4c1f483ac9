#include "standins/fakes.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "core/take_if.h"

namespace hibiscus {

namespace {

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::string ExpectedBody(const TaskId& task) {
  return fmt::format("<{}>", task.ToString());
}

// --- RunLog ----------------------------------------------------------------------------------------------------------

void RunLog::Started(const RunId& run, const std::string& where, bool may_overlap) {
  ++starts_;
  ++starts_of_[run.task];
  std::set<std::string>& places = running_[run.task];
  places.insert(where);
  if (places.size() > 1 && !may_overlap) {
    Broken(fmt::format("{} runs in {} places", run.ToString(), places.size()));
  }
}

void RunLog::Ended(const RunId& run, const std::string& where) {
  running_[run.task].erase(where);
}

int RunLog::StartsOf(const TaskId& task) const {
  const auto starts = starts_of_.find(task);
  return starts == starts_of_.end() ? 0 : starts->second;
}

// --- FakeStore -------------------------------------------------------------------------------------------------------

void FakeStore::Handle(const StoreCall& call, Reply reply) {
  ++calls_;
  switch (call.op) {
    case StoreOp::kGet:
      reply(Read(call.key));
      return;
    case StoreOp::kWatch: {
      const StoreReply current = Read(call.key);
      if (current.revision != call.expected) {
        reply(current);
      } else {
        watches_.push_back(Watch{call, std::move(reply), clock_.Now() + call.wait});
      }
      return;
    }
    case StoreOp::kPut:
      ++writes_;
      reply(Write(call));
      AnswerWatches(call.key);
      return;
    case StoreOp::kDelete:
      ++writes_;
      records_.erase(call.key);
      reply(StoreReply{});
      return;
  }
}

void FakeStore::Tick() {
  for (const Watch& watch : TakeIf(watches_, [&](const Watch& each) { return clock_.Now() >= each.until; })) {
    watch.reply(Read(watch.call.key));
  }
}

StoreReply FakeStore::Read(const std::string& key) const {
  const auto record = records_.find(key);
  if (record == records_.end()) {
    return StoreReply{StoreStatus::kAbsent, {}, 0};
  }
  return StoreReply{StoreStatus::kOk, record->second.value, record->second.revision};
}

StoreReply FakeStore::Write(const StoreCall& call) {
  const StoreReply current = Read(call.key);
  if (current.revision != call.expected) {
    return StoreReply{StoreStatus::kConflict, current.value, current.revision};
  }
  records_[call.key] = Record{call.value, next_revision_};
  return StoreReply{StoreStatus::kOk, {}, next_revision_++};
}

void FakeStore::AnswerWatches(const std::string& key) {
  const StoreReply current = Read(key);
  const auto changed = [&](const Watch& watch) {
    return watch.call.key == key && watch.call.expected != current.revision;
  };
  for (const Watch& watch : TakeIf(watches_, changed)) {
    watch.reply(current);
  }
}

// --- FakeWorker ------------------------------------------------------------------------------------------------------

void FakeWorker::Handle(const WorkerCall& call, const Reply& reply) {
  StopExpiredRuns();
  if (call.op == WorkerOp::kAcquire) {
    Acquire(call, reply);
    return;
  }
  WorkerReply answer;
  answer.token = token_;
  const bool lapsed = clock_.Now() >= lease_until_;
  if (call.token != token_ || lapsed) {
    answer.status = WorkerStatus::kStaleToken;
  } else if (call.op == WorkerOp::kStart) {
    answer.status = Start(call);
  } else if (call.op == WorkerOp::kStop) {
    answer.status = Stop(call);
  } else {
    holder_.clear();
    lease_until_ = clock_.Now();
  }
  reply(answer);
}

void FakeWorker::Acquire(const WorkerCall& call, const Reply& reply) {
  const bool lapsed = clock_.Now() >= lease_until_;
  if (!lapsed && holder_ != call.holder) {
    reply(WorkerReply{WorkerStatus::kHeldByOther, 0, {}, false, {}});
    return;
  }
  if (call.token != 0 && (call.token != token_ || lapsed)) {
    reply(WorkerReply{WorkerStatus::kStaleToken, 0, {}, false, {}});
    return;
  }
  holder_ = call.holder;
  lease_until_ = clock_.Now() + call.ttl;
  if (call.token != 0) {
    runs_until_ = clock_.Now() + call.run_ttl;
  }
  for (const RunId& run : call.acks) {
    runs_.erase(run);
  }
  if (call.token == 0) {
    ++token_;
    WorkerReply answer{WorkerStatus::kOk, token_, capacity_, true, {}};
    for (auto& [id, run] : runs_) {
      run.reported = run.task.state != RunState::kRunning;
      answer.tasks.push_back(run.task);
    }
    reply(answer);
    return;
  }
  renewals_.push_back(Renewal{call, reply, clock_.Now() + call.wait});
  AnswerRenewals();
}

WorkerStatus FakeWorker::Start(const WorkerCall& call) {
  const RunId& run = call.task.run;
  const bool is_duplicate = std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return entry.first == run || (entry.first.task == run.task && entry.second.task.state == RunState::kRunning);
  });
  if (is_duplicate) {
    return WorkerStatus::kDuplicate;
  }
  if (!(used_ + call.task.size).FitsIn(capacity_)) {
    log_.Broken(fmt::format("{} was asked to start {} beyond its capacity", name_, run.ToString()));
    return WorkerStatus::kInsufficientCapacity;
  }
  runs_until_ = std::max(runs_until_, clock_.Now() + call.run_ttl);
  used_ += call.task.size;
  runs_[run] = Run{call.task, clock_.Now() + Scaled(call.run_time, slowness_), false};
  log_.Started(run, name_, false);
  return WorkerStatus::kOk;
}

WorkerStatus FakeWorker::Stop(const WorkerCall& call) {
  const auto run = runs_.find(call.task.run);
  if (run == runs_.end()) {
    return WorkerStatus::kNoSuchRun;
  }
  if (run->second.task.state == RunState::kRunning) {
    EndRun(run->second, RunState::kFailed);
  }
  runs_.erase(run);
  return WorkerStatus::kOk;
}

void FakeWorker::Tick() {
  StopExpiredRuns();
  for (auto& [id, run] : runs_) {
    if (run.task.state == RunState::kRunning && clock_.Now() >= run.ends_at) {
      const bool fails = Fails(id.task);
      run.task.body = fails ? std::string("failed") : ExpectedBody(id.task);
      EndRun(run, fails ? RunState::kFailed : RunState::kDone);
    }
  }
  AnswerRenewals();
}

bool FakeWorker::Fails(const TaskId& task) const {
  return fails_everything_ || (!poison_.empty() && task.key.id.starts_with(poison_));
}

void FakeWorker::Restart() {
  for (auto& [id, run] : runs_) {
    if (run.task.state == RunState::kRunning) {
      EndRun(run, RunState::kFailed);
    }
  }
  runs_.clear();
  renewals_.clear();
  holder_.clear();
  lease_until_ = clock_.Now();
}

size_t FakeWorker::running() const {
  return static_cast<size_t>(std::count_if(
      runs_.begin(), runs_.end(), [](const auto& entry) { return entry.second.task.state == RunState::kRunning; }));
}

// Ends all running tasks as failed once their lease has expired. Called before anything else is handled.
void FakeWorker::StopExpiredRuns() {
  if (clock_.Now() < runs_until_) {
    return;
  }
  for (auto& [id, run] : runs_) {
    if (run.task.state == RunState::kRunning) {
      EndRun(run, RunState::kFailed);
    }
  }
}

void FakeWorker::EndRun(Run& run, RunState state) {
  run.task.state = state;
  used_ -= run.task.size;
  log_.Ended(run.task.run, name_);
}

void FakeWorker::AnswerRenewals() {
  const bool has_unreported_ends = HasUnreportedEnds();
  const auto is_due = [&](const Renewal& renewal) { return has_unreported_ends || clock_.Now() >= renewal.until; };
  for (const Renewal& renewal : TakeIf(renewals_, is_due)) {
    const bool stale = renewal.call.token != token_;
    renewal.reply(stale ? WorkerReply{WorkerStatus::kStaleToken, 0, {}, false, {}} : EndedRuns());
  }
}

bool FakeWorker::HasUnreportedEnds() const {
  return std::any_of(runs_.begin(), runs_.end(), [](const auto& entry) {
    return entry.second.task.state != RunState::kRunning && !entry.second.reported;
  });
}

WorkerReply FakeWorker::EndedRuns() {
  WorkerReply answer{WorkerStatus::kOk, token_, capacity_, false, {}};
  for (auto& [id, run] : runs_) {
    if (run.task.state != RunState::kRunning) {
      run.reported = true;
      answer.tasks.push_back(run.task);
    }
  }
  return answer;
}

// --- FakeServer ------------------------------------------------------------------------------------------------------

void FakeServer::Handle(const ServerCall& call, const Reply& reply) {
  if (call.op == ServerOp::kProbe) {
    reply(ServerReply{ServerStatus::kOk, leaving_, slots_, {}});
    return;
  }
  if (leaving_ || static_cast<int>(calls_.size()) >= slots_) {
    reply(ServerReply{ServerStatus::kRefused, leaving_, slots_, {}});
    return;
  }
  log_.Started(call.run, name_, true);
  calls_.push_back(Execution{call, reply, clock_.Now() + Scaled(service_time_, slowness_)});
}

void FakeServer::Tick() {
  const auto is_due = [&](const Execution& execution) { return clock_.Now() >= execution.ends_at; };
  for (const Execution& execution : TakeIf(calls_, is_due)) {
    log_.Ended(execution.call.run, name_);
    execution.reply(ServerReply{ServerStatus::kOk, leaving_, slots_, ExpectedBody(execution.call.run.task)});
  }
}

}  // namespace hibiscus
