// The daemon's settings: flags and environment, every one checked before anything starts.
#ifndef HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
#define HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_

#include <string>

#include <tl/expected.hpp>

#include "daemon/cell_daemon.h"
#include "daemon/daemon.h"

namespace hibiscus {

struct ParsedSettings {
  DaemonSettings daemon;
  CellDaemonSettings cell;  // Used in --mode=cell.
  bool cell_mode = false;   // --mode=cell.
  bool check_only = false;
  bool help_only = false;
};

// What --help prints: every setting by group, with range, unit and default.
std::string SettingsHelp();

// Parses the command line and the environment. The error names the flag, its value, the range and the unit.
tl::expected<ParsedSettings, std::string> ReadSettings(int* argc, char*** argv);

// Reads the settings file once more. After an error the settings are as they were.
tl::expected<CellDaemonSettings, std::string> ReloadSettings();

// Path of the settings file; empty if there is none.
std::string SettingsFilePath();

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
