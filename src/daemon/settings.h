// The daemon's settings: flags and environment, every one checked before anything starts.
#ifndef HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
#define HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_

#include <string>

#include <tl/expected.hpp>

#include "daemon/daemon.h"

namespace hibiscus {

struct ReadSettingsResult {
  DaemonSettings daemon;
  bool check_only = false;
  bool help_only = false;
};

// What --help prints: every setting by group, with range, unit and default.
std::string SettingsHelp();

// Parses the command line and the environment. The error names the flag, its value, the range and the unit.
tl::expected<ReadSettingsResult, std::string> ReadSettings(int* argc, char*** argv);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
