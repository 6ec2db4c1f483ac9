#include "core/digest_role.h"

#include <algorithm>
#include <cstdlib>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

namespace {

// Before the first request and between requests: the store's watch usually delivers a new configuration sooner.
constexpr Duration kConfigRequestDelay = 1s;
constexpr int kSignificantBits = 3;      // Of the amounts in a digest, so that small changes do not cause a new one.
constexpr size_t kRoundsPerContact = 2;  // A contact is tried this often before the next one is selected.

// Rounds towards zero.
int64_t RoundToSignificantBits(int64_t amount) {
  int64_t unit = 1;
  while (std::abs(amount) / unit >= (1 << kSignificantBits)) {
    unit *= 2;
  }
  return amount / unit * unit;
}

Resources RoundToSignificantBits(const Resources& amount) {
  return Resources{RoundToSignificantBits(amount.cpu_millis), RoundToSignificantBits(amount.memory_mb),
                   RoundToSignificantBits(amount.accelerators)};
}

}  // namespace

void DigestRole::OnList(const std::vector<ListEntry>& entries) {
  for (auto& [name, centre] : data_centres_) {
    centre.listed_hosts.clear();
  }
  for (const ListEntry& entry : entries) {
    if (entry.kind == ListKind::kEntryHost && entry.data_centre != context_.settings.data_centre) {
      data_centres_[entry.data_centre].listed_hosts.push_back(entry.name);
    }
  }
  has_received_list_ = has_received_list_ || !entries.empty();
}

void DigestRole::OnDigest(const HostName& from, const Digest& digest) {
  if (digest.data_centre == context_.settings.data_centre) {
    return;
  }
  RemoteDataCentre& centre = data_centres_[digest.data_centre];
  centre.has_current_digest = true;
  centre.digest = digest;
  centre.digest_received_at = context_.Now();
  UpdateRemoteHosts();
  if (digest.relayed) {
    return;
  }
  Digest relayed = digest;
  relayed.relayed = true;
  for (const HostName& host : context_.live) {
    if (host != context_.settings.name) {
      context_.Send(host, relayed);
    }
  }
  const uint64_t own_version = context_.configuration.version;
  if (digest.wants_configuration && digest.config_version < own_version) {
    context_.Send(from, ConfigPush{context_.configuration});
  }
  if (digest.config_version > own_version && config_source_.empty()) {
    config_source_ = from;
    config_source_version_ = digest.config_version;
    next_config_request_ = context_.Now() + kConfigRequestDelay;
  }
}

void DigestRole::OnTick() {
  std::erase_if(data_centres_, [&](const auto& entry) {
    const RemoteDataCentre& centre = entry.second;
    return centre.listed_hosts.empty() &&
           context_.Now() - centre.digest_received_at >= context_.settings.result_retention;
  });
  UpdateRemoteHosts();
  RequestConfiguration();
  if (context_.Now() >= next_digest_ && IsSender()) {
    next_digest_ = context_.Now() + context_.settings.digest_interval;
    SendDigests();
  }
}

void DigestRole::OnPause() {
  for (auto& [name, centre] : data_centres_) {
    centre.has_current_digest = false;
  }
  UpdateRemoteHosts();
}

std::vector<DataCentre> DigestRole::OtherDataCentres() const {
  std::vector<DataCentre> names;
  names.reserve(data_centres_.size());
  for (const auto& [name, centre] : data_centres_) {
    names.push_back(name);
  }
  return names;
}

HostName DigestRole::SelectContact(const DataCentre& name, size_t round) const {
  const auto centre = data_centres_.find(name);
  if (centre == data_centres_.end()) {
    return {};
  }
  std::vector<HostName> hosts = centre->second.listed_hosts;
  if (IsFresh(centre->second) && !centre->second.digest.hosts.empty()) {
    hosts.clear();
    for (const DigestHost& host : centre->second.digest.hosts) {
      hosts.push_back(host.name);
    }
  }
  for (size_t skip = (round / kRoundsPerContact) % std::max<size_t>(hosts.size(), 1); skip > 0; --skip) {
    std::erase(hosts, RendezvousPick(context_.settings.data_centre, hosts));
  }
  return RendezvousPick(context_.settings.data_centre, hosts);
}

const Digest* DigestRole::FindDigest(const DataCentre& name) const {
  const auto centre = data_centres_.find(name);
  return centre == data_centres_.end() || !IsFresh(centre->second) ? nullptr : &centre->second.digest;
}

bool DigestRole::IsSender() const {
  return RendezvousPick("digest", context_.live) == context_.settings.name;
}

bool DigestRole::IsFresh(const RemoteDataCentre& centre) const {
  return centre.has_current_digest && context_.Now() - centre.digest_received_at < context_.settings.digest_timeout;
}

Digest DigestRole::OwnDigest() const {
  Digest digest;
  digest.data_centre = context_.settings.data_centre;
  digest.config_version = context_.configuration.version;
  for (const HostName& host : context_.live) {
    const Heartbeat* received = membership_.LoadOf(host);
    const Heartbeat heartbeat = received == nullptr ? Heartbeat{} : *received;
    digest.free += heartbeat.free;
    if (heartbeat.largest.cpu_millis > digest.largest.cpu_millis) {
      digest.largest = heartbeat.largest;
    }
    digest.hosts.push_back(DigestHost{host, static_cast<int>(RoundToSignificantBits(heartbeat.free_slots))});
  }
  digest.free = RoundToSignificantBits(digest.free);
  digest.largest = RoundToSignificantBits(digest.largest);
  return digest;
}

void DigestRole::SendDigests() {
  const Digest digest = OwnDigest();
  for (auto& [name, centre] : data_centres_) {
    const auto rounds =
        static_cast<size_t>((context_.Now() - centre.digest_received_at) / context_.settings.digest_keepalive);
    const HostName to = SelectContact(name, IsFresh(centre) ? 0 : rounds);
    const bool due = context_.Now() - centre.sent_at >= context_.settings.digest_keepalive;
    if (to.empty() || (digest == centre.sent_digest && to == centre.sent_to && !due)) {
      continue;
    }
    centre.sent_digest = digest;
    centre.sent_to = to;
    centre.sent_at = context_.Now();
    context_.Send(to, digest);
  }
}

// Requests the configuration from the host that announced a newer version, until it has arrived or that host is gone.
void DigestRole::RequestConfiguration() {
  if (config_source_.empty() || context_.Now() < next_config_request_) {
    return;
  }
  next_config_request_ = context_.Now() + kConfigRequestDelay;
  if (context_.configuration.version >= config_source_version_ || !context_.IsRemote(config_source_)) {
    config_source_.clear();
    return;
  }
  Digest digest = OwnDigest();
  digest.wants_configuration = true;
  context_.Send(config_source_, digest);
}

void DigestRole::UpdateRemoteHosts() {
  context_.remote.clear();
  for (const auto& [name, centre] : data_centres_) {
    if (!IsFresh(centre)) {
      continue;
    }
    for (const DigestHost& host : centre.digest.hosts) {
      context_.remote.push_back(host.name);
    }
  }
  std::sort(context_.remote.begin(), context_.remote.end());
}

}  // namespace hibiscus
