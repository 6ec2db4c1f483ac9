// Value types that describe requests, classes, workers and backend servers. All are plain, comparable data without
// behaviour beyond arithmetic.
#ifndef HIBISCUSSTAND_TYPES_H_
#define HIBISCUSSTAND_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "hibiscusstand/clock.h"
#include "hibiscusstand/result.h"

namespace hibiscus {

// Names of hosts, workers, backend servers and data centres, as the platform's list gives them.
using HostName = std::string;
using WorkerName = std::string;
using ServerName = std::string;
using DataCentre = std::string;

// Resource demand of a task, or capacity of a worker.
struct Resources {
  int64_t cpu_millis = 0;    // Thousandths of a core.
  int64_t memory_mb = 0;     // Mebibytes.
  int64_t accelerators = 0;  // Whole devices.

  friend auto operator<=>(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  bool FitsIn(const Resources& available) const;
  bool IsValid() const { return cpu_millis >= 0 && memory_mb >= 0 && accelerators >= 0; }
};

// Identifies a request for as long as the system retains it. Chosen by the caller.
struct RequestKey {
  std::string tenant;  // Quotas and fairness apply per tenant.
  std::string id;      // Unique within the tenant.

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
  std::string ToString() const { return tenant + "/" + id; }
};

// How the work of a class is executed.
enum class WorkKind {
  kCall,     // One exchange with a backend server.
  kBatch,    // One task on a worker.
  kService,  // One long-running task on a worker, spread over racks.
  kGang,     // Several tasks that all start together, or none starts.
};

// Definition of a class of work. Operators specify targets only, never weights or hosts.
struct ClassSpec {
  std::string name;  // Unique within the configuration.
  WorkKind kind = WorkKind::kCall;
  Duration start_within = 1s;    // Target from acceptance to start.
  Duration finish_within = 10s;  // Target from acceptance to the complete answer.
  bool may_run_twice = false;    // False: the request is executed at most once.

  friend auto operator<=>(const ClassSpec&, const ClassSpec&) = default;
};

// A tenant's share of the workers of each data centre.
struct TenantQuota {
  std::string tenant;
  Resources limit;    // Sum over the tenant's running tasks.
  int max_calls = 0;  // Calls in progress at once; 0 means no limit.

  friend auto operator<=>(const TenantQuota&, const TenantQuota&) = default;
};

// The operators' configuration. Always replaced as a whole, with a greater version.
struct Configuration {
  uint64_t version = 0;   // 0: no configuration is known yet.
  std::string change_id;  // Chosen by the operator's tool; identifies the change after a lost answer.
  std::vector<ClassSpec> classes;
  std::vector<TenantQuota> quotas;

  friend bool operator==(const Configuration&, const Configuration&) = default;
  const ClassSpec* FindClass(const std::string& name) const;
  const TenantQuota* FindQuota(const std::string& tenant) const;
};

// A caller's request.
struct Request {
  RequestKey key;
  int attempt = 0;  // 1: certainly the first; greater: a repeat; 0: unspecified.
  std::string class_name;
  Resources size;          // Per member; unused for calls.
  int members = 1;         // Tasks of a gang.
  Duration run_time = 1s;  // Declared by the caller; often inaccurate.
  bool deferred = false;   // True: accept now; the caller queries the result later.
  std::string payload;

  friend bool operator==(const Request&, const Request&) = default;
};

// The final answer to a request.
struct Answer {
  RequestKey key;
  ResultCode code = ResultCode::kOk;
  Verdict verdict = Verdict::kNotRun;
  std::string body;            // Complete, or empty.
  Duration retry_after = 0us;  // Delay before a retry; 0 if a retry does not help.

  friend bool operator==(const Answer&, const Answer&) = default;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_TYPES_H_
