// What a host learns from the store, and how it becomes and stops being the owner.
#include <algorithm>
#include <utility>

#include "cell/host.h"

namespace hibiscus::cell {

namespace {

constexpr Duration kOwnerLease = 1s;         // A dead owner's record is gone after this.
constexpr Duration kRenewEvery = 250ms;      // Three renewals may fail within the lease.
constexpr Duration kRenewAgain = 80ms;       // After one that failed: well within kIncumbentFirst.
constexpr Duration kRestoreAgain = 150ms;    // After an attempt to write the record again that failed.
constexpr Duration kIncumbentFirst = 150ms;  // An owner whose record went while it lives writes it again within this.
constexpr Duration kLongestRank = 300ms;     // Hosts far from the store claim so much later.
constexpr Duration kWeakestRank = 300ms;     // So do hosts with little processor time beside the strongest.
constexpr Duration kClaimJitter = 20ms;      // Between hosts that are equally near.
constexpr Duration kClaimAgain = 200ms;      // After a claim that came to nothing.
constexpr Duration kOfferIgnored = 1s;       // After a failed claim, offers of an owner that still holds the record.
constexpr Duration kReleaseWithin = 1500ms;  // A planned stop waits so long for the last batch.
constexpr int kMostConflicts = 4;            // A claim is tried again so often while only the head has moved.
constexpr int kRankFactor = 3;               // Round trips to the store that a claim waits.

}  // namespace

OwnerRecord Host::OwnRecord(uint64_t epoch, bool released) const {
  const CellSettings& settings = context_.settings;
  return OwnerRecord{settings.name, settings.peer_address, settings.incarnation, epoch, released};
}

// Whether the cell may be claimed: nobody owns it, or an earlier process of this host did, and is gone.
bool Host::IsFree() const {
  const OwnerRecord& record = known_.record;
  const bool by_earlier_process = record.host == context_.settings.name && record.incarnation != 0 && !IsOwn(record);
  return !known_.present || known_.handed_over || record.released || by_earlier_process;
}

bool Host::IsOwn(const OwnerRecord& record) const {
  return record.host == context_.settings.name && record.incarnation == context_.settings.incarnation;
}

// --- What the store says ---

void Host::OnConfigurationItem(const StoreItem& item) {
  if (item.removed || item.key != context_.directory.configuration_key()) {
    return;
  }
  const auto configuration = context_.directory.ReadConfiguration(item);
  if (!configuration) {
    context_.Log("config", "event=config_unreadable revision={} kept_version={} reason=\"{}\"", item.revision,
                 configuration_.version, configuration.error());
    return;
  }
  if (configuration->version <= configuration_.version) {
    return;
  }
  configuration_ = *configuration;
  context_.Log("config", "event=config_in_force version={} revision={} queues={}", configuration_.version,
               item.revision, configuration_.queues.size());
  on_configuration_(configuration_);
  if (owner_ != nullptr) {
    owner_->OnConfiguration(configuration_);
  }
}

void Host::OnLiveReset(const std::vector<StoreItem>& items) {
  hosts_.clear();
  const StoreItem* owner = nullptr;
  bool own_listed = false;
  for (const StoreItem& item : items) {
    if (item.key == kOwnerKey) {
      owner = &item;
    } else {
      OnLiveItem(item);
      own_listed = own_listed || item.key == kHostPrefix + context_.settings.name;
    }
  }
  if (owner != nullptr || live_watch_.revision() > known_.term) {
    OnOwnerItem(owner);
  }
  if (!own_listed) {
    registration_.OnKeyGone();
  }
}

void Host::OnLiveItem(const StoreItem& item) {
  if (item.key == kOwnerKey) {
    if (!item.removed) {
      OnOwnerItem(&item);
    } else if (item.revision > known_.term) {
      OnOwnerItem(nullptr);
    }
    return;
  }
  if (item.removed) {
    hosts_.erase(item.key);
    if (item.key == kHostPrefix + context_.settings.name) {
      registration_.OnKeyGone();
    }
  } else if (const auto host = DecodeRecord<HostRecord>(item.value); host) {
    hosts_[item.key] = *host;
  } else {
    context_.Log("store", "event=unreadable key={} reason=\"{}\"", item.key, host.error());
  }
  if (owner_ != nullptr) {
    owner_->OnHosts(ListedHosts());
  }
}

void Host::OnOwnerItem(const StoreItem* item) {
  if (item == nullptr) {
    Learn(known_.term, false, known_.record);
    return;
  }
  const auto record = DecodeRecord<OwnerRecord>(item->value);
  if (!record) {
    context_.Log("owner", "event=unreadable key={} reason=\"{}\"", item->key, record.error());
    return;
  }
  Learn(item->revision, true, *record);
}

void Host::Learn(uint64_t term, bool present, const OwnerRecord& record) {
  if (term < known_.term) {
    return;  // Older than what another host said.
  }
  const bool news = term > known_.term || present != known_.present;
  known_ = KnownOwner{term, present, known_.handed_over && !news, record};
  if (!news) {
    return;
  }
  context_.Log("owner", "event=owner_known owner={} term={} present={} released={}", record.host, term, present,
               record.released);
  const bool other = present && record.address != context_.settings.peer_address;
  if (owner_ != nullptr && present && IsOwn(record)) {
    owner_->OnRecordRevision(term);
  }
  if (owner_ != nullptr && other && term > owner_->ownership().term) {
    Deposed();
  } else if (owner_ != nullptr && !present && !leaving_) {
    RestoreRecord();
  }
  if (!IsFree()) {
    Heard();
    DispatchAll();
  } else {
    ConsiderClaim();
  }
}

// --- Becoming the owner ---

void Host::ConsiderClaim() {
  if (owner_ != nullptr || claiming_ || leaving_ || !IsFree() || configuration_.version == 0 ||
      live_watch_.revision() == 0 || context_.Now() < stepped_down_until_) {
    return;
  }
  claiming_ = true;
  context_.timers.In(ClaimDelay() + context_.Jitter(kClaimJitter), Guarded([this] { BeginClaim(); }));
}

// Near the store and strong ones first; an owner whose record went early before all.
Duration Host::ClaimDelay() const {
  const bool may_live = known_.term != 0 && !known_.present;
  const Duration far = std::min(live_watch_.round_trip() * kRankFactor, kLongestRank);
  const double strongest = StrongestProcessor();
  const double weakness = strongest > 0 ? 1 - context_.settings.processor_millis / strongest : 0;
  const Duration weak(static_cast<int64_t>(static_cast<double>(kWeakestRank.count()) * weakness));
  return far + weak + (may_live ? kIncumbentFirst : Duration(0));
}

void Host::BeginClaim() {
  if (!IsFree()) {
    claiming_ = false;
    return;
  }
  ReadHead();
}

// The head and the lease are asked for at once: a claim takes two round trips.
void Host::ReadHead() {
  const uint64_t number = ++claim_number_;
  claim_ = ClaimParts{};
  context_.store.Read(kHeadKey, Guarded([this, number](const StoreAnswer& answer) {
                        if (number != claim_number_) {
                          return;
                        }
                        const bool read = answer.status == StoreStatus::kOk || answer.status == StoreStatus::kNotFound;
                        if (!read || !TakeHead(answer.items)) {
                          EndClaim("head_not_read", claim_.lease);
                          return;
                        }
                        claim_.head_read = true;
                        ClaimIfReady();
                      }));
  const Duration ttl = std::max(kOwnerLease, context_.settings.shortest_lease);
  context_.store.GrantLease(ttl, Guarded([this, number](const StoreAnswer& answer) {
                              if (number != claim_number_) {
                                if (answer.status == StoreStatus::kOk) {
                                  context_.store.EndLease(answer.lease, [](const StoreAnswer&) {});
                                }
                                return;
                              }
                              if (answer.status != StoreStatus::kOk) {
                                EndClaim("no_lease", 0);
                                return;
                              }
                              claim_.lease = answer.lease;
                              ClaimIfReady();
                            }));
}

// False if the head is there and cannot be read. None there: the cell was never owned.
bool Host::TakeHead(const std::vector<StoreItem>& items) {
  const auto item =
      std::find_if(items.begin(), items.end(), [](const StoreItem& each) { return each.key == kHeadKey; });
  claim_.head_revision = 0;
  claim_.epoch = 1;
  if (item == items.end()) {
    return true;
  }
  const auto head = DecodeRecord<HeadRecord>(item->value);
  if (!head) {
    return false;
  }
  claim_.head_revision = item->revision;
  claim_.epoch = head->epoch + 1;
  return true;
}

void Host::ClaimIfReady() {
  if (!claim_.head_read || claim_.lease == 0) {
    return;
  }
  if (!IsFree()) {
    EndClaim("another_owner", claim_.lease);
    return;
  }
  const uint64_t record_revision = known_.present ? known_.term : 0;
  StoreTransaction claim;
  claim.expected = {Expectation{kOwnerKey, record_revision}, Expectation{kHeadKey, claim_.head_revision}};
  claim.writes = {StoreWrite{kOwnerKey, EncodeRecord(OwnRecord(claim_.epoch, false)), claim_.lease},
                  StoreWrite{kHeadKey, EncodeRecord(HeadRecord{claim_.epoch, 0}), 0}};
  context_.store.Commit(claim, Guarded([this, record_revision](const StoreAnswer& answer) {
                          const Ownership wanted{claim_.epoch, answer.revision, answer.revision};
                          if (answer.status == StoreStatus::kOk) {
                            BecomeOwner(wanted, claim_.lease);
                          } else if (answer.status == StoreStatus::kUnknown) {
                            ResolveClaim(wanted, claim_.lease);
                          } else if (answer.status == StoreStatus::kConflict) {
                            OnClaimConflict(answer, record_revision);
                          } else {
                            EndClaim(NameOf(answer.status), claim_.lease);
                          }
                        }));
}

// A last batch of the owner before may have moved the head since it was read; then the claim goes out again at once.
void Host::OnClaimConflict(const StoreAnswer& answer, uint64_t record_revision) {
  uint64_t found = 0;
  for (const StoreItem& item : answer.items) {
    if (item.key == kOwnerKey) {
      found = item.revision;
      OnOwnerItem(&item);
    }
  }
  if (found != record_revision || ++claim_.conflicts > kMostConflicts || !TakeHead(answer.items)) {
    EndClaim("conflict", claim_.lease);
    return;
  }
  ClaimIfReady();
}

// The claim had no answer. The record tells whether it was carried out; if it is carried out after that, the watch
// brings a record of this process without an owner behind it, which is released.
void Host::ResolveClaim(const Ownership& wanted, uint64_t lease) {
  context_.store.Read(kOwnerKey, Guarded([this, wanted, lease](const StoreAnswer& answer) {
                        const bool found = answer.status == StoreStatus::kOk && !answer.items.empty();
                        const auto record = found ? DecodeRecord<OwnerRecord>(answer.items.front().value)
                                                  : tl::unexpected(std::string("absent"));
                        if (record && IsOwn(*record) && record->epoch == wanted.epoch && !record->released) {
                          const uint64_t revision = answer.items.front().revision;
                          BecomeOwner(Ownership{wanted.epoch, revision, revision}, lease);
                          return;
                        }
                        EndClaim("unanswered", lease);
                      }));
}

void Host::EndClaim(const char* reason, uint64_t lease) {
  ++claim_number_;  // What is still on its way for this claim is not waited for.
  context_.Log("owner", "event=claim_failed reason={} known_term={}", reason, known_.term);
  context_.counters.Add("owner_claims_failed");
  known_.handed_over = false;
  no_claim_until_ = context_.Now() + kOfferIgnored;
  if (lease != 0) {
    context_.store.EndLease(lease, [](const StoreAnswer&) {});
  }
  context_.timers.In(kClaimAgain, Guarded([this] {
                       claiming_ = false;
                       ConsiderClaim();
                     }));
}

void Host::BecomeOwner(const Ownership& ownership, uint64_t lease) {
  ++claim_number_;
  claiming_ = false;
  if (leaving_) {
    context_.store.EndLease(lease, [](const StoreAnswer&) {});
    return;
  }
  context_.counters.Add("owner_takeovers");
  owner_lease_ = lease;
  owner_since_ = context_.Now();
  known_ = KnownOwner{ownership.term, true, false, OwnRecord(ownership.epoch, false)};
  owner_ = std::make_unique<Owner>(context_, ownership, configuration_, [this] {
    // The owner is inside a call of its own: it goes once that is over.
    context_.timers.In(Duration(0), Guarded([this] { Deposed(); }));
  });
  for (const auto& [key, host] : hosts_) {
    if (host.address != context_.settings.peer_address) {
      Send(host.address, OwnerNews{ownership.term, context_.settings.name, context_.settings.peer_address});
    }
  }
  owner_->OnHosts(ListedHosts());
  owner_->Begin();
  Renew();
  DispatchAll();
}

// --- Staying the owner ---

// A renewal does not wait for the answer to the one before: its connection may have gone silent.
void Host::Renew() {
  if (owner_ == nullptr) {
    return;
  }
  const uint64_t number = ++renewal_;
  context_.store.KeepLease(owner_lease_, Guarded([this, number, lease = owner_lease_](const StoreAnswer& answer) {
                             const bool ended =
                                 answer.status == StoreStatus::kNoLease || answer.status == StoreStatus::kNotFound;
                             if (owner_ == nullptr || lease != owner_lease_) {
                               return;
                             }
                             if (answer.status == StoreStatus::kOk) {
                               owner_->OnStoreBack();
                             } else if (ended) {
                               ++renewal_;  // The loop goes on once the record is written again.
                               RestoreRecord();
                             } else if (number == renewal_) {
                               RenewIn(kRenewAgain);
                             }
                           }));
  RenewIn(kRenewEvery);
}

// Only the newest timer counts.
void Host::RenewIn(Duration delay) {
  const uint64_t timer = ++renewal_timer_;
  context_.timers.In(delay, Guarded([this, timer, number = renewal_] {
                       if (timer == renewal_timer_ && number == renewal_) {
                         Renew();
                       }
                     }));
}

// The record has gone although this owner lives. It may be written again if nobody has taken the cell over: batches are
// fenced by the head key in any case.
void Host::RestoreRecord() {
  if (restoring_ || leaving_ || owner_ == nullptr) {
    return;
  }
  restoring_ = true;
  context_.Log("owner", "event=record_gone epoch={} term={}", owner_->ownership().epoch, owner_->ownership().term);
  const Duration ttl = std::max(kOwnerLease, context_.settings.shortest_lease);
  context_.store.GrantLease(ttl, Guarded([this](const StoreAnswer& answer) {
                              if (answer.status == StoreStatus::kOk && owner_ != nullptr) {
                                WriteRecordAgain(answer.lease);
                                return;
                              }
                              context_.timers.In(kRestoreAgain, Guarded([this] {
                                                   restoring_ = false;
                                                   RestoreRecord();
                                                 }));
                            }));
}

void Host::WriteRecordAgain(uint64_t lease) {
  StoreTransaction again;
  again.expected = {Expectation{kOwnerKey, 0}};
  again.writes = {StoreWrite{kOwnerKey, EncodeRecord(OwnRecord(owner_->ownership().epoch, false)), lease}};
  context_.store.Commit(again, Guarded([this, lease](const StoreAnswer& answer) {
                          restoring_ = false;
                          if (owner_ == nullptr) {
                            return;
                          }
                          if (answer.status == StoreStatus::kOk) {
                            owner_lease_ = lease;
                            Learn(answer.revision, true, OwnRecord(owner_->ownership().epoch, false));
                            owner_->OnStoreBack();
                            Renew();
                            return;
                          }
                          context_.Log("owner", "event=record_not_restored status={}", NameOf(answer.status));
                          if (answer.status == StoreStatus::kConflict) {
                            for (const StoreItem& item : answer.items) {
                              const auto record = DecodeRecord<OwnerRecord>(item.value);
                              if (item.key == kOwnerKey && record && !IsOwn(*record)) {
                                Learn(item.revision, true, *record);
                                return;
                              }
                              if (item.key == kOwnerKey && record && IsOwn(*record)) {
                                owner_lease_ = item.lease;
                                Renew();
                                return;
                              }
                            }
                          }
                          context_.timers.In(kRestoreAgain, Guarded([this] { RestoreRecord(); }));
                        }));
}

// --- No longer the owner ---

void Host::Deposed() {
  if (owner_ == nullptr) {
    return;
  }
  context_.counters.Add("owner_deposed");
  if (owner_lease_ != 0) {
    context_.store.EndLease(owner_lease_, [](const StoreAnswer&) {});
  }
  DropOwner();
}

void Host::DropOwner() {
  owner_.reset();
  owner_lease_ = 0;
  restoring_ = false;
  if (known_.present && known_.record.address == context_.settings.peer_address) {
    known_.present = false;
  }
  DispatchAll();
}

// --- Leaving ---

void Host::Leave(std::function<void()> left) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  registration_.End();
  if (owner_ == nullptr) {
    left();
    return;
  }
  HandBack(std::move(left));
}

