// Gangs that fit one minion only do not start for minutes after it was at fault
// for some seconds.
#include <algorithm>
#include <cstdlib>
#include <exception>

#include "../standin-2/deployment.h"

namespace {

using review::Deployment;
using Json = nlohmann::json;

constexpr int kDaemons = 3;
constexpr int kPlainMinions = 11;  // With the other one: one of twelve is a share of 0.083.
constexpr int kGangs = 4;
constexpr int kMembers = 2;
constexpr double kGreyS = 6.5;
constexpr double kLateAfterS = 5;  // Another gang comes so long after the fault.
constexpr double kTrafficS = 15;   // After that.
constexpr double kFinishS = 14;    // LOST: jobs are asked for so long after the end of the traffic.
constexpr double kObservedS = 40;
constexpr double kIdleLimitS = 3;  // LOST: nothing of a job runs for this long.

Json Gang() {
  const Json step{{"Count", kMembers}, {"Cpu", 1000},  {"MemMb", 1000},
                  {"Gpu", 1},          {"Gang", true}, {"EstimateMs", 3000}};
  return Json{{"TaskSpec", "work_ms=3000 gang=" + std::to_string(kMembers)}, {"Steps", Json::array({step})}};
}

Json PlainJob() {
  const Json step{{"Count", 2}, {"Cpu", 6000}, {"MemMb", 1000}, {"EstimateMs", 600}};
  return Json{{"TaskSpec", "work_ms=600"}, {"Steps", Json::array({step})}};
}

int Run(const std::string& folder) {
  Deployment day(folder, kDaemons);
  review::MinionSettings plain;
  plain.labels = {"a", "r1"};
  plain.cpu = 32'000;
  plain.memory_mb = 65'536;
  for (int i = 0; i < kPlainMinions; ++i) {
    day.AddMinion(plain);
  }
  review::MinionSettings with_gpus = plain;
  with_gpus.labels = {"b", "r1"};
  with_gpus.cpu = 5000;
  with_gpus.gpu = 16;
  review::Minion& gpu_minion = day.AddMinion(with_gpus);
  if (!day.Start()) {
    return 2;
  }
  if (review::HasTrouble()) {
    gpu_minion.SetFailsStarts(true);
  }
  const double grey_until = day.record().Seconds() + kGreyS;
  std::vector<std::string> jobs;
  for (int i = 0; i < kGangs; ++i) {
    jobs.push_back(day.NewId());
    if (day.Submit(jobs.back(), Gang(), review::Millis(10'000)) != 200) {
      return 2;
    }
  }
  day.Wait(grey_until - day.record().Seconds());
  gpu_minion.SetFailsStarts(false);
  day.Wait(kLateAfterS);
  jobs.push_back(day.NewId());
  if (day.Submit(jobs.back(), Gang(), review::Millis(10'000)) != 200) {
    return 2;
  }
  day.record().Say("gang " + jobs.back() + " is handed in after the fault");

  const double traffic_ends = day.record().Seconds() + kTrafficS;
  while (day.record().Seconds() < traffic_ends) {
    day.Submit(day.NewId(), PlainJob(), review::Millis(3000));
    day.Wait(0.5);
  }
  day.record().Say("the traffic has ended");
  day.Wait(kFinishS);
  const double end = day.record().Seconds() + kObservedS;
  std::map<std::string, double> idle_since;
  std::map<std::string, double> longest_idle;
  while (day.record().Seconds() < end) {
    const double now = day.record().Seconds();
    const std::vector<review::WorkingRun> working = day.Working();
    for (const std::string& job : jobs) {
      const bool works = std::any_of(working.begin(), working.end(),
                                     [&](const review::WorkingRun& run) { return run.task.starts_with(job); });
      const bool over = works || gpu_minion.EndsOf(job).done > 0;
      idle_since[job] = over || !idle_since.contains(job) ? now : idle_since[job];
      longest_idle[job] = std::max(longest_idle[job], now - idle_since[job]);
    }
    day.Wait(0.02);
  }
  bool broken = false;
  for (const std::string& job : jobs) {
    const review::EndedCounts ends = gpu_minion.EndsOf(job);
    const std::string state = day.StateOf(job, review::Millis(5000));
    std::string line = "gang " + job;
    line += " is shown as ";
    line += state;
    line += "; starts of members " + std::to_string(gpu_minion.StartsOf(job));
    line += ", failed " + std::to_string(ends.failed);
    line += ", done " + std::to_string(ends.done);
    line += "; seconds on end in which nothing of it ran: ";
    line += std::to_string(longest_idle[job]);
    day.record().Say(line);
    broken = broken || (longest_idle[job] >= kIdleLimitS && state != "completed" && state != "failed");
  }
  day.record().Say(broken ? "LOST is broken" : "LOST holds");
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
