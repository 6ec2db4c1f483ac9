// In-memory fakes of the external systems, without I/O and with an injected clock: a store, a worker, a backend server,
// and a run log that records every execution. The stand-in programs serve them over HTTP; tests run them in virtual
// time.
#ifndef HIBISCUSSTAND_STANDINS_FAKES_H_
#define HIBISCUSSTAND_STANDINS_FAKES_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messages.h"

namespace hibiscus {

// Records every start and end of a run on all workers and backend servers, and every violated guarantee.
class RunLog {
 public:
  void Started(const RunId& run, const std::string& where, bool may_overlap);
  void Ended(const RunId& run, const std::string& where);
  void Broken(std::string what) { broken_.push_back(std::move(what)); }

  // Number of starts of this task.
  int StartsOf(const TaskId& task) const;
  const std::map<TaskId, int>& starts_of() const { return starts_of_; }
  size_t starts() const { return starts_; }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  std::map<TaskId, int> starts_of_;
  std::map<TaskId, std::set<std::string>> running_;
  size_t starts_ = 0;
  std::vector<std::string> broken_;
};

class FakeStore {
 public:
  using Reply = std::function<void(const StoreReply&)>;

  explicit FakeStore(const Clock& clock) : clock_(clock) {}
  void Handle(const StoreCall& call, Reply reply);
  void Tick();  // Answers watches that have timed out.

  size_t calls() const { return calls_; }
  size_t writes() const { return writes_; }
  size_t keys() const { return records_.size(); }

 private:
  struct Record {
    std::string value;
    uint64_t revision = 0;
  };
  struct Watch {
    StoreCall call;
    Reply reply;
    TimePoint until;
  };

  StoreReply Read(const std::string& key) const;
  StoreReply Write(const StoreCall& call);
  void AnswerWatches(const std::string& key);

  const Clock& clock_;
  std::map<std::string, Record> records_;
  std::vector<Watch> watches_;
  uint64_t next_revision_ = 1;
  size_t calls_ = 0;
  size_t writes_ = 0;
};

class FakeWorker {
 public:
  using Reply = std::function<void(const WorkerReply&)>;

  FakeWorker(WorkerName name, const Resources& capacity, const Clock& clock, RunLog& log)
      : name_(std::move(name)), capacity_(capacity), clock_(clock), log_(log) {}

  void Handle(const WorkerCall& call, const Reply& reply);
  void Tick();     // Ends finished runs and those whose lease expired, and answers pending renewals.
  void Restart();  // Ends and forgets all runs. The token is kept, so that later ones are higher.

  // Factor by which runs exceed their requested run time.
  void set_slowness(double factor) { slowness_ = factor; }
  void set_fails_everything(bool fails) { fails_everything_ = fails; }
  // Runs of requests whose id has this prefix fail.
  void set_poison(std::string prefix) { poison_ = std::move(prefix); }

  const Resources& used() const { return used_; }
  const Resources& capacity() const { return capacity_; }
  size_t running() const;
  const HostName& holder() const { return holder_; }

 private:
  struct Run {
    WorkerTask task;
    TimePoint ends_at;
    bool reported = false;  // The end was included in a reply.
  };
  struct Renewal {
    WorkerCall call;
    Reply reply;
    TimePoint until;
  };

  void Acquire(const WorkerCall& call, const Reply& reply);
  WorkerStatus Start(const WorkerCall& call);
  WorkerStatus Stop(const WorkerCall& call);
  void StopExpiredRuns();
  void EndRun(Run& run, RunState state);
  void AnswerRenewals();
  bool Fails(const TaskId& task) const;
  bool HasUnreportedEnds() const;
  WorkerReply EndedRuns();

  WorkerName name_;
  Resources capacity_;
  const Clock& clock_;
  RunLog& log_;
  Resources used_;
  HostName holder_;
  uint64_t token_ = 0;
  TimePoint lease_until_{};
  TimePoint runs_until_{};
  std::map<RunId, Run> runs_;
  std::vector<Renewal> renewals_;
  double slowness_ = 1.0;
  bool fails_everything_ = false;
  std::string poison_;  // Id prefix of failing requests; empty: none.
};

class FakeServer {
 public:
  using Reply = std::function<void(const ServerReply&)>;

  FakeServer(ServerName name, int slots, Duration service_time, const Clock& clock, RunLog& log)
      : name_(std::move(name)), slots_(slots), service_time_(service_time), clock_(clock), log_(log) {}

  void Handle(const ServerCall& call, const Reply& reply);
  void Tick();  // Answers the calls whose service time has elapsed.
  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_slowness(double factor) { slowness_ = factor; }
  size_t in_progress() const { return calls_.size(); }

 private:
  struct Execution {
    ServerCall call;
    Reply reply;
    TimePoint ends_at;
  };

  ServerName name_;
  int slots_;
  Duration service_time_;
  const Clock& clock_;
  RunLog& log_;
  bool leaving_ = false;
  double slowness_ = 1.0;
  std::vector<Execution> calls_;
};

// Body that a successful run of this task returns. Tests use it to check that an answer is complete and belongs to the
// caller's request.
std::string ExpectedBody(const TaskId& task);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_STANDINS_FAKES_H_
