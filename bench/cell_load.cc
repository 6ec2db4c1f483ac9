#include "bench/cell_load.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

#include <fmt/core.h>

#include "standins/cell_world.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kStart = 2s;             // An owner is there and holds the workers.
constexpr Duration kTryAgainAfter = 500ms;  // A caller without an answer.
constexpr Duration kPollEvery = 1s;         // A caller asks for its job's state.
constexpr int kMostTries = 5;
constexpr double kLateFactor = 3;  // Objectives after which an end counts for nothing.
constexpr double kSpread = 0.5;    // Of sizes and times, as the deviation of a normal logarithm.

// One job on its way through the cell.
struct Course {
  JobSpec spec;
  const LoadClass* of = nullptr;
  TaskBehaviour behaviour;
  TimePoint first_try{};
  Duration objective{};
  int tries = 0;
  bool accepted = false;
  bool refused = false;  // By the last try.
  bool given_up = false;
  std::optional<TimePoint> ended;
};

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

class Load {
 public:
  explicit Load(const LoadOptions& options);
  LoadOutcome Run();

 private:
  void Configure();
  void ScheduleArrivals();
  double RateAt(const LoadClass& of, Duration at) const;
  double Draw(double mean);
  JobSpec DrawJob(const LoadClass& of);
  void Try(const std::shared_ptr<Course>& course);
  void OnAnswer(const std::shared_ptr<Course>& course, const CallerReply& reply);
  void Poll(const std::shared_ptr<Course>& course);
  ClassOutcome Sum(const LoadClass& of) const;

  const LoadOptions options_;
  std::mt19937_64 random_;
  CellWorld world_;
  std::vector<std::shared_ptr<Course>> courses_;
  int last_id_ = 0;
};

Load::Load(const LoadOptions& options)
    : options_(options),
      random_(options.seed),
      world_(options.seed, options.hosts, options.workers, options.policies) {}

void Load::Configure() {
  for (size_t i = 0; i < world_.worker_count(); ++i) {
    world_.worker(i).entry.capacity = options_.room;
    world_.WriteWorkerEntry(world_.worker(i));
  }
  world_.event_cost = options_.event_cost;
  world_.log_to_stdout = options_.log;
  for (const LoadClass& of : options_.classes) {
    world_.configuration.queues.push_back(of.queue);
    world_.allowed_percent[of.queue.name] = of.allowed_percent;
  }
  world_.configuration.services = {ServiceSpec{"pool", false}};
  world_.Configure();
}

double Load::RateAt(const LoadClass& of, Duration at) const {
  double rate = of.jobs_a_second;
  for (const LoadBurst& burst : options_.bursts) {
    if (burst.queue == of.queue.name && at >= burst.at && at < burst.at + burst.length) {
      rate *= burst.factor;
    }
  }
  return rate;
}

double Load::Draw(double mean) {
  return mean * std::lognormal_distribution<double>(-kSpread * kSpread / 2, kSpread)(random_);
}

JobSpec Load::DrawJob(const LoadClass& of) {
  JobSpec job;
  job.id = fmt::format("{:016x}", ++last_id_);
  job.queue = of.queue.name;
  job.payload = std::string(300, 'x') + job.id;
  const int steps = std::max(1, static_cast<int>(std::lround(Draw(of.steps))));
  for (int i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = std::clamp(static_cast<int>(std::lround(Draw(of.width))), 1, of.most_width);
    step.size.cpu_millis =
        std::min<int64_t>(std::llround(Draw(static_cast<double>(of.size.cpu_millis))), options_.room.cpu_millis / 2);
    step.size.memory_mb =
        std::min<int64_t>(std::llround(Draw(static_cast<double>(of.size.memory_mb))), options_.room.memory_mb / 2);
    step.gang = std::bernoulli_distribution(of.gang_share)(random_);
    if (i > 0) {
      step.after = {i - 1};
    }
    job.steps.push_back(step);
  }
  return job;
}

