#include "core/digest_role.h"

#include <algorithm>
#include <cstdlib>

#include "hibiscusstand/rendezvous.h"

namespace hibiscus {

namespace {

constexpr Duration kAskGrace = 1s;       // The store's watch usually brings a new configuration sooner.
constexpr int kSignificantBits = 3;      // Of the amounts in a digest, so that small changes send nothing.
constexpr size_t kRoundsPerContact = 2;  // Tries of one contact before the next one is tried.

// Rounds towards zero.
int64_t Rounded(int64_t amount) {
  int64_t unit = 1;
  while (std::abs(amount) / unit >= (1 << kSignificantBits)) {
    unit *= 2;
  }
  return amount / unit * unit;
}

Resources Rounded(const Resources& amount) {
  return Resources{Rounded(amount.cpu_millis), Rounded(amount.memory_mb), Rounded(amount.accelerators)};
}

}  // namespace

void DigestRole::OnList(const std::vector<ListEntry>& entries) {
  for (auto& [name, centre] : centres_) {
    centre.listed.clear();
  }
  for (const ListEntry& entry : entries) {
    if (entry.kind == ListKind::kEntryHost && entry.data_centre != context_.settings.data_centre) {
      centres_[entry.data_centre].listed.push_back(entry.name);
    }
  }
  knows_centres_ = knows_centres_ || !entries.empty();
}

void DigestRole::OnDigest(const HostName& from, const Digest& digest) {
  if (digest.data_centre == context_.settings.data_centre) {
    return;
  }
  Centre& centre = centres_[digest.data_centre];
  centre.heard_once = true;
  centre.digest = digest;
  centre.heard = context_.Now();
  RecomputeRemote();
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
  const uint64_t known = context_.configuration.version;
  if (digest.wants_configuration && digest.config_version < known) {
    context_.Send(from, ConfigPush{context_.configuration});
  }
  if (digest.config_version > known && ask_from_.empty()) {
    ask_from_ = from;
    ask_version_ = digest.config_version;
    next_ask_ = context_.Now() + kAskGrace;
  }
}

void DigestRole::OnTick() {
  std::erase_if(centres_, [&](const auto& entry) {
    const Centre& centre = entry.second;
    return centre.listed.empty() && context_.Now() - centre.heard >= context_.settings.remember;
  });
  RecomputeRemote();
  AskForConfiguration();
  if (context_.Now() >= next_digest_ && IsSender()) {
    next_digest_ = context_.Now() + context_.settings.digest_every;
    SendDigests();
  }
}

void DigestRole::OnPause() {
  for (auto& [name, centre] : centres_) {
    centre.heard_once = false;
  }
  RecomputeRemote();
}

std::vector<DataCentre> DigestRole::OtherCentres() const {
  std::vector<DataCentre> names;
  names.reserve(centres_.size());
  for (const auto& [name, centre] : centres_) {
    names.push_back(name);
  }
  return names;
}

HostName DigestRole::ContactOf(const DataCentre& name, size_t round) const {
  const auto centre = centres_.find(name);
  if (centre == centres_.end()) {
    return {};
  }
  std::vector<HostName> hosts = centre->second.listed;
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

const Digest* DigestRole::DigestOf(const DataCentre& name) const {
  const auto centre = centres_.find(name);
  return centre == centres_.end() || !IsFresh(centre->second) ? nullptr : &centre->second.digest;
}

bool DigestRole::IsSender() const {
  return RendezvousPick("digest", context_.live) == context_.settings.name;
}

bool DigestRole::IsFresh(const Centre& centre) const {
  return centre.heard_once && context_.Now() - centre.heard < context_.settings.digest_stale;
}

Digest DigestRole::OwnDigest() const {
  Digest digest;
  digest.data_centre = context_.settings.data_centre;
  digest.config_version = context_.configuration.version;
  for (const HostName& host : context_.live) {
    const Heartbeat* load = membership_.LoadOf(host);
    const Heartbeat known = load == nullptr ? Heartbeat{} : *load;
    digest.free += known.free;
    if (known.largest.cpu_millis > digest.largest.cpu_millis) {
      digest.largest = known.largest;
    }
    digest.hosts.push_back(DigestHost{host, static_cast<int>(Rounded(known.free_slots))});
  }
  digest.free = Rounded(digest.free);
  digest.largest = Rounded(digest.largest);
  return digest;
}

void DigestRole::SendDigests() {
  const Digest digest = OwnDigest();
  for (auto& [name, centre] : centres_) {
    const auto rounds = static_cast<size_t>((context_.Now() - centre.heard) / context_.settings.digest_keepalive);
    const HostName to = ContactOf(name, IsFresh(centre) ? 0 : rounds);
    const bool due = context_.Now() - centre.sent_at >= context_.settings.digest_keepalive;
    if (to.empty() || (digest == centre.sent && to == centre.sent_to && !due)) {
      continue;
    }
    centre.sent = digest;
    centre.sent_to = to;
    centre.sent_at = context_.Now();
    context_.Send(to, digest);
  }
}

// While this host knows less than a host abroad said, it asks there.
void DigestRole::AskForConfiguration() {
  if (ask_from_.empty() || context_.Now() < next_ask_) {
    return;
  }
  next_ask_ = context_.Now() + kAskGrace;
  if (context_.configuration.version >= ask_version_ || !context_.IsRemote(ask_from_)) {
    ask_from_.clear();
    return;
  }
  Digest digest = OwnDigest();
  digest.wants_configuration = true;
  context_.Send(ask_from_, digest);
}

void DigestRole::RecomputeRemote() {
  context_.remote.clear();
  for (const auto& [name, centre] : centres_) {
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
