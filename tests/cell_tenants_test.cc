// API keys and tenants in the cell: who is served, and for how long after a key was withdrawn.
#include <catch2/catch.hpp>

#include "cell/tenant_quota.h"
#include "cell/tenant_share.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

constexpr Duration kWithdrawalLimit = 5s;

// Two tenants with two keys each.
void AddTenants(CellWorld& world) {
  world.key_withdrawal_limit = kWithdrawalLimit;
  for (size_t i = 0; i < world.host_count(); ++i) {
    world.Boot(i);
  }
  AddQueues(world);
  world.configuration.needs_keys = true;
  world.configuration.tenants = {TenantSpec{"north", {"n1", "n2"}, 50, {}}, TenantSpec{"south", {"s1", "s2"}, 50, {}}};
  world.Configure();
  REQUIRE(Settle(world));
}

CallerOutcome SubmitWith(CellWorld& world, size_t host, int number, const KeyDigest& key) {
  world.SetKey(JobId(number), key);
  std::optional<CallerOutcome> outcome;
  world.Submit(host, JobOf(number, {StepOf(1, 500)}), TaskBehaviour{300ms, 0},
               [&](const CallerReply& reply) { outcome = reply.outcome; });
  world.RunUntil([&] { return outcome.has_value(); }, 4s);
  return outcome.value_or(CallerOutcome::kOutcomeUnknown);
}

CallerOutcome AskWith(CellWorld& world, CallerKind kind, int number, const KeyDigest& key) {
  world.SetKey(JobId(number), key);
  std::optional<CallerOutcome> outcome;
  world.Ask(0, kind, "plain", JobId(number), [&](const CallerReply& reply) { outcome = reply.outcome; });
  world.RunUntil([&] { return outcome.has_value(); }, 4s);
  return outcome.value_or(CallerOutcome::kOutcomeUnknown);
}

TEST_CASE("requests without a valid key are refused on every host and run nothing") {
  CellWorld world(401, 4, 6);
  AddTenants(world);
  int number = 0;
  for (size_t host = 0; host < world.host_count(); ++host) {
    CHECK(SubmitWith(world, host, ++number, "") == CallerOutcome::kUnauthorized);
    CHECK(SubmitWith(world, host, ++number, "x1") == CallerOutcome::kUnauthorized);
    CHECK(SubmitWith(world, host, ++number, "n2") == CallerOutcome::kDone);
  }
  world.RunFor(1s);
  CHECK(world.starts() == static_cast<int>(world.host_count()));
  CHECK(AskWith(world, CallerKind::kState, 3, "x1") == CallerOutcome::kUnauthorized);
  CHECK(AskWith(world, CallerKind::kPending, 3, "") == CallerOutcome::kUnauthorized);
  CHECK(world.violations().empty());
}

TEST_CASE("a public queue needs no key") {
  CellWorld world(402, 3, 4);
  AddTenants(world);
  world.configuration.queues[0].is_public = true;
  world.Configure();
  world.RunFor(500ms);
  CHECK(SubmitWith(world, 0, 1, "") == CallerOutcome::kDone);
  CHECK(AskWith(world, CallerKind::kState, 1, "") == CallerOutcome::kDone);
}

TEST_CASE("a job is seen and cancelled with its tenant's keys only, also after a takeover") {
  CellWorld world(403, 4, 6);
  AddTenants(world);
  REQUIRE(SubmitWith(world, 1, 1, "n1") == CallerOutcome::kDone);
  for (const bool taken_over : {false, true}) {
    if (taken_over) {
      world.RunFor(1s);  // It has ended.
      world.Kill(*world.OwnerIndex());
      world.RunFor(3s);
    }
    CHECK(AskWith(world, CallerKind::kState, 1, "s1") == CallerOutcome::kNoSuchJob);
    CHECK(AskWith(world, CallerKind::kCancel, 1, "s2") == CallerOutcome::kNoSuchJob);
    CHECK(SubmitWith(world, 2, 1, "s1") == CallerOutcome::kInvalidJob);
    CHECK(AskWith(world, CallerKind::kState, 1, "n2") == CallerOutcome::kDone);
    CHECK(SubmitWith(world, 2, 1, "n2") == CallerOutcome::kDone);
  }
  CHECK(world.StateOf("plain", JobId(1)) == JobState::kCompleted);
  CHECK(world.starts() == 1);
  CHECK(world.violations().empty());
}

