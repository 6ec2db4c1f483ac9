// Retries are a bounded share of first tries, and what may not be tried again is answered at once as it stands.
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "hibiscusstand/retry_budget.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

const ClassSpec kCall{"call", WorkKind::kCall, 2s, 20s, true};
const ClassSpec kTask{"task", WorkKind::kBatch, 5s, 60s, true};

// One host, four backend servers that all fail the same way, and one worker that fails every run at once.
class FailingWorld {
 public:
  explicit FailingWorld(Delivery call_ends) : host("a1"), call_ends_(call_ends) {
    host.Configure({kCall, kTask});
    std::vector<ListEntry> list = {ListEntry{ListKind::kWorker, "w1", "dc", "r1", "127.0.0.1:1", false}};
    for (const char* server : {"s0", "s1", "s2", "s3"}) {
      list.emplace_back(ListEntry{ListKind::kServer, server, "dc", "r1", "127.0.0.1:1", false});
    }
    host.Do(ListEvent{list});
    Run(2s);
  }

  void Run(Duration duration) {
    for (const TimePoint end = host.clock.Now() + duration; host.clock.Now() < end;) {
      host.Pass(kTickInterval);
      while (!host.actions.empty()) {
        for (const Action& action : std::exchange(host.actions, {})) {
          Play(action);
        }
      }
    }
  }

  void Submit(const std::string& class_name, int requests) {
    for (int i = 0; i < requests; ++i) {
      Request request;
      request.key = RequestKey{"t", fmt::format("{}", next_++)};
      request.attempt = 1;
      request.class_name = class_name;
      request.size = Resources{100, 100, 0};
      host.Do(CallerSubmit{next_, request});
      Run(100ms);
    }
  }

  // Every request must have its answer.
  void SubmitAll(const std::string& class_name, size_t requests) {
    Submit(class_name, static_cast<int>(requests));
    Run(5s);
    REQUIRE(answers.size() == requests);
  }

  OneHost host;
  int calls = 0;
  int starts = 0;
  std::vector<Answer> answers;

 private:
  void Play(const Action& action) {
    if (const auto* server = std::get_if<SendServer>(&action)) {
      PlayServer(*server);
    } else if (const auto* worker = std::get_if<SendWorker>(&action)) {
      PlayWorker(*worker);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      answers.push_back(answer->answer);
    }
  }

  void PlayServer(const SendServer& send) {
    const bool probe = send.request.op == ServerOp::kProbe;
    calls += probe ? 0 : 1;
    host.Do(ServerEvent{send.call, probe ? Delivery::kAnswered : call_ends_,
                        ServerReply{probe ? ServerStatus::kOk : ServerStatus::kRefused, false, 8, {}}});
  }

  // Each renewal is answered at once, with the runs that were started and have not been acknowledged.
  void PlayWorker(const SendWorker& send) {
    WorkerReply reply{WorkerStatus::kOk, 5, Resources{1000, 1000, 0}, send.request.token == 0, {}};
    if (send.request.op == WorkerOp::kStart) {
      ++starts;
      runs_.push_back(send.request.task);
      runs_.back().state = RunState::kFailed;
    } else if (send.request.op == WorkerOp::kAcquire) {
      std::erase_if(runs_, [&](const WorkerTask& task) {
        return std::count(send.request.acks.begin(), send.request.acks.end(), task.run) > 0;
      });
      reply.tasks = runs_;
    }
    host.Do(WorkerEvent{send.call, Delivery::kAnswered, reply});
  }

  Delivery call_ends_;
  ExchangeId next_ = 1;
  std::vector<WorkerTask> runs_;
};

constexpr int kRequests = 200;
constexpr double kSeconds = 30;
// A first try and its share for each request, and the floor; calls have a budget at the home host and one at the owner.
constexpr double kMostTries = kRequests * (1 + RetryBudget::kTokensPerFirstTry) + RetryBudget::kRefillLimit + kSeconds;
constexpr double kMostCalls = kMostTries + kMostTries - kRequests;

}  // namespace

TEST_CASE("first tries earn retries; a floor comes back with time; no more than the most is saved up") {
  RetryBudget budget;
  TimePoint now{};
  int retries = 0;
  while (budget.TakeRetry(now)) {
    ++retries;
  }
  CHECK(retries == static_cast<int>(RetryBudget::kRefillLimit));
  now += 1s;
  CHECK(budget.TakeRetry(now));
  CHECK_FALSE(budget.TakeRetry(now));
  for (int i = 0; i < 100'000; ++i) {
    budget.OnFirstTry();
  }
  CHECK(budget.tokens == RetryBudget::kMaxTokens);
  now += 1h;
  CHECK(budget.TakeRetry(now));
  CHECK(budget.tokens == RetryBudget::kMaxTokens - 1);
  RetryBudget idle;
  CHECK(idle.TakeRetry(now));
  now += 1h;
  CHECK(idle.TakeRetry(now));
  CHECK(idle.tokens == RetryBudget::kRefillLimit - 1);
}

TEST_CASE("where every server refuses, calls go out few times and come back as not run, with a time") {
  FailingWorld world(Delivery::kAnswered);
  world.SubmitAll("call", kRequests);
  for (const Answer& answer : world.answers) {
    CHECK(answer.verdict == Verdict::kNotRun);
    CHECK(answer.retry_after > 0us);
  }
  CHECK(world.calls <= kMostCalls);
}

TEST_CASE("where every server breaks calls off, they go out few times and end as unknown") {
  FailingWorld world(Delivery::kUnknown);
  world.SubmitAll("call", kRequests);
  for (const Answer& answer : world.answers) {
    CHECK((answer.verdict == Verdict::kUnknown || answer.verdict == Verdict::kNotRun));
  }
  CHECK(world.calls <= kMostCalls);
}

TEST_CASE("where every run fails, tasks are run again few times and end as failed") {
  FailingWorld world(Delivery::kAnswered);
  world.SubmitAll("task", kRequests);
  for (const Answer& answer : world.answers) {
    CHECK(answer.verdict == Verdict::kFailed);
  }
  CHECK(world.starts >= kRequests);
  CHECK(world.starts <= kMostTries);
}

TEST_CASE("a rare failure of rare work is tried again, up to the most tries") {
  FailingWorld world(Delivery::kAnswered);
  world.SubmitAll("task", 1);
  CHECK(world.answers[0].code == ResultCode::kTaskFailed);
  CHECK(world.starts == 3);
}

}  // namespace hibiscus
