// Exchanges digests between data centres: one host of each data centre sends a digest to one host of every other, when
// the digest changed and as a keepalive. The receiver relays it within its own data centre. Concurrent senders are
// harmless.
#ifndef HIBISCUSSTAND_SRC_CORE_DIGEST_ROLE_H_
#define HIBISCUSSTAND_SRC_CORE_DIGEST_ROLE_H_

#include <map>
#include <vector>

#include "core/context.h"
#include "core/membership.h"

namespace hibiscus {

class DigestRole {
 public:
  DigestRole(CoreContext& context, const Membership& membership) : context_(context), membership_(membership) {}

  void OnList(const std::vector<ListEntry>& entries);
  void OnDigest(const HostName& from, const Digest& digest);
  void OnTick();

  // Treats all received digests as stale, after a pause of this process.
  void OnPause();

  // Whether a non-empty list has been received. Before that, the set of data centres is unknown.
  bool HasReceivedList() const { return has_received_list_; }
  // All other data centres of the list, and unlisted ones with a digest received within HostSettings::remember.
  std::vector<DataCentre> OtherDataCentres() const;
  // Selects the host of another data centre to contact; empty if none is known. Later rounds select other hosts, if
  // there are several.
  HostName SelectContact(const DataCentre& name, size_t round) const;
  // The latest digest of a data centre, or null if it is missing or stale.
  const Digest* FindDigest(const DataCentre& name) const;

 private:
  struct RemoteDataCentre {
    std::vector<HostName> listed_hosts;  // Its hosts in the platform's list.
    bool has_current_digest = false;     // False until a digest arrives, and again after a pause of this process.
    Digest digest;                       // The latest digest received.
    TimePoint digest_received_at{};
    Digest sent_digest;  // The latest digest sent to it.
    HostName sent_to;    // Empty if none was sent.
    TimePoint sent_at{};
  };

  bool IsSender() const;
  bool IsFresh(const RemoteDataCentre& centre) const;
  Digest OwnDigest() const;
  void SendDigests();
  void RequestConfiguration();
  void UpdateRemoteHosts();

  CoreContext& context_;
  const Membership& membership_;
  std::map<DataCentre, RemoteDataCentre> data_centres_;  // Without the own data centre.
  bool has_received_list_ = false;
  TimePoint next_digest_{};
  HostName config_source_;  // Host of another data centre that announced a newer configuration; empty if none.
  uint64_t config_source_version_ = 0;
  TimePoint next_config_request_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_DIGEST_ROLE_H_
