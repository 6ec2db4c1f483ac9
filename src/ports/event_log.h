// Structured log lines on standard output: time, host, part, then key=value pairs. Writing never blocks: lines go to a
// bounded buffer that a background thread writes out, and each part has a budget of lines per second. Dropped lines are
// counted and the count is logged. Each write contains whole lines only, at most as many bytes as a pipe writes
// atomically.
#ifndef HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_
#define HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_

#include <memory>
#include <string>

#include "cell/ports.h"
#include "hibiscusstand/clock.h"

namespace hibiscus {

struct EventLogOptions {
  std::string host;
  int max_lines_per_second = 1500;                 // Per part; about twice the starts and ends of a busy owner.
  size_t max_buffered_bytes = size_t{512} * 1024;  // Lines that do not fit are dropped.
  Duration write_interval = 250ms;
  int descriptor = 1;  // Standard output.
};

class EventLog final : public cell::EventLog {
 public:
  EventLog(EventLogOptions options, const Clock& clock);
  ~EventLog() override;  // Writes the buffered lines.
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Thread-safe, like Write.
  bool Accepts(const char* part) override;
  void Write(const char* part, const std::string& text) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_
