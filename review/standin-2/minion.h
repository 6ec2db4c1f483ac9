// Stand-in of the platform's minions: each runs tasks under leases, as the pages describe it. A task's text says how
// long it works: "work_ms=N".
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_2_MINION_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_2_MINION_H_

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "record.h"
#include "store.h"

namespace review {

struct MinionSettings {
  std::string id;
  std::string ip;
  std::string zone;
  std::string service;
  std::vector<std::string> labels;  // Kind and rack.
  int64_t cpu = 0;                  // Thousandths of a core.
  int64_t memory_mb = 0;
  int64_t gpu = 0;
  Millis max_hold{6000};
  Millis stop_time{100};  // A stop takes this long.
  Millis gang_timeout{3000};
  Millis one_way{0};                  // Between a daemon and this minion.
  bool born_in_start_answers = true;  // The pages ask for it in lists only.
};

// A run that is working, as its minion sees it.
struct WorkingRun {
  std::string minion;
  std::string task;  // ID.K.STEP.INDEX
  int run = 0;
  Clock::time_point since{};
};

struct EndedCounts {
  int done = 0;
  int failed = 0;
  int stopped = 0;
  int lapsed = 0;
  int lost = 0;  // With a crashed minion.
};

class Minion {
 public:
  Minion(MinionSettings settings, Store& store, Record& record);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  const MinionSettings& settings() const { return settings_; }
  // Begins a life: empty, with a clock and numbers of its own.
  void Start();
  // The process ends and is started again under its id. Its supervisor keeps the listening socket, so that connections
  // made meanwhile are served by the next life. Returns once that has written its entry.
  void Restart(Millis down, Millis entry_after);
  // The first start of each task of the job gets no answer and is carried out `late`.
  void SetLate(const std::string& job, Millis late);
  // Received so far, and of these left without an answer.
  int orders() const { return orders_; }
  int late_orders() const { return late_orders_; }
  bool running() const { return running_; }
  // Fails all that it starts from now on; what runs already is sound.
  void SetFailsStarts(bool fails);
  std::vector<WorkingRun> Working();
  // Ended runs of a job, in all lives. Its starts, too.
  EndedCounts EndsOf(const std::string& job);
  int StartsOf(const std::string& job);
  // Called every few milliseconds.
  void Tick();

 private:
  using Json = nlohmann::json;
  struct Run {
    int number = 0;
    Clock::time_point since{};
    Millis work{};
    int members = 1;  // Of its gang.
    bool fails = false;
    std::optional<Clock::time_point> stops_at;
  };
  struct LateStart {
    Clock::time_point due{};
    Json body;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  HttpResponse Serve(const HttpRequest& request);
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse StartRun(const Json& body);
  bool IsLate(const Json& body);
  // Holds the request back until its process ends or its sender has given up.
  HttpResponse LeaveUnanswered(const Json& body, std::unique_lock<std::mutex>& lock);
  HttpResponse StopRun(const Json& body);
  HttpResponse Hold(const Json& body, std::unique_lock<std::mutex>& lock);
  // The caller holds the lock.
  void CarryOutLateStarts();
  bool IsFenced(const Json& body);
  int64_t ClockMs() const;
  void ExtendLease(int64_t deadline_ms);
  void EndRun(const std::string& task, const std::string& how);
  void EndGang(const std::string& task, const std::string& how);
  // Members of the same run of the gang that are here.
  std::vector<std::string> MembersHere(const std::string& task) const;
  // Since when it works; none while it waits for members of its gang.
  std::optional<Clock::time_point> WorksSince(const std::string& task, const Run& run) const;
  Json Stamped(Json body) const;
  void WriteEntry();
  void BeginLife();
  void EndLife();

  const MinionSettings settings_;
  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::atomic<bool> running_{false};
  bool stopping_ = false;
  bool fails_starts_ = false;
  int port_ = 0;
  int64_t born_ms_ = 0;
  Clock::time_point began_{};
  uint64_t token_ = 0;
  int64_t lease_until_ms_ = 0;
  int64_t last_end_ = 0;
  std::map<std::string, Run> runs_;  // By task.
  std::map<std::string, int> over_;  // Highest run that was stopped or ended, by task.
  std::deque<End> ends_;             // Not named as received yet.
  std::map<std::string, EndedCounts> ended_jobs_;
  std::map<std::string, int> started_jobs_;
  std::map<std::string, Millis> late_jobs_;
  std::map<std::string, int> received_;  // Starts, by task.
  std::vector<LateStart> late_starts_;
  std::atomic<int> orders_{0};
  std::atomic<int> late_orders_{0};
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_2_MINION_H_
