#include "cell/values.h"

#include <algorithm>

namespace hibiscus::cell {

const QueueSpec* CellConfiguration::FindQueue(const std::string& name) const {
  const auto found =
      std::find_if(queues.begin(), queues.end(), [&](const QueueSpec& queue) { return queue.name == name; });
  return found == queues.end() ? nullptr : &*found;
}

const QueueSpec* CellConfiguration::FindQueueForPath(const std::string& host, const std::string& path) const {
  const QueueSpec* best = nullptr;
  for (const QueueSpec& queue : queues) {
    const bool longer = best == nullptr || queue.prefix.size() > best->prefix.size();
    if (longer && queue.host == host && path.starts_with(queue.prefix)) {
      best = &queue;
    }
  }
  return best;
}

std::string LoggedDigits(const KeyDigest& key) {
  constexpr size_t kLoggedDigits = 8;
  return key.empty() ? "none" : key.substr(0, kLoggedDigits);
}

const TenantSpec* CellConfiguration::FindTenant(const std::string& name) const {
  const auto found =
      std::find_if(tenants.begin(), tenants.end(), [&](const TenantSpec& tenant) { return tenant.name == name; });
  return found == tenants.end() ? nullptr : &*found;
}

const TenantSpec* CellConfiguration::FindTenantByKey(const KeyDigest& key) const {
  if (key.empty()) {
    return nullptr;
  }
  const auto found = std::find_if(tenants.begin(), tenants.end(), [&](const TenantSpec& tenant) {
    return std::find(tenant.keys.begin(), tenant.keys.end(), key) != tenant.keys.end();
  });
  return found == tenants.end() ? nullptr : &*found;
}

bool WorkerEntry::HasLabel(const std::string& label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

const char* NameOf(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kHoldExpired:
      return "lapsed";
    case EndKind::kGangMemberEnded:
      return "broken";
    case EndKind::kGangIncomplete:
      return "alone";
  }
  return "?";
}

const char* NameOf(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "?";
}

}  // namespace hibiscus::cell
