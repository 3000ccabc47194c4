#pragma once

#include "base/Base.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburnmux::objects {

/** Number of live hosts in the membership view of a host. */
using HostCount = base::Quantity<struct HostCountTag, std::uint32_t>;

/**
 * \returns a random delay before the first call after the platform recovered.
 * The maximum delay grows with the number of live hosts, up to 60 s, so that at
 * most about 100 hosts a second reconnect (with up to 6,000 live hosts).
 */
inline base::Duration ReconnectDelay(HostCount aLiveHosts,
                                     base::Random& aRandom)
{
  constexpr base::Duration kPerHost = std::chrono::milliseconds(10);
  constexpr base::Duration kMaxWindow = std::chrono::seconds(60);
  const base::Duration window =
    std::min<base::Duration>(kPerHost * aLiveHosts.Count(), kMaxWindow);
  return base::Duration(static_cast<base::Duration::rep>(
    aRandom.Below(static_cast<std::uint64_t>(window.count()) + 1)));
}

} // namespace auburnmux::objects
