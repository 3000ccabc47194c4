#pragma once

#include "base/Base.h"

#include <cstddef>
#include <optional>

namespace auburnmux::placing {

/** What there is to serve a service's requests. */
struct Supply
{
  /** Slots of this host's region that may be used. */
  double mRegionSlots = 0;
  /** Slots of all regions that may be used. */
  double mAllSlots = 0;
  /** Live hosts of this host's data centre, this one included. */
  std::size_t mCentreHosts = 1;
  /** Data centres of this host's region. */
  std::size_t mRegionCentres = 1;
  std::size_t mRegions = 1;
};

/**
 * Which share of a region's objects has its home in the region itself. The
 * load it answers is a region whose clients ask for more than its upstreams
 * can serve: if every object had its home there, objects would drive each
 * other out of the upstreams' memory, and the same object would be worked on
 * cold here and elsewhere by turns. So a fixed part of the objects, which all
 * hosts of the region agree on, has its homes in other regions.
 *
 * Hosts exchange nothing: each takes its own requests for those of any host of
 * its data centre, and its data centre for any other one of the region.
 */
class HomeShare
{
public:
  /** Takes a request. \param aWork time that it occupies a slot */
  void OnRequest(base::TimePoint aNow, base::Duration aWork);
  /** Moves the share towards what supply and demand ask for.
   * \param aIsFree whether it may move fast, as the upstreams changed */
  void Update(base::TimePoint aNow, const Supply& aSupply, bool aIsFree);
  /** \returns the share, 0 to 1. */
  double Share() const { return mShare; }

private:
  /** \returns the share that would load all regions alike. */
  double Wanted(base::TimePoint aNow, const Supply& aSupply) const;

  /** Slots that this host's own requests occupy; fades over seconds. */
  double mDemand = 0;
  base::TimePoint mDemandAt;
  /** Unset until the first request. */
  std::optional<base::TimePoint> mStart;
  std::optional<base::TimePoint> mUpdated;
  double mShare = 1;
};

} // namespace auburnmux::placing