// No host learns of the withdrawal, because the store serves only the operator.
TEST_CASE("a withdrawn key is refused in time by hosts that are cut off from the store") {
  for (const Duration answer_delay : {0ms, 900ms}) {
    CellWorld world(404, 4, 6);
    AddTenants(world);
    world.store().faults.extra_delay = answer_delay;  // Reads that were answered late say what was long ago.
    world.RunFor(2s);
    (answer_delay > Duration(0) ? world.store().faults.silent : world.store().faults.down) = true;
    world.configuration.tenants[0].keys = {"n2"};
    world.Configure();
    const TimePoint withdrawn = world.Now();
    CHECK(AskWith(world, CallerKind::kPending, 900, "n1") == CallerOutcome::kDone);
    CHECK(AskWith(world, CallerKind::kPending, 900, "n2") == CallerOutcome::kDone);
    while (world.Now() < withdrawn + kWithdrawalLimit * 2) {
      AskWith(world, CallerKind::kPending, 900, "n1");
      world.RunFor(50ms);
    }
    CHECK(AskWith(world, CallerKind::kPending, 900, "n2") == CallerOutcome::kUnavailable);
    world.store().faults = CallFaults{};
    world.RunFor(2s);
    CHECK(AskWith(world, CallerKind::kPending, 900, "n1") == CallerOutcome::kUnauthorized);
    CHECK(AskWith(world, CallerKind::kPending, 900, "n2") == CallerOutcome::kDone);
    CHECK(world.violations().empty());
  }
}

// Outages of a few seconds are ordinary, and a limit that is hardly longer must not stop the service.
TEST_CASE("keys stay valid through a store outage of 4.5 s") {
  CellWorld world(405, 4, 6);
  AddTenants(world);
  REQUIRE(SubmitWith(world, 1, 1, "n1") == CallerOutcome::kDone);
  world.store().faults.down = true;
  world.RunFor(4500ms);
  CHECK(AskWith(world, CallerKind::kState, 1, "n1") == CallerOutcome::kDone);
}

TEST_CASE("an owner that was paused does not accept a key that was withdrawn meanwhile") {
  for (const Duration pause : {4000ms, 5500ms, 9000ms}) {
    CellWorld world(406, 1, 4);  // A single host: no other becomes the owner.
    AddTenants(world);
    world.configuration.tenants[0].keys.clear();
    world.Freeze(0, pause);
    world.Configure();
    for (int i = 0; i < 40; ++i) {
      world.In(i * 300ms, [&world, i] {
        world.SetKey(JobId(100 + i), "n1");
        world.Submit(0, JobOf(100 + i, {StepOf(1, 500)}), TaskBehaviour{}, [](const CallerReply&) {});
      });
    }
    world.RunFor(14s);
    CHECK(world.violations().empty());
    CHECK(SubmitWith(world, 0, 1, "n1") == CallerOutcome::kUnauthorized);
  }
}

// Watches are silent while the configuration changes, and the history is dropped afterwards.
TEST_CASE("keys that were withdrawn and added are in force although the store has lost its history") {
  CellWorld world(407, 4, 6);
  AddTenants(world);
  world.configuration.tenants[0].keys = {"n3"};
  world.Configure();
  world.store().ForgetHistory();
  world.RunFor(4s);
  for (size_t host = 0; host < world.host_count(); ++host) {
    CHECK(SubmitWith(world, host, 10 + static_cast<int>(host), "n1") == CallerOutcome::kUnauthorized);
    CHECK(SubmitWith(world, host, 20 + static_cast<int>(host), "n3") == CallerOutcome::kDone);
  }
  CHECK(world.violations().empty());
}

TEST_CASE("a key that was withdrawn is not in use again after a restart, and one that is given back is") {
  CellWorld world(408, 4, 6);
  AddTenants(world);
  world.configuration.tenants[0].keys = {"n2"};
  world.Configure();
  world.RunFor(1s);
  for (size_t i = 0; i < world.host_count(); ++i) {
    world.Kill(i);
    world.Boot(i);
  }
  REQUIRE(Settle(world));
  CHECK(SubmitWith(world, 1, 1, "n1") == CallerOutcome::kUnauthorized);
  world.configuration.tenants[0].keys = {"n1"};
  world.Configure();
  world.RunFor(1s);
  CHECK(SubmitWith(world, 1, 2, "n1") == CallerOutcome::kDone);
  CHECK(SubmitWith(world, 1, 3, "n2") == CallerOutcome::kUnauthorized);
  CHECK(world.violations().empty());
}

