// Uses every part of the library once: a small dispatcher that owns a worker, queues and refuses work, and places it.
// Prints each check and its result; exits non-zero if one fails. Usage: example_tour
#include <cstdio>
#include <string>
#include <vector>

#include "hibiscusstand/hibiscusstand.h"

namespace {

int g_failures = 0;

void Check(const char* what, bool passed) {
  std::printf("%-72s %s\n", what, passed ? "yes" : "NO");
  g_failures += passed ? 0 : 1;
}

// Rendezvous hashing chooses the host that should own a worker; the lease's fencing token proves that it still does.
void ShowLeases(hibiscus::ManualClock& clock) {
  const std::vector<std::string> hosts = {"a1", "a2", "a3"};
  const std::string owner = hibiscus::RendezvousPick("worker-7", hosts);
  hibiscus::LeaseGranter worker;
  hibiscus::LeaseHolder host;
  host.BeginAcquire(clock.Now());
  worker.Acquire(owner, 0, std::chrono::seconds(4), clock.Now());
  host.EndAcquire(worker.token(), std::chrono::seconds(4));
  Check("the owner holds the lease", host.Holds(clock.Now()));
  clock.Advance(std::chrono::seconds(5));  // Longer than the lease.
  worker.Acquire("another", 0, std::chrono::seconds(4), clock.Now());
  Check("after the lease expires its token is refused", !worker.IsCurrent(host.token(), clock.Now()));
}

// Admission control in front of a queue: work is refused at once, or served by earliest deadline and fairly between
// tenants.
void ShowQueue(hibiscus::ManualClock& clock) {
  hibiscus::AdmissionControl admission;
  hibiscus::DeadlineQueue<std::string> queue;
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    const hibiscus::Demand demand{"quick", "clerk", clock.Now() + std::chrono::seconds(1), 0.1};
    if (!admission.Admits(demand, 1, clock.Now())) {
      ++refused;
      continue;
    }
    admission.OnQueued(demand, clock.Now());
    queue.Push(hibiscus::QueueAttributes{"quick", "clerk", {}, demand.start_by, 1}, std::to_string(i));
  }
  Check("work that cannot start within a second is refused at once", refused > 0 && !queue.empty());
  const auto always_fits = [](const std::string&) { return hibiscus::QueueDecision::kTake; };
  Check("the earliest deadline is served first", queue.TakeNext(always_fits) == "0");
  clock.Advance(std::chrono::seconds(1));
  Check("an expired entry leaves the queue on time", queue.TakeExpired(clock.Now()).has_value());
}

void ShowPlacement() {
  hibiscus::CapacityIndex index;
  const hibiscus::Resources total{8000, 1000, 0};
  const hibiscus::CapacityIndex::Id empty_worker = index.Add();
  const hibiscus::CapacityIndex::Id busy_worker = index.Add();
  index.Update(empty_worker, hibiscus::WorkerCapacity{total, total, true});
  index.Update(busy_worker, hibiscus::WorkerCapacity{total, hibiscus::Resources{2000, 500, 0}, true});
  Check("batch work goes to the tightest fit", index.BestFit(hibiscus::Resources{1000, 100, 0}) == busy_worker);
  Check("work that fits no worker is detected at once", index.NeverFits(hibiscus::Resources{9000, 1, 0}));
}

// A target that fails requests which others complete is quarantined until a probe succeeds.
void ShowQuarantine(hibiscus::ManualClock& clock) {
  hibiscus::Quarantine quarantine;
  quarantine.SetTargetCount(3);
  quarantine.RecordSuccess("worker-1", "report", clock.Now());
  for (const char* request : {"r1", "r2", "r3"}) {
    quarantine.RecordFailure("worker-2", "report", request, clock.Now());
  }
  Check("a worker that fails what others complete is quarantined", quarantine.IsQuarantined("worker-2"));
  clock.Advance(std::chrono::seconds(2));
  Check("after a delay one probe is allowed",
        quarantine.TakeProbe("worker-2", clock.Now()) && !quarantine.TakeProbe("worker-2", clock.Now()));
  quarantine.RecordSuccess("worker-2", "report", clock.Now());
  Check("a successful probe ends the quarantine", !quarantine.IsQuarantined("worker-2"));
}

// Retries are limited to a share of first tries.
void ShowRetries(hibiscus::ManualClock& clock) {
  hibiscus::RetryBudget budget;
  while (budget.TakeRetry(clock.Now())) {
  }
  for (int i = 0; i < 25; ++i) {
    budget.OnFirstTry();
  }
  Check("25 first tries allow two retries",
        budget.TakeRetry(clock.Now()) && budget.TakeRetry(clock.Now()) && !budget.TakeRetry(clock.Now()));
}

}  // namespace

int main() {
  hibiscus::ManualClock clock;
  ShowLeases(clock);
  ShowQueue(clock);
  ShowPlacement();
  ShowQuarantine(clock);
  ShowRetries(clock);
  return g_failures == 0 ? 0 : 1;
}
