#pragma once

#include "base/Base.h"

#include <vector>

namespace auburnmux::limits {

/** Minimum share of a host when an upstream has fewer slots than hosts. */
enum class ShareFloor : std::uint8_t
{
  /** At least one slot, so the shares can sum to more than the slots. */
  One,
  /** No minimum: only the first hosts in rendezvous order get a slot. */
  None,
};

/**
 * Divides an upstream's slots and connections among hosts without coordination:
 * every host computes the same division from the same list of hosts.
 */
class SlotShare
{
public:
  /**
   * \returns this host's slots of \a aUpstream. The remainder of the division
   * goes to the first hosts in rendezvous order, so that all shares sum to
   * \a aSlots when there are at least as many slots as hosts.
   * \param aLive the live hosts of the data centre; \a aSelf counts as live
   * even if it is not listed.
   */
  static base::SlotCount Slots(const base::UpstreamId& aUpstream,
                               base::SlotCount aSlots,
                               const base::HostId& aSelf,
                               const std::vector<base::HostId>& aLive,
                               ShareFloor aFloor = ShareFloor::One);

  /**
   * \returns this host's share of the connections to \a aUpstream. The shares
   * sum to at most \a aConnections, whichever hosts are live.
   * \param aAll every host that may ever proxy to the upstream.
   */
  static base::ConnectionCount Connections(
    const base::UpstreamId& aUpstream, base::ConnectionCount aConnections,
    const base::HostId& aSelf, const std::vector<base::HostId>& aAll);
};

} // namespace auburnmux::limits
