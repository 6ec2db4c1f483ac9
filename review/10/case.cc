// A job whose cancelling was acknowledged runs: the daemon that had its request
// stood still meanwhile.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>

#include "../standin-2/deployment.h"

namespace {

using review::Deployment;
using Json = nlohmann::json;

constexpr int kDaemons = 4;
constexpr int kMinions = 6;
constexpr review::Millis kDeadline(3000);  // As on the sheets.
constexpr int kWorkMs = 16'000;            // The longest work of a kind of request on the small sites.
constexpr double kFreezeS = 4;
constexpr double kSendAfterS = 0.3;  // After the freeze has begun.
constexpr double kContactS = 4;      // A disruption is near for so long.
constexpr double kCancelS = 3;       // UNASKED: cancel_ms and StopMs after the cancelling was acknowledged.
constexpr double kStopS = 0.9;
constexpr double kObservedS = 8;

Json Job(int work_ms) {
  const Json step{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 500}, {"EstimateMs", work_ms}};
  return Json{{"TaskSpec", "work_ms=" + std::to_string(work_ms)}, {"Steps", Json::array({step})}};
}

// A daemon that does not own the cell.
const review::DaemonProcess* AnyOther(Deployment& day, const std::string& owner) {
  const auto found = std::find_if(day.daemons().begin(), day.daemons().end(),
                                  [&](const review::DaemonProcess& each) { return each.name != owner; });
  return found == day.daemons().end() ? nullptr : &*found;
}

int Run(const std::string& folder) {
  Deployment day(folder, kDaemons);
  review::MinionSettings settings;
  settings.labels = {"a", "r1"};
  settings.cpu = 32'000;
  settings.memory_mb = 65'536;
  for (int i = 0; i < kMinions; ++i) {
    day.AddMinion(settings);
  }
  if (!day.Start()) {
    return 2;
  }
  for (int i = 0; i < 5; ++i) {
    day.Submit(day.NewId(), Job(500), review::Millis(3000));
  }
  day.Wait(2);
  const std::string owner = day.OwnerName();
  const review::DaemonProcess* frozen = AnyOther(day, owner);
  const review::DaemonProcess* other = nullptr;
  for (const review::DaemonProcess& daemon : day.daemons()) {
    other = frozen != nullptr && daemon.name != frozen->name ? &daemon : other;
  }
  if (owner.empty() || frozen == nullptr || other == nullptr) {
    return 2;
  }
  const std::string job = day.NewId();
  const std::map<std::string, std::string> headers{{"Host", day.route().host},
                                                   {"X-Hibiscusstand-Deadline-Ms", std::to_string(kDeadline.count())}};
  const double begin = day.record().Seconds();
  if (review::HasTrouble()) {
    kill(frozen->pid, SIGSTOP);
    day.record().Say(frozen->name + " stands still; the owner is " + owner);
  }
  day.Wait(kSendAfterS);
  day.record().Write("client POST " + job + " at " + frozen->name);
  const review::HttpResponse submitted =
      review::Send(frozen->front, "POST", day.route().prefix + job, headers, Job(kWorkMs).dump(), kDeadline);
  day.record().Say("POST " + job + " -> " + std::to_string(submitted.status) + "; the client has left");
  const review::HttpResponse cancelled =
      review::Send(other->front, "DELETE", day.route().prefix + job, headers, "", kDeadline);
  const double cancelled_s = day.record().Seconds();
  day.record().Say("DELETE " + job + " at " + other->name + " -> " + std::to_string(cancelled.status) + " " +
                   cancelled.body);
  if (review::HasTrouble()) {
    day.Wait(std::max(0.0, begin + kFreezeS - day.record().Seconds()));
    kill(frozen->pid, SIGCONT);
    day.record().Say(frozen->name + " goes on");
  }
  const bool acknowledged = cancelled.status == 200 || cancelled.status == 410;
  const double judged_from = std::max(cancelled_s + kCancelS + kStopS, begin + kFreezeS + kContactS);
  day.Wait(std::max(0.0, judged_from - day.record().Seconds()));
  int working = 0;
  const double end = day.record().Seconds() + kObservedS;
  while (day.record().Seconds() < end && working == 0) {
    const std::vector<review::WorkingRun> runs = day.Working();
    working = static_cast<int>(std::count_if(runs.begin(), runs.end(),
                                             [&](const review::WorkingRun& run) { return run.task.starts_with(job); }));
    day.Wait(0.05);
  }
  day.record().Say("tasks of the job at work: " + std::to_string(working) + "; it is shown as " +
                   day.StateOf(job, review::Millis(3000)));
  const bool broken = acknowledged && working > 0;
  day.record().Say(broken ? "UNASKED is broken" : "UNASKED holds");
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
