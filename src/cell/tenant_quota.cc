#include "cell/tenant_quota.h"

#include <algorithm>

namespace hibiscus::cell {

namespace {

// A component of 0 in the maximum is unlimited.
bool IsWithin(const Resources& used, const Resources& maximum) {
  const auto within = [](int64_t amount, int64_t limit) { return limit == 0 || amount <= limit; };
  return within(used.cpu_millis, maximum.cpu_millis) && within(used.memory_mb, maximum.memory_mb) &&
         within(used.accelerators, maximum.accelerators);
}

}  // namespace

Resources Multiply(const Resources& size, int count) {
  return Resources{size.cpu_millis * count, size.memory_mb * count, size.accelerators * count};
}

bool FitsMaximum(const Resources& maximum, const Resources& size, int count, const Resources& beside) {
  return IsWithin(beside + Multiply(size, count - 1), maximum);
}

TenantMaxima MaximaOf(const std::vector<TenantSpec>& tenants) {
  TenantMaxima maxima;
  for (const TenantSpec& tenant : tenants) {
    if (!(tenant.maximum == Resources{})) {
      maxima[tenant.name] = tenant.maximum;
    }
  }
  return maxima;
}

std::optional<Resources> UnaccountedRuns::BoundFor(const std::string& tenant) const {
  if (!any) {
    return Resources{};
  }
  if (!tasks) {
    return capacity;
  }
  const auto found = tasks->find(tenant);
  const Resources own = found == tasks->end() ? Resources{} : found->second;
  const Resources limit = capacity.value_or(own);
  return Resources{std::min(own.cpu_millis, limit.cpu_millis), std::min(own.memory_mb, limit.memory_mb),
                   std::min(own.accelerators, limit.accelerators)};
}

TenantQuotas::Quota* TenantQuotas::Find(const std::string& tenant) const {
  if (const auto known = quotas_.find(tenant); known != quotas_.end()) {
    return &known->second;
  }
  if (maxima_ == nullptr) {
    return nullptr;
  }
  const auto maximum = maxima_->find(tenant);
  if (maximum == maxima_->end()) {
    return nullptr;
  }
  const std::optional<Resources> unaccounted = unaccounted_->BoundFor(tenant);
  Quota quota{.maximum = maximum->second,
              .used = unaccounted.value_or(Resources{}),
              .lasting = Resources{},
              .closed = !unaccounted.has_value()};
  if (const auto used = usage_->find(tenant); used != usage_->end()) {
    quota.used += used->second;
  }
  if (lasting_ != nullptr && lasting_->contains(tenant)) {
    quota.lasting = lasting_->at(tenant);
  }
  return &quotas_.emplace(tenant, quota).first->second;
}

bool TenantQuotas::Allows(const std::string& tenant, const Resources& size, int count) const {
  const Quota* quota = Find(tenant);
  if (quota == nullptr) {
    return true;
  }
  if (quota->closed) {
    return false;
  }
  if (IsWithin(quota->used + Multiply(size, count), quota->maximum)) {
    return true;
  }
  const bool alone = quota->used == quota->lasting;
  const bool too_large_gang = count > 1 && !IsWithin(Multiply(size, count), quota->maximum);
  return (alone || too_large_gang) && FitsMaximum(quota->maximum, size, count, quota->used);
}

void TenantQuotas::Take(const std::string& tenant, const Resources& size, int count) {
  if (Quota* quota = Find(tenant); quota != nullptr) {
    quota->used += Multiply(size, count);
  }
}

void TenantQuotas::WaitFor(const std::string& tenant, const Resources& size, int count) {
  if (Quota* quota = Find(tenant); quota != nullptr) {
    quota->closed = quota->closed || FitsMaximum(quota->maximum, size, count, quota->lasting);
  }
}

}  // namespace hibiscus::cell
