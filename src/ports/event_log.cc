#include "ports/event_log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <climits>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/core.h>

#include "ports/text_repair.h"

namespace hibiscus {

namespace {

constexpr size_t kMaxWriteBytes = PIPE_BUF;  // A pipe writes up to this many bytes atomically.
constexpr std::string_view kTruncationMark = " cut_short=1\n";

// Buffers formatted lines; drops and counts lines that do not fit.
class BufferSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit BufferSink(size_t max_size) : max_size_(max_size) {}

  // Returns the lines since the last call, and a line with the count of dropped ones if any.
  std::string TakeLines() {
    const std::lock_guard lock(mutex_);
    if (dropped_ > 0) {
      const std::string text =
          fmt::format("part=log event=lines_dropped count={} reason=buffer_full", std::exchange(dropped_, 0));
      lines_ += Format(spdlog::details::log_msg("events", spdlog::level::info, text));
    }
    return std::exchange(lines_, {});
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const std::string line = Format(message);
    if (lines_.size() + line.size() > max_size_) {
      ++dropped_;
      return;
    }
    lines_ += line;
  }
  void flush_() override {}

 private:
  std::string Format(const spdlog::details::log_msg& message) {
    spdlog::memory_buf_t buffer;
    formatter_->format(message, buffer);
    std::string line(buffer.data(), buffer.size());
    if (line.size() > kMaxWriteBytes) {
      line.resize(kMaxWriteBytes - kTruncationMark.size());
      line += kTruncationMark;
    }
    return line;
  }

  const size_t max_size_;
  std::string lines_;
  size_t dropped_ = 0;
};

struct Budget {
  TimePoint window_start{};
  int accepted = 0;
  int dropped = 0;
};

// Returns the size of the longest prefix of whole lines that fits into one write.
size_t WholeLinesSize(std::string_view text) {
  return text.rfind('\n', kMaxWriteBytes - 1) + 1;
}

// Writes as much as the reader accepts now and returns its size. A write never ends within a line, so that a reader
// that loses or interleaves writes only loses or interleaves whole lines.
size_t WriteSome(int descriptor, std::string_view text) {
  size_t done = 0;
  while (done < text.size()) {
    const std::string_view rest = text.substr(done);
    const ssize_t written = write(descriptor, rest.data(), WholeLinesSize(rest));
    if (written <= 0) {
      break;  // The reader is slow or gone: the rest is retried, and lines are dropped once the buffer is full.
    }
    done += static_cast<size_t>(written);
  }
  return done;
}

}  // namespace

struct EventLog::State {
  State(EventLogOptions log_options, const Clock& log_clock)
      : options(std::move(log_options)),
        clock(log_clock),
        sink(std::make_shared<BufferSink>(options.max_buffered_bytes)),
        logger("events", sink) {
    logger.set_pattern(fmt::format("%Y-%m-%dT%H:%M:%S.%e host={} %v", options.host));
  }

  const EventLogOptions options;
  const Clock& clock;
  std::shared_ptr<BufferSink> sink;
  spdlog::logger logger;
  std::mutex mutex;
  std::condition_variable wake;
  std::map<std::string_view, Budget> budgets;  // Guarded by mutex. Keyed by part, a string literal.
  bool stopping = false;                       // Guarded by mutex.
  std::thread writer;
  std::string unwritten;  // Writer thread only.

  void WriteUntilStop();
  void WriteBuffer();
};

void EventLog::State::WriteBuffer() {
  if (unwritten.size() < options.max_buffered_bytes) {
    unwritten += sink->TakeLines();
  }
  unwritten.erase(0, WriteSome(options.descriptor, unwritten));
}

void EventLog::State::WriteUntilStop() {
  std::unique_lock lock(mutex);
  while (!wake.wait_for(lock, options.write_interval, [&] { return stopping; })) {
    lock.unlock();
    WriteBuffer();
    lock.lock();
  }
}

EventLog::EventLog(EventLogOptions options, const Clock& clock)
    : state_(std::make_unique<State>(std::move(options), clock)) {
  state_->writer = std::thread([state = state_.get()] { state->WriteUntilStop(); });
}

EventLog::~EventLog() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->wake.notify_one();
  state_->writer.join();
  state_->WriteBuffer();
  if (state_->unwritten.empty()) {
    state_->WriteBuffer();  // The sink's lines, if the first call had a full `unwritten` and did not take them.
  }
}

bool EventLog::Accepts(const char* part) {
  int dropped = 0;
  bool accepts = false;
  {
    const std::lock_guard lock(state_->mutex);
    Budget& budget = state_->budgets[part];
    const TimePoint now = state_->clock.Now();
    if (now - budget.window_start >= 1s) {
      dropped = std::exchange(budget.dropped, 0);
      budget.window_start = now;
      budget.accepted = 0;
    }
    accepts = budget.accepted < state_->options.max_lines_per_second;
    ++(accepts ? budget.accepted : budget.dropped);
  }
  if (dropped > 0) {
    state_->logger.info("part=log event=lines_dropped of={} count={} reason=budget", part, dropped);
  }
  return accepts;
}

void EventLog::Write(const char* part, const std::string& text) {
  state_->logger.info("part={} {}", part, ToOneLine(text));
}

}  // namespace hibiscus
