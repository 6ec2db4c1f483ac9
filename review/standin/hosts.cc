#include "hosts.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

namespace {

constexpr char kTemplate[] = "deploy/settings.flags";
constexpr char kProgram[] = "target/bin/hibiscusd";  // As in deploy/system.toml.

}  // namespace

HostProcess::HostProcess(const HostSettings& settings) : settings_(settings) {
  const std::vector<uint16_t> ports = FreePorts(settings.ip, 4);
  front_port_ = ports[0];
  ready_port_ = ports[1];
  peer_port_ = ports[2];
  metrics_port_ = ports[3];
}

HostProcess::~HostProcess() {
  Kill();
}

// Fills in the template as the platform does; a section is dropped, as its value is missing in these deployments.
std::string HostProcess::FillTemplate() const {
  std::ifstream file(kTemplate);
  std::stringstream text;
  text << file.rdbuf();
  std::map<std::string, std::string> fields = settings_.fields;
  fields["NodeName"] = settings_.name;
  fields["Zone"] = settings_.zone;
  fields["Ip"] = settings_.ip;
  fields["Listen.Front"] = front();
  fields["Listen.Ready"] = ready();
  fields["PortRange.0"] = std::to_string(peer_port_);
  fields["PortRange.1"] = std::to_string(metrics_port_);
  fields["platform.Address"] = settings_.store;
  fields["Advice"] = settings_.advice;
  std::string filled = std::regex_replace(text.str(), std::regex("\\{\\{#[^}]*\\}\\}.*\\{\\{/[^}]*\\}\\}"), "");
  for (const auto& [name, value] : fields) {
    const std::string placeholder = "{{" + name + "}}";
    for (size_t at = 0; (at = filled.find(placeholder)) != std::string::npos;) {
      filled.replace(at, placeholder.size(), value);
    }
  }
  return filled;
}

void HostProcess::Start() {
  const std::string flags = settings_.directory + "/" + settings_.name + ".flags";
  std::ofstream(flags) << FillTemplate();
  const std::string argument = "--flagfile=" + flags;
  const std::string log = settings_.directory + "/" + settings_.name + ".log";
  const int output = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case, however that ends.
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(kProgram, kProgram, argument.c_str(), nullptr);
    _exit(127);
  }
  close(output);
}

void HostProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

void HostProcess::Terminate() {
  if (pid_ > 0) {
    kill(pid_, SIGTERM);
  }
}

bool HostProcess::running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

bool HostProcess::WaitForEnd(int timeout_ms) {
  for (int waited = 0; running() && waited < timeout_ms; waited += 10) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return !running();
}

}  // namespace review
