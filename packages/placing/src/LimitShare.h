#pragma once

#include "base/Base.h"

#include <cstdint>
#include <vector>

namespace auburnmux::placing {

/** A host that may send to upstreams whose limits all hosts share. */
struct LimitSharer
{
  base::HostId mHost;
  base::RegionId mRegion;
};

/** A host's part of an upstream's limit. */
struct LimitShare
{
  /** Requests per second; 0 for a host without a part. */
  double mRate = 0;
  /** Requests that may be sent at once after a pause. */
  double mBurst = 1;
};

/**
 * Divides a limit that an upstream set on the requests of all hosts together.
 * The hosts don't exchange their use: each computes its own part from the same
 * list of hosts. Hosts in the upstream's region get larger parts, as others
 * send to it only when their own upstreams are full. If the limit is so low
 * that one request of each host in a few seconds would exceed it, only some
 * hosts get a part; they are chosen by rendezvous hashing.
 *
 * \param aLimit requests per second
 * \param aSelf the host whose part is computed
 * \param aSharers all hosts that may be sending, \a aSelf included
 */
LimitShare ShareLimit(double aLimit, const base::UpstreamId& aUpstream,
                      const base::RegionId& aUpstreamRegion,
                      const base::HostId& aSelf,
                      const std::vector<LimitSharer>& aSharers);

} // namespace auburnmux::placing
