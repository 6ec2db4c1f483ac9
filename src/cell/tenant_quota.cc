#include "cell/tenant_quota.h"

namespace hibiscus::cell {

namespace {

Resources Multiply(const Resources& size, int count) {
  return Resources{size.cpu_millis * count, size.memory_mb * count, size.accelerators * count};
}

// A component of 0 in the maximum is unlimited.
bool IsWithin(const Resources& used, const Resources& maximum) {
  const auto within = [](int64_t amount, int64_t limit) { return limit == 0 || amount <= limit; };
  return within(used.cpu_millis, maximum.cpu_millis) && within(used.memory_mb, maximum.memory_mb) &&
         within(used.accelerators, maximum.accelerators);
}

}  // namespace

bool FitsMaximum(const Resources& maximum, const Resources& size, int count) {
  return IsWithin(Multiply(size, count - 1), maximum);
}

TenantQuotas::TenantQuotas(const std::vector<TenantSpec>& tenants,
                           const TenantUsage& usage,
                           const std::optional<Resources>& unaccounted) {
  for (const TenantSpec& tenant : tenants) {
    if (tenant.maximum == Resources{}) {
      continue;
    }
    Quota quota{tenant.maximum, unaccounted.value_or(Resources{}), !unaccounted.has_value()};
    if (const auto used = usage.find(tenant.name); used != usage.end()) {
      quota.used += used->second;
    }
    quotas_[tenant.name] = quota;
  }
}

bool TenantQuotas::Allows(const std::string& tenant, const Resources& size, int count) const {
  const auto found = quotas_.find(tenant);
  if (found == quotas_.end()) {
    return true;
  }
  const Quota& quota = found->second;
  if (quota.closed) {
    return false;
  }
  if (quota.used == Resources{}) {
    return FitsMaximum(quota.maximum, size, count);
  }
  return IsWithin(quota.used + Multiply(size, count), quota.maximum);
}

void TenantQuotas::Take(const std::string& tenant, const Resources& size, int count) {
  if (const auto found = quotas_.find(tenant); found != quotas_.end()) {
    found->second.used += Multiply(size, count);
  }
}

void TenantQuotas::WaitFor(const std::string& tenant, const Resources& size, int count) {
  if (const auto found = quotas_.find(tenant); found != quotas_.end()) {
    found->second.closed = found->second.closed || FitsMaximum(found->second.maximum, size, count);
  }
}

}  // namespace hibiscus::cell
