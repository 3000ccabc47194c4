#pragma once

#include "standins/src/UpstreamSettings.h"

namespace auburnmux::standins {

/** Draws service times: lognormal, with stragglers and a cold start. */
class ServiceTime
{
public:
  explicit ServiceTime(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /** \returns the time of one request that starts \a aAge after the start. */
  base::Duration Draw(const UpstreamSettings& aSettings, base::Duration aAge);
  /** \returns the expected time, without stragglers. */
  static base::Duration Expect(const UpstreamSettings& aSettings,
                               base::Duration aAge);
  /** \returns true with probability \a aFraction. */
  bool Happens(double aFraction) { return mRandom.Fraction() < aFraction; }

private:
  base::Random mRandom;
};

} // namespace auburnmux::standins
