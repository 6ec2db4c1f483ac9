#include "minion.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr Millis kSilence(5000);
constexpr Millis kFailingWork(100);  // After which a task that fails ends.

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

int64_t NumberIn(const std::string& text, const std::string& name, int64_t otherwise) {
  const size_t at = text.find(name + "=");
  return at == std::string::npos ? otherwise : std::atoll(text.c_str() + at + name.size() + 1);
}

// ID.K.STEP
std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int PercentOf(Clock::duration worked, Millis work) {
  const auto percent = 100 * std::chrono::duration_cast<Millis>(worked).count() / std::max<int64_t>(1, work.count());
  return static_cast<int>(std::min<int64_t>(100, percent));
}

}  // namespace

Minion::Minion(MinionSettings settings, Store& store, Record& record)
    : settings_(std::move(settings)), store_(store), record_(record) {}

Minion::~Minion() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    ended_.notify_all();
  }
  if (listener_ != nullptr) {
    listener_->Stop();
  }
}

void Minion::BeginLife() {
  const std::lock_guard lock(mutex_);
  born_ms_ = std::max(UnixMs(), born_ms_ + 1);
  began_ = Clock::now();
  token_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  runs_.clear();
  over_.clear();
  ends_.clear();
  running_ = true;
  ended_.notify_all();
  record_.Write("minion " + settings_.id + " begins a life, born " + std::to_string(born_ms_));
}

void Minion::Start() {
  BeginLife();
  listener_ = std::make_unique<HttpListener>([this](const HttpRequest& request) { return Serve(request); });
  port_ = listener_->Start(settings_.ip, port_);
  WriteEntry();
}

void Minion::EndLife() {
  const std::lock_guard lock(mutex_);
  running_ = false;
  for (const auto& [task, run] : runs_) {
    ++ended_jobs_[JobOf(task)].lost;
    record_.Write("minion " + settings_.id + " crashes with " + task + " run " + std::to_string(run.number));
  }
  runs_.clear();
  ended_.notify_all();
  record_.Write("minion " + settings_.id + " crashes");
}

void Minion::Restart(Millis down, Millis entry_after) {
  EndLife();
  listener_->ResetConnections();
  std::this_thread::sleep_for(down);
  BeginLife();
  std::this_thread::sleep_for(entry_after);
  WriteEntry();
}

void Minion::SetLate(const std::string& job, Millis late) {
  const std::lock_guard lock(mutex_);
  late_jobs_[job] = late;
}

void Minion::SetFailsStarts(bool fails) {
  const std::lock_guard lock(mutex_);
  fails_starts_ = fails;
  record_.Write("minion " + settings_.id + (fails ? " fails all that it starts" : " is sound again"));
}

void Minion::WriteEntry() {
  const Json entry{{"Service", settings_.service},
                   {"Address", settings_.ip + ":" + std::to_string(port_)},
                   {"Zone", settings_.zone},
                   {"Version", "1"},
                   {"Slots", 8},
                   {"State", "ready"},
                   {"ColdLeftMs", 0},
                   {"Sequence", 1},
                   {"Capacity", Json{{"Cpu", settings_.cpu}, {"MemMb", settings_.memory_mb}, {"Gpu", settings_.gpu}}},
                   {"Labels", settings_.labels},
                   {"Machine", "m-" + settings_.id},
                   {"born", born_ms_}};
  store_.Put("servers/" + settings_.id, entry.dump());
}

std::vector<WorkingRun> Minion::Working() {
  const std::lock_guard lock(mutex_);
  std::vector<WorkingRun> working;
  for (const auto& [task, run] : runs_) {
    working.push_back(WorkingRun{settings_.id, task, run.number, run.since});
  }
  return working;
}

EndedCounts Minion::EndsOf(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return ended_jobs_[job];
}

int Minion::StartsOf(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return started_jobs_[job];
}

void Minion::Tick() {
  const std::lock_guard lock(mutex_);
  if (!running_) {
    return;
  }
  const auto now = Clock::now();
  CarryOutLateStarts();
  const bool lapsed = ClockMs() > lease_until_ms_;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (lapsed) {
      over.emplace_back(task, "lapsed");
    } else if (run.stops_at && now >= *run.stops_at) {
      over.emplace_back(task, "stopped");
    } else if (const auto since = WorksSince(task, run); !since) {
      if (now - run.since > settings_.gang_timeout) {
        over.emplace_back(task, "alone");
      }
    } else if (now - *since >= run.work) {
      over.emplace_back(task, run.fails ? "failed" : "done");
    }
  }
  for (const auto& [task, how] : over) {
    if (runs_.contains(task)) {
      EndGang(task, how);
    }
  }
}

