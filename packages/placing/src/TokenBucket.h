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
  /** Changes the rate and the burst from now on. */
  void Configure(base::TimePoint aNow, double aRate, double aBurst)
  {
    mTokens = std::min(TokensAt(aNow), aBurst);
    mUpdatedAt = aNow;
    mRate = aRate;
    mBurst = aBurst;
  }
  /** Sets the number of tokens. */
  void SetTokens(base::TimePoint aNow, double aTokens)
  {
    mTokens = aTokens;
    mUpdatedAt = aNow;
  }
  /** Removes all tokens. */
  void Clear(base::TimePoint aNow) { SetTokens(aNow, 0); }

  /** \returns the time until \a aCount events are allowed. \pre the rate is
   * above 0 */
  base::Duration TimeUntil(base::TimePoint aNow, double aCount) const
  {
    const double missing = std::max(0.0, aCount - TokensAt(aNow));
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(missing / mRate));
  }

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
