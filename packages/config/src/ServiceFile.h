#pragma once

#include "base/Base.h"
#include "config/src/ParseReport.h"
#include "config/src/Route.h"
#include "config/src/Upstream.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::config {

/** A fraction from 0 to 1 of slots or traffic. */
using Share = base::Quantity<struct ShareTag, double>;
using MegabitsPerSecond =
  base::Quantity<struct MegabitsPerSecondTag, std::uint64_t>;

/** The cap on a service's work that enters a data centre from others. */
struct SpillCap
{
  /** Of the slots that the receiving data centre has for the service. */
  Share mMaxShare;
  /** Concurrent requests by which the share may grow each second. */
  base::SlotCount mRampPerSecond{ 4 };
  /** Assumed load of one concurrent request on a link, each way. */
  MegabitsPerSecond mLinkPerSlot{ 1 };
};

/** One service.json; docs/settings.md lists keys and bounds. */
struct ServiceFile
{
  base::ServiceId mService;
  std::string mOwner;
  std::vector<Upstream> mUpstreams;
  std::vector<Route> mRoutes;
  SpillCap mSpill;
  /** Upstreams that get no new work. */
  std::vector<base::UpstreamId> mLeaving;
  std::chrono::seconds mSlowStart{ 10 };
  /** After this silence of a request in flight its connection is retired. */
  std::chrono::milliseconds mStall{ 2'000 };
  /** Where its file defines it; not part of a snapshot. */
  base::Place mPlace;
  /** Where its file lists the leaving upstreams; not part of a snapshot. */
  base::Place mLeavingPlace;

  bool IsLeaving(const base::UpstreamId& aUpstream) const;
  /** \returns the upstream, or null. */
  const Upstream* FindUpstream(const base::UpstreamId& aUpstream) const;
  /** \returns the route with the longest matching path, or null. */
  const Route* FindRoute(HttpMethod aMethod, std::string_view aPath) const;
  /** \returns the slots of the data centre's upstreams, leaving ones too. */
  base::SlotCount SlotsIn(const base::DataCentreId& aDataCentre) const;
};

/**
 * Parses a service file.
 * \returns the service; it is usable only when \a aReport is good.
 */
ServiceFile ParseServiceFile(std::string_view aText, const std::string& aFile,
                             ParseReport& aReport);

} // namespace auburnmux::config
