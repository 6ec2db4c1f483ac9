#include "cell/tenant_share.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

constexpr Duration kBurst = 1s;  // Of its rate, which a tenant may send at once.

}  // namespace

bool TenantShares::IsWithinShare(const std::string& tenant, double jobs_per_second, TimePoint now) {
  if (jobs_per_second <= 0) {
    return true;
  }
  TimePoint& used_until = used_until_[tenant];
  const TimePoint begin = std::max(used_until, now);
  if (begin - now > kBurst) {
    return false;
  }
  used_until = begin + Duration(static_cast<int64_t>(Duration(1s).count() / jobs_per_second));
  return true;
}

}  // namespace hibiscus::cell
