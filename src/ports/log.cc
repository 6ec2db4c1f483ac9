#include "ports/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr std::chrono::seconds kRepeatWindow(1);
constexpr size_t kMaxTrackedLines = 1000;  // Distinct lines tracked for repeats.

struct Repeat {
  std::chrono::steady_clock::time_point last_logged;
  int suppressed = 0;
};

std::atomic<LogLevel> g_level{LogLevel::kInfo};

char LevelLetter(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return 'D';
    case LogLevel::kInfo:
      return 'I';
    case LogLevel::kWarning:
      return 'W';
    case LogLevel::kError:
      return 'E';
  }
  return '?';
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level = level;
}

void Log(LogLevel level, std::string_view part, const std::string& text) {
  static std::mutex mutex;
  static std::map<std::string, Repeat> repeats;
  if (level < g_level) {
    return;
  }
  const std::lock_guard lock(mutex);
  const auto now = std::chrono::steady_clock::now();
  if (repeats.size() > kMaxTrackedLines) {
    repeats.clear();
  }
  const auto [entry, is_new] = repeats.try_emplace(fmt::format("{}:{}", part, text), Repeat{now, 0});
  Repeat& repeat = entry->second;
  if (!is_new && now - repeat.last_logged < kRepeatWindow) {
    ++repeat.suppressed;
    return;
  }
  const std::string suppressed_note =
      repeat.suppressed > 0 ? fmt::format(" ({} repeats suppressed)", repeat.suppressed) : "";
  repeat = Repeat{now, 0};
  fmt::print(stderr, "{:%H:%M:%S} {} {}: {}{}\n", fmt::localtime(std::time(nullptr)), LevelLetter(level), part, text,
             suppressed_note);
}

}  // namespace hibiscus
