// Takes elements out of a vector.
#ifndef HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_
#define HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_

#include <algorithm>
#include <iterator>
#include <vector>

namespace hibiscus {

// The elements that are wanted, no longer in `values`. Both keep their order.
template <class Value, class Wanted>
std::vector<Value> TakeIf(std::vector<Value>& values, Wanted wanted) {
  const auto first =
      std::stable_partition(values.begin(), values.end(), [&](const Value& value) { return !wanted(value); });
  std::vector<Value> taken(std::make_move_iterator(first), std::make_move_iterator(values.end()));
  values.erase(first, values.end());
  return taken;
}

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_TAKE_IF_H_