void Load::ScheduleArrivals() {
  for (const LoadClass& of : options_.classes) {
    Duration at{};
    while (true) {
      const double rate = std::max(RateAt(of, at), 1e-3);
      at += Duration(static_cast<int64_t>(1e6 * std::exponential_distribution<double>(rate)(random_)));
      if (at >= options_.length) {
        break;
      }
      auto course = std::make_shared<Course>();
      course->spec = DrawJob(of);
      course->of = &of;
      course->behaviour.takes = Duration(static_cast<int64_t>(Draw(static_cast<double>(of.takes.count()))));
      const double off = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
      for (StepSpec& step : course->spec.steps) {
        step.estimate = Duration(static_cast<int64_t>(static_cast<double>(course->behaviour.takes.count()) * off));
      }
      const auto chain = static_cast<double>((course->behaviour.takes * course->spec.steps.size()).count());
      course->objective = of.queue.target_latency + Duration(static_cast<int64_t>(of.queue.stretch * chain));
      courses_.push_back(course);
      world_.In(at, [this, course] {
        course->first_try = world_.Now();
        Try(course);
      });
    }
  }
}

void Load::Try(const std::shared_ptr<Course>& course) {
  if (++course->tries > kMostTries) {
    course->given_up = true;
    return;
  }
  const size_t host = random_() % world_.host_count();
  world_.Submit(host, course->spec, course->behaviour,
                [this, course](const CallerReply& reply) { OnAnswer(course, reply); });
}

void Load::OnAnswer(const std::shared_ptr<Course>& course, const CallerReply& reply) {
  if (course->accepted || course->given_up) {
    return;
  }
  course->refused = reply.outcome == CallerOutcome::kRejected || reply.outcome == CallerOutcome::kUnavailable;
  if (reply.outcome == CallerOutcome::kDone) {
    course->accepted = true;
    world_.In(course->behaviour.takes, [this, course] { Poll(course); });
    return;
  }
  const Duration pause = course->refused ? std::max(reply.retry_after, kTryAgainAfter) : kTryAgainAfter;
  world_.In(pause, [this, course] { Try(course); });
}

void Load::Poll(const std::shared_ptr<Course>& course) {
  world_.Ask(random_() % world_.host_count(), CallerKind::kState, course->spec.queue, course->spec.id,
             [this, course](const CallerReply& reply) {
               if (course->ended) {
                 return;
               }
               if (reply.outcome == CallerOutcome::kDone && IsFinal(reply.state)) {
                 course->ended = world_.Now();
                 return;
               }
               world_.In(kPollEvery, [this, course] { Poll(course); });
             });
}

ClassOutcome Load::Sum(const LoadClass& of) const {
  ClassOutcome sum;
  std::vector<Duration> times;
  double asked = 0;
  double served = 0;
  for (const std::shared_ptr<Course>& course : courses_) {
    if (course->of != &of) {
      continue;
    }
    double work = 0;
    for (const StepSpec& step : course->spec.steps) {
      work += static_cast<double>(step.count * step.size.cpu_millis) * Seconds(course->behaviour.takes);
    }
    ++sum.asked;
    asked += work;
    if (!course->accepted) {
      ++(course->refused ? sum.refused : sum.unanswered);
      continue;
    }
    if (!course->ended) {
      ++sum.too_late;
      continue;
    }
    const Duration took = *course->ended - course->first_try;
    times.push_back(took);
    // Callers learn of an end when they ask: half of the time between two questions later, on average.
    if (took <= course->objective + kPollEvery / 2) {
      ++sum.in_time;
      served += work;
    } else if (static_cast<double>(took.count()) <= kLateFactor * static_cast<double>(course->objective.count())) {
      ++sum.late;
    } else {
      ++sum.too_late;
    }
  }
  std::sort(times.begin(), times.end());
  if (!times.empty()) {
    sum.median = times[times.size() / 2];
    sum.p99 = times[times.size() * 99 / 100];
  }
  sum.work = asked > 0 ? served / asked : 1;
  sum.served = served / 1000;
  return sum;
}

LoadOutcome Load::Run() {
  Configure();
  world_.RunFor(kStart);
  ScheduleArrivals();
  world_.RunFor(options_.length + options_.after);
  LoadOutcome outcome;
  for (const LoadClass& of : options_.classes) {
    outcome.classes[of.queue.name] = Sum(of);
  }
  outcome.violations = world_.violations();
  outcome.starts = world_.starts();
  outcome.advice_seconds = world_.advice_seconds;
  return outcome;
}

