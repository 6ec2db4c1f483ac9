// Numbered result codes and verdicts of answers to callers. docs/ERRORS.md contains the same table; a test verifies
// that both are equal.
#ifndef HIBISCUSSTAND_RESULT_H_
#define HIBISCUSSTAND_RESULT_H_

#include <string_view>
#include <vector>

namespace hibiscus {

// Whether the request was executed, as far as known. kUnknown does not mean kNotRun.
enum class Verdict {
  kDone,       // Ran to completion; the answer is complete.
  kFailed,     // Ran and failed.
  kNotRun,     // Certainly never started.
  kUnknown,    // May have run or may still be running.
  kCancelled,  // Stopped on request; may have run partially.
};

// Numbers are stable: never reuse one. 1xx success, 2xx refused, 3xx failed, 4xx unknown, 5xx bad request.
enum class ResultCode {
  kOk = 100,
  kAccepted = 101,
  kCancelled = 110,
  kOverloaded = 200,
  kQuotaExceeded = 201,
  kStartTargetMissed = 202,
  kStoreUnavailable = 203,
  kRepeatUnverified = 204,
  kHostRecovering = 205,
  kHostLeaving = 206,
  kNoCapacity = 207,
  kNeverFits = 208,
  kNoConfiguration = 209,
  kTaskFailed = 300,
  kPoisonJob = 301,
  kFinishTargetMissed = 302,
  kUnknownOutcome = 400,
  kRepeatOfUnknown = 401,
  kBadRequest = 500,
  kUnknownClass = 501,
  kIdReused = 502,
  kNotFound = 503,
  kConflict = 504,
  kTooLarge = 505,
};

// One row of the table of result codes.
struct ResultInfo {
  ResultCode code;           // The stable number.
  std::string_view name;     // The name in messages, for example "overloaded".
  int http_status;           // HTTP status of the answer.
  bool come_back;            // True if a later retry can succeed; the answer then has a Retry-After header.
  std::string_view meaning;  // Human-readable, one sentence.
};

const std::vector<ResultInfo>& ResultTable();
const ResultInfo& InfoOf(ResultCode code);
std::string_view NameOf(Verdict verdict);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_RESULT_H_
