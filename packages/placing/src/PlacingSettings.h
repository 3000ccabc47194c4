#pragma once

#include "base/Base.h"

namespace auburnmux::placing {

/** Constants of the placement. Times are what a request waits longer for. */
struct PlacingSettings
{
  /** Round trips before any was measured. */
  base::Duration mSameCentreTrip = std::chrono::milliseconds(1);
  base::Duration mSameRegionTrip = std::chrono::milliseconds(4);
  base::Duration mOtherRegionTrip = std::chrono::milliseconds(60);

  /**
   * Delay that one kilobyte between data centres, or regions, may save and
   * still be worth its transfer.
   */
  base::Duration mCentreKilobyte = std::chrono::microseconds(1000);
  base::Duration mRegionKilobyte = std::chrono::microseconds(3000);

  /** How fast a report of slow work on an upstream's machine goes stale;
   * neighbours' bursts last some tenths of a second. */
  base::Duration mSlownessLife = std::chrono::milliseconds(150);
  /** How fast a report of other hosts' requests goes stale. */
  base::Duration mReportLife = std::chrono::seconds(2);

  /** Age up to which a report tells whether there is room. */
  base::Duration mFreshReport = std::chrono::milliseconds(700);
  /** Requests that may queue at an upstream, as a share of its slots. */
  double mQueueShare = 0.25;

  /**
   * Delay that sending an object away from its homes counts for, as a multiple
   * of the latency target: it drives another object out of that upstream's
   * memory.
   */
  double mStrayTargets = 1;
  /** The same for an object's other homes, which are warmed only when the
   * first one is full. */
  double mSpareTargets = 0.3;

  /**
   * Load at which leaving a home gets dearer, in requests for each slot, and by
   * how much for each further one: a cold piece of work takes the slots of
   * several warm ones, and drives out an object that will be asked for again.
   */
  double mCalmLoad = 0.8;
  double mPressureFactor = 6;

  /** Delay that trying a straggling request at the same upstream counts for, as
   * a multiple of the latency target: less than the work is longer elsewhere
   * without the object, more than where it is at hand. */
  double mStragglingTargets = 0.5;

  /** Delay that a certain failure counts for, as a multiple of the latency
   * target: a failed request is repeated or lost. */
  double mFailureTargets = 4;

  /** Pause after a failed connection; doubles with each up to the longest. */
  base::Duration mFirstPause = std::chrono::milliseconds(500);
  base::Duration mLongestPause = std::chrono::seconds(4);

  /** Share of a region's requests that may change the region in which they run
   * from one window of 2 s to the next. */
  double mMaxShift = 0.15;

  /** Share of the cold rate that all hosts together use. */
  double mColdShare = 0.9;
};

} // namespace auburnmux::placing
