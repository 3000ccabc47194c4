#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::balancing {

/** Parameters of the pool of one service. See docs/balancing.md for
 * measurements. */
struct PoolSettings
{
  /** Time constant with which a latency peak decays. */
  base::Duration mLatencyDecay = std::chrono::seconds(1);
  /** Latency assumed for an upstream while the pool has no samples. */
  base::Duration mInitialLatency = std::chrono::milliseconds(10);
  /** Duration of slow start, after which an upstream has all its slots. */
  base::Duration mSlowStart = std::chrono::seconds(10);
  /** Number of consecutive failures that ejects an upstream. */
  std::uint32_t mEjectFailures = 3;
  /** Multiple of the others' median latency that ejects an upstream. */
  double mEjectLatencyRatio = 5;
  /** Number of consecutive samples above the ratio that ejects an upstream. */
  std::uint32_t mEjectSlowSamples = 3;
  /** Delay from ejection to the first probe; doubles after each failed one. */
  base::Duration mFirstProbeDelay = std::chrono::seconds(1);
  base::Duration mMaxProbeDelay = std::chrono::seconds(15);
  /** Minimum time in the leaving state after an upstream announced it. Earlier
   * ready reports are ignored, because health endpoints lag. */
  base::Duration mMinLeavingTime = std::chrono::seconds(30);
};

} // namespace auburnmux::balancing
