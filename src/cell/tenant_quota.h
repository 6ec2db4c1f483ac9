// Quotas of tenants: how much of its maximum each tenant has left for new starts. Pure values, no I/O and no clock.
//
// Load pattern: a tenant sends several times the work that its maximum lets run. The excess waits for the tenant's own
// quota and takes no reservations, advice calls or tickets that other tenants could use. Within the tenant, a gang that
// waits for the quota is not overtaken by less urgent steps, which would use up each part of it that becomes free.
#ifndef HIBISCUSSTAND_SRC_CELL_TENANT_QUOTA_H_
#define HIBISCUSSTAND_SRC_CELL_TENANT_QUOTA_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/values.h"

namespace hibiscus::cell {

// Resources of the runs that may exist, by tenant.
using TenantUsage = std::map<std::string, Resources>;
// Maxima of the tenants that have one.
using TenantMaxima = std::unordered_map<std::string, Resources>;
TenantMaxima MaximaOf(const std::vector<TenantSpec>& tenants);

// The resources of `count` tasks of this size.
Resources Multiply(const Resources& size, int count);

// Bounds what may be running without the owner knowing of it, after it took over from another.
struct UnaccountedRuns {
  bool any = false;                   // False: all runs are known.
  std::optional<Resources> capacity;  // Free capacity of the workers whose runs are not all known. Empty: unknown.
  // Tasks that earlier owners may have started and this one has not found, by tenant. Empty: not known.
  std::optional<TenantUsage> tasks;

  // The bound for one tenant; empty if there is none.
  std::optional<Resources> BoundFor(const std::string& tenant) const;
};

// True if `count` tasks of this size may run at the same time under the maximum, beside runs that use `beside`. The
// last one may exceed it, so that a task larger than the maximum can run alone.
bool FitsMaximum(const Resources& maximum, const Resources& size, int count, const Resources& beside = {});

class TenantQuotas {
 public:
  // No limits.
  TenantQuotas() = default;
  // Looks tenants up as they are asked for; the arguments must outlive this object and stay as they are. Starts are
  // recorded with Take. `unaccounted` bounds what may be running of any one tenant beside `usage`. Without a bound,
  // tenants that have a maximum start nothing. `lasting`, if given, is the part of `usage` by runs that last, which
  // does not become free.
  TenantQuotas(const TenantMaxima& maxima,
               const TenantUsage& usage,
               const UnaccountedRuns& unaccounted,
               const TenantUsage* lasting = nullptr)
      : maxima_(&maxima), usage_(&usage), unaccounted_(&unaccounted), lasting_(lasting) {}

  // True if `count` tasks of this size may start now, all of them. The last one may exceed the maximum if there is no
  // other way: of a gang that is larger than the maximum, or if nothing but tasks that last is running.
  bool Allows(const std::string& tenant, const Resources& size, int count = 1) const;
  // Records that `count` tasks of this size are being started.
  void Take(const std::string& tenant, const Resources& size, int count = 1);
  // Called for a gang that the quota does not allow now: if it could run beside the tenant's runs that last, nothing
  // more of its tenant may start.
  void WaitFor(const std::string& tenant, const Resources& size, int count);

 private:
  struct Quota {
    Resources maximum;
    Resources used;
    Resources lasting;
    bool closed = false;  // Nothing more may start.
  };

  Quota* Find(const std::string& tenant) const;  // Null if the tenant has no maximum.

  const TenantMaxima* maxima_ = nullptr;
  const TenantUsage* usage_ = nullptr;
  const UnaccountedRuns* unaccounted_ = nullptr;
  const TenantUsage* lasting_ = nullptr;
  mutable std::map<std::string, Quota> quotas_;  // Of the tenants that were asked for.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_TENANT_QUOTA_H_
