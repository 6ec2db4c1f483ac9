#include "minion.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr size_t kMaxEnds = 500;  // In one answer.
constexpr int kMaxWaitMs = 2000;
constexpr int64_t kClockAtBirthMs = 1000;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Minion::Minion(const MinionSettings& settings, size_t hosts, Store& store, Record& record, Planner planner)
    : settings_(settings), store_(store), record_(record), planner_(std::move(planner)), cut_(hosts, false) {
  born_ = Clock::now();
  born_ms_ = UnixMs();
  for (size_t host = 0; host < hosts; ++host) {
    servers_.push_back(std::make_unique<HttpServer>(
        "127.0.0.1", 0, [this, host](const HttpRequest& request) { return Handle(host, request); }));
  }
  ticker_ = std::thread([this] { TickLoop(); });
}

Minion::~Minion() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  ended_.notify_all();
  ticker_.join();
  servers_.clear();
}

int64_t Minion::ClockMs() const {
  return kClockAtBirthMs + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - born_).count();
}

void Minion::SetCut(size_t host, bool cut) {
  const std::lock_guard lock(mutex_);
  cut_[host] = cut;
}

void Minion::SetCutFromStore(bool cut) {
  const std::lock_guard lock(mutex_);
  cut_from_store_ = cut;
}

void Minion::EndRuns(const std::string& how) {
  const std::lock_guard lock(mutex_);
  while (!runs_.empty()) {
    EndRun(runs_.begin()->first, how);
  }
}

size_t Minion::running() {
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

bool Minion::Runs(const std::string& task) {
  const std::lock_guard lock(mutex_);
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& run) { return run.first.first == task; });
}

void Minion::Crash() {
  {
    const std::lock_guard lock(mutex_);
    record_.Line("minion crashed: " + settings_.id + " runs=" + std::to_string(runs_.size()));
    for (const auto& [name, run] : runs_) {
      record_.Ended(run.index, "crashed");
    }
    runs_.clear();
    ends_.clear();
    highest_ended_.clear();
    up_ = false;
    ++life_;
  }
  ended_.notify_all();
  for (const auto& server : servers_) {
    server->SetDown(true);
  }
}

void Minion::Restart() {
  {
    const std::lock_guard lock(mutex_);
    record_.Line("minion started again: " + settings_.id);
    born_ = Clock::now();
    born_ms_ = UnixMs();
    token_ = 0;
    lease_until_ = 0;
    last_end_ = 0;
    sequence_ = 0;
    up_ = true;
  }
  for (const auto& server : servers_) {
    server->SetDown(false);
  }
  WriteEntry();
}

void Minion::WriteEntry() {
  Json entry;
  {
    const std::lock_guard lock(mutex_);
    if (!up_ || cut_from_store_) {
      return;
    }
    entry = Json{{"Service", settings_.service},
                 {"Address", address(0)},
                 {"Zone", settings_.zone},
                 {"Version", "v1"},
                 {"Slots", 8},
                 {"State", "ready"},
                 {"ColdLeftMs", 0},
                 {"Capacity", {{"Cpu", settings_.cpu_millis}, {"MemMb", settings_.memory_mb}, {"Gpu", 0}}},
                 {"Labels", {"a", settings_.rack}},
                 {"ClockMs", ClockMs()},
                 {"born", born_ms_},
                 {"Sequence", ++sequence_}};
  }
  store_.Put("servers/" + settings_.id, entry.dump());
}

