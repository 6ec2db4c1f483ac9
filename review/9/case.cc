// A daemon that is stopped for planned work answers open requests with 503, and the jobs that it refused run.
#include <algorithm>
#include <cstdlib>
#include <exception>
#include <thread>

#include "../standin-2/deployment.h"

namespace {

using review::Deployment;
using Json = nlohmann::json;

constexpr int kDaemons = 4;
constexpr int kMinions = 6;
constexpr int kCallers = 32;  // On the daemon that is stopped: those of a zone on the sheet.
constexpr int kMaxRounds = 6;
constexpr review::Millis kDeadline(3000);  // As on the sheets.
// After the SIGTERM: before the balancer has seen two misses, clients open connections; less than a second later they
// send jobs there. In between, the store becomes silent.
constexpr double kConnectAfterS = 1.8;
constexpr double kSilentAfterS = 2.45;
constexpr double kSendAfterS = 2.65;
constexpr double kSilentS = 4.2;
constexpr double kObservedS = 4;
constexpr double kPauseS = 2;
constexpr double kLatestRoundS = 95;

Json UsualJob() {
  const Json step{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 500}, {"EstimateMs", 500}};
  return Json{{"TaskSpec", "work_ms=500"}, {"Steps", Json::array({step})}};
}

// A client that hands in one job, in one attempt.
struct Caller {
  std::string job;
  std::unique_ptr<review::ClientConnection> connection;
  int status = 0;
};

void SendOnlyAttempt(Deployment& day, Caller& caller) {
  day.record().Write("client POST " + caller.job);
  const review::HttpResponse answer = caller.connection->Send(
      "POST", day.route().prefix + caller.job,
      {{"Host", day.route().host}, {"X-Hibiscusstand-Deadline-Ms", std::to_string(kDeadline.count())}},
      UsualJob().dump(), kDeadline);
  caller.status = answer.status;
  day.record().Write("client POST " + caller.job + " -> " +
                     (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
}

void WaitUntil(Deployment& day, double seconds) {
  day.Wait(std::max(0.0, seconds - day.record().Seconds()));
}

// The daemons are stopped in turn; the one that owns the cell is left out.
const review::DaemonProcess* NextToStop(Deployment& day, int round) {
  const std::string owner = day.OwnerName();
  if (owner.empty()) {
    return nullptr;
  }
  const size_t first = static_cast<size_t>(round) % day.daemons().size();
  const review::DaemonProcess& next = day.daemons()[first];
  return next.name != owner ? &next : &day.daemons()[(first + 1) % day.daemons().size()];
}

// Returns how many jobs were refused and ran all the same.
int PlayRound(Deployment& day, const review::DaemonProcess& stopped) {
  day.record().Say(stopped.name + " is stopped, the owner is " + day.OwnerName());
  const double begin = day.record().Seconds();
  day.StopPlanned(stopped.name);
  WaitUntil(day, begin + kConnectAfterS);
  std::vector<Caller> callers(kCallers);
  for (Caller& caller : callers) {
    caller.job = day.NewId();
    caller.connection = std::make_unique<review::ClientConnection>(stopped.front);
  }
  day.record().Write("clients connect to " + stopped.name);
  WaitUntil(day, begin + kSilentAfterS);
  if (review::HasTrouble()) {
    day.store().SetSilent(true);
    day.record().Write("the store is silent");
  }
  WaitUntil(day, begin + kSendAfterS);
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (Caller& caller : callers) {
    threads.emplace_back([&day, &caller] { SendOnlyAttempt(day, caller); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  WaitUntil(day, begin + kSilentAfterS + kSilentS);
  if (review::HasTrouble()) {
    day.store().SetSilent(false);
    day.record().Write("the store is back");
  }
  day.Wait(kObservedS);
  int accepted = 0;
  int refused = 0;
  int refused_and_started = 0;
  for (const Caller& caller : callers) {
    int starts = 0;
    for (const auto& minion : day.minions()) {
      starts += minion->StartsOf(caller.job);
    }
    const bool is_refused = caller.status == 429 || caller.status == 503 || caller.status == 404;
    accepted += caller.status == 200 ? 1 : 0;
    refused += is_refused ? 1 : 0;
    refused_and_started += is_refused && starts > 0 ? 1 : 0;
    day.record().Write("job " + caller.job + ": its only attempt was answered with " + std::to_string(caller.status) +
                       ", its tasks were started " + std::to_string(starts) + " times");
  }
  day.record().Say("jobs " + std::to_string(callers.size()) + ", accepted " + std::to_string(accepted) +
                   ", refused in all attempts " + std::to_string(refused) + ", of these started " +
                   std::to_string(refused_and_started));
  return refused_and_started;
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
    day.Submit(day.NewId(), UsualJob(), review::Millis(3000));
  }
  int refused_and_started = 0;
  for (int round = 0; round < kMaxRounds && refused_and_started == 0; ++round) {
    day.Wait(kPauseS);
    while (!day.AllReady() && day.record().Seconds() < kLatestRoundS) {
      day.Wait(0.2);
    }
    const review::DaemonProcess* stopped = NextToStop(day, round);
    if (stopped == nullptr || day.record().Seconds() > kLatestRoundS) {
      break;
    }
    refused_and_started = PlayRound(day, *stopped);
  }
  day.record().Say(refused_and_started > 0 ? "REFUSED is broken" : "REFUSED holds");
  return refused_and_started > 0 ? 1 : 0;
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
