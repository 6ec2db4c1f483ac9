// Moves matching elements out of a vector.
#ifndef HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_
#define HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_

#include <algorithm>
#include <iterator>
#include <vector>

namespace hibiscus {

// Removes the elements of `values` that match and returns them. Both vectors keep their order.
template <class Value, class Predicate>
std::vector<Value> TakeIf(std::vector<Value>& values, Predicate matches) {
  const auto first =
      std::stable_partition(values.begin(), values.end(), [&](const Value& value) { return !matches(value); });
  std::vector<Value> removed(std::make_move_iterator(first), std::make_move_iterator(values.end()));
  values.erase(first, values.end());
  return removed;
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_
