#pragma once

#include "base/Base.h"
#include "config/src/Endpoint.h"

namespace auburnmux::config {

/** One process that runs requests of a service. */
struct Upstream
{
  base::UpstreamId mId;
  base::DataCentreId mDataCentre;
  Endpoint mEndpoint;
  /** Requests that it runs at once. */
  base::SlotCount mSlots;
  /** Connections that it accepts from all hosts together. */
  base::ConnectionCount mConnections;
  /** Where its file defines it; not part of a snapshot. */
  base::Place mPlace;
};

} // namespace auburnmux::config
