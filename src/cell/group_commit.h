// Writes the owner's decisions to the store, with many changes in one transaction. Every transaction requires the
// revision of the head key that the previous one wrote, so late copies of an earlier transaction and writes of a former
// owner have no effect. Transactions can therefore be resent safely: when an answer is overdue, another copy is sent,
// and a copy that finds the head record of this batch confirms that the batch was committed.
#ifndef HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_
#define HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_

#include <functional>
#include <memory>
#include <vector>

#include "cell/context.h"
#include "cell/records.h"

namespace hibiscus::cell {

// The changes of one transaction, and a callback that runs once it is committed.
struct Batch {
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
  std::function<void()> on_committed;

  size_t entries() const { return writes.size() + removals.size(); }
};

class GroupCommit {
 public:
  // Returns a batch with all pending changes; called when a transaction can be sent. Empty: no changes.
  using Source = std::function<Batch(uint64_t batch_number)>;

  GroupCommit(Context& context, uint64_t epoch, uint64_t head_revision, Source source, std::function<void()> deposed);
  ~GroupCommit();
  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;

  // Requests a flush of new changes. They are sent after the batch window, or once the transaction in flight is
  // committed.
  void Request();
  // Sends no further transactions after the one in flight.
  void Close() { closed_ = true; }
  bool closed() const { return closed_; }

  bool in_flight() const { return in_flight_; }
  // Time since the batch in flight was first sent; 0 if none is in flight.
  Duration stalled_for() const;
  // Sends a batch that is backing off at once. Called when another answer shows that the store is reachable.
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
  TimePoint first_sent_{};           // When the batch in flight was first sent.
  TimePoint last_sent_{};            // When its newest copy was sent.
  int unanswered_copies_ = 0;        // Copies of it without an answer.
  Duration smoothed_answer_time_{};  // 0: no answer yet.
  Duration backoff_{};               // Delay before the next retry.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_GROUP_COMMIT_H_
