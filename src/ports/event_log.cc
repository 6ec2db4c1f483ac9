#include "ports/event_log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/core.h>

namespace hibiscus {

namespace {

constexpr size_t kMostAtOnce = size_t{32} * 1024;  // Bytes of one write: pipes take that much at once.

// Gathers formatted lines; full means that a line is dropped and counted.
class BufferSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit BufferSink(size_t most) : most_(most) {}

  std::string Take(size_t* dropped) {
    const std::lock_guard lock(mutex_);
    *dropped = std::exchange(dropped_, 0);
    return std::exchange(lines_, {});
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (lines_.size() + line.size() > most_) {
      ++dropped_;
      return;
    }
    lines_.append(line.data(), line.size());
  }
  void flush_() override {}

 private:
  const size_t most_;
  std::string lines_;
  size_t dropped_ = 0;
};

struct Budget {
  TimePoint second{};
  int used = 0;
  int over = 0;
};

// Writes what the reader takes now and returns how much that was.
size_t WriteSome(int descriptor, std::string_view text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t written = write(descriptor, text.data() + done, std::min(kMostAtOnce, text.size() - done));
    if (written <= 0) {
      break;  // The reader is slow or gone: what is left is tried again, and dropped when the buffer is full.
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
        sink(std::make_shared<BufferSink>(options.most_buffered)),
        logger("events", sink) {
    logger.set_pattern(fmt::format("%Y-%m-%dT%H:%M:%S.%e host={} %v", options.host));
  }

  const EventLogOptions options;
  const Clock& clock;
  std::shared_ptr<BufferSink> sink;
  spdlog::logger logger;
  std::mutex mutex;
  std::condition_variable wake;
  std::map<std::string_view, Budget> budgets;  // Under mutex; by part, whose names are literals.
  bool stopping = false;                       // Under mutex.
  std::thread writer;
  std::string unwritten;  // Writer's thread only.

  void WriteUntilStop();
  void WriteBuffer();
};

void EventLog::State::WriteBuffer() {
  size_t dropped = 0;
  if (unwritten.size() < options.most_buffered) {
    unwritten += sink->Take(&dropped);
  }
  unwritten.erase(0, WriteSome(options.descriptor, unwritten));
  if (dropped > 0) {
    logger.info("part=log event=lines_dropped count={} reason=buffer_full", dropped);
  }
}

void EventLog::State::WriteUntilStop() {
  std::unique_lock lock(mutex);
  while (!wake.wait_for(lock, options.write_every, [&] { return stopping; })) {
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
}

bool EventLog::Takes(const char* part) {
  int over = 0;
  bool takes = false;
  {
    const std::lock_guard lock(state_->mutex);
    Budget& budget = state_->budgets[part];
    const TimePoint now = state_->clock.Now();
    if (now - budget.second >= 1s) {
      over = std::exchange(budget.over, 0);
      budget.second = now;
      budget.used = 0;
    }
    takes = budget.used < state_->options.lines_a_second;
    ++(takes ? budget.used : budget.over);
  }
  if (over > 0) {
    state_->logger.info("part=log event=lines_dropped of={} count={} reason=budget", part, over);
  }
  return takes;
}

void EventLog::Write(const char* part, const std::string& text) {
  state_->logger.info("part={} {}", part, text);
}

}  // namespace hibiscus
