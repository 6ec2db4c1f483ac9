// Workers that fail what others run: noticed, kept out of use, probed and released; jobs that fail anywhere take no
// worker away.
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <fmt/core.h>

#include "core/explain.h"
#include "hibiscusstand/quarantine.h"
#include "tests/reach_net.h"

namespace hibiscus {

namespace {

constexpr int kWorkers = 8;
constexpr int kBad = 0;  // The first to be filled.
const std::vector<ClassSpec> kClasses = {ClassSpec{"twice", WorkKind::kBatch, 10s, 60s, true},
                                         ClassSpec{"once", WorkKind::kBatch, 10s, 60s, false},
                                         ClassSpec{"gang", WorkKind::kGang, 10s, 60s, true}};

WorkerName NameOf(int worker) {
  return fmt::format("w{}", worker);
}

// One host with eight workers.
class QuarantineWorld {
 public:
  QuarantineWorld() {
    net.AddHost("a1", "a");
    for (int i = 0; i < kWorkers; ++i) {
      net.AddWorker(NameOf(i), "a", Resources{4000, 4000, 0});
      net.worker(NameOf(i)).set_poison("poison");
    }
    net.ShareList();
    net.Run(2s);
    Configuration configuration;
    configuration.change_id = "first";
    configuration.classes = kClasses;
    net.SetConfiguration("a1", configuration, 0);
    net.Run(2s);
    REQUIRE(net.host("a1").leases() == kWorkers);
  }

  ExchangeId Submit(const std::string& class_name, const std::string& id, int members = 1) {
    Request request;
    request.key = {"tenant", id};
    request.attempt = 1;
    request.class_name = class_name;
    request.size = Resources{1000, 1000, 0};
    request.run_time = 200ms;
    request.members = members;
    return net.Submit("a1", request);
  }

  // A stream of tasks, so that every worker is used now and then; their answers.
  std::vector<Answer> Stream(const std::string& class_name, const std::string& prefix, int tasks) {
    std::vector<ExchangeId> exchanges;
    for (int i = 0; i < tasks; ++i) {
      exchanges.push_back(Submit(class_name, fmt::format("{}{}", prefix, i)));
      net.Run(10ms);
    }
    std::vector<Answer> answers;
    for (const ExchangeId exchange : exchanges) {
      REQUIRE(net.RunUntil([&] { return net.AnswerTo(exchange) != nullptr; }, 70s));
      answers.push_back(*net.AnswerTo(exchange));
    }
    return answers;
  }

  size_t quarantined() const { return net.host("a1").quarantined_workers(); }
  bool IsQuarantined(int worker) const { return net.host("a1").ExplainWorker(NameOf(worker)).quarantine.quarantined; }

