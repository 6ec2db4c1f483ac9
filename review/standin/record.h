// The record of a case: what was sent, answered and run, with times from the start of the case.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_RECORD_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_RECORD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// One run of a task as its minion saw it.
struct RunEvent {
  std::string task;
  int run = 0;
  std::string minion;
  int64_t started_ms = 0;
  int64_t ended_ms = -1;   // -1: still running.
  std::string how;         // As listed; "crashed" if the minion crashed, which lists nothing.
  bool seen = false;       // Its end was taken note of.
  int64_t lapsed_ms = -1;  // When the minion's lease ran out after the end; -1: it didn't.
};

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  int64_t NowMs() const;
  // Writes one line.
  void Line(const std::string& text);

  // Returns the index of the new run.
  size_t Started(const std::string& task, int run, const std::string& minion);
  void Ended(size_t index, const std::string& how);
  void Seen(size_t index);
  // The minion's lease has run out: recorded for all its runs that ended and weren't taken note of.
  void LeaseLapsed(const std::string& minion);
  std::vector<RunEvent> runs() const;

  // Rule TWICE. Returns the number of breaks and writes a line for each. Tasks that last are started again however they
  // end, so only runs at the same time count for them.
  int CountTwice(bool tasks_last);

 private:
  void WriteLine(const std::string& text);

  const std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::vector<RunEvent> runs_;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_RECORD_H_
