// hibiscusd: one host of the system. Settings come from flags and from the environment (FLAGS_<flag>).
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <pthread.h>

#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "ports/log.h"

namespace {

// Waits for signals on a thread of its own: the first asks for a planned stop, the second ends at once.
void WatchSignals(const sigset_t& signals, hibiscus::Daemon& daemon) {
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.Leave();
  sigwait(&signals, &signal);
  daemon.Stop();
}

}  // namespace

int main(int argc, char** argv) {
  const auto settings = hibiscus::ReadSettings(&argc, &argv);
  if (!settings) {
    fmt::print(stderr, "settings: {}\n", settings.error());
    return 2;
  }
  if (settings->help_only) {
    fmt::print("{}", hibiscus::SettingsHelp());
    return 0;
  }
  if (settings->check_only) {
    fmt::print("settings are valid\n");
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    hibiscus::Daemon daemon(settings->daemon);
    std::thread(WatchSignals, signals, std::ref(daemon)).detach();
    daemon.Run();
  } catch (const std::exception& error) {
    hibiscus::Log(hibiscus::LogLevel::kError, "daemon", error.what());
    return 1;
  }
  return 0;
}
