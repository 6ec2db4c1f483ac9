// Combines lambdas, one for each alternative of a variant, into one visitor for std::visit.
#ifndef HIBISCUSSTAND_SRC_CORE_OVERLOADED_H_
#define HIBISCUSSTAND_SRC_CORE_OVERLOADED_H_

namespace hibiscus {

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_OVERLOADED_H_