TEST_CASE("jobs of a tenant that has lost its last key come to their end") {
  CellWorld world(409, 4, 2);
  AddTenants(world);
  REQUIRE(SubmitWith(world, 0, 1, "n1") == CallerOutcome::kDone);
  world.configuration.tenants[0].keys.clear();
  world.Configure();
  world.RunFor(2s);
  CHECK(AskWith(world, CallerKind::kState, 1, "n1") == CallerOutcome::kUnauthorized);
  CHECK(world.CompletionCount(TaskRef{JobId(1), 0, 0, 0}) == 1);
}

// The store carries batches out and their answers are lost, so that the host sends another copy of the request while
// the first one's job counts as being stored. The key goes in between.
TEST_CASE("a copy of a request whose job was accepted is not denied because its key was withdrawn since") {
  CellWorld world(410, 3, 4);
  AddTenants(world);
  world.RunFor(Owner::kDuplicateWindow + 1s);  // Before, any request for a known job may be a copy to an earlier owner.
  const size_t owner = *world.OwnerIndex();
  world.SetKey(JobId(1), "n1");
  world.store().faults.lost_answer_share = 1;
  std::vector<CallerOutcome> outcomes;
  world.Submit((owner + 1) % 3, JobOf(1, {StepOf(1, 500)}), TaskBehaviour{},
               [&](const CallerReply& reply) { outcomes.push_back(reply.outcome); });
  world.RunFor(100ms);
  world.configuration.tenants[0].keys.clear();
  world.Configure();
  world.RunFor(1s);
  world.store().faults.lost_answer_share = 0;
  world.RunFor(6s);
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0] == CallerOutcome::kDone);
  CHECK(world.violations().empty());
}

// --- Quotas ---

Resources Cpu(int64_t millis) {
  return Resources{millis, 100, 0};
}

TenantSpec Limited(const std::string& name, int64_t cpu_millis) {
  return TenantSpec{name, {name + "1", name + "2"}, 50, Resources{cpu_millis, 0, 0}};
}

TEST_CASE("a tenant may start what its maximum leaves") {
  const TenantMaxima maxima = MaximaOf({Limited("a", 8000), Limited("b", 0)});
  const TenantUsage usage = {{"a", Cpu(5000)}};
  const UnaccountedRuns none;
  TenantQuotas quotas(maxima, usage, none);
  CHECK(quotas.Allows("a", Cpu(3000)));
  CHECK_FALSE(quotas.Allows("a", Cpu(3001)));
  CHECK(quotas.Allows("a", Cpu(1000), 3));
  CHECK_FALSE(quotas.Allows("a", Cpu(1000), 4));
  CHECK(quotas.Allows("b", Cpu(1'000'000)));
  CHECK(quotas.Allows("", Cpu(1'000'000)));
  quotas.Take("a", Cpu(1500), 2);
  CHECK_FALSE(quotas.Allows("a", Cpu(1)));
}

TEST_CASE("a task larger than its tenant's maximum runs alone") {
  const TenantMaxima maxima = MaximaOf({Limited("a", 2000)});
  const TenantUsage none;
  const TenantUsage some = {{"a", Cpu(100)}};
  const UnaccountedRuns all_known;
  CHECK(TenantQuotas(maxima, none, all_known).Allows("a", Cpu(3000)));
  CHECK_FALSE(TenantQuotas(maxima, none, all_known).Allows("a", Cpu(3000), 2));
  CHECK_FALSE(TenantQuotas(maxima, some, all_known).Allows("a", Cpu(3000)));
}

