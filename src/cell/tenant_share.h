// Whether a job is within the rate that its tenant is owed. Pure, with the clock passed in.
//
// Load pattern: one tenant sends several times its usual while the cell is full. What it sends beyond its rate waits
// behind the jobs of all tenants that keep to theirs, so that these lose nothing. While there is room it runs at once:
// unused shares are lent. Baseline: first come, first served within a priority, where the hot tenant delays all others.
#ifndef HIBISCUSSTAND_SRC_CELL_TENANT_SHARE_H_
#define HIBISCUSSTAND_SRC_CELL_TENANT_SHARE_H_

#include <map>
#include <string>

#include "hibiscusstand/clock.h"

namespace hibiscus::cell {

class TenantShares {
 public:
  // Counts a job that arrives now. Returns false if its tenant has sent more than `jobs_per_second` allows; such a job
  // does not count against later ones. A rate of 0 is unlimited.
  bool IsWithinShare(const std::string& tenant, double jobs_per_second, TimePoint now);

 private:
  std::map<std::string, TimePoint> used_until_;  // Until then the tenant has used its rate, by tenant.
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_TENANT_SHARE_H_
