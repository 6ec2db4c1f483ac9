// Writes what the owner decides to the store, many changes in one transaction. Every transaction expects the head key
// as the one before left it, so a late copy of an older one and a writer who is no longer the owner change nothing.
// That makes it harmless to send a transaction again: when its answer is overdue, a copy goes out beside it, and
// whichever finds the head as this batch left it tells that the batch stands.
#ifndef HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_
#define HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_

#include <functional>
#include <memory>
#include <vector>

#include "cell/context.h"
#include "cell/records.h"

namespace hibiscus::cell {

// What one transaction carries, and who wants to know that it stands.
struct Batch {
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
  std::function<void()> on_committed;

  size_t entries() const { return writes.size() + removals.size(); }
};

class GroupCommit {
 public:
  // Fills a batch with what is new; called when a transaction can go out. Empty: nothing is new.
  using Source = std::function<Batch(uint64_t batch_number)>;

  GroupCommit(Context& context, uint64_t epoch, uint64_t head_revision, Source source, std::function<void()> deposed);
  ~GroupCommit();
  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;

  // There is something new: it goes out within the window, or once the transaction in flight is over.
  void Request();
  // No transaction goes out after the one in flight.
  void Close() { closed_ = true; }

  bool in_flight() const { return in_flight_; }
  // How long the store has not confirmed what was sent; 0 if nothing waits.
  Duration stalled_for() const;
  // The store has answered something else: a batch that waits for its next try goes out now.
  void RetryNow();
  uint64_t head_revision() const { return head_revision_; }

 private:
  void Flush();
  void Send();
  void ResendIfUnanswered();
  void OnAnswer(const StoreAnswer& answer);
  void CompleteBatch(uint64_t revision);
  void ScheduleRetry(Duration delay);

  Context& context_;
  const uint64_t epoch_;
  uint64_t head_revision_;
  Source source_;
  std::function<void()> deposed_;
  uint64_t batch_number_ = 0;  // Of the last batch.
  Batch batch_;                // In flight.
  StoreTransaction transaction_;
  bool in_flight_ = false;
  bool requested_ = false;
  bool closed_ = false;
  TimePoint first_sent_{};           // First sending of the batch in flight.
  TimePoint last_sent_{};            // Newest sending of it.
  int unanswered_copies_ = 0;        // Sendings of it without an answer.
  Duration smoothed_answer_time_{};  // Time of an answer, smoothed. 0: none came yet.
  Duration backoff_{};               // Before the next try.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_
