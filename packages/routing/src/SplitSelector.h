#pragma once

#include "routing/src/Configuration.h"

#include <map>
#include <unordered_map>

namespace auburnmux::routing {

/**
 * Distributes the requests of a route over the parts of its split, so that
 * each part's share stays within one request of its weight at any time
 * (smooth weighted round robin). If the upstreams of a part have no capacity,
 * its requests are rejected and don't move to another part.
 */
class SplitSelector
{
public:
  /** \returns the service of the next request. \pre the route has parts */
  const base::ServiceId& Next(const Route& aRoute);

private:
  /** Current weight of each part in the round robin, by service. */
  using Credits = std::map<base::ServiceId, std::int64_t>;

  std::unordered_map<RouteId, Credits> mCredits;
};

} // namespace auburnmux::routing
