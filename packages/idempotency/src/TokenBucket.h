#pragma once

#include <algorithm>
#include <chrono>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Limits calls to a sustained rate with a burst. */
class TokenBucket
{
public:
  /** \pre aPerSecond > 0 and aBurst > 0 */
  TokenBucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /** Takes a token if there is one. \returns whether a call may be made now. */
  bool Take(base::TimePoint aNow)
  {
    Refill(aNow);
    if (mTokens < 1.0) {
      return false;
    }
    mTokens -= 1.0;
    return true;
  }

private:
  void Refill(base::TimePoint aNow)
  {
    if (aNow > mRefilledAt) {
      const std::chrono::duration<double> passed = aNow - mRefilledAt;
      mTokens = std::min(mBurst, mTokens + passed.count() * mPerSecond);
      mRefilledAt = aNow;
    }
  }

  double mPerSecond;
  double mBurst;
  double mTokens;
  base::TimePoint mRefilledAt{};
};

} // namespace auburnmux::idempotency
