// What was sent, answered and run, by the seconds since the record was opened.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_2_RECORD_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_2_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Seconds() const { return std::chrono::duration<double>(Clock::now() - begin_).count(); }

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", Seconds(), line.c_str());
      std::fflush(file_);
    }
  }

  // Also to standard output.
  void Say(const std::string& line) {
    Write(line);
    const std::lock_guard lock(mutex_);
    std::printf("%8.3f %s\n", Seconds(), line.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const Clock::time_point begin_ = Clock::now();
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_2_RECORD_H_