LoadClass ClassOf(const std::string& name, int priority, Duration target, double stretch, int attempts) {
  LoadClass of;
  of.queue.name = name;
  of.queue.host = "a.example";
  of.queue.prefix = "/" + name + "/";
  of.queue.service = "pool";
  of.queue.target_latency = target;
  of.queue.priority = priority;
  of.queue.max_attempts = attempts;
  of.queue.stretch = stretch;
  return of;
}

}  // namespace

LoadOutcome RunLoad(const LoadOptions& options) {
  return Load(options).Run();
}

LoadOptions SmallDeployment() {
  LoadOptions options;
  options.hosts = 7;
  options.workers = 48;
  options.room = Resources{64'000, 256'000, 0};
  LoadClass gangs = ClassOf("gangs", 1, 1200ms, 2.2, 4);
  gangs.queue.advice = AdviceSpec{450ms, 6400us, 1500ms};
  gangs.jobs_a_second = 1.5;
  gangs.steps = 1.2;
  gangs.width = 8;
  gangs.most_width = 24;
  gangs.size = Resources{18'000, 52'000, 0};
  gangs.takes = 5s;
  gangs.gang_share = 1;
  gangs.allowed_percent = 25;
  LoadClass batch = ClassOf("batch", 2, 3s, 4, 4);
  batch.queue.advice = AdviceSpec{72ms, 1ms, 1500ms};
  batch.jobs_a_second = 4.4;
  batch.steps = 1.5;
  batch.width = 10;
  batch.most_width = 60;
  batch.size = Resources{3900, 14'000, 0};
  batch.takes = 3400ms;
  batch.allowed_percent = 45;
  LoadClass quick = ClassOf("quick", 0, 400ms, 1.5, 3);
  quick.queue.advice = AdviceSpec{6500us, 93us, 1500ms};
  quick.jobs_a_second = 48;
  quick.width = 2;
  quick.most_width = 12;
  quick.size = Resources{5600, 16'000, 0};
  quick.takes = 640ms;
  quick.gang_share = 0.3;
  quick.allowed_percent = 70;
  options.classes = {quick, gangs, batch};
  return options;
}

LoadOptions LargeDeployment() {
  LoadOptions options = SmallDeployment();
  options.hosts = 32;
  options.workers = 350;
  LoadClass& quick = options.classes[0];
  quick.queue.advice = AdviceSpec{9ms, 130us, 1500ms};
  quick.jobs_a_second = 100;
  quick.width = 3.2;
  quick.most_width = 19;
  quick.size = Resources{9900, 37'000, 0};
  quick.takes = 800ms;
  LoadClass& gangs = options.classes[1];
  gangs.queue.advice = AdviceSpec{430ms, 6200us, 1500ms};
  gangs.jobs_a_second = 4.3;
  gangs.width = 20;
  gangs.most_width = 120;
  gangs.size = Resources{18'000, 49'000, 0};
  LoadClass& batch = options.classes[2];
  batch.queue.advice = AdviceSpec{130ms, 1800us, 1500ms};
  batch.jobs_a_second = 7.2;
  batch.width = 25;
  batch.most_width = 150;
  batch.size = Resources{6900, 26'000, 0};
  return options;
}

LoadOptions FleetDeployment() {
  LoadOptions options = SmallDeployment();
  options.hosts = 147;
  options.workers = 1100;
  LoadClass& quick = options.classes[0];
  quick.queue.advice = AdviceSpec{11ms, 160us, 1500ms};
  quick.jobs_a_second = 142;
  quick.width = 4.5;
  quick.most_width = 27;
  quick.size = Resources{16'000, 57'000, 0};
  quick.takes = 800ms;
  LoadClass& gangs = options.classes[1];
  gangs.queue.advice = AdviceSpec{480ms, 6900us, 1500ms};
  gangs.jobs_a_second = 6.8;
  gangs.width = 40;
  gangs.most_width = 240;
  gangs.size = Resources{18'000, 52'000, 0};
  LoadClass& batch = options.classes[2];
  batch.queue.advice = AdviceSpec{140ms, 2ms, 1500ms};
  batch.jobs_a_second = 11.2;
  batch.width = 32;
  batch.most_width = 160;
  batch.size = Resources{11'000, 40'000, 0};
  return options;
}

}  // namespace hibiscus::cell
