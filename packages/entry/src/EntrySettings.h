#pragma once

#include "base/Base.h"
#include "carriage/Carriage.h"
#include "http/Http.h"
#include "membership/Membership.h"
#include "placing/Placing.h"

#include <map>
#include <vector>

namespace auburnmux::entry {

/** What an entry host that takes its state from a store has to know. */
struct EntrySettings
{
  /** Unique for each start of a process, so that no clock has to order them. */
  base::HostId mHost;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  /** The region of each data centre. */
  std::map<base::DataCentreId, base::RegionId> mRegions;
  /** What this host can carry. */
  membership::HostCapacity mCapacity;
  /** Where clients send their requests. */
  http::Endpoint mFront;
  /** Where peers send their messages. */
  http::Endpoint mPeer;
  /** Hosts to ask first about the others. */
  std::vector<http::Endpoint> mSeeds;

  /** Time from the signal to stop until the process is killed. */
  base::Duration mStopGrace = std::chrono::seconds(6);
  /** How long clients may keep the answer to a look-up. */
  base::Duration mLookupLifetime = std::chrono::seconds(2);
  /** Repeats that all hosts may send to a service. */
  carriage::WindowedRetryBudgetSettings mRepeats;
  placing::PlacingSettings mPlacing;
};

} // namespace auburnmux::entry