  ReachNet net;
};

size_t CountOf(const std::vector<Answer>& answers, Verdict verdict) {
  return static_cast<size_t>(
      std::count_if(answers.begin(), answers.end(), [&](const Answer& answer) { return answer.verdict == verdict; }));
}

Quarantine WithTargets(size_t targets, TimePoint now) {
  Quarantine quarantine;
  quarantine.SetTargetCount(targets);
  for (size_t i = 0; i < targets; ++i) {
    quarantine.RecordSuccess(NameOf(static_cast<int>(i)), "c", now);
  }
  return quarantine;
}

}  // namespace

TEST_CASE("distinct requests count, one that fails again and again does not") {
  Quarantine quarantine = WithTargets(8, TimePoint{});
  for (int i = 0; i < 50; ++i) {
    quarantine.RecordFailure("w0", "c", "same", TimePoint{});
  }
  CHECK_FALSE(quarantine.IsQuarantined("w0"));
  quarantine.RecordFailure("w0", "c", "second", TimePoint{});
  CHECK(quarantine.IsUnreliable("w0"));
  quarantine.RecordFailure("w0", "c", "third", TimePoint{});
  CHECK(quarantine.IsQuarantined("w0"));
}

TEST_CASE("a request that fails elsewhere too is taken back as evidence") {
  Quarantine quarantine = WithTargets(8, TimePoint{});
  for (const char* request : {"1", "2", "3"}) {
    quarantine.RecordFailure("w0", "c", request, TimePoint{});
  }
  REQUIRE(quarantine.IsQuarantined("w0"));
  for (const char* request : {"1", "2", "3"}) {
    quarantine.RecordFailure("w1", "c", request, TimePoint{});
  }
  CHECK(quarantine.quarantined().empty());
}

TEST_CASE("one target, or the last of two, is never quarantined") {
  Quarantine one = WithTargets(1, TimePoint{});
  Quarantine two = WithTargets(2, TimePoint{});
  for (int i = 0; i < 40; ++i) {
    one.RecordFailure("w0", "c", fmt::format("{}", i), TimePoint{});
    two.RecordFailure("w0", "c", fmt::format("{}", 2 * i), TimePoint{});
    two.RecordFailure("w1", "c", fmt::format("{}", 2 * i + 1), TimePoint{});
  }
  CHECK(one.quarantined().empty());
  CHECK(two.quarantined().size() <= 1);
}

TEST_CASE("probes go out singly after growing pauses; a success releases") {
  TimePoint now{};
  Quarantine quarantine = WithTargets(8, now);
  for (const char* request : {"1", "2", "3"}) {
    quarantine.RecordFailure("w0", "c", request, now);
  }
  Duration last = 0us;
  for (int probe = 0; probe < 4; ++probe) {
    const Duration pause = quarantine.StateOf("w0", now).probe_in;
    CHECK(pause > last);
    last = pause;
    CHECK_FALSE(quarantine.TakeProbe("w0", now));
    now += pause;
    CHECK(quarantine.TakeProbe("w0", now));
    CHECK_FALSE(quarantine.TakeProbe("w0", now));
    quarantine.RecordFailure("w0", "c", fmt::format("probe{}", probe), now);
  }
  quarantine.RecordSuccess("w0", "c", now);
  CHECK(quarantine.quarantined().empty());
  quarantine.RecordFailure("w0", "c", "again", now);
  quarantine.RecordFailure("w0", "c", "and again", now);
  CHECK(quarantine.IsQuarantined("w0"));
}

TEST_CASE("a target for which no probe comes along is tried again after a while") {
  TimePoint now{};
  Quarantine quarantine = WithTargets(8, now);
  for (const char* request : {"1", "2", "3"}) {
    quarantine.RecordFailure("w0", "c", request, now);
  }
  quarantine.ReleaseUnprobed(now + 1min);
  CHECK(quarantine.IsQuarantined("w0"));
  quarantine.ReleaseUnprobed(now + 10min);
  CHECK_FALSE(quarantine.IsQuarantined("w0"));
  CHECK(quarantine.IsUnreliable("w0"));
}

TEST_CASE("a worker that fails all is quarantined, and released once it runs work again") {
  QuarantineWorld world;
  world.net.worker(NameOf(kBad)).set_fails_everything(true);
  const std::vector<Answer> answers = world.Stream("twice", "t", 300);
  CHECK(CountOf(answers, Verdict::kDone) == 300);
  CHECK(world.IsQuarantined(kBad));
  CHECK(world.quarantined() == 1);
  world.net.worker(NameOf(kBad)).set_fails_everything(false);
  const auto released = [&] {
    world.Stream("twice", fmt::format("later{}-", world.net.log().starts()), 5);
    return world.quarantined() == 0;
  };
  CHECK(world.net.RunUntil(released, 10min));
  CHECK(world.net.log().broken().empty());
}

TEST_CASE("neither never-twice tasks nor gang members are probes") {
  QuarantineWorld world;
  world.net.worker(NameOf(kBad)).set_fails_everything(true);
  world.Stream("twice", "t", 300);
  REQUIRE(world.IsQuarantined(kBad));
  world.net.Run(2min);  // A probe is long due.
  CHECK(CountOf(world.Stream("once", "o", 100), Verdict::kDone) == 100);
  const ExchangeId gang = world.Submit("gang", "g", 20);
  REQUIRE(world.net.RunUntil([&] { return world.net.AnswerTo(gang) != nullptr; }, 70s));
  CHECK(world.net.AnswerTo(gang)->verdict == Verdict::kDone);
  CHECK(world.IsQuarantined(kBad));
}

TEST_CASE("jobs that fail everywhere take no worker away for long, and each is ended") {
  QuarantineWorld world;
  for (const Answer& answer : world.Stream("twice", "poison-first", 3)) {
    CHECK(answer.code == ResultCode::kPoisonJob);
  }
  CHECK(CountOf(world.Stream("twice", "poison", 100), Verdict::kFailed) == 100);
  CHECK(world.quarantined() <= kWorkers / 3);
  CHECK(CountOf(world.Stream("twice", "sound", 200), Verdict::kDone) == 200);
}

TEST_CASE("where every worker fails, most stay in use and every request is answered") {
  QuarantineWorld world;
  for (int i = 0; i < kWorkers; ++i) {
    world.net.worker(NameOf(i)).set_fails_everything(true);
  }
  const std::vector<Answer> answers = world.Stream("twice", "t", 200);
  CHECK(CountOf(answers, Verdict::kFailed) == 200);
  CHECK(world.quarantined() <= kWorkers / 3);
  for (int i = 0; i < kWorkers; ++i) {
    world.net.worker(NameOf(i)).set_fails_everything(false);
  }
  CHECK(CountOf(world.Stream("twice", "later", 100), Verdict::kDone) == 100);
}

}  // namespace hibiscus