void Minion::CarryOutLateStarts() {
  const auto now = Clock::now();
  const auto first_due =
      std::partition(late_starts_.begin(), late_starts_.end(), [&](const LateStart& late) { return late.due > now; });
  const std::vector<LateStart> due(first_due, late_starts_.end());
  late_starts_.erase(first_due, late_starts_.end());
  for (const LateStart& late : due) {
    const HttpResponse response = StartRun(late.body);
    record_.Write("minion " + settings_.id + " carries out the late start of " + late.body.value("Task", "") + ": " +
                  std::to_string(response.status) + " " + response.body);
  }
}

HttpResponse Minion::Serve(const HttpRequest& request) {
  std::this_thread::sleep_for(settings_.one_way);
  HttpResponse response = Handle(request);
  std::this_thread::sleep_for(settings_.one_way);
  return response;
}

HttpResponse Minion::Handle(const HttpRequest& request) {
  std::unique_lock lock(mutex_);
  ++orders_;
  // Calls on connections that were made while it was down wait for the next life.
  while (!running_ && !stopping_) {
    ended_.wait(lock);
  }
  if (!running_) {
    return HttpResponse{};
  }
  const auto expected = request.headers.find("x-hibiscusstand-expect-instance");
  if (expected != request.headers.end() && expected->second != settings_.id) {
    return HttpResponse{421, "{}"};
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return HttpResponse{400, "{}"};
  }
  if (request.path == "/run-start") {
    if (IsLate(body)) {
      return LeaveUnanswered(body, lock);
    }
    return StartRun(body);
  }
  if (request.path == "/run-stop") {
    return StopRun(body);
  }
  return request.path == "/hold" ? Hold(body, lock) : HttpResponse{404, "{}"};
}

bool Minion::IsLate(const Json& body) {
  const std::string task = body.value("Task", "");
  return ++received_[task] == 1 && late_jobs_.contains(JobOf(task));
}

HttpResponse Minion::LeaveUnanswered(const Json& body, std::unique_lock<std::mutex>& lock) {
  const std::string task = body.at("Task");
  const auto now = Clock::now();
  ++late_orders_;
  record_.Write("minion " + settings_.id + " leaves the start of " + task + " unanswered");
  late_starts_.push_back(LateStart{now + late_jobs_.at(JobOf(task)), body});
  const int64_t life = born_ms_;
  while (running_ && life == born_ms_ && Clock::now() < now + kSilence) {
    ended_.wait_until(lock, now + kSilence);
  }
  return HttpResponse{};
}

Minion::Json Minion::Stamped(Json body) const {
  body["ClockMs"] = ClockMs();
  body["born"] = born_ms_;
  return body;
}

bool Minion::IsFenced(const Json& body) {
  const uint64_t token = body.value("FencingToken", uint64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

int64_t Minion::ClockMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - began_).count();
}

void Minion::ExtendLease(int64_t deadline_ms) {
  lease_until_ms_ = std::max(lease_until_ms_, std::min(deadline_ms, ClockMs() + settings_.max_hold.count()));
}

HttpResponse Minion::StartRun(const Json& body) {
  const auto refuse = [this](const char* reason) {
    return HttpResponse{409, Stamped(Json{{"Reason", reason}}).dump()};
  };
  const std::string task = body.at("Task");
  const int run = body.at("Run");
  if (IsFenced(body)) {
    return refuse("fence");
  }
  const int64_t deadline = body.at("DeadlineMs");
  if (ClockMs() > deadline) {
    return refuse("late");
  }
  ExtendLease(deadline);
  const auto there = runs_.find(task);
  Json answer{{"ClockMs", ClockMs()}};
  if (settings_.born_in_start_answers) {
    answer = Stamped(Json::object());
  }
  if (there != runs_.end() && there->second.number == run) {
    return HttpResponse{200, answer.dump()};
  }
  const auto over = over_.find(task);
  if (there != runs_.end() || (over != over_.end() && run <= over->second)) {
    return refuse("old");
  }
  const std::string text = body.at("TaskSpec");
  const Millis work = fails_starts_ ? kFailingWork : Millis(NumberIn(text, "work_ms", 500));
  runs_[task] = Run{run, Clock::now(), work, static_cast<int>(NumberIn(text, "gang", 1)), fails_starts_, std::nullopt};
  ++started_jobs_[JobOf(task)];
  record_.Write("minion " + settings_.id + " starts " + task + " run " + std::to_string(run));
  return HttpResponse{200, answer.dump()};
}

