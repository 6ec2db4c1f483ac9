// JSON encodings of the core's messages, with nlohmann-json: CBOR between peers, text at the platform's ports.
// Durations are whole microseconds. Missing fields take their defaults, so that hosts of two versions can exchange
// messages.
#ifndef HIBISCUSSTAND_SRC_PORTS_JSON_CODEC_H_
#define HIBISCUSSTAND_SRC_PORTS_JSON_CODEC_H_

#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "core/json_text.h"
#include "core/messages.h"
#include "ports/field_names.h"

namespace nlohmann {
template <>
struct adl_serializer<hibiscus::Duration> {
  static void to_json(json& target, const hibiscus::Duration& value) { target = value.count(); }
  static void from_json(const json& source, hibiscus::Duration& value) {
    value = hibiscus::Duration(source.get<int64_t>());
  }
};
}  // namespace nlohmann

namespace hibiscus {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpu_millis, memory_mb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestKey, tenant, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClassSpec, name, kind, start_within, finish_within, may_run_twice)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TenantQuota, tenant, limit, max_calls)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Configuration, version, change_id, classes, quotas)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Request,
                                                key,
                                                attempt,
                                                class_name,
                                                size,
                                                members,
                                                run_time,
                                                deferred,
                                                payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Answer, key, code, verdict, body, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskId, key, member)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunId, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ListEntry, kind, name, data_centre, rack, address, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerTask, run, class_name, home, size, state, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerCall,
                                                op,
                                                holder,
                                                token,
                                                ttl,
                                                run_ttl,
                                                wait,
                                                acks,
                                                task,
                                                run_time,
                                                payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerReply, status, token, capacity, full, tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServerCall, op, run, payload, deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServerReply, status, leaving, slots, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoreCall, op, key, value, expected, wait)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoreReply, status, value, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Heartbeat,
                                                data_centre,
                                                incarnation,
                                                leaving,
                                                config_version,
                                                free,
                                                largest,
                                                free_slots,
                                                lease_count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardRequest, forward_id, request, resubmit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardAnswer, forward_id, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardMoved, forward_id, home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardCancel, forward_id, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardQuery, forward_id, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Reserve,
                                                run,
                                                class_name,
                                                kind,
                                                size,
                                                run_time,
                                                start_within,
                                                queue,
                                                members,
                                                lease_count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Reserved, run, code, worker, token, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Commit, run, worker, token, class_name, size, run_time, payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReleaseHold, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopRun, run, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReport, run, worker, token, phase, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReportAck, run, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallDispatch, run, class_name, payload, start_within, finish_within)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallResult, run, code, verdict, body, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Claim, key, view, claim, home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimAnswer, key, view, covered, known_elsewhere, runs, home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigPush, configuration)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DigestHost, name, free_slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Digest,
                                                data_centre,
                                                relayed,
                                                wants_configuration,
                                                config_version,
                                                free,
                                                largest,
                                                hosts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CentreClaim, key, claim)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CentreClaimAnswer, key, data_centre, home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimRetract, key, claim, home, spread)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogRecord,
                                                kind,
                                                key,
                                                nonce,
                                                home,
                                                data_centre,
                                                accepted_at,
                                                started_by,
                                                request,
                                                answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogEntry, state, home, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogAppend, record, patience, repeated)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogAppended, kind, key, nonce, outcome, found)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogLookup, reference, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogFound, reference, key, current, found)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogResume, request, age, started)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogResumed, key, home)

// Encode a value as JSON text and decode it. Invalid text gives an error message.
template <class Value>
std::string EncodeJson(const Value& value) {
  return JsonText(nlohmann::json(value));
}

// Omits fields that have their default value, for frequent calls.
template <class Value>
std::string EncodeCompactJson(const Value& value) {
  static const nlohmann::json kDefaults(Value{});
  return JsonText(OmitDefaults(nlohmann::json(value), kDefaults));
}

template <class Value>
tl::expected<Value, std::string> DecodeJson(const std::string& text) {
  try {
    return nlohmann::json::parse(text).get<Value>();
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_JSON_CODEC_H_
