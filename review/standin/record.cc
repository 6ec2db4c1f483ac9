#include "record.h"

#include <limits>

namespace review {

int64_t Record::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin_).count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  WriteLine(text);
}

void Record::WriteLine(const std::string& text) {
  file_ << NowMs() << " " << text << std::endl;
}

size_t Record::Started(const std::string& task, int run, const std::string& minion) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(RunEvent{task, run, minion, NowMs(), -1, "", false, -1});
  WriteLine("run started task=" + task + " run=" + std::to_string(run) + " minion=" + minion);
  return runs_.size() - 1;
}

void Record::Ended(size_t index, const std::string& how) {
  const std::lock_guard lock(mutex_);
  RunEvent& run = runs_[index];
  run.ended_ms = NowMs();
  run.how = how;
  WriteLine("run ended " + how + " task=" + run.task + " run=" + std::to_string(run.run) + " minion=" + run.minion);
}

void Record::Seen(size_t index) {
  const std::lock_guard lock(mutex_);
  RunEvent& run = runs_[index];
  run.seen = true;
  WriteLine("end taken note of: " + run.how + " task=" + run.task + " run=" + std::to_string(run.run));
}

void Record::LeaseLapsed(const std::string& minion) {
  const std::lock_guard lock(mutex_);
  WriteLine("lease lapsed minion=" + minion);
  for (RunEvent& run : runs_) {
    if (run.minion == minion && run.ended_ms >= 0 && !run.seen && run.lapsed_ms < 0) {
      run.lapsed_ms = NowMs();
    }
  }
}

std::vector<RunEvent> Record::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

int Record::CountTwice(bool tasks_last) {
  const std::lock_guard lock(mutex_);
  int breaks = 0;
  for (size_t i = 0; i < runs_.size(); ++i) {
    for (size_t k = 0; k < runs_.size(); ++k) {
      const RunEvent& first = runs_[i];
      const RunEvent& second = runs_[k];
      if (i == k || first.task != second.task || second.started_ms < first.started_ms ||
          (second.started_ms == first.started_ms && k < i)) {
        continue;
      }
      const int64_t end = first.ended_ms < 0 ? std::numeric_limits<int64_t>::max() : first.ended_ms;
      const std::string both = "task=" + first.task + " runs=" + std::to_string(first.run) + "," +
                               std::to_string(second.run) + " minions=" + first.minion + "," + second.minion;
      if (second.started_ms < end) {
        ++breaks;
        WriteLine("BREAK TWICE at the same time: " + both + " since=" + std::to_string(second.started_ms));
      } else if (!tasks_last && first.how == "done" && first.seen && first.lapsed_ms < 0) {
        ++breaks;
        WriteLine("BREAK TWICE after done: " + both + " done_at=" + std::to_string(first.ended_ms) +
                  " started_at=" + std::to_string(second.started_ms));
      }
    }
  }
  return breaks;
}

}  // namespace review
