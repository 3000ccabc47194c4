#pragma once

#include "base/Base.h"

namespace auburnmux::placing {

/** Constants of the placement. Costs are expressed as additional delay of a
 * request. */
struct PlacingSettings
{
  /** Round-trip times that are assumed until one is measured. */
  base::Duration mSameCentreRoundTrip = std::chrono::milliseconds(1);
  base::Duration mSameRegionRoundTrip = std::chrono::milliseconds(4);
  base::Duration mOtherRegionRoundTrip = std::chrono::milliseconds(60);

  /**
   * Delay that a transfer of one kilobyte to another data centre or region has
   * to save to be worth its cost.
   */
  base::Duration mCentreTransferPerKilobyte = std::chrono::microseconds(1000);
  base::Duration mRegionTransferPerKilobyte = std::chrono::microseconds(3000);

  /** Time constant of the decay of a slowness report. Load bursts of other
   * processes on the upstream's machine last some tenths of a second. */
  base::Duration mSlownessDecayTime = std::chrono::milliseconds(150);
  /** Maximum time constant of the decay of the reported requests of other
   * hosts. Otherwise it is the mean work time, in which they end. */
  base::Duration mReportDecayTime = std::chrono::seconds(2);

  /** Maximum age of a report that is used to decide whether an upstream has
   * room. */
  base::Duration mMaxReportAge = std::chrono::milliseconds(700);
  /** Maximum queue length at an upstream, as a share of its slots. */
  double mQueueShare = 0.25;

  /**
   * Penalty for sending a request to an upstream without affinity for the
   * object, as a multiple of the latency target. Such a request evicts another
   * object from that upstream's memory.
   */
  double mNoAffinityTargets = 1;
  /** Penalty for the object's homes other than the first, as a multiple of the
   * latency target. They are warmed only when the first home is full. */
  double mOtherHomeTargets = 0.3;

  /**
   * Load, in requests per slot, above which the affinity penalties increase,
   * and their relative increase for each further request per slot. Cold work
   * occupies as many slots as several warm requests, and evicts an object that
   * will be requested again.
   */
  double mPenaltyLoadThreshold = 0.8;
  double mPenaltyLoadFactor = 6;

  /** Penalty for retrying a straggling request at the same upstream, as a
   * multiple of the latency target. It is smaller than the additional work time
   * at an upstream without the object, and larger than that at an upstream that
   * has it in memory. */
  double mStragglerTargets = 0.5;

  /** Penalty for an upstream where every request fails, as a multiple of the
   * latency target; scaled by the failure share. A failed request is retried or
   * lost. */
  double mFailureTargets = 4;

  /** Pause after a failed connection, and its maximum; the pause doubles with
   * each further failure. */
  base::Duration mInitialPause = std::chrono::milliseconds(500);
  base::Duration mMaxPause = std::chrono::seconds(4);

  /** Maximum share of a region's requests that may move to another region from
   * one window of 2 s to the next. */
  double mMaxShift = 0.15;

  /** Most bytes of request bodies that one host has in flight to an upstream,
   * unless it is a single request. */
  base::ByteCount mMaxBodyInFlight{ std::uint64_t{ 4 } << 20U };

  /** Share of an upstream's cold rate that all hosts together use. */
  double mColdShare = 0.9;
};

} // namespace auburnmux::placing