HttpResponse Minion::StopRun(const Json& body) {
  const std::string task = body.at("Task");
  const int run = body.at("Run");
  if (IsFenced(body)) {
    return HttpResponse{409, Stamped(Json{{"Reason", "fence"}}).dump()};
  }
  record_.Write("minion " + settings_.id + " is told to stop " + task + " run " + std::to_string(run));
  const auto there = runs_.find(task);
  if (there != runs_.end() && there->second.number == run) {
    there->second.stops_at = there->second.stops_at.value_or(Clock::now() + settings_.stop_time);
  } else {
    over_[task] = std::max(over_[task], run);
  }
  return HttpResponse{200, Stamped(Json::object()).dump()};
}

HttpResponse Minion::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  if (IsFenced(body)) {
    return HttpResponse{409, Stamped(Json{{"Reason", "fence"}}).dump()};
  }
  const int64_t seen = body.value("LastSeen", int64_t{0});
  while (!ends_.empty() && ends_.front().number <= seen) {
    ends_.pop_front();
  }
  if (body.contains("DeadlineMs")) {
    ExtendLease(body.at("DeadlineMs"));
  }
  const auto until = Clock::now() + Millis(std::min<int64_t>(2000, body.value("WaitMs", int64_t{0})));
  const int64_t life = born_ms_;
  while (ends_.empty() && running_ && Clock::now() < until) {
    ended_.wait_until(lock, until);
  }
  if (!running_ || life != born_ms_) {
    return HttpResponse{};
  }
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    const auto since = WorksSince(task, run);
    const int percent = run.fails || !since ? 0 : PercentOf(Clock::now() - *since, run.work);
    running.push_back(Json::array({task, run.number, "", percent, 0}));
  }
  Json finished = Json::array();
  for (const End& end : ends_) {
    if (finished.size() < 500) {
      finished.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
    }
  }
  return HttpResponse{200, Stamped(Json{{"Running", running}, {"Finished", finished}}).dump()};
}

std::vector<std::string> Minion::MembersHere(const std::string& task) const {
  std::vector<std::string> members;
  for (const auto& [other, run] : runs_) {
    if (StepOf(other) == StepOf(task) && run.number == runs_.at(task).number) {
      members.push_back(other);
    }
  }
  return members;
}

std::optional<Clock::time_point> Minion::WorksSince(const std::string& task, const Run& run) const {
  if (run.members == 1) {
    return run.since;
  }
  const std::vector<std::string> members = MembersHere(task);
  if (static_cast<int>(members.size()) < run.members) {
    return std::nullopt;
  }
  Clock::time_point last = run.since;
  for (const std::string& member : members) {
    last = std::max(last, runs_.at(member).since);
  }
  return last;
}

// The members of a gang are done together, and end with the first that ends in another way.
void Minion::EndGang(const std::string& task, const std::string& how) {
  const std::vector<std::string> members =
      runs_.at(task).members > 1 && how != "alone" ? MembersHere(task) : std::vector<std::string>{task};
  for (const std::string& member : members) {
    EndRun(member, member == task || how == "done" ? how : "broken");
  }
}

void Minion::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  const int run = found->second.number;
  runs_.erase(found);
  over_[task] = std::max(over_[task], run);
  ends_.push_back(End{++last_end_, task, run, how});
  EndedCounts& counts = ended_jobs_[JobOf(task)];
  counts.done += how == "done" ? 1 : 0;
  counts.failed += how == "failed" ? 1 : 0;
  counts.stopped += how == "stopped" ? 1 : 0;
  counts.lapsed += how == "lapsed" ? 1 : 0;
  record_.Write("minion " + settings_.id + " ends " + task + " run " + std::to_string(run) + " " + how);
  ended_.notify_all();
}

}  // namespace review
