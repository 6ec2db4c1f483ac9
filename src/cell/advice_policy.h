// When a question to the advice service is worth its time. The service answers one call at a time for each host, so
// that in a full cell questions are what work waits for. Pure functions.
#ifndef HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
#define HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_

#include <cstddef>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

// Whether tickets for these workers are asked for now, or later with those that get room meanwhile: while the lines are
// busy, a question for little keeps others waiting. Answers wide steps of small tasks in a full cell, where room comes
// one task at a time.
bool IsWorthAsking(size_t workers, int waiting, bool lines_busy, Duration since_last);

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_ADVICE_POLICY_H_
