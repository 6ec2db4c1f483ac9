// Numbered result codes and verdicts: what a caller is told. docs/ERRORS.md lists the same table and a test keeps the
// two equal.
#ifndef HIBISCUSSTAND_RESULT_H_
#define HIBISCUSSTAND_RESULT_H_

#include <string_view>
#include <vector>

namespace hibiscus {

// What is known about the execution behind an answer. Unknown is not "not run".
enum class Verdict {
  kDone,       // Ran to its end, the whole answer is here.
  kFailed,     // Ran and failed.
  kNotRun,     // Surely never started.
  kUnknown,    // May have run, may be running.
  kCancelled,  // Stopped on request; it may have run in part.
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
  ResultCode code;           // The number.
  std::string_view name;     // The name in messages, for example "overloaded".
  int http_status;           // What the HTTP port answers with.
  bool come_back;            // True if trying again later helps; the answer then carries Retry-After.
  std::string_view meaning;  // One sentence for people.
};

const std::vector<ResultInfo>& ResultTable();
const ResultInfo& InfoOf(ResultCode code);
std::string_view NameOf(Verdict verdict);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_RESULT_H_
