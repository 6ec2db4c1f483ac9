// hibiscusd runs one host of the system. Settings come from flags and environment variables (FLAGS_<flag>).
#include <csignal>
#include <cstdio>
#include <random>
#include <string>
#include <thread>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <pthread.h>
#include <sys/stat.h>

#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "ports/log.h"

namespace {

// Runs on its own thread. The first signal begins a planned stop, the second stops immediately.
void WatchSignals(const sigset_t& signals, hibiscus::Daemon& daemon) {
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.Leave();
  sigwait(&signals, &signal);
  daemon.Stop();
}

void Reload(hibiscus::CellDaemon& daemon) {
  const auto settings = hibiscus::ReloadSettings();
  if (!settings) {
    daemon.LogEvent("daemon", fmt::format("event=reload_refused kept=old_settings reason=\"{}\"", settings.error()));
    return;
  }
  daemon.Reload(*settings);
}

constexpr timespec kFilePollInterval{1, 0};  // Detects changes of the settings file without a signal.

// Like WatchSignals; also reloads the settings file on SIGHUP or when the file changes.
void WatchSignalsAndFile(const sigset_t& signals, hibiscus::CellDaemon& daemon) {
  const std::string path = hibiscus::SettingsFilePath();
  const auto modified_at = [&] {
    struct stat status {};
    return stat(path.c_str(), &status) == 0 ? status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec : 0LL;
  };
  long long last_modified = modified_at();
  bool leaving = false;
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &kFilePollInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      leaving ? daemon.Stop() : daemon.Leave();
      leaving = true;
    } else if (const long long modified = modified_at(); signal == SIGHUP || modified != last_modified) {
      last_modified = modified;
      Reload(daemon);
    }
  }
}

uint64_t RandomIncarnation() {
  std::random_device device;
  return (uint64_t{device()} << 31) | device() | 1;
}

void RunCellDaemon(hibiscus::CellDaemonSettings settings, const sigset_t& signals) {
  settings.cell.incarnation = RandomIncarnation();
  hibiscus::CellDaemon daemon(settings);
  std::thread(WatchSignalsAndFile, signals, std::ref(daemon)).detach();
  daemon.Run();
  std::fflush(nullptr);
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
  if (settings->cell_mode) {
    sigaddset(&signals, SIGHUP);
  }
  std::signal(SIGPIPE, SIG_IGN);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    if (settings->cell_mode) {
      RunCellDaemon(settings->cell, signals);
      return 0;
    }
    hibiscus::Daemon daemon(settings->daemon);
    std::thread(WatchSignals, signals, std::ref(daemon)).detach();
    daemon.Run();
  } catch (const std::exception& error) {
    hibiscus::Log(hibiscus::LogLevel::kError, "daemon", error.what());
    return 1;
  }
  return 0;
}
