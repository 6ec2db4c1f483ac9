// Structured log lines on standard output: time, host, part, then key=value words. Writing never blocks: lines gather
// in a bounded buffer that a thread of its own empties, and each part has a budget of lines a second. What is dropped
// is counted and logged; each write carries whole lines, and as many bytes at most as a pipe takes atomically.
#ifndef HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_
#define HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_

#include <memory>
#include <string>

#include "cell/ports.h"
#include "hibiscusstand/clock.h"

namespace hibiscus {

struct EventLogOptions {
  std::string host;
  int max_lines_per_second = 1500;                 // Of each part: about a busy owner's starts and ends, twice over.
  size_t max_buffered_bytes = size_t{512} * 1024;  // Bytes that wait to be written.
  Duration write_interval = 250ms;
  int descriptor = 1;  // Standard output.
};

class EventLog final : public cell::EventLog {
 public:
  EventLog(EventLogOptions options, const Clock& clock);
  ~EventLog() override;  // Writes what is left.
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Thread-safe, as Write is.
  bool Accepts(const char* part) override;
  void Write(const char* part, const std::string& text) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_EVENT_LOG_H_
