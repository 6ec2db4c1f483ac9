// The strategies of the policy, each against the failure it is for.
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "hibiscusstand/admission.h"
#include "hibiscusstand/choice.h"
#include "hibiscusstand/deadline_queue.h"
#include "hibiscusstand/outlier_detector.h"
#include "tests/one_host.h"

namespace hibiscus {

namespace {

constexpr TimePoint kNow{1h};

QueueDecision Anything(const std::string&) {
  return QueueDecision::kTake;
}

std::string Next(DeadlineQueue<std::string>& queue) {
  return queue.TakeNext(Anything).value_or("nothing");
}

}  // namespace

TEST_CASE("a tenant that floods a class leaves the others their share of it") {
  DeadlineQueue<std::string> queue;
  for (int i = 0; i < 1000; ++i) {
    queue.Push(QueueAttributes{"quick", "flooder", {}, kNow + 1s, 1}, "flooder");
  }
  for (int i = 0; i < 10; ++i) {
    queue.Push(QueueAttributes{"quick", "clerk", {}, kNow + 2s, 1}, "clerk");
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 20; ++i) {
    ++served[Next(queue)];
  }
  REQUIRE(served["clerk"] == 10);
}

TEST_CASE("a tenant earns no credit by being idle") {
  DeadlineQueue<std::string> queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push(QueueAttributes{"quick", "busy", {}, kNow + 1s, 1}, "busy");
    REQUIRE(Next(queue) == "busy");
  }
  for (int i = 0; i < 20; ++i) {
    queue.Push(QueueAttributes{"quick", "busy", {}, kNow + 1s, 1}, "busy");
    queue.Push(QueueAttributes{"quick", "late", {}, kNow + 1s, 1}, "late");
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 20; ++i) {
    ++served[Next(queue)];
  }
  REQUIRE(served["busy"] >= 9);
}

