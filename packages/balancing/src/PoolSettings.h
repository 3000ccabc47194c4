#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::balancing {

/** Parameters of one service's pool; docs/balancing.md gives measurements. */
struct PoolSettings
{
  /** Time constant with which a latency peak fades. */
  base::Duration mLatencyDecay = std::chrono::seconds(1);
  /** Cost of an upstream without samples is computed from this latency. */
  base::Duration mInitialLatency = std::chrono::milliseconds(10);
  /** Time in which a cold upstream grows to its whole share. */
  base::Duration mSlowStart = std::chrono::seconds(10);
  /** Consecutive failures that eject an upstream. */
  std::uint32_t mEjectFailures = 3;
  /** Multiple of the others' median latency that ejects an upstream. */
  double mEjectLatencyRatio = 5;
  /** Consecutive samples above the ratio that eject an upstream. */
  std::uint32_t mEjectSlowSamples = 3;
  /** Time from an ejection to its first probe; doubles with each failure. */
  base::Duration mFirstProbe = std::chrono::seconds(1);
  base::Duration mLongestProbe = std::chrono::seconds(15);
  /** Age from which a report that the upstream is ready again ends a leaving
   * state that the upstream itself announced. Health endpoints lag. */
  base::Duration mReturnDelay = std::chrono::seconds(30);
};

} // namespace auburnmux::balancing