// Takes no more work, writes what is known, and marks the record as released.
void Host::HandBack(std::function<void()> done) {
  auto once = std::make_shared<std::function<void()>>(std::move(done));
  const auto release = Guarded([this, once] {
    if (*once) {
      ReleaseRecord(std::exchange(*once, nullptr));
    }
  });
  context_.timers.In(kReleaseWithin, release);
  owner_->Close(release);
}

// Others may take over at once: the record stays, marked as released, until one of them replaces it.
void Host::ReleaseRecord(const std::function<void()>& left) {
  if (owner_ == nullptr) {
    left();
    return;
  }
  owner_->StopWriting();
  StoreTransaction transaction;
  transaction.expected = {Expectation{kOwnerKey, known_.term}};
  transaction.writes = {StoreWrite{kOwnerKey, EncodeRecord(OwnRecord(owner_->ownership().epoch, true)), 0}};
  context_.store.Commit(transaction, Guarded([this, left](const StoreAnswer& answer) {
                          context_.Log("owner", "event=released status={}", NameOf(answer.status));
                          if (answer.status == StoreStatus::kOk) {
                            Learn(answer.revision, true, OwnRecord(0, true));
                          } else {
                            context_.store.EndLease(owner_lease_, [](const StoreAnswer&) {});
                          }
                          left();
                        }));
}

}  // namespace hibiscus::cell
