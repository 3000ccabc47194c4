#pragma once

#include "base/Base.h"

namespace auburnmux::balancing {

/** Configuration of one upstream of a service for this host. */
struct UpstreamSpec
{
  base::UpstreamId mId;
  /** This host's share of the upstream's slots. \sa limits::SlotShare */
  base::SlotCount mSlots;
  /** This host's share of the upstream's connections. */
  base::ConnectionCount mConnections;
  /** The upstream is leaving according to the configuration. */
  bool mLeaving = false;
};

} // namespace auburnmux::balancing
