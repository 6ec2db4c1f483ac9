// A start is repeated, and the minion that has answered it starts again. The copy is answered by the minion's next
// life; the owner forgets that, and starts the task on another minion while it works there.
#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <thread>

#include "../standin-2/deployment.h"

namespace {

using review::Deployment;
using Json = nlohmann::json;

constexpr int kDaemons = 3;
constexpr int kMinions = 8;  // One of them crashes: 0.125 of the service.
constexpr int kMaxRounds = 6;
constexpr double kLatestRoundS = 95;
constexpr review::Millis kBetweenRegions(12);  // One way, as on the sheet.
constexpr review::Millis kPatience(1000);
constexpr review::Millis kLate(2500);  // After this, orders without an answer are carried out.
// After the first orders that get no answer: the task comes, and the minion crashes.
constexpr double kTaskAfterS = 0.62;
constexpr double kCrashAfterS = 1.3;
constexpr review::Millis kDown(30);
constexpr review::Millis kEntryAfter(500);
constexpr double kObservedS = 3;
constexpr review::Millis kSampleInterval(10);
constexpr int kClients = 4;

Json JobOf(const std::string& label, int count, int work_ms) {
  const Json step{{"Count", count}, {"Cpu", 500}, {"MemMb", 100}, {"EstimateMs", work_ms}, {"Requires", label}};
  return Json{{"TaskSpec", "work_ms=" + std::to_string(work_ms)}, {"Steps", Json::array({step})}};
}

// Ids for jobs that several threads hand in.
class Ids {
 public:
  explicit Ids(Deployment& day) : day_(day) {}
  std::string Next() {
    const std::lock_guard lock(mutex_);
    return day_.NewId();
  }

 private:
  Deployment& day_;
  std::mutex mutex_;
};

// The usual traffic, on the other minions.
class Traffic {
 public:
  Traffic(Deployment& day, Ids& ids) {
    for (int i = 0; i < kClients; ++i) {
      threads_.emplace_back([this, &day, &ids] {
        while (!over_) {
          day.Submit(ids.Next(), JobOf("a", 3, 400), kPatience);
          day.Wait(0.08);
        }
      });
    }
  }
  ~Traffic() {
    over_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

 private:
  std::atomic<bool> over_{false};
  std::vector<std::thread> threads_;
};

bool Works(review::Minion& minion, const std::string& job) {
  const std::vector<review::WorkingRun> working = minion.Working();
  return std::any_of(working.begin(), working.end(), [&](const auto& run) { return run.task.starts_with(job + "."); });
}

// For how many samples on end, at most, the only task of the job worked on two minions.
int LongestDouble(Deployment& day, const std::string& job) {
  const auto until = review::Clock::now() + std::chrono::duration<double>(kObservedS);
  int longest = 0;
  int now = 0;
  while (review::Clock::now() < until) {
    const auto working = std::count_if(day.minions().begin(), day.minions().end(),
                                       [&](const auto& minion) { return Works(*minion, job); });
    now = working > 1 ? now + 1 : 0;
    longest = std::max(longest, now);
    std::this_thread::sleep_for(kSampleInterval);
  }
  return longest;
}

int CountOrders(Deployment& day, bool late) {
  int count = 0;
  for (const auto& minion : day.minions()) {
    count += late ? minion->late_orders() : minion->orders();
  }
  return count;
}

// Tasks that end one after the other keep the minion's lists coming.
void SubmitShortTasks(Deployment& day, Ids& ids) {
  constexpr int kTasks = 40;
  constexpr int kFirstMs = 1200;
  constexpr int kStepMs = 60;
  for (int i = 0; i < kTasks; ++i) {
    day.Submit(ids.Next(), JobOf("b", 1, kFirstMs + i * kStepMs), kPatience);
  }
  day.Wait(0.8);
}

// Returns whether the task worked on two minions at the same time.
bool PlayRound(Deployment& day, Ids& ids) {
  review::Minion& minion = *day.minions().front();
  SubmitShortTasks(day, ids);
  const std::string before = ids.Next();
  const std::string task = ids.Next();
  const std::string behind = ids.Next();
  if (review::HasTrouble()) {
    minion.SetLate(before, kLate);
    minion.SetLate(behind, kLate);
  }
  const double begin = day.record().Seconds();
  const auto wait_until = [&](double seconds) { day.Wait(std::max(0.0, begin + seconds - day.record().Seconds())); };
  day.Submit(before, JobOf("c", 3, 3000), kPatience);
  wait_until(kTaskAfterS);
  day.record().Write("the task is handed in: " + task);
  day.Submit(task, JobOf("b", 1, 6000), kPatience);
  day.Submit(behind, JobOf("c", 3, 3000), kPatience);
  wait_until(kCrashAfterS);
  std::thread restart([&] {
    if (review::HasTrouble()) {
      minion.Restart(kDown, kEntryAfter);
    }
  });
  const int samples = LongestDouble(day, task);
  restart.join();
  day.record().Say("task " + task + ".0.0.0 worked on two minions in " + std::to_string(samples) + " samples on end, " +
                   std::to_string(kSampleInterval.count()) + " ms apart");
  return samples > 1;
}

void AddMinions(Deployment& day) {
  for (int i = 0; i < kMinions; ++i) {
    review::MinionSettings settings;
    settings.cpu = 64'000;
    settings.memory_mb = 65'536;
    settings.born_in_start_answers = false;
    settings.labels = {i < 2 ? "b" : "a"};
    if (i == 0) {
      settings.labels.emplace_back("c");
      settings.one_way = kBetweenRegions;
    }
    day.AddMinion(settings);
  }
}

int Run(const std::string& folder) {
  Deployment day(folder, kDaemons);
  AddMinions(day);
  if (!day.Start()) {
    return 2;
  }
  Ids ids(day);
  bool broken = false;
  {
    const Traffic traffic(day, ids);
    for (int round = 0; round < kMaxRounds && !broken && day.record().Seconds() < kLatestRoundS; ++round) {
      day.Wait(2);
      broken = PlayRound(day, ids);
    }
  }
  day.record().Say("orders to minions " + std::to_string(CountOrders(day, false)) + ", of these without an answer " +
                   std::to_string(CountOrders(day, true)));
  day.record().Say(broken ? "TWICE is broken" : "TWICE holds");
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return argc == 2 ? Run(argv[1]) : 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
