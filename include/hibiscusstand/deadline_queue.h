// A queue of requests that wait for capacity: the class with the earliest deadline first, inside a class the tenant
// that was served least, inside a tenant the earliest deadline. Every operation is logarithmic in the queue's length;
// finding the next one is linear in the number of flows, which is bounded by classes, tenants and sizes.
//
// Use: Push what must wait, TakeExpired until it gives nothing, then TakeNext while there is capacity.
#ifndef HIBISCUSSTAND_DEADLINE_QUEUE_H_
#define HIBISCUSSTAND_DEADLINE_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hibiscusstand/clock.h"
#include "hibiscusstand/types.h"

namespace hibiscus {

enum class QueueOrder {
  kDeadline,  // As described above.
  kArrival,   // First come, first served: the baseline.
};

// Whether an item can be served now.
enum class QueueDecision {
  kSkip,  // Others may pass it.
  kTake,  // Take it.
  kStop,  // Nothing may pass it: what comes free is kept for it.
};

// Where an item belongs.
struct QueueAttributes {
  std::string class_name;
  std::string tenant;
  Resources size;        // Items of one size wait together: if one finds no room, none does.
  TimePoint start_by{};  // Expires then.
  double cost = 1;       // What serving it takes from its tenant's share, in any unit.
};

template <class Item>
class DeadlineQueue {
 public:
  using Id = uint64_t;

  explicit DeadlineQueue(QueueOrder order = QueueOrder::kDeadline) : order_(order) {}

  Id Push(const QueueAttributes& place, Item item) {
    const Id id = next_id_++;
    Class& of_class = classes_[place.class_name];
    Tenant& tenant = of_class.tenants[place.tenant];
    if (tenant.waiting == 0) {
      tenant.served = std::max(tenant.served, of_class.served);  // Being idle earns no credit.
    }
    ++tenant.waiting;
    tenant.flows[place.size].insert(KeyOf(place, id));
    expiry_.insert({place.start_by, id});
    items_.emplace(id, Entry{place, std::move(item)});
    return id;
  }

  // Removes one item, wherever it stands.
  std::optional<Item> Remove(Id id) {
    const auto entry = items_.find(id);
    return entry == items_.end() ? std::nullopt : std::optional<Item>(Extract(entry));
  }

  // One item whose deadline has come.
  std::optional<Item> TakeExpired(TimePoint now) {
    if (expiry_.empty() || expiry_.begin()->first > now) {
      return std::nullopt;
    }
    return Remove(expiry_.begin()->second);
  }

  // The first item in order for which `fits` says yes, unless it says wait before. It is asked for the head of each
  // flow only.
  template <class Fits>
  std::optional<Item> TakeNext(Fits&& fits) {
    std::vector<Head> heads = Heads();
    std::sort(heads.begin(), heads.end());
    for (const Head& head : heads) {
      const auto entry = items_.find(head.id);
      const QueueDecision fit = fits(entry->second.item);
      if (fit == QueueDecision::kStop) {
        return std::nullopt;
      }
      if (fit == QueueDecision::kTake) {
        Charge(entry->second.place);
        return Extract(entry);
      }
    }
    return std::nullopt;
  }

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

 private:
  using Key = std::pair<TimePoint, Id>;

  struct Entry {
    QueueAttributes place;
    Item item;
  };
  struct Tenant {
    double served = 0;
    size_t waiting = 0;
    std::map<Resources, std::set<Key>> flows;
  };
  struct Class {
    double served = 0;  // Of the tenant that was served last, before it was.
    std::map<std::string, Tenant> tenants;
  };
  struct Head {
    TimePoint class_deadline;
    std::string_view class_name;
    double served = 0;
    TimePoint deadline;
    Id id = 0;

    bool operator<(const Head& other) const {
      return std::tie(class_deadline, class_name, served, deadline, id) <
             std::tie(other.class_deadline, other.class_name, other.served, other.deadline, other.id);
    }
  };

  Key KeyOf(const QueueAttributes& place, Id id) const {
    return order_ == QueueOrder::kArrival ? Key{TimePoint{}, id} : Key{place.start_by, id};
  }

  std::vector<Head> Heads() const {
    std::vector<Head> heads;
    for (const auto& [class_name, of_class] : classes_) {
      const size_t first = heads.size();
      TimePoint earliest = TimePoint::max();
      for (const auto& [tenant_name, tenant] : of_class.tenants) {
        for (const auto& [size, flow] : tenant.flows) {
          const auto [deadline, id] = *flow.begin();
          earliest = std::min(earliest, deadline);
          const double served = order_ == QueueOrder::kArrival ? 0 : tenant.served;
          heads.push_back(Head{{}, class_name, served, deadline, id});
        }
      }
      for (size_t i = first; i < heads.size(); ++i) {
        heads[i].class_deadline = earliest;
        heads[i].class_name = order_ == QueueOrder::kArrival ? std::string_view() : heads[i].class_name;
      }
    }
    return heads;
  }

  void Charge(const QueueAttributes& place) {
    Class& of_class = classes_[place.class_name];
    Tenant& tenant = of_class.tenants[place.tenant];
    of_class.served = std::max(of_class.served, tenant.served);
    tenant.served += place.cost;
  }

  Item Extract(typename std::unordered_map<Id, Entry>::iterator entry) {
    const QueueAttributes& place = entry->second.place;
    Tenant& tenant = classes_[place.class_name].tenants[place.tenant];
    const auto flow = tenant.flows.find(place.size);
    flow->second.erase(KeyOf(place, entry->first));
    if (flow->second.empty()) {
      tenant.flows.erase(flow);
    }
    --tenant.waiting;
    expiry_.erase({place.start_by, entry->first});
    Item item = std::move(entry->second.item);
    items_.erase(entry);
    return item;
  }

  QueueOrder order_;
  Id next_id_ = 1;
  std::map<std::string, Class> classes_;
  std::unordered_map<Id, Entry> items_;
  std::set<Key> expiry_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_DEADLINE_QUEUE_H_
