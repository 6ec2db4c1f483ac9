// The daemon's settings, read from flags and environment variables and validated before the daemon starts.
#ifndef HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
#define HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_

#include <string>

#include <tl/expected.hpp>

#include "daemon/cell_daemon.h"
#include "daemon/daemon.h"

namespace hibiscus {

struct ParsedSettings {
  DaemonSettings daemon;
  CellDaemonSettings cell;  // Used if cell_mode is set.
  bool cell_mode = false;   // --mode=cell was given.
  bool check_only = false;
  bool help_only = false;
};

// Text of --help: all settings by group, with range, unit and default.
std::string SettingsHelp();

// Parses and validates the command line and the environment. An error names the flag, its value, the range and the
// unit.
tl::expected<ParsedSettings, std::string> ReadSettings(int* argc, char*** argv);

// Reads the settings file again. On an error the previous settings remain in effect.
tl::expected<CellDaemonSettings, std::string> ReloadSettings();

// Path of the settings file (--flagfile); empty if none was given.
std::string SettingsFilePath();

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_DAEMON_SETTINGS_H_
