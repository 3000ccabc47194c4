#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "membership/Membership.h"

#include <vector>

namespace auburnmux::entry {

/** Maximum number of hosts in one lookup response. */
constexpr std::size_t kMaxDirectoryHosts = 64;

/**
 * Chooses the hosts that a client should use: the live ones of its data centre,
 * else of its region, else all live ones. Hosts that are leaving or silent are
 * excluded. Hosts whose link is much slower than the fastest one are excluded
 * as long as at least two others remain with half of the processor time: long
 * bodies take many times longer through them.
 */
std::vector<http::Endpoint> ChooseHosts(
  const std::vector<membership::HostView>& aHosts,
  const base::DataCentreId& aCentre, const base::RegionId& aRegion);

} // namespace auburnmux::entry
