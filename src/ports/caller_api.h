// The HTTP and JSON interface for callers and operators, as in docs/API.md: parses requests into typed values and
// renders answers. Contains no scheduling logic.
#ifndef HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_
#define HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_

#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "core/messages.h"
#include "ports/http_server.h"

namespace hibiscus {

// The calls of the interface.
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

// Why a request is refused before it reaches the core.
struct ApiError {
  ResultCode code = ResultCode::kBadRequest;
  std::string detail;
};

tl::expected<ApiCall, ApiError> ParseApiCall(ExchangeId exchange, const HttpRequest& request);
HttpReply RenderAnswer(const Answer& answer);
HttpReply RenderConfig(ResultCode code, const Configuration& configuration);
HttpReply RenderHistory(ResultCode code, const std::vector<Configuration>& versions);
HttpReply RenderError(const ApiError& error);

// The JSON body of a submit call.
std::string RenderSubmitBody(const Request& request);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_CALLER_API_H_
