#include "hibiscusstand/result.h"

#include <algorithm>

namespace hibiscus {

const std::vector<ResultInfo>& ResultTable() {
  static const std::vector<ResultInfo> kTable = {
      {ResultCode::kOk, "ok", 200, false, "The request ran to its end."},
      {ResultCode::kAccepted, "accepted", 202, false, "The request is recorded and will run; ask for its result."},
      {ResultCode::kCancelled, "cancelled", 409, false, "The request was cancelled."},
      {ResultCode::kOverloaded, "overloaded", 503, true, "The start target cannot be met now; nothing ran."},
      {ResultCode::kQuotaExceeded, "quota_exceeded", 429, true, "The tenant's quota is used up; nothing ran."},
      {ResultCode::kStartTargetMissed, "start_target_missed", 503, true,
       "The request waited until its start target passed; nothing ran."},
      {ResultCode::kStoreUnavailable, "store_unavailable", 503, true,
       "The platform's store is out of reach and this request needs a record there; nothing ran."},
      {ResultCode::kRepeatUnverified, "repeat_unverified", 503, true,
       "Whether an earlier attempt runs cannot be checked now; this attempt did not run."},
      {ResultCode::kHostRecovering, "host_recovering", 503, true, "The host is starting or recovering; nothing ran."},
      {ResultCode::kHostLeaving, "host_leaving", 503, true, "The host is leaving; nothing ran."},
      {ResultCode::kNoCapacity, "no_capacity", 503, true, "No worker or backend server can be reached; nothing ran."},
      {ResultCode::kNeverFits, "never_fits", 422, false, "No worker that exists can hold this request; nothing ran."},
      {ResultCode::kNoConfiguration, "no_configuration", 503, true, "No configuration is known yet; nothing ran."},
      {ResultCode::kTaskFailed, "task_failed", 200, false, "The request ran and failed."},
      {ResultCode::kPoisonJob, "poison_job", 200, false, "The request failed on several different workers."},
      {ResultCode::kFinishTargetMissed, "finish_target_missed", 504, false,
       "The request was stopped because its finish target passed."},
      {ResultCode::kUnknownOutcome, "unknown_outcome", 504, false, "The request may have run; its answer is lost."},
      {ResultCode::kRepeatOfUnknown, "repeat_of_unknown", 409, false,
       "An earlier attempt may have run; this attempt did not and never will."},
      {ResultCode::kBadRequest, "bad_request", 400, false, "The request is malformed."},
      {ResultCode::kUnknownClass, "unknown_class", 400, false, "The configuration has no such class."},
      {ResultCode::kIdReused, "id_reused", 409, false, "The request id was used before with another body."},
      {ResultCode::kNotFound, "not_found", 404, false, "Nothing is known under this name."},
      {ResultCode::kConflict, "conflict", 409, false, "Somebody else changed it first; read it again."},
      {ResultCode::kTooLarge, "too_large", 413, false, "The request is larger than the limit."},
  };
  return kTable;
}

const ResultInfo& InfoOf(ResultCode code) {
  const std::vector<ResultInfo>& table = ResultTable();
  const auto row = std::find_if(table.begin(), table.end(), [&](const ResultInfo& info) { return info.code == code; });
  return *row;
}

std::string_view NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kDone:
      return "done";
    case Verdict::kFailed:
      return "failed";
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kUnknown:
      return "unknown";
    case Verdict::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace hibiscus
