#pragma once

#include "base/Base.h"

namespace auburnmux::balancing {

/** One upstream of a service as this host may use it. */
struct UpstreamSpec
{
  base::UpstreamId mId;
  /** This host's share of the upstream's slots. \sa limits::SlotShare */
  base::SlotCount mSlots;
  /** This host's share of the upstream's connections. */
  base::ConnectionCount mConnections;
  /** The configuration plans to stop the upstream. */
  bool mLeaving = false;
};

} // namespace auburnmux::balancing
