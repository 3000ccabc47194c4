#pragma once

#include "base/Base.h"

#include <algorithm>

namespace auburnmux::placing {

/** Allows \a aRate events a second and \a aBurst at once. */
class TokenBucket
{
public:
  TokenBucket(double aRate, double aBurst)
    : mRate(aRate)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  void SetRate(double aRate) { mRate = aRate; }

  bool CanTake(base::TimePoint aNow) const { return Level(aNow) >= 1; }
  /** \pre CanTake() */
  void Take(base::TimePoint aNow)
  {
    mTokens = Level(aNow) - 1;
    mSince = aNow;
  }

private:
  double Level(base::TimePoint aNow) const
  {
    const std::chrono::duration<double> age = aNow - mSince;
    return std::min(mBurst, mTokens + age.count() * mRate);
  }

  double mRate;
  double mBurst;
  double mTokens;
  base::TimePoint mSince;
};

} // namespace auburnmux::placing
