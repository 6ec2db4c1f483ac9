#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr char kProgram[] = "target/bin/hibiscusd";
constexpr char kTemplate[] = "deploy/settings.flags";
constexpr int64_t kMemoryMb = 260;
constexpr Millis kGrace(6000);
constexpr Millis kRestartDelay(500);
constexpr Millis kTickInterval(5);
constexpr Millis kWatchInterval(20);
constexpr Millis kStartLimit(15'000);
constexpr Millis kAttemptTimeout(3000);
constexpr char kService[] = "records";

std::filesystem::path MakeScratch() {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

void Replace(std::string& text, const std::string& from, const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Removes the sections of the template for values that this deployment lacks.
void RemoveSection(std::string& text, const std::string& name) {
  const size_t begin = text.find("{{#" + name + "}}");
  const std::string close = "{{/" + name + "}}";
  const size_t end = text.find(close);
  if (begin != std::string::npos && end != std::string::npos) {
    text.erase(begin, end + close.size() - begin);
  }
}

int64_t ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  int64_t all = 0;
  int64_t resident = 0;
  file >> all >> resident;
  constexpr int64_t kBytesPerMb = 1'048'576;
  return resident * sysconf(_SC_PAGESIZE) / kBytesPerMb;
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Deployment::Deployment(const std::string& folder, int daemons)
    : scratch_(MakeScratch()), record_(folder + "/record.txt") {
  std::mt19937_64 random(std::random_device{}());
  last_id_ = random();
  route_ = Route{"r-" + std::to_string(random() % 100'000), "q" + std::to_string(random() % 1000) + ".example",
                 "/p" + std::to_string(random() % 1000) + "/", 4};
  for (int i = 0; i < daemons; ++i) {
    DaemonProcess daemon;
    daemon.name = "front-" + std::to_string(i + 1);
    daemon.zone = i % 2 == 0 ? "zone-a" : "zone-b";
    daemon.ip = "127.0.41." + std::to_string(i + 1);
    daemon.front = daemon.ip + ":" + std::to_string(FreePort(daemon.ip));
    daemon.ready = daemon.ip + ":" + std::to_string(FreePort(daemon.ip));
    daemon.metrics = daemon.ip + ":" + std::to_string(FreePort(daemon.ip));
    daemon.settings_file = (scratch_ / (daemon.name + ".toml")).string();
    daemon.log_file = (scratch_ / (daemon.name + ".log")).string();
    daemons_.push_back(daemon);
  }
}

Deployment::~Deployment() {
  stopping_ = true;
  if (watcher_.joinable()) {
    watcher_.join();
    ticker_.join();
  }
  for (const DaemonProcess& daemon : daemons_) {
    if (daemon.pid > 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
  minions_.clear();
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(scratch_, ignored);
  } else {
    record_.Say("logs are in " + scratch_.string());
  }
}

Minion& Deployment::AddMinion(MinionSettings settings) {
  settings.id = "i-" + std::to_string(minions_.size() + 1);
  settings.ip = "127.0.42." + std::to_string(minions_.size() + 1);
  settings.service = kService;
  settings.zone = minions_.size() % 2 == 0 ? "zone-a" : "zone-b";
  minions_.push_back(std::make_unique<Minion>(settings, store_, record_));
  return *minions_.back();
}

bool Deployment::Start() {
  const Json route{
      {"Name", route_.name}, {"Host", route_.host},     {"Prefix", route_.prefix}, {"Service", kService},
      {"TimeoutMs", 3000},   {"TargetLatencyMs", 1000}, {"Priority", 1},           {"MaxAttempts", route_.max_attempts},
      {"Stretch", 3}};
  const Json service{{"Name", kService}, {"EnforcesCapacity", false}};
  store_.Put("op/config", Json{{"Version", 3},
                               {"Routes", Json::array({route})},
                               {"Services", Json::array({service})},
                               {"Limits", Json{{"MaxBodyBytes", 262'144}}}}
                              .dump());
  for (const auto& minion : minions_) {
    minion->Start();
  }
  ticker_ = std::thread([this] {
    while (!stopping_) {
      for (const auto& minion : minions_) {
        minion->Tick();
      }
      std::this_thread::sleep_for(kTickInterval);
    }
  });
  for (DaemonProcess& daemon : daemons_) {
    WriteSettings(daemon);
    StartDaemon(daemon);
  }
  watcher_ = std::thread([this] { Watch(); });
  const auto until = Clock::now() + kStartLimit;
  for (const DaemonProcess& daemon : daemons_) {
    while (!IsReady(daemon)) {
      if (Clock::now() > until) {
        record_.Say(daemon.name + " did not get ready");
        return false;
      }
      Wait(0.1);
    }
  }
  Wait(2);
  record_.Say("all daemons are ready");
  return true;
}

void Deployment::WriteSettings(const DaemonProcess& daemon) const {
  std::ifstream file(kTemplate);
  std::stringstream buffer;
  buffer << file.rdbuf();
  std::string text = buffer.str();
  const std::map<std::string, std::string> values{
      {"{{NodeName}}", daemon.name},
      {"{{Zone}}", daemon.zone},
      {"{{Listen.Front}}", daemon.front},
      {"{{Listen.Ready}}", daemon.ready},
      {"{{Ip}}:{{PortRange.0}}", daemon.ip + ":" + std::to_string(FreePort(daemon.ip))},
      {"{{Ip}}:{{PortRange.1}}", daemon.metrics},
      {"{{platform.Address}}", store_.address()},
      {"{{Advice}}", ""},
      {"{{Limits.CpuShare}}", "0.25"},
      {"{{Limits.Cores}}", "1"},
      {"{{Bounds.MaxHoldMs}}", "6000"},
      {"{{Bounds.GangTimeoutMs}}", "3000"},
      {"{{Bounds.status_s}}", "120"},
      {"{{platform.MinTtlMs}}", "1000"},
      {"{{Bounds.GraceS}}", "6"},
      {"{{Bounds.ConfigApplyMs}}", "2500"}};
  for (const auto& [placeholder, value] : values) {
    Replace(text, placeholder, value);
  }
  RemoveSection(text, "Bounds.RevokeStrict");
  std::ofstream(daemon.settings_file) << text;
}

void Deployment::StartDaemon(DaemonProcess& daemon) {
  const std::string flag = "--flagfile=" + daemon.settings_file;
  const int log = open(daemon.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(kProgram, kProgram, flag.c_str(), nullptr);
    _exit(127);
  }
  close(log);
  daemon.pid = pid;
  daemon.killed_at.reset();
  record_.Write("platform starts " + daemon.name);
}

bool Deployment::IsReady(const DaemonProcess& daemon) {
  return Send(daemon.ready, "GET", "/readiness", {{"Host", daemon.ready}}, "", Millis(500)).status == 200;
}

bool Deployment::AllReady() {
  return std::all_of(daemons_.begin(), daemons_.end(), &Deployment::IsReady);
}

void Deployment::Watch() {
  while (!stopping_) {
    std::this_thread::sleep_for(kWatchInterval);
    const std::lock_guard lock(daemons_mutex_);
    for (DaemonProcess& daemon : daemons_) {
      if (daemon.pid <= 0) {
        if (Clock::now() - daemon.ended_at > kRestartDelay && !stopping_) {
          StartDaemon(daemon);
        }
        continue;
      }
      const int64_t resident = ResidentMb(daemon.pid);
      daemon.peak_mb = std::max(daemon.peak_mb, resident);
      if (resident > kMemoryMb) {
        record_.Write("platform kills " + daemon.name + ": " + std::to_string(resident) + " MB of " +
                      std::to_string(kMemoryMb));
        kill(daemon.pid, SIGKILL);
      }
      if (daemon.killed_at && Clock::now() > *daemon.killed_at) {
        kill(daemon.pid, SIGKILL);
      }
      int status = 0;
      if (waitpid(daemon.pid, &status, resident > kMemoryMb ? 0 : WNOHANG) == daemon.pid) {
        record_.Write(daemon.name + " has ended, status " + std::to_string(status));
        daemon.pid = -1;
        daemon.ended_at = Clock::now();
        ++daemon.ends;
      }
    }
  }
}

std::string Deployment::OwnerName() {
  for (const DaemonProcess& daemon : daemons_) {
    const std::string page = Send(daemon.metrics, "GET", "/metrics", {{"Host", daemon.metrics}}, "", Millis(500)).body;
    if (page.find("hibiscus_is_owner 1") != std::string::npos) {
      return daemon.name;
    }
  }
  return "";
}

void Deployment::StopPlanned(const std::string& name) {
  const std::lock_guard lock(daemons_mutex_);
  for (DaemonProcess& daemon : daemons_) {
    if (daemon.name == name && daemon.pid > 0) {
      record_.Write("platform sends SIGTERM to " + name);
      daemon.killed_at = Clock::now() + kGrace;
      kill(daemon.pid, SIGTERM);
    }
  }
}

Attempt Deployment::Call(const std::string& method, const std::string& path, const std::string& body, Millis timeout) {
  const DaemonProcess& daemon = daemons_[next_daemon_++ % daemons_.size()];
  Attempt attempt;
  attempt.sent_s = record_.Seconds();
  const HttpResponse response =
      Send(daemon.front, method, path,
           {{"Host", route_.host}, {"X-Hibiscusstand-Deadline-Ms", std::to_string(timeout.count())}}, body, timeout);
  attempt.status = response.status;
  attempt.body = response.body;
  attempt.answered_s = record_.Seconds();
  record_.Write("client " + method + " " + path + " at " + daemon.name + " -> " +
                (attempt.status == 0 ? "no answer" : std::to_string(attempt.status) + " " + attempt.body));
  return attempt;
}

int Deployment::Submit(const std::string& id, const Json& job, Millis patience) {
  const auto until = Clock::now() + patience;
  const std::string body = job.dump();
  int status = 0;
  do {
    status = Call("POST", route_.prefix + id, body, kAttemptTimeout).status;
    if (status != 0 && status != 429 && status != 502 && status != 503 && status != 504) {
      break;
    }
    Wait(0.2);
  } while (Clock::now() < until);
  return status;
}

std::string Deployment::StateOf(const std::string& id, Millis patience) {
  const auto until = Clock::now() + patience;
  do {
    const Attempt attempt = Call("GET", route_.prefix + id, "", kAttemptTimeout);
    if (attempt.status == 200) {
      const Json body = Json::parse(attempt.body, nullptr, false);
      return body.is_object() ? body.value("State", std::string()) : std::string();
    }
    if (attempt.status == 410) {
      return "410";
    }
    Wait(0.2);
  } while (Clock::now() < until);
  return "";
}

std::string Deployment::NewId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(last_id_ += 0x9e3779b97f4a7c15ULL));
  return text;
}

std::vector<WorkingRun> Deployment::Working() {
  std::vector<WorkingRun> all;
  for (const auto& minion : minions_) {
    const std::vector<WorkingRun> working = minion->Working();
    all.insert(all.end(), working.begin(), working.end());
  }
  return all;
}

void Deployment::Wait(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

}  // namespace review
