#include "tests/chaos_faults.h"

#include <algorithm>

namespace hibiscus {

namespace {

constexpr Duration kFaultsFrom = 3s;    // Until then the hosts find each other and take their leases.
constexpr Duration kFaultsUntil = 11s;  // No fault begins later.
constexpr Duration kLongestFault = 7s;  // Longer than every control lease.
constexpr Duration kLongFault = 14s;    // In some seeds: longer than every run lease too.
constexpr Duration kUntilProbe = 13s;   // Between the end of the last fault and the probes.
constexpr Duration kUntilRest = 11s;    // Between the probes and the last check.
constexpr Duration kUntilLastAsk = 8s;  // Between the probes and the last questions for deferred results.
constexpr Duration kLongestStop = 14s;  // A planned stop is over by then.
constexpr Duration kListLag = 2s;
constexpr Duration kLeavingServes = 5s;  // Then a leaving backend server is gone.

bool LeavesNoDoubt(Fault fault) {
  return fault == Fault::kPlannedStop || fault == Fault::kImpossibleJob || fault == Fault::kRacingOperators ||
         fault == Fault::kServerLeaves || fault == Fault::kStoreDown || fault == Fault::kStoreSlow ||
         fault == Fault::kCutFromStore || fault == Fault::kLinkCut;
}

}  // namespace

const ChaosRun::Action ChaosRun::kActions[kFaultCount] = {
    &ChaosRun::KillHost,       &ChaosRun::PauseHost,        &ChaosRun::LoseMessages,
    &ChaosRun::DelayMessages,  &ChaosRun::CutLink,          &ChaosRun::CutFromStore,
    &ChaosRun::StopStore,      &ChaosRun::SlowStore,        &ChaosRun::LoseStoreAnswers,
    &ChaosRun::RestartWorker,  &ChaosRun::CutWorker,        &ChaosRun::FailAllOnWorker,
    &ChaosRun::ChangeRunTimes, &ChaosRun::SubmitImpossible, &ChaosRun::CancelAll,
    &ChaosRun::RaceOperators,  &ChaosRun::ServerLeaves,     &ChaosRun::ServerDies,
    &ChaosRun::StopHost,       &ChaosRun::CutHost,          &ChaosRun::CutHostFromWorkers,
    &ChaosRun::RemoveWorker,
};

ChaosRun::ChaosRun(uint64_t seed, bool trace)
    : world_(seed, trace), callers_(world_), audit_(world_), kept_(world_, audit_) {
  audit_.Start();
  Watch();
}

ChaosReport ChaosRun::Run() {
  const TimePoint start = world_.Now();
  Schedule();
  callers_.Start(start + kFaultsUntil + longest_ / 2);
  kept_.Start(start + kFaultsUntil + longest_ / 2);
  const Duration healed = kFaultsUntil + longest_ + kListLag + 100ms;
  world_.At(healed + 2s, [this] { RaceOperators(0us); });
  world_.At(healed + kUntilProbe, [this] { callers_.Probe(); });
  world_.At(healed + kUntilProbe + kUntilLastAsk, [this] {
    audit_.CheckAtRest();  // A question may stir up what was left.
    kept_.AskAll();
  });
  world_.RunUntil(start + healed + kUntilProbe + kUntilRest);
  if (std::all_of(faults_.begin(), faults_.end(), LeavesNoDoubt)) {
    callers_.ExpectNoUnknown();
    kept_.ExpectNoUnknown();
  }
  callers_.CheckAtRest();
  kept_.CheckAtRest();
  ChaosReport report;
  report.broken = world_.log().broken();
  report.faults = faults_;
  report.events = world_.events();
  report.requests = callers_.errands();
  report.starts = world_.log().starts();
  report.matrix = recorder_.matrix();
  report.done = callers_.answers_of(Verdict::kDone);
  report.not_run = callers_.answers_of(Verdict::kNotRun);
  report.unknown = callers_.answers_of(Verdict::kUnknown);
  report.accepted = kept_.accepted();
  report.batches = audit_.batches();
  report.trims = audit_.trims();
  return report;
}

// Up to three draws; half of the draws are of two faults at the same moment.
void ChaosRun::Schedule() {
  longest_ = world_.Chance(0.2) ? kLongFault : kLongestFault;
  const uint64_t draws = 1 + world_.Draw(3);
  for (uint64_t i = 0; i < draws; ++i) {
    const Duration at = world_.DrawTime(kFaultsFrom, kFaultsUntil);
    const uint64_t together = 1 + world_.Draw(2);
    for (uint64_t j = 0; j < together; ++j) {
      const auto fault = static_cast<Fault>(world_.Draw(kFaultCount));
      const Duration length = world_.DrawTime(200ms, longest_);
      faults_.push_back(fault);
      world_.At(at + world_.DrawTime(0us, 50ms), [this, fault, length] { Begin(fault, length); });
    }
  }
}

void ChaosRun::Begin(Fault fault, Duration length) {
  world_.DisturbFor(std::max(length, kLongestFault) + kListLag);
  world_.Trace("FAULT {} for {} ms", NameOf(fault), Millis(length));
  struck_.clear();
  const auto action = kActions[static_cast<size_t>(fault)];
  (this->*action)(length);
  recorder_.OnFault(world_.Now(), struck_, fault, length);
}

Node* ChaosRun::AnyHost() {
  std::vector<Node*> hosts;
  for (Node& node : world_.nodes()) {
    if (node.up && !node.paused && !node.leaving) {
      hosts.push_back(&node);
    }
  }
  if (hosts.empty()) {
    return nullptr;
  }
  Node* host = hosts[world_.Draw(hosts.size())];
  struck_ = host->data_centre;
  return host;
}

WorkerNode& ChaosRun::AnyWorker() {
  WorkerNode& worker = world_.workers()[world_.Draw(world_.workers().size())];
  struck_ = worker.data_centre;
  return worker;
}

ServerNode& ChaosRun::AnyServer() {
  ServerNode& server = world_.servers()[world_.Draw(world_.servers().size())];
  struck_ = server.data_centre;
  return server;
}

void ChaosRun::Watch() {
  for (const DataCentre& where : world_.data_centres()) {
    Observer& observer = observers_.emplace_back(*this, where);
    for (Node& node : world_.nodes()) {
      if (node.data_centre == where) {
        node.observer = &observer;
        node.core->set_step_observer(&observer);
      }
    }
  }
}

void ChaosRun::KillHost(Duration length) {
  if (Node* host = AnyHost(); host != nullptr) {
    world_.Kill(*host);
    callers_.OnHostDied(*host);
    kept_.OnHostDied(*host);
    world_.At(length, [this, host] { world_.Boot(*host); });
  }
}

void ChaosRun::PauseHost(Duration length) {
  if (Node* host = AnyHost(); host != nullptr) {
    world_.Pause(*host);
    world_.At(length, [this, host] { world_.Wake(*host); });
  }
}

void ChaosRun::LoseMessages(Duration length) {
  world_.weather().loss = 0.02 + 0.01 * static_cast<double>(world_.Draw(30));
  world_.At(length, [this] { world_.weather().loss = 0; });
}

void ChaosRun::DelayMessages(Duration length) {
  world_.weather().late = 0.02 + 0.01 * static_cast<double>(world_.Draw(30));
  world_.At(length, [this] { world_.weather().late = 0; });
}

void ChaosRun::CutLink(Duration length) {
  const auto& centres = world_.data_centres();
  const std::pair<DataCentre, DataCentre> link{centres[world_.Draw(centres.size())],
                                               centres[world_.Draw(centres.size())]};
  if (link.first != link.second) {
    world_.weather().cut_links.insert(link);
    world_.At(length, [this, link] { world_.weather().cut_links.erase(link); });
  }
}

void ChaosRun::CutFromStore(Duration length) {
  const auto& centres = world_.data_centres();
  const DataCentre centre = centres[world_.Draw(centres.size())];
  struck_ = centre;
  world_.weather().cut_from_store.insert(centre);
  world_.At(length, [this, centre] { world_.weather().cut_from_store.erase(centre); });
}

void ChaosRun::StopStore(Duration length) {
  world_.weather().store_down = true;
  world_.At(length, [this] { world_.weather().store_down = false; });
}

void ChaosRun::SlowStore(Duration length) {
  world_.weather().store_slow = true;
  world_.At(length, [this] { world_.weather().store_slow = false; });
}

void ChaosRun::LoseStoreAnswers(Duration length) {
  world_.weather().store_loses_answers = true;
  world_.At(length, [this] { world_.weather().store_loses_answers = false; });
  RaceOperators(length);
  struck_.clear();
}

void ChaosRun::RestartWorker(Duration length) {
  WorkerNode& worker = AnyWorker();
  worker.up = false;
  worker.fake.Restart();
  world_.At(length, [&worker] { worker.up = true; });
}

void ChaosRun::CutWorker(Duration length) {
  WorkerNode& worker = AnyWorker();
  worker.cut = true;
  world_.At(length, [&worker] { worker.cut = false; });
}

void ChaosRun::FailAllOnWorker(Duration length) {
  WorkerNode& worker = AnyWorker();
  worker.fake.set_fails_everything(true);
  world_.At(length, [&worker] { worker.fake.set_fails_everything(false); });
}

void ChaosRun::ChangeRunTimes(Duration length) {
  constexpr double kFactors[] = {0.1, 0.5, 3, 8};
  WorkerNode& worker = AnyWorker();
  ServerNode& server = AnyServer();
  worker.fake.set_slowness(kFactors[world_.Draw(std::size(kFactors))]);
  server.fake.set_slowness(kFactors[world_.Draw(std::size(kFactors))]);
  world_.At(length, [&worker, &server] {
    worker.fake.set_slowness(1);
    server.fake.set_slowness(1);
  });
}

void ChaosRun::SubmitImpossible(Duration) {
  const auto& centres = world_.data_centres();
  const DataCentre& data_centre = centres[world_.Draw(centres.size())];
  callers_.Submit(world_.Chance(0.5) ? "batch" : "crew", data_centre, Resources{64'000, 100, 0}, false);
}

void ChaosRun::CancelAll(Duration) {
  callers_.CancelWave();
  kept_.CancelWave();
}

void ChaosRun::RaceOperators(Duration) {
  const uint64_t operators = 2 + world_.Draw(2);
  for (uint64_t i = 0; i < operators; ++i) {
    if (Node* host = AnyHost(); host != nullptr) {
      callers_.ChangeConfiguration(*host);
    }
  }
  struck_.clear();
}

void ChaosRun::ServerLeaves(Duration) {
  ServerNode& server = AnyServer();
  if (server.left != TimePoint::max() || !server.up) {
    return;
  }
  server.left = world_.Now();
  server.fake.set_leaving(true);
  world_.At(kListLag, [&server] { server.listed_leaving = true; });
  world_.At(kLeavingServes, [&server] { server.up = false; });
  world_.At(kLongestFault, [&server] {
    server.up = true;
    server.left = TimePoint::max();
    server.listed_leaving = false;
    server.fake.set_leaving(false);
  });
}

void ChaosRun::ServerDies(Duration length) {
  ServerNode& server = AnyServer();
  if (server.left == TimePoint::max()) {
    server.up = false;
    world_.At(length, [&server] { server.up = true; });
  }
}

void ChaosRun::StopHost(Duration) {
  Node* host = AnyHost();
  if (host == nullptr || world_.UpHosts(host->data_centre).size() < 2) {
    return;
  }
  host->leaving = true;
  const int generation = host->generation;
  world_.Trace("{} is asked to leave", host->name);
  world_.Deliver(*host, LeaveEvent{});
  world_.At(std::max(longest_, kLongestStop), [this, host, generation] {
    if (host->generation == generation && host->up) {
      world_.Broken(host->name + " was asked to leave long ago and is still here");
    }
    if (!host->up) {
      world_.Boot(*host);
    }
  });
}

void ChaosRun::CutPair(const std::string& from, const std::string& to, Duration length) {
  world_.weather().cut_pairs.insert({from, to});
  world_.At(length, [this, from, to] { world_.weather().cut_pairs.erase({from, to}); });
}

// One way, the other, or both; from some or all of the peers.
void ChaosRun::CutHost(Duration length) {
  const Node* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  const uint64_t ways = 1 + world_.Draw(3);
  const double share = world_.Chance(0.5) ? 1.0 : 0.5;
  for (const Node& peer : world_.nodes()) {
    if (&peer == host || !world_.Chance(share)) {
      continue;
    }
    if ((ways & 1) != 0) {
      CutPair(host->name, peer.name, length);
    }
    if ((ways & 2) != 0) {
      CutPair(peer.name, host->name, length);
    }
  }
}

void ChaosRun::CutHostFromWorkers(Duration length) {
  const Node* host = AnyHost();
  if (host == nullptr) {
    return;
  }
  const uint64_t ways = 1 + world_.Draw(3);
  for (const WorkerNode& worker : world_.workers()) {
    if (worker.data_centre != host->data_centre || !world_.Chance(0.7)) {
      continue;
    }
    if ((ways & 1) != 0) {
      CutPair(host->name, worker.name, length);
    }
    if ((ways & 2) != 0) {
      CutPair(worker.name, host->name, length);
    }
  }
}

// Cut off for good, as far as anyone can see, and dropped from the list; it runs on. Its return is a restart.
void ChaosRun::RemoveWorker(Duration length) {
  WorkerNode& worker = AnyWorker();
  worker.cut = true;
  world_.At(kListLag, [&worker] { worker.listed = false; });
  world_.At(kListLag + length, [&worker] {
    worker.cut = false;
    worker.listed = true;
    worker.fake.Restart();
  });
}

}  // namespace hibiscus
