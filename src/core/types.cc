#include "hibiscusstand/types.h"

#include <algorithm>

namespace hibiscus {

Resources& Resources::operator+=(const Resources& other) {
  cpu_millis += other.cpu_millis;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millis -= other.cpu_millis;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& available) const {
  return cpu_millis <= available.cpu_millis && memory_mb <= available.memory_mb &&
         accelerators <= available.accelerators;
}

const ClassSpec* Configuration::FindClass(const std::string& name) const {
  const auto found = std::find_if(classes.begin(), classes.end(), [&](const ClassSpec& c) { return c.name == name; });
  return found == classes.end() ? nullptr : &*found;
}

const TenantQuota* Configuration::FindQuota(const std::string& tenant) const {
  const auto found =
      std::find_if(quotas.begin(), quotas.end(), [&](const TenantQuota& q) { return q.tenant == tenant; });
  return found == quotas.end() ? nullptr : &*found;
}

}  // namespace hibiscus
