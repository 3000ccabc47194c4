#pragma once

#include "base/Base.h"
#include "http/Http.h"
#include "membership/Membership.h"

#include <vector>

namespace auburnmux::entry {

/** Hosts named in one answer at most. */
constexpr std::size_t kMaxDirectoryHosts = 64;

/**
 * Chooses the hosts that a client is to use: the live ones of its data centre,
 * else of its region, else all. Hosts that are leaving or silent are left out
 * while another is live. So are hosts with a link that is narrow beside the
 * others', as long as two or more others are there with half of the processor
 * time: long bodies take many times longer through them.
 */
std::vector<http::Endpoint> ChooseHosts(
  const std::vector<membership::HostView>& aHosts,
  const base::DataCentreId& aCentre, const base::RegionId& aRegion);

} // namespace auburnmux::entry
