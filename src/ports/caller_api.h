// The HTTP and JSON interface for callers and operators, as docs/API.md describes it: texts in, typed values out, and
// back. Nothing here decides anything.
#ifndef HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_
#define HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_

#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"
#include "ports/http_server.h"

namespace hibiscus {

// What an HTTP request asks for.
struct StatusCall {};
struct HealthCall {};
struct MetricsCall {};
struct ConfigCall {};
struct LeaveCall {};
struct ExplainRequestCall {
  RequestKey key;
};
struct ExplainWorkerCall {
  WorkerName worker;
};

using ApiCall = std::variant<CallerSubmit,
                             CallerQuery,
                             CallerCancel,
                             OperatorConfigSet,
                             OperatorHistory,
                             StatusCall,
                             HealthCall,
                             MetricsCall,
                             ConfigCall,
                             LeaveCall,
                             ExplainRequestCall,
                             ExplainWorkerCall>;

// Why a request is refused before the core sees it.
struct ApiError {
  ResultCode code = ResultCode::kBadRequest;
  std::string detail;
};

tl::expected<ApiCall, ApiError> ParseApiCall(ExchangeId exchange, const HttpRequest& request);
HttpReply RenderAnswer(const Answer& answer);
HttpReply RenderConfig(ResultCode code, const Configuration& configuration);
HttpReply RenderHistory(ResultCode code, const std::vector<Configuration>& versions);
HttpReply RenderError(const ApiError& error);

// A request as the submit call takes it.
std::string RenderSubmitBody(const Request& request);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_
