// Watches the log of kept work in the store, write by write, against a model of its own: what stands there, what is
// open, what may be trimmed.
#ifndef HIBISCUSSTAND_TESTS_CHAOS_LOG_H_
#define HIBISCUSSTAND_TESTS_CHAOS_LOG_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/log_records.h"
#include "tests/chaos_world.h"

namespace hibiscus {

class LogAudit {
 public:
  explicit LogAudit(ChaosWorld& world) : world_(world) {}

  // Begins to watch. In some seeds an old log stands in the store by then, which is trimmed during the seed.
  void Start();
  // Everything that must be true of the log when the world has come to rest.
  void CheckAtRest();

  // Has an accepted record of the request ever stood in the log?
  bool Knows(const RequestKey& key) const { return requests_.contains(key); }
  // The answer that stands in the log; null if there is none.
  const Answer* AnswerTo(const RequestKey& key) const;

  size_t batches() const { return written_.size(); }
  size_t trims() const { return trims_; }

 private:
  struct Kept {
    LogRecord accepted;
    uint64_t sequence = 0;  // Of its latest accepted record.
    uint64_t started_by = 0;
    std::optional<Answer> answer;
  };

  void WriteOldLog();
  void WriteOld(Duration time, const std::vector<LogRecord>& records);
  void OnWrite(const StoreCall& call);
  void OnBatch(uint64_t sequence, const std::string& text);
  void OnRecord(uint64_t sequence, const LogRecord& record);
  void OnAccepted(uint64_t sequence, const LogRecord& record);
  void OnBase(const std::string& text);
  void OnDelete(uint64_t sequence);

  ChaosWorld& world_;
  std::map<RequestKey, Kept> requests_;
  std::map<RequestKey, uint64_t> intents_;  // Nonces.
  std::vector<TimePoint> written_;          // When each sequence was written.
  LogBase base_;
  size_t trims_ = 0;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TESTS_CHAOS_LOG_H_
