#pragma once

#include "balancing/src/RoundRobinPool.h"
#include "balancing/src/UpstreamPool.h"

#include <utility>
#include <variant>

namespace auburnmux::balancing {

/** One of the load balancers, which share the interface of UpstreamPool. */
using Pool = std::variant<UpstreamPool, RoundRobinPool>;

/** Calls \a aVisitor with the pool that \a aPool holds. */
template<typename Visitor>
decltype(auto) VisitPool(Pool& aPool, Visitor&& aVisitor)
{
  return std::visit(std::forward<Visitor>(aVisitor), aPool);
}

/** \sa UpstreamPool::Pick */
inline PickResult Pick(Pool& aPool, base::TimePoint aNow, base::Random& aRandom,
                       const PickRequest& aRequest)
{
  return VisitPool(
    aPool, [&](auto& aIt) { return aIt.Pick(aNow, aRandom, aRequest); });
}

} // namespace auburnmux::balancing
