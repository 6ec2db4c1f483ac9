#include "tests/chaos_callers.h"

#include <algorithm>

#include <fmt/core.h>

#include "core/records.h"

namespace hibiscus {

namespace {

constexpr Duration kAnswerSlack = 700ms;  // Past the finish target: the entry host's own grace and the way.
constexpr int kMostAttempts = 4;
constexpr Duration kInForceWithin = 5s;  // A configuration is in force everywhere after this.

constexpr Duration kMeanGap = 90ms;  // Between two requests.

}  // namespace

ChaosCallers::ChaosCallers(ChaosWorld& world) : world_(world) {
  world_.add_listener(this);
}

void ChaosCallers::Start(TimePoint until) {
  repeat_until_ = until;
  world_.At(2500ms, [this, until] { SendOne(until); });
}

void ChaosCallers::SendOne(TimePoint until) {
  if (world_.Now() >= until) {
    return;
  }
  const std::vector<ClassSpec> classes = FirstConfiguration().classes;
  const auto& centres = world_.data_centres();
  const Resources size{static_cast<int64_t>(500 + world_.Draw(3500)), static_cast<int64_t>(100 + world_.Draw(3000)),
                       world_.Chance(0.1) ? 1 : 0};
  const DataCentre& data_centre = centres[world_.Draw(centres.size())];
  Submit(classes[world_.Draw(classes.size())].name, data_centre, size, false);
  world_.At(world_.DrawTime(0us, 2 * kMeanGap), [this, until] { SendOne(until); });
}

void ChaosCallers::Submit(const std::string& class_name,
                          const DataCentre& data_centre,
                          const Resources& size,
                          bool probe) {
  const std::vector<Node*> hosts = world_.UpHosts(data_centre);
  if (hosts.empty()) {
    return;
  }
  Errand& errand = errands_.emplace_back();
  errand.spec = *FirstConfiguration().FindClass(class_name);
  errand.request.key = RequestKey{"t", fmt::format("{}{}", class_name, errands_.size())};
  errand.request.class_name = class_name;
  errand.request.size = errand.spec.kind == WorkKind::kCall ? Resources{} : size;
  errand.request.run_time = world_.DrawTime(50ms, probe ? 500ms : 3s);
  errand.data_centre = data_centre;
  errand.marked = probe || world_.Chance(0.8);
  errand.probe = probe;
  if (errand.spec.kind == WorkKind::kGang) {
    errand.request.members = static_cast<int>(2 + world_.Draw(2));
    errand.request.size.accelerators = 0;
  }
  Try(errand, *hosts[world_.Draw(hosts.size())]);
}

void ChaosCallers::Try(Errand& errand, Node& host) {
  const ExchangeId exchange = next_exchange_++;
  errand.attempts.push_back(Attempt{&host, host.generation, world_.Now(), {}, 0, false, {}});
  exchanges_[exchange] = {&errand, errand.attempts.size() - 1};
  Request request = errand.request;
  request.attempt = errand.marked ? static_cast<int>(errand.attempts.size()) : 0;
  world_.Trace("caller -> {} submit {} attempt {} exchange {}", host.name, request.key.ToString(), request.attempt,
               exchange);
  const int generation = host.generation;
  world_.At(world_.DrawTime(500us, 3ms), [this, &host, generation, exchange, request] {
    if (host.generation == generation) {
      world_.Deliver(host, CallerSubmit{exchange, request});
    } else {
      OnHostDied(host);
    }
  });
  const bool patient = errand.probe || world_.Chance(0.75);
  const Duration patience = patient ? errand.spec.finish_within + 1500ms : world_.DrawTime(300ms, 3s);
  const size_t index = errand.attempts.size() - 1;
  world_.At(patience, [this, &errand, index] {
    const bool open = errand.attempts.size() == index + 1 && errand.attempts[index].answers == 0;
    if (open && !errand.settled) {
      Repeat(errand);
    }
  });
  if (!errand.probe && world_.Chance(0.05)) {
    world_.At(world_.DrawTime(0us, 2s), [this, &host, &errand] {
      world_.Trace("caller -> {} cancel {}", host.name, errand.request.key.ToString());
      errand.settled = true;
      world_.Deliver(host, CallerCancel{next_exchange_++, errand.request.key});
    });
  }
}

void ChaosCallers::Repeat(Errand& errand) {
  if (errand.settled || errand.attempts.size() >= kMostAttempts || world_.Now() >= repeat_until_) {
    return;
  }
  // A caller of a call may come back through another data centre; a task's caller stays.
  const bool roams = errand.spec.kind == WorkKind::kCall && world_.Chance(0.2);
  const auto& centres = world_.data_centres();
  const std::vector<Node*> hosts = world_.UpHosts(roams ? centres[world_.Draw(centres.size())] : errand.data_centre);
  if (!hosts.empty()) {
    Try(errand, *hosts[world_.Draw(hosts.size())]);
  }
}

void ChaosCallers::OnHostDied(const Node& host) {
  for (Errand& errand : errands_) {
    for (Attempt& attempt : errand.attempts) {
      const bool gone = attempt.host == &host && attempt.generation != host.generation;
      if (!gone || attempt.answers > 0 || attempt.broken) {
        continue;
      }
      attempt.broken = true;
      world_.At(world_.DrawTime(5ms, 500ms), [this, &errand] { Repeat(errand); });
    }
  }
}

void ChaosCallers::CancelWave() {
  for (Errand& errand : errands_) {
    Attempt& last = errand.attempts.back();
    if (last.answers > 0 || !last.host->up || errand.settled) {
      continue;
    }
    errand.settled = true;
    world_.Deliver(*last.host, CallerCancel{next_exchange_++, errand.request.key});
  }
}

void ChaosCallers::OnAnswer(const Node& host, const AnswerCaller& answer) {
  const auto exchange = exchanges_.find(answer.exchange);
  if (exchange == exchanges_.end()) {
    return;  // Of a cancellation.
  }
  Errand& errand = *exchange->second.first;
  Attempt& attempt = errand.attempts[exchange->second.second];
  world_.Trace("{} -> caller {} {} {}", host.name, answer.answer.key.ToString(), NameOf(answer.answer.verdict),
               InfoOf(answer.answer.code).name);
  attempt.answer = answer.answer;
  attempt.answered = world_.Now();
  ++attempt.answers;
  ++verdicts_[static_cast<size_t>(answer.answer.verdict)];
  CheckAnswer(errand, attempt);
  const bool last = &attempt == &errand.attempts.back();
  const bool again = answer.answer.verdict == Verdict::kNotRun || answer.answer.verdict == Verdict::kUnknown;
  if (last && again && answer.answer.code != ResultCode::kNeverFits) {
    world_.At(answer.answer.retry_after + world_.DrawTime(1ms, 300ms), [this, &errand] { Repeat(errand); });
  } else if (!again) {
    errand.settled = true;
  }
}

void ChaosCallers::CheckAnswer(const Errand& errand, const Attempt& attempt) {
  const std::string name = errand.request.key.ToString();
  const Answer& answer = attempt.answer;
  if (attempt.answers > 1) {
    world_.Broken(fmt::format("{} got a second answer to one attempt", name));
  }
  if (answer.key != errand.request.key) {
    world_.Broken(fmt::format("{} got the answer of {}", name, answer.key.ToString()));
  }
  if (answer.verdict == Verdict::kDone) {
    std::string body;
    for (int member = 0; member < errand.request.members; ++member) {
      body += ExpectedBody(TaskId{errand.request.key, member});
    }
    if (answer.body != body) {
      world_.Broken(fmt::format("{} got the body '{}'", name, answer.body));
    }
  }
  if (answer.verdict == Verdict::kDone && StartsOf(errand) == 0) {
    world_.Broken(fmt::format("{} was answered as done and never ran", name));
  }
  const bool was_paused = attempt.host->last_paused > attempt.sent;
  if (!was_paused && attempt.answered - attempt.sent > errand.spec.finish_within + kAnswerSlack) {
    world_.Broken(fmt::format("{} was answered {} ms after the submit", name, Millis(attempt.answered - attempt.sent)));
  }
}

int ChaosCallers::StartsOf(const Errand& errand) const {
  int starts = 0;
  for (int member = 0; member < errand.request.members; ++member) {
    starts += world_.log().StartsOf(TaskId{errand.request.key, member});
  }
  return starts;
}

void ChaosCallers::Probe() {
  for (const DataCentre& data_centre : world_.data_centres()) {
    for (const ClassSpec& spec : FirstConfiguration().classes) {
      Submit(spec.name, data_centre, Resources{1000, 100, 0}, true);
    }
  }
}

void ChaosCallers::CheckAtRest() {
  for (const Errand& errand : errands_) {
    CheckErrand(errand);
  }
  CheckConfigurations();
}

void ChaosCallers::CheckErrand(const Errand& errand) {
  const std::string name = errand.request.key.ToString();
  for (int member = 0; member < errand.request.members; ++member) {
    const int starts = world_.log().StartsOf(TaskId{errand.request.key, member});
    if (!errand.spec.may_run_twice && starts > 1) {
      world_.Broken(fmt::format("{}/{} may not run twice and started {} times", name, member, starts));
    }
  }
  const auto not_run = [](const Attempt& a) { return a.answers > 0 && a.answer.verdict == Verdict::kNotRun; };
  if (std::all_of(errand.attempts.begin(), errand.attempts.end(), not_run) && StartsOf(errand) > 0) {
    world_.Broken(fmt::format("{} was only ever answered as not run and started {} times", name, StartsOf(errand)));
  }
  for (const Attempt& attempt : errand.attempts) {
    if (attempt.answers == 0 && !attempt.broken) {
      world_.Broken(fmt::format("{} was left without an answer by {}", name, attempt.host->name));
    }
  }
  const Attempt& first = errand.attempts.front();
  if (expect_no_unknown_ && errand.marked && first.answers > 0 && first.answer.verdict == Verdict::kUnknown) {
    world_.Broken(fmt::format("{} was left in doubt though nothing failed", name));
  }
  const bool served = std::any_of(errand.attempts.begin(), errand.attempts.end(),
                                  [](const Attempt& a) { return a.answer.verdict == Verdict::kDone && a.answers > 0; });
  if (errand.probe && !served) {
    world_.Broken(fmt::format("{} was not served though everything had healed: {}", name,
                              InfoOf(errand.attempts.back().answer.code).name));
  }
}

// --- Operators -------------------------------------------------------------------------------------------------------

void ChaosCallers::ChangeConfiguration(Node& host) {
  const ExchangeId exchange = next_exchange_++;
  Configuration next = host.core->configuration();
  next.change_id = fmt::format("change{}", exchange);
  changes_[exchange] = Change{next.change_id, next.version + 1, false, ResultCode::kOk};
  world_.Trace("operator -> {} set version {} as {}", host.name, next.version + 1, next.change_id);
  world_.Deliver(host, OperatorConfigSet{exchange, next.version, next});
}

void ChaosCallers::OnOperatorAnswer(const Node& host, const AnswerOperator& answer) {
  Change& change = changes_[answer.exchange];
  world_.Trace("{} -> operator {} {}", host.name, change.id, InfoOf(answer.code).name);
  if (change.answered) {
    world_.Broken(fmt::format("{} was answered twice", change.id));
  }
  change.answered = true;
  change.code = answer.code;
  if (answer.code == ResultCode::kOk && world_.disturbed_until() <= world_.Now()) {
    world_.At(kInForceWithin, [this, version = change.version, accepted = world_.Now()] {
      if (world_.disturbed_until() <= accepted) {
        CheckInForce(version);
      }
    });
  }
}

void ChaosCallers::CheckInForce(uint64_t version) {
  for (const Node& node : world_.nodes()) {
    if (node.up && node.core->configuration().version < version) {
      world_.Broken(fmt::format("{} has not applied configuration {} in time", node.name, version));
    }
  }
}

void ChaosCallers::OnConfiguration(const Node& host) {
  const Configuration& configuration = host.core->configuration();
  world_.Trace("{} applies configuration {} {}", host.name, configuration.version, configuration.change_id);
  const auto [entry, fresh] = in_force_.emplace(configuration.version, configuration.change_id);
  if (!fresh && entry->second != configuration.change_id) {
    world_.Broken(fmt::format("version {} is {} on one host and {} on {}", configuration.version, entry->second,
                              configuration.change_id, host.name));
  }
}

void ChaosCallers::CheckConfigurations() {
  uint64_t greatest = 0;
  for (const auto& [version, id] : in_force_) {
    greatest = std::max(greatest, version);
  }
  for (const Node& node : world_.nodes()) {
    if (node.up && node.core->configuration().version != greatest) {
      world_.Broken(
          fmt::format("{} has configuration {}, not {}", node.name, node.core->configuration().version, greatest));
    }
  }
  for (const auto& [exchange, change] : changes_) {
    const auto applied = in_force_.find(change.version);
    const bool stands = applied != in_force_.end() && applied->second == change.id;
    if (change.answered && change.code == ResultCode::kOk && !stands) {
      world_.Broken(fmt::format("{} was accepted and is not in force", change.id));
    }
    const bool denied = change.code == ResultCode::kConflict || change.code == ResultCode::kStoreUnavailable;
    if (change.answered && denied && stands) {
      world_.Broken(fmt::format("{} was refused and is in force", change.id));
    }
  }
  world_.store().Handle(StoreCall{StoreOp::kGet, kConfigKey, {}, 0, 0us}, [&](const StoreReply& reply) {
    const auto stored = DecodeConfiguration(reply.value);
    if (!stored || stored->version != greatest) {
      world_.Broken("the store's configuration is not the one in force");
    }
  });
}

void ChaosCallers::OnExit(const Node& host) {
  for (const Errand& errand : errands_) {
    for (const Attempt& attempt : errand.attempts) {
      const bool cut_off = attempt.host == &host && attempt.generation == host.generation - 1 && attempt.answers == 0;
      if (cut_off && attempt.sent + 5ms < world_.Now()) {
        world_.Broken(
            fmt::format("{} was cut off by the planned stop of {}", errand.request.key.ToString(), host.name));
      }
    }
  }
  OnHostDied(host);
}

}  // namespace hibiscus
