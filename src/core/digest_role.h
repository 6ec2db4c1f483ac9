// Between data centres: one host of each sends a digest of its data centre to one host of every other, when it changed
// and as a keepalive. The receiver passes it on inside its own data centre. Two senders at once do no harm.
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

  // Forgets when the other data centres were last heard, after a pause of this process.
  void OnPause();

  // Was there a list yet? Without one this host cannot say which data centres there are.
  bool HasReceivedList() const { return has_received_list_; }
  // Every other data centre of the list, and those heard lately that the list lacks.
  std::vector<DataCentre> OtherDataCentres() const;
  // A host of another data centre to speak to; a greater round names another one, as far as there are several.
  HostName SelectContact(const DataCentre& name, size_t round) const;
  // The last digest of a data centre that is reachable; null if there is none.
  const Digest* FindDigest(const DataCentre& name) const;

 private:
  struct RemoteDataCentre {
    std::vector<HostName> listed_hosts;  // Its hosts by the list.
    bool has_current_digest = false;
    Digest digest;                   // Their last word.
    TimePoint digest_received_at{};  // When it arrived here.
    Digest sent_digest;              // Our last word to them.
    HostName sent_to;                // Empty: none was sent.
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
  std::map<DataCentre, RemoteDataCentre> data_centres_;  // The other ones.
  bool has_received_list_ = false;
  TimePoint next_digest_{};
  HostName config_source_;  // A host abroad that knows a newer configuration; empty: none.
  uint64_t config_source_version_ = 0;
  TimePoint next_config_request_{};
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_DIGEST_ROLE_H_
