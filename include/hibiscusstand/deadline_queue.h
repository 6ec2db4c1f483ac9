// A queue of requests that wait for capacity. Order: the class with the earliest deadline first, within a class the
// tenant that was served least, within a tenant the earliest deadline. Push and removal are logarithmic in the queue's
// length; TakeNext sorts the flows, one for each combination of class, tenant and size that is queued.
//
// Use: Push each waiting request, call TakeExpired until it returns nothing, then TakeNext while there is capacity.
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
  kArrival,   // First come, first served; a baseline for comparisons.
};

// Whether TakeNext takes an item.
enum class QueueDecision {
  kSkip,  // Leave it; later items may overtake it.
  kTake,  // Remove and return it.
  kStop,  // Nothing may overtake it: freed capacity is kept for it.
};

// What determines an item's position in the queue.
struct QueueAttributes {
  std::string class_name;
  std::string tenant;
  Resources size;        // Items of equal size form one flow: if one does not fit, none does.
  TimePoint start_by{};  // Deadline; the item expires then.
  double cost = 1;       // Charged to its tenant when served, in any one unit.
};

template <class Item>
class DeadlineQueue {
 public:
  using Id = uint64_t;

  explicit DeadlineQueue(QueueOrder order = QueueOrder::kDeadline) : order_(order) {}

  // Adds an item and returns its id, which Remove takes.
  Id Push(const QueueAttributes& attributes, Item item) {
    const Id id = next_id_++;
    Class& of_class = classes_[attributes.class_name];
    Tenant& tenant = of_class.tenants[attributes.tenant];
    if (tenant.queued == 0) {
      tenant.served = std::max(tenant.served, of_class.served);  // An idle tenant earns no credit.
    }
    ++tenant.queued;
    tenant.flows[attributes.size].insert(KeyOf(attributes, id));
    expiry_.insert({attributes.start_by, id});
    items_.emplace(id, Entry{attributes, std::move(item)});
    return id;
  }

  // Removes and returns an item at any position; nothing if it is not queued.
  std::optional<Item> Remove(Id id) {
    const auto entry = items_.find(id);
    return entry == items_.end() ? std::nullopt : std::optional<Item>(Extract(entry));
  }

  // Removes and returns an item whose deadline has passed; nothing if there is none. Does not charge its tenant.
  std::optional<Item> TakeExpired(TimePoint now) {
    if (expiry_.empty() || expiry_.begin()->first > now) {
      return std::nullopt;
    }
    return Remove(expiry_.begin()->second);
  }

  // Removes and returns the first item in order for which `decide` returns kTake, and charges its tenant. Returns
  // nothing if `decide` returns kStop for an earlier one. `decide` is called for the head of each flow only.
  template <class Decide>
  std::optional<Item> TakeNext(Decide&& decide) {
    std::vector<FlowHead> heads = FlowHeads();
    std::sort(heads.begin(), heads.end());
    for (const FlowHead& head : heads) {
      const auto entry = items_.find(head.id);
      const QueueDecision decision = decide(entry->second.item);
      if (decision == QueueDecision::kStop) {
        return std::nullopt;
      }
      if (decision == QueueDecision::kTake) {
        Charge(entry->second.attributes);
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
    QueueAttributes attributes;
    Item item;
  };
  struct Tenant {
    double served = 0;  // Total cost charged.
    size_t queued = 0;
    std::map<Resources, std::set<Key>> flows;
  };
  struct Class {
    double served = 0;  // The served cost of the last served tenant, before that.
    std::map<std::string, Tenant> tenants;
  };
  struct FlowHead {
    TimePoint class_deadline;
    std::string_view class_name;
    double served = 0;
    TimePoint deadline;
    Id id = 0;

    bool operator<(const FlowHead& other) const {
      return std::tie(class_deadline, class_name, served, deadline, id) <
             std::tie(other.class_deadline, other.class_name, other.served, other.deadline, other.id);
    }
  };

  Key KeyOf(const QueueAttributes& attributes, Id id) const {
    return order_ == QueueOrder::kArrival ? Key{TimePoint{}, id} : Key{attributes.start_by, id};
  }

  std::vector<FlowHead> FlowHeads() const {
    std::vector<FlowHead> heads;
    for (const auto& [class_name, of_class] : classes_) {
      const size_t first = heads.size();
      TimePoint earliest = TimePoint::max();
      for (const auto& [tenant_name, tenant] : of_class.tenants) {
        for (const auto& [size, flow] : tenant.flows) {
          const auto [deadline, id] = *flow.begin();
          earliest = std::min(earliest, deadline);
          const double served = order_ == QueueOrder::kArrival ? 0 : tenant.served;
          heads.push_back(FlowHead{{}, class_name, served, deadline, id});
        }
      }
      for (size_t i = first; i < heads.size(); ++i) {
        heads[i].class_deadline = earliest;
        heads[i].class_name = order_ == QueueOrder::kArrival ? std::string_view() : heads[i].class_name;
      }
    }
    return heads;
  }

  void Charge(const QueueAttributes& attributes) {
    Class& of_class = classes_[attributes.class_name];
    Tenant& tenant = of_class.tenants[attributes.tenant];
    of_class.served = std::max(of_class.served, tenant.served);
    tenant.served += attributes.cost;
  }

  Item Extract(typename std::unordered_map<Id, Entry>::iterator entry) {
    const QueueAttributes& attributes = entry->second.attributes;
    Tenant& tenant = classes_[attributes.class_name].tenants[attributes.tenant];
    const auto flow = tenant.flows.find(attributes.size);
    flow->second.erase(KeyOf(attributes, entry->first));
    if (flow->second.empty()) {
      tenant.flows.erase(flow);
    }
    --tenant.queued;
    expiry_.erase({attributes.start_by, entry->first});
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
