// Log lines on standard error: time, level, the name of the part, and a short sentence. A line that repeats within a
// second is suppressed and counted.
#ifndef HIBISCUSSTAND_SRC_PORTS_LOG_H_
#define HIBISCUSSTAND_SRC_PORTS_LOG_H_

#include <string>
#include <string_view>

namespace hibiscus {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Lines below this level are dropped. The default is kInfo.
void SetLogLevel(LogLevel level);

// Thread-safe.
void Log(LogLevel level, std::string_view part, const std::string& text);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_LOG_H_