TEST_CASE("the class with the earliest deadline goes first, and what does not fit lets others pass") {
  DeadlineQueue<std::string> queue;
  queue.Push(QueueAttributes{"batch", "t", Resources{64'000, 0, 0}, kNow + 9s, 1}, "large");
  queue.Push(QueueAttributes{"batch", "t", Resources{1'000, 0, 0}, kNow + 10s, 1}, "small");
  queue.Push(QueueAttributes{"urgent", "t", {}, kNow + 1s, 1}, "urgent");
  REQUIRE(Next(queue) == "urgent");
  const auto with_large = [](QueueDecision fit) {
    return [fit](const std::string& item) { return item == "large" ? fit : QueueDecision::kTake; };
  };
  REQUIRE_FALSE(queue.TakeNext(with_large(QueueDecision::kStop)));
  REQUIRE(queue.TakeNext(with_large(QueueDecision::kSkip)) == "small");
  REQUIRE(Next(queue) == "large");
  REQUIRE(queue.empty());
}

TEST_CASE("what expires leaves the queue at its deadline, and what is removed does not come back") {
  DeadlineQueue<std::string> queue;
  queue.Push(QueueAttributes{"a", "t", {}, kNow + 2s, 1}, "second");
  queue.Push(QueueAttributes{"b", "t", {}, kNow + 1s, 1}, "first");
  const auto removed = queue.Push(QueueAttributes{"b", "t", {}, kNow + 1s, 1}, "removed");
  REQUIRE(queue.Remove(removed) == "removed");
  REQUIRE_FALSE(queue.TakeExpired(kNow));
  REQUIRE(queue.TakeExpired(kNow + 1s) == "first");
  REQUIRE_FALSE(queue.TakeExpired(kNow + 1s));
  REQUIRE(queue.TakeExpired(kNow + 2s) == "second");
}

TEST_CASE("admission refuses what cannot start in time, and says when it could") {
  AdmissionControl admission;
  const Demand demand{"quick", "t", kNow + 1s, 0.1};
  int admitted = 0;
  while (admission.Admits(demand, 1, kNow)) {
    admission.OnQueued(demand, kNow);
    ++admitted;
  }
  REQUIRE(admitted >= 7);
  REQUIRE(admitted <= 10);
  const Duration retry_after = admission.RetryAfter(demand, 1, kNow);
  for (Duration served = 0us; served < retry_after; served += 100ms) {
    admission.OnDequeued(demand);
  }
  REQUIRE(admission.Admits(Demand{"quick", "t", kNow + retry_after + 1s, 0.1}, 1, kNow + retry_after));
}

TEST_CASE("admission does not refuse a tenant for the queue of another one in its class") {
  AdmissionControl admission;
  for (int i = 0; i < 100; ++i) {
    admission.OnQueued(Demand{"quick", "flooder", kNow + 1s, 0.1}, kNow);
  }
  REQUIRE_FALSE(admission.Admits(Demand{"quick", "flooder", kNow + 1s, 0.1}, 1, kNow));
  REQUIRE(admission.Admits(Demand{"quick", "clerk", kNow + 1s, 0.1}, 1, kNow));
}

TEST_CASE("admission counts what a more urgent class will send before the target") {
  AdmissionControl admission;
  for (int i = 0; i < 9; ++i) {
    const Demand urgent{"urgent", "t", kNow + 1s, 0.1};
    admission.OnAdmitted(urgent, kNow);
    admission.OnQueued(urgent, kNow);
  }
  const Demand patient{"patient", "t", kNow + 10s, 0.1};
  REQUIRE(admission.Admits(patient, 1, kNow));
  REQUIRE(admission.PredictWait(patient, 1, kNow) > 1s);
}

TEST_CASE("under overload no class gets more than its share of what is offered") {
  AdmissionControl admission;
  std::map<std::string, double> admitted;
  std::map<std::string, std::deque<Demand>> queues;
  for (TimePoint now = kNow; now < kNow + 60s; now += 20ms) {
    for (const auto& [name, target, offers] : {std::tuple("urgent", 1s, 3), std::tuple("patient", 9s, 1)}) {
      for (int i = 0; i < offers; ++i) {
        const Demand demand{name, "t", now + target, 0.02};
        admission.OnOffered(demand, now);
        if (admission.Admits(demand, 1, now)) {
          admission.OnAdmitted(demand, now);
          admission.OnQueued(demand, now);
          queues[name].push_back(demand);
          admitted[name] += now > kNow + 20s ? demand.cost : 0;
        }
      }
    }
    // One request is served every 20 ms, the earliest deadline first.
    auto& next = queues["patient"].empty() || (!queues["urgent"].empty() &&
                                               queues["urgent"].front().start_by <= queues["patient"].front().start_by)
                     ? queues["urgent"]
                     : queues["patient"];
    if (!next.empty()) {
      admission.OnDequeued(next.front());
      next.pop_front();
    }
  }
  // Four times the capacity is offered: of its own offer each class gets a quarter.
  REQUIRE(admitted["urgent"] / (40 * 3) == Approx(0.25).epsilon(0.1));
  REQUIRE(admitted["patient"] / 40 == Approx(0.25).epsilon(0.1));
}

TEST_CASE("a slow target is noticed, tried now and then, and trusted again") {
  OutlierDetector detector;
  const auto record = [&](double slow) {
    for (int i = 0; i < 20; ++i) {
      for (const char* sound : {"a", "b", "c", "d"}) {
        detector.Record(sound, 1.0);
      }
      detector.Record("slow", slow);
    }
    detector.UpdateSlowTargets();
  };
  record(4.0);
  REQUIRE(detector.IsSlow("slow"));
  REQUIRE_FALSE(detector.IsSlow("a"));
  REQUIRE(detector.TakeTrial("slow", kNow));
  REQUIRE_FALSE(detector.TakeTrial("slow", kNow + 1ms));
  REQUIRE(detector.TakeTrial("slow", kNow + 1s));
  REQUIRE_FALSE(detector.TakeTrial("a", kNow));
  record(1.0);
  REQUIRE_FALSE(detector.IsSlow("slow"));
}

namespace {

// A host that owns one backend server with two slots, and its calls.
struct ServerScene {
  ServerScene() {
    host.Configure({ClassSpec{"quick", WorkKind::kCall, 1s, 5s, true}});
    host.Do(ListEvent{{ListEntry{ListKind::kServer, "server", "dc", "rack", "", false}}});
    host.Pass(40ms);
    Answer(ServerOp::kProbe, ServerReply{ServerStatus::kOk, false, 2, {}});
  }

  void Answer(ServerOp op, const ServerReply& reply) {
    for (const SendServer& send : host.Take<SendServer>()) {
      if (send.request.op == op) {
        host.Do(ServerEvent{send.call, Delivery::kAnswered, reply});
      }
    }
  }

  void Dispatch(uint64_t run) {
    CallDispatch dispatch;
    dispatch.run = RunId{TaskId{{"t", std::to_string(run)}, 0}, run};
    dispatch.class_name = "quick";
    dispatch.start_within = 1s;
    dispatch.finish_within = 5s;
    host.Do(PeerEvent{"peer", dispatch});
  }

  OneHost host{"host"};
};

}  // namespace

TEST_CASE("a burst is refused at once beyond what can start in time, with a time to come back") {
  ServerScene scene;
  scene.Dispatch(1);
  scene.host.Pass(400ms);
  scene.Answer(ServerOp::kExecute, ServerReply{ServerStatus::kOk, false, 2, "body"});
  scene.host.Take<SendPeer>();
  for (uint64_t run = 2; run < 40; ++run) {
    scene.Dispatch(run);
  }
  const auto results = scene.host.TakeSent<CallResult>();
  REQUIRE(results.size() > 30);
  REQUIRE(results.size() < 36);
  for (const auto& [to, result] : results) {
    REQUIRE(result.code == ResultCode::kOverloaded);
    REQUIRE(result.verdict == Verdict::kNotRun);
    REQUIRE(result.retry_after > 0us);
  }
}

TEST_CASE("a call that expires in the queue is answered at that moment, as not run") {
  ServerScene scene;
  for (uint64_t run = 1; run <= 3; ++run) {
    scene.Dispatch(run);
  }
  scene.host.Pass(960ms);
  REQUIRE(scene.host.TakeSent<CallResult>().empty());
  scene.host.Pass(60ms);
  const auto results = scene.host.TakeSent<CallResult>();
  REQUIRE(results.size() == 1);
  REQUIRE(results.front().second.code == ResultCode::kStartTargetMissed);
  REQUIRE(results.front().second.verdict == Verdict::kNotRun);
}

}  // namespace hibiscus