// Seed 41 --tenants: such a gang waited for the last other task of its tenant, and all work behind it for the gang.
TEST_CASE("a gang larger than its tenant's maximum starts beside what the maximum leaves") {
  const TenantMaxima maxima = MaximaOf({Limited("a", 20'000)});
  const TenantUsage little = {{"a", Cpu(2000)}};
  const TenantUsage more = {{"a", Cpu(2001)}};
  const UnaccountedRuns all_known;
  CHECK(TenantQuotas(maxima, little, all_known).Allows("a", Cpu(4500), 5));
  CHECK_FALSE(TenantQuotas(maxima, more, all_known).Allows("a", Cpu(4500), 5));
  CHECK_FALSE(TenantQuotas(maxima, little, all_known).Allows("a", Cpu(4500), 6));
  CHECK_FALSE(TenantQuotas(maxima, little, all_known).Allows("a", Cpu(19'000), 1));
  CHECK_FALSE(TenantQuotas(maxima, little, all_known).Allows("a", Cpu(4000), 5));
}

TEST_CASE(
    "what may be running unknown counts, by the lower of its bounds, and without a bound nothing limited starts") {
  const TenantMaxima maxima = MaximaOf({Limited("a", 8000), Limited("b", 0), Limited("c", 8000)});
  const TenantUsage usage;
  UnaccountedRuns unknown;
  unknown.any = true;
  CHECK_FALSE(TenantQuotas(maxima, usage, unknown).Allows("a", Cpu(500)));
  CHECK(TenantQuotas(maxima, usage, unknown).Allows("b", Cpu(500)));
  unknown.capacity = Cpu(16'000);
  CHECK_FALSE(TenantQuotas(maxima, usage, unknown).Allows("a", Cpu(500)));
  unknown.tasks = TenantUsage{{"a", Cpu(7000)}};
  CHECK(TenantQuotas(maxima, usage, unknown).Allows("a", Cpu(500)));
  CHECK_FALSE(TenantQuotas(maxima, usage, unknown).Allows("a", Cpu(1500)));
  CHECK(TenantQuotas(maxima, usage, unknown).Allows("c", Cpu(8000)));
  unknown.capacity = Cpu(6000);
  CHECK(TenantQuotas(maxima, usage, unknown).Allows("a", Cpu(1500)));
}

TEST_CASE("what comes after a gang that waits for its tenant's maximum waits too, unless the gang can never run") {
  const TenantMaxima maxima = MaximaOf({Limited("a", 8000)});
  const TenantUsage usage = {{"a", Cpu(6000)}};
  const UnaccountedRuns none;
  TenantQuotas quotas(maxima, usage, none);
  quotas.WaitFor("a", Cpu(3000), 9);
  CHECK(quotas.Allows("a", Cpu(1000)));
  quotas.WaitFor("a", Cpu(1000), 5);
  CHECK_FALSE(quotas.Allows("a", Cpu(1000)));
}

void AddQuota(CellWorld& world, int64_t north_cpu_millis) {
  AddTenants(world);
  world.configuration.tenants[0].maximum = Resources{north_cpu_millis, 0, 0};
  world.Configure();
  world.RunFor(16s);  // The configuration without a maximum is in force nowhere.
}

void SubmitLater(CellWorld& world, Duration at, const JobSpec& job, const KeyDigest& key, Duration takes) {
  world.SetKey(job.id, key);
  world.In(at, [&world, job, takes] { world.SubmitWithRetries(job, TaskBehaviour{takes, 0}); });
}

// Load: one tenant sends seven times what its maximum lets run.
TEST_CASE("a tenant above its maximum waits for itself and does not delay others") {
  CellWorld world(420, 4, 6);
  AddQuota(world, 8000);
  for (int i = 1; i <= 28; ++i) {
    SubmitLater(world, i * 10ms, JobOf(i, {StepOf(2, 1000)}), "n1", 1s);
  }
  for (int i = 101; i <= 110; ++i) {
    SubmitLater(world, i * 5ms, JobOf(i, {StepOf(1, 4000)}), "s1", 500ms);
  }
  world.RunFor(1500ms);
  for (int i = 101; i <= 110; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
  world.RunFor(9s);
  for (int i = 1; i <= 28; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
  CHECK(world.violations().empty());
}

TEST_CASE("a takeover while workers are silent brings no tenant above its maximum") {
  for (uint64_t seed = 421; seed < 429; ++seed) {
    CellWorld world(seed, 4, 6);
    AddQuota(world, 8000);
    for (int i = 1; i <= 40; ++i) {
      SubmitLater(world, i * 150ms, JobOf(i, {StepOf(2, 2000)}), i % 2 == 0 ? "n1" : "n2", 4s);
    }
    for (int i = 0; i < 3; ++i) {
      world.RunFor(1300ms);
      const auto silence_most = [&](bool silent) {
        for (size_t worker = 0; worker < world.worker_count(); ++worker) {
          world.worker(worker).faults.silent = silent && worker != seed % world.worker_count();
        }
      };
      silence_most(true);
      world.Kill(*world.OwnerIndex());
      world.RunFor(2500ms);
      silence_most(false);
      for (size_t host = 0; host < world.host_count(); ++host) {
        if (world.host(host) == nullptr) {
          world.Boot(host);
        }
      }
    }
    world.RunFor(120s);
    for (int i = 1; i <= 40; ++i) {
      CHECK((!world.Accepted(JobId(i)) || world.StateOf("plain", JobId(i)) == JobState::kCompleted));
    }
    CHECK(world.violations().empty());
  }
}

// Load: workers are taken away at short notice, and a takeover finds them in the roster and not in the store.
TEST_CASE("after a takeover a tenant with enough left of its maximum does not wait for a worker that has left") {
  CellWorld world(440, 4, 6);
  AddQuota(world, 40'000);
  SubmitLater(world, 0ms, JobOf(1, {StepOf(6, 1000)}), "n1", 8s);
  world.RunFor(1s);
  world.worker(5).Crash();
  world.store().Erase("workers/" + world.worker(5).entry.id);
  world.Kill(*world.OwnerIndex());
  REQUIRE(world.RunUntil([&] { return HasOwner(world); }, 3s));
  const int starts = world.starts();
  world.SetKey(JobId(2), "n1");
  world.Submit(*world.OwnerIndex(), JobOf(2, {StepOf(2, 1000)}), TaskBehaviour{300ms, 0}, [](const CallerReply&) {});
  world.RunFor(700ms);
  CHECK(world.starts() == starts + 2);
  CHECK(world.violations().empty());
}

TEST_CASE("a maximum that is lowered far below what runs holds starts back until it is raised") {
  CellWorld world(430, 4, 6);
  AddQuota(world, 16'000);
  for (int i = 1; i <= 60; ++i) {
    SubmitLater(world, i * 100ms, JobOf(i, {StepOf(1, 2000)}), "n1", 1s);
  }
  world.RunFor(2s);
  world.configuration.tenants[0].maximum.cpu_millis = 1000;
  world.Configure();
  world.RunFor(1500ms);
  const int starts = world.starts();
  world.RunFor(3s);
  CHECK(world.starts() - starts <= 4);  // One at a time.
  world.configuration.tenants[0].maximum.cpu_millis = 16'000;
  world.Configure();
  world.RunFor(12s);
  for (int i = 1; i <= 60; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == JobState::kCompleted);
  }
  CHECK(world.violations().empty());
}

TEST_CASE("a gang is not overtaken for ever by small jobs of its tenant") {
  CellWorld world(431, 4, 6);
  AddQuota(world, 8000);
  for (int i = 1; i <= 100; ++i) {
    SubmitLater(world, i * 50ms, JobOf(i, {StepOf(1, 1000)}), "n1", 500ms);
  }
  StepSpec gang = StepOf(7, 1000);
  gang.gang = true;
  SubmitLater(world, 1s, JobOf(200, {gang}), "n1", 500ms);
  world.RunFor(4s);
  CHECK(world.StateOf("plain", JobId(200)) == JobState::kCompleted);
  CHECK(world.violations().empty());
}

// The gang of job 2 exceeds the maximum with its last member; that of job 3 finds no room beside the tasks that last.
TEST_CASE("tasks that last keep neither a gang that needs the maximum nor what comes after it waiting for ever") {
  CellWorld world(433, 4, 6);
  AddQuota(world, 8000);
  StepSpec lasting = StepOf(2, 50);
  lasting.long_running = true;
  SubmitLater(world, 0ms, JobOf(1, {lasting}), "n1", 500ms);
  StepSpec gang = StepOf(5, 1950);
  gang.gang = true;
  SubmitLater(world, 500ms, JobOf(2, {gang}), "n1", 500ms);
  gang.size.cpu_millis = 2000;
  SubmitLater(world, 500ms, JobOf(3, {gang}), "n1", 500ms);
  for (int i = 4; i <= 20; ++i) {
    SubmitLater(world, 600ms, JobOf(i, {StepOf(1, 2000)}), "n1", 1s);
  }
  world.RunFor(12s);
  for (int i = 2; i <= 20; ++i) {
    CHECK(world.StateOf("plain", JobId(i)) == (i == 3 ? JobState::kQueued : JobState::kCompleted));
  }
  world.Ask(0, CallerKind::kCancel, "plain", JobId(1), [](const CallerReply&) {});
  world.RunFor(4s);
  CHECK(world.StateOf("plain", JobId(3)) == JobState::kCompleted);
  CHECK(world.violations().empty());
}

// Keeps a tenant with twice the work that its maximum lets run, for 20 s.
void SubmitTwiceTheMaximum(CellWorld& world, int first_number) {
  for (int i = 0; i < 80; ++i) {
    world.In(i * 250ms, [&world, number = first_number + i] {
      world.SetKey(JobId(number), "n1");
      world.SubmitWithRetries(JobOf(number, {StepOf(1, 1000)}), TaskBehaviour{2s, 0});
    });
  }
}

// Seed 910004106: such tasks counted as expired, or as beyond their tenant's share, behind all newer work of the
// tenant.
TEST_CASE("a task that lasts and has lost its worker does not wait for newer work of its tenant") {
  constexpr int kBurst = 20;  // Jobs at once, more than the tenant's rate.
  for (const bool beyond_share : {false, true}) {
    INFO("accepted beyond the share of its tenant: " << beyond_share);
    CellWorld world(421, 3, 6);
    AddTenants(world);
    world.configuration.tenants[0].maximum = Resources{4000, 0, 0};
    world.configuration.tenants[0].jobs_per_second = 8;
    world.Configure();
    world.RunFor(1s);
    for (int i = 0; i < kBurst && beyond_share; ++i) {
      world.SetKey(JobId(100 + i), "n1");
      world.SubmitWithRetries(JobOf(100 + i, {StepOf(1, 100)}), TaskBehaviour{10ms, 0});
    }
    StepSpec lasting = StepOf(1, 1000);
    lasting.long_running = true;
    const TaskRef task{JobId(1), 0, 0, 0};
    world.SetKey(task.job, "n1");
    world.SubmitWithRetries(JobOf(1, {lasting}), TaskBehaviour{});
    world.RunFor(10s);
    REQUIRE(world.RunningCount(task) == 1);
    SubmitTwiceTheMaximum(world, 200);
    world.RunFor(5s);
    for (size_t i = 0; i < world.worker_count(); ++i) {
      if (world.worker(i).RunsTask(task)) {
        world.worker(i).Crash();
        world.worker(i).Restart();
        break;
      }
    }
    REQUIRE(world.RunningCount(task) == 0);
    CHECK(world.RunUntil([&] { return world.RunningCount(task) == 1; }, 6s));
    CHECK(world.violations().empty());
  }
}

TEST_CASE("a gang that its tenant's maximum can never hold is refused at once") {
  CellWorld world(432, 4, 6);
  AddQuota(world, 8000);
  StepSpec gang = StepOf(12, 1000);
  gang.gang = true;
  world.SetKey(JobId(1), "n1");
  std::optional<CallerOutcome> outcome;
  world.Submit(0, JobOf(1, {gang}), TaskBehaviour{}, [&](const CallerReply& reply) { outcome = reply.outcome; });
  world.RunFor(100ms);
  CHECK(outcome == CallerOutcome::kInvalidJob);
  world.RunFor(3s);
  CHECK(world.starts() == 0);
}

// --- Shares ---

TEST_CASE("a tenant may send its rate, and a second's worth of it at once") {
  TenantShares shares;
  TimePoint now{};
  int within = 0;
  for (int i = 0; i < 100; ++i) {
    within += shares.IsWithinShare("a", 10, now) ? 1 : 0;
  }
  CHECK(within == 11);
  now += 500ms;
  within = 0;
  for (int i = 0; i < 100; ++i) {
    within += shares.IsWithinShare("a", 10, now) ? 1 : 0;
  }
  CHECK(within == 5);
  CHECK(shares.IsWithinShare("b", 10, now));
  CHECK(shares.IsWithinShare("", 0, now));
}

// Load: a full cell, a tenant that sends five times its rate, and one that keeps to its own.
TEST_CASE("in a full cell a hot tenant delays itself and not the others") {
  CellWorld world(450, 4, 2);
  AddTenants(world);
  world.configuration.tenants[0].jobs_per_second = 4;
  world.configuration.tenants[1].jobs_per_second = 4;
  world.Configure();
  world.RunFor(500ms);
  for (int i = 1; i <= 160; ++i) {  // 20 jobs a second of 2 cores and 1 s: the cell holds 16.
    SubmitLater(world, i * 50ms, JobOf(i, {StepOf(1, 2000)}), "n1", 1s);
  }
  for (int i = 1001; i <= 1024; ++i) {
    SubmitLater(world, (i - 1000) * 333ms, JobOf(i, {StepOf(1, 2000)}), "s1", 1s);
  }
  world.RunFor(10s);
  int ended = 0;
  for (int i = 1001; i <= 1024; ++i) {
    ended += world.CompletionCount(TaskRef{JobId(i), 0, 0, 0});
  }
  CHECK(ended == 24);
  world.RunFor(5s);
  CHECK(world.StateOf("plain", JobId(160)) == JobState::kCompleted);  // Lent what the others left.
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace hibiscus::cell
