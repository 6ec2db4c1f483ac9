// Which mechanisms decide. All of them do in a deployment; the ablation study switches them off one by one
// (docs/POLICY-STUDY.md). No setting of the daemon reaches this.
#ifndef HIBISCUSSTAND_SRC_CELL_POLICIES_H_
#define HIBISCUSSTAND_SRC_CELL_POLICIES_H_

#include <compare>

namespace hibiscus::cell {

struct Policies {
  // Order of waiting steps (wait_order.h). Without any of them: first come, first served.
  bool priority = true;      // By the queue's priority.
  bool due_first = true;     // By the time at which the job is due.
  bool late_last = true;     // Jobs that cannot be in time let others of their priority pass.
  bool expired_last = true;  // Jobs that count for nobody any more let all others pass.
  // Room (placement.h).
  bool tightest_fit = true;       // Without: the first worker that has room.
  bool data_rack = true;          // Workers near the data first.
  bool reservations = true;       // A gang that does not fit reserves workers.
  bool open_reservations = true;  // Reserved workers are open to others while much is free.
  bool tickets_first = true;      // Gangs start where tickets are at hand, if they fit there.
  bool tentative = true;          // Room of a gang is set aside while its tickets are asked for.
  // Advice (advice_policy.h).
  bool ask_ahead = true;    // While the job is being stored.
  bool ask_further = true;  // About more workers, while most hosts have nothing to ask.
  bool gather_asks = true;  // Asks for single tasks wait for each other while the service is busy.
  // Workers.
  bool quarantine = true;  // Workers that fail what others run are left out.
  bool standstill = true;  // Tasks that do not move are taken off their worker.
  // Admission (admission.h).
  bool refuse_behind = true;   // New jobs are refused while the owner is behind with its work.
  bool refuse_stalled = true;  // And while the store confirms nothing.

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
    {"tightest_fit", &Policies::tightest_fit},
    {"data_rack", &Policies::data_rack},
    {"reservations", &Policies::reservations},
    {"open_reservations", &Policies::open_reservations},
    {"tickets_first", &Policies::tickets_first},
    {"tentative", &Policies::tentative},
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
