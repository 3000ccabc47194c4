#pragma once

#include "base/Base.h"

#include <cstddef>
#include <optional>

namespace auburnmux::placing {

/** Capacity that can serve a service's requests. */
struct ServiceCapacity
{
  /** Usable slots in this host's region. */
  double mRegionSlots = 0;
  /** Usable slots in all regions. */
  double mAllSlots = 0;
  /** Live hosts in this host's data centre, including this one. */
  std::size_t mCentreHosts = 1;
  /** Data centres in this host's region. */
  std::size_t mRegionCentres = 1;
  std::size_t mRegions = 1;
};

/**
 * Computes the share of a region's objects whose home is in that region. It
 * matters when a region's clients send more requests than its upstreams can
 * serve. If every object had its home in the region, objects would evict each
 * other from the upstreams' memory, and the same object would be processed
 * cold, alternately in this region and in others. Therefore a fixed part of
 * the objects, the same for all hosts of the region, has its home in other
 * regions.
 *
 * Hosts exchange no data for this. Each host assumes that every host of its
 * data centre receives as many requests as itself, and that every data centre
 * of its region receives as many as its own.
 */
class LocalHomeShare
{
public:
  /** Records a request. \param aWork time for which it occupies a slot */
  void OnRequest(base::TimePoint aNow, base::Duration aWork);
  /** Moves the share towards its target for the capacity and the demand.
   * \param aIsShiftLimitLifted whether the share may change faster because the
   * upstreams changed */
  void Update(base::TimePoint aNow, const ServiceCapacity& aCapacity,
              bool aIsShiftLimitLifted);
  /** \returns the share, 0 to 1. */
  double Share() const { return mShare; }

private:
  /** \returns 1 if the region's slots can hold the demand at the target
   * utilization, or at the utilization of all regions if that is higher;
   * otherwise the share of the demand that they can hold. */
  double TargetShare(base::TimePoint aNow,
                     const ServiceCapacity& aCapacity) const;

  /** Exponentially decaying mean of the slots that this host's own requests
   * occupy. */
  double mDemand = 0;
  base::TimePoint mDemandUpdatedAt;
  /** Unset until the first request. */
  std::optional<base::TimePoint> mFirstRequestAt;
  std::optional<base::TimePoint> mUpdatedAt;
  double mShare = 1;
};

} // namespace auburnmux::placing
