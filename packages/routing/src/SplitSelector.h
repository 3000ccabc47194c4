#pragma once

#include "routing/src/Configuration.h"

#include <map>
#include <unordered_map>

namespace auburnmux::routing {

/**
 * Distributes the requests of a route over the parts of its split, so that
 * each part's share stays within one request of its weight at any time
 * (smooth weighted round robin). A part without room rejects; its requests
 * don't move to another part.
 */
class SplitSelector
{
public:
  /** \returns the service of the next request. \pre the route has parts */
  const base::ServiceId& Next(const Route& aRoute);

private:
  /** Weight owed to each part, by service. */
  using Credits = std::map<base::ServiceId, std::int64_t>;

  std::unordered_map<RouteId, Credits> mCredits;
};

} // namespace auburnmux::routing
