#pragma once

#include "membership/Membership.h"

#include <cstdint>
#include <set>
#include <vector>

namespace auburnmux::quotas {

/** What a host knows about the hosts that share the quotas. */
struct Fleet
{
  /** The live hosts of the own data centre in rendezvous order, this host
   * included. */
  std::vector<base::HostId> mAggregators;
  base::HostId mRoot;
  /** Hosts that may be using their share, silent ones included. */
  std::uint32_t mKnown = 0;
  /** mKnown and the hosts assumed in data centres that aren't known. */
  std::uint32_t mSharers = 0;
  /** Whether this host has announced its stop. */
  bool mIsLeaving = false;
  /** Whether an earlier process at the same address was known. */
  bool mIsReplacement = false;
};

/**
 * \param aCentres all data centres of the deployment
 * \param aView all hosts that this host knows, itself included
 */
Fleet DescribeFleet(base::TimePoint aNow, const membership::HostIdentity& aSelf,
                    bool aIsLeaving,
                    const std::set<base::DataCentreId>& aCentres,
                    const std::vector<membership::HostView>& aView,
                    const membership::ActiveHostCounter& aActive);

} // namespace auburnmux::quotas
