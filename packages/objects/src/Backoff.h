#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::objects {

/**
 * Exponential backoff with full jitter: the n-th delay is random between 0
 * and base * 2^n, at most the cap, so that hosts that failed together don't
 * retry together.
 */
class Backoff
{
public:
  /** \pre 0 < aBase <= aCap */
  Backoff(base::Duration aBase, base::Duration aCap);

  /** \returns the delay before the next attempt. */
  base::Duration Next(base::Random& aRandom);
  /** Starts again from the base, after a success. */
  void Reset() { mFailures = 0; }
  std::uint32_t Failures() const { return mFailures; }

private:
  base::Duration mBase;
  base::Duration mCap;
  std::uint32_t mFailures = 0;
};

} // namespace auburnmux::objects
