// Switches for the scheduling mechanisms. All are on in a deployment; the ablation study switches them off one by one
// (docs/POLICY-STUDY.md). Not exposed as daemon settings.
#ifndef HIBISCUSSTAND_SRC_CELL_POLICIES_H_
#define HIBISCUSSTAND_SRC_CELL_POLICIES_H_

#include <compare>

namespace hibiscus::cell {

struct Policies {
  // Order of waiting steps (wait_order.h). With all of them off: first come, first served.
  bool priority = true;       // Order by queue priority.
  bool due_first = true;      // Order by the job's due time.
  bool late_last = true;      // Jobs that can no longer meet their objective come last within their priority.
  bool expired_last = true;   // Expired jobs, whose result is worthless to the caller, come last of all.
  bool tenant_shares = true;  // What a tenant sends beyond its rate comes after what is within the rates.
  // Placement (placement.h).
  bool tightest_fit = true;       // Off: the first worker on which the task fits.
  bool data_rack = true;          // Prefer workers in the rack of the step's data.
  bool reservations = true;       // A gang that does not fit reserves workers.
  bool open_reservations = true;  // Gangs may use workers reserved for others while much is free.
  bool tickets_first = true;      // Gangs prefer workers for which they hold valid tickets.
  bool tentative = true;          // Resources for a gang are allocated tentatively while its tickets are requested.
  bool quota_gangs = true;        // A gang that waits for its tenant's quota is not overtaken by its tenant.
  // Advice (advice_policy.h).
  bool ask_ahead = true;    // Request advice while the job is still being stored.
  bool ask_further = true;  // Ask about more workers while most hosts have no call in progress.
  bool gather_asks = true;  // Batch ticket requests for single tasks while the service is busy.
  // Workers.
  bool quarantine = true;  // Exclude workers that fail tasks which succeed elsewhere.
  bool standstill = true;  // Stop tasks that make no progress and restart them.
  // Admission (admission.h).
  bool refuse_behind = true;   // Refuse new jobs while the owner is overloaded.
  bool refuse_stalled = true;  // Refuse new jobs while the store confirms no writes.

  friend auto operator<=>(const Policies&, const Policies&) = default;
};

struct NamedPolicy {
  const char* name = nullptr;
  bool Policies::*on = nullptr;
};

inline constexpr NamedPolicy kNamedPolicies[] = {
    {"priority", &Policies::priority},
    {"due_first", &Policies::due_first},
    {"late_last", &Policies::late_last},
    {"expired_last", &Policies::expired_last},
    {"tenant_shares", &Policies::tenant_shares},
    {"tightest_fit", &Policies::tightest_fit},
    {"data_rack", &Policies::data_rack},
    {"reservations", &Policies::reservations},
    {"open_reservations", &Policies::open_reservations},
    {"tickets_first", &Policies::tickets_first},
    {"tentative", &Policies::tentative},
    {"quota_gangs", &Policies::quota_gangs},
    {"ask_ahead", &Policies::ask_ahead},
    {"ask_further", &Policies::ask_further},
    {"gather_asks", &Policies::gather_asks},
    {"quarantine", &Policies::quarantine},
    {"standstill", &Policies::standstill},
    {"refuse_behind", &Policies::refuse_behind},
    {"refuse_stalled", &Policies::refuse_stalled},
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_POLICIES_H_
