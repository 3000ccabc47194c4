#pragma once

#include "base/Base.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburnmux::objects {

/** Live hosts as a host's membership view counts them. */
using HostCount = base::Quantity<struct HostCountTag, std::uint32_t>;

/**
 * \returns a random delay before the first call after the platform came back.
 * The window grows with the number of live hosts, so that the platform sees at
 * most about 100 hosts a second.
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
