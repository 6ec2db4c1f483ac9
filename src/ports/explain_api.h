// Renders explanations for operators as JSON, each with a one-sentence reason under "why".
#ifndef HIBISCUSSTAND_SRC_PORTS_EXPLAIN_API_H_
#define HIBISCUSSTAND_SRC_PORTS_EXPLAIN_API_H_

#include <string>

#include "core/explain.h"

namespace hibiscus {

std::string RenderExplanation(const RequestExplanation& explanation);
std::string RenderExplanation(const WorkerExplanation& explanation);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_EXPLAIN_API_H_