void Minion::TickLoop() {
  auto next_heartbeat = Clock::now();
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
      EndDueRuns();
    }
    if (Clock::now() >= next_heartbeat) {
      next_heartbeat = Clock::now() + std::chrono::milliseconds(settings_.heartbeat_ms);
      WriteEntry();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void Minion::EndRun(const Name& name, const std::string& how) {
  const auto found = runs_.find(name);
  record_.Ended(found->second.index, how);
  ends_.push_back(End{++last_end_, name, how, found->second.index});
  int& highest = highest_ended_[name.first];
  highest = std::max(highest, name.second);
  runs_.erase(found);
  ended_.notify_all();
}

void Minion::EndDueRuns() {
  const int64_t now = ClockMs();
  std::vector<std::pair<Name, std::string>> due;
  for (const auto& [name, run] : runs_) {
    if (run.ends_at >= 0 && run.ends_at <= now) {
      due.emplace_back(name, run.how);
    } else if (now > lease_until_) {
      due.emplace_back(name, "lapsed");
    }
  }
  const bool lapses = lease_until_ > 0 && now > lease_until_;
  for (const auto& [name, how] : due) {
    EndRun(name, how);
  }
  if (lapses) {
    lease_until_ = 0;
    record_.LeaseLapsed(settings_.id);
  }
}

HttpResponse Minion::Handle(size_t host, const HttpRequest& request) {
  std::unique_lock lock(mutex_);
  if (!up_ || cut_[host]) {
    return HttpResponse{0, "", true};
  }
  const auto instance = request.headers.find("x-hibiscusstand-expect-instance");
  if (instance != request.headers.end() && instance->second != settings_.id) {
    return Answer(421, Json::object());
  }
  EndDueRuns();
  const int64_t life = life_;
  const Json body = Json::parse(request.body.empty() ? "{}" : request.body);
  HttpResponse response{404, "{}", false};
  if (request.path == "/run-start") {
    response = Start(body);
  } else if (request.path == "/run-stop") {
    response = Stop(body);
  } else if (request.path == "/hold") {
    response = Hold(body, lock);
  }
  response.silent = response.silent || life_ != life || cut_[host];
  return response;
}

HttpResponse Minion::Answer(int status, Json body) {
  body["ClockMs"] = ClockMs();
  return HttpResponse{status, body.dump(), false};
}

HttpResponse Minion::Refuse(const std::string& reason) {
  return Answer(409, Json{{"Reason", reason}});
}

bool Minion::IsFenced(const Json& body) {
  const auto token = body.value("FencingToken", int64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void Minion::ExtendLease(int64_t deadline) {
  lease_until_ = std::max(lease_until_, std::min(deadline, ClockMs() + settings_.max_hold_ms));
}

HttpResponse Minion::Start(const Json& body) {
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  const Name name(body.at("Task").get<std::string>(), body.at("Run").get<int>());
  const int64_t deadline = body.at("DeadlineMs").get<int64_t>();
  if (deadline < ClockMs()) {
    return Refuse("late");
  }
  ExtendLease(deadline);
  if (runs_.contains(name)) {
    return Answer(200, Json::object());
  }
  const auto highest = highest_ended_.find(name.first);
  if (highest != highest_ended_.end() && name.second <= highest->second) {
    return Refuse("old");
  }
  const RunPlan plan = planner_(name.first, name.second);
  Run run;
  run.index = record_.Started(name.first, name.second, settings_.id);
  run.started_at = ClockMs();
  run.lasts_ms = plan.lasts_ms;
  run.ends_at = plan.lasts_ms < 0 ? -1 : run.started_at + plan.lasts_ms;
  run.how = plan.how;
  runs_[name] = run;
  return Answer(200, Json::object());
}

HttpResponse Minion::Stop(const Json& body) {
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  const Name name(body.at("Task").get<std::string>(), body.at("Run").get<int>());
  const auto run = runs_.find(name);
  if (run != runs_.end()) {
    run->second.ends_at = ClockMs() + settings_.stop_ms;
    run->second.how = "stopped";
  } else {
    int& highest = highest_ended_[name.first];
    highest = std::max(highest, name.second);
  }
  return Answer(200, Json::object());
}

HttpResponse Minion::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  if (IsFenced(body)) {
    return Refuse("fence");
  }
  const auto seen = body.value("LastSeen", int64_t{0});
  for (const End& end : ends_) {
    if (end.number <= seen) {
      record_.Seen(end.index);
    }
  }
  std::erase_if(ends_, [&](const End& end) { return end.number <= seen; });
  ExtendLease(body.value("DeadlineMs", int64_t{0}));
  const auto until = Clock::now() + std::chrono::milliseconds(std::min(body.value("WaitMs", 0), kMaxWaitMs));
  const int64_t life = life_;
  while (ends_.empty() && !stopping_ && life_ == life && ended_.wait_until(lock, until) == std::cv_status::no_timeout) {
  }
  Json running = Json::array();
  for (const auto& [name, run] : runs_) {
    const int64_t percent = run.lasts_ms <= 0 ? 100 : 100 * (ClockMs() - run.started_at) / run.lasts_ms;
    running.push_back(Json::array({name.first, name.second, "", std::min<int64_t>(100, percent), 0}));
  }
  Json finished = Json::array();
  for (const End& end : ends_) {
    if (finished.size() < kMaxEnds) {
      finished.push_back(Json::array({end.number, end.name.first, end.name.second, end.how, ""}));
    }
  }
  return Answer(200, Json{{"Running", running}, {"Finished", finished}, {"born", born_ms_}});
}

}  // namespace review
