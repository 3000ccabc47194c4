#pragma once

#include "base/Base.h"

#include <algorithm>

namespace auburnmux::placing {

/** Token bucket that allows \a aRate events per second and bursts of \a aBurst.
 */
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

  bool CanTake(base::TimePoint aNow) const { return TokensAt(aNow) >= 1; }
  /** \pre CanTake() */
  void Take(base::TimePoint aNow)
  {
    mTokens = TokensAt(aNow) - 1;
    mUpdatedAt = aNow;
  }

private:
  double TokensAt(base::TimePoint aNow) const
  {
    const std::chrono::duration<double> age = aNow - mUpdatedAt;
    return std::min(mBurst, mTokens + age.count() * mRate);
  }

  double mRate;
  double mBurst;
  double mTokens;
  base::TimePoint mUpdatedAt;
};

} // namespace auburnmux::placing
