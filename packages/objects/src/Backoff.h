#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::objects {

/**
 * Exponential backoff with full jitter. After n failures the next delay is
 * random between 0 and base * 2^n, limited to the cap, so that hosts that
 * failed at the same time don't retry at the same time.
 */
class Backoff
{
public:
  /** \pre 0 < aBase <= aCap */
  Backoff(base::Duration aBase, base::Duration aCap);

  /** Counts a failure. \returns the delay before the next attempt. */
  base::Duration Next(base::Random& aRandom);
  /** Restarts from the base delay. Call it after a success. */
  void Reset() { mFailures = 0; }
  std::uint32_t Failures() const { return mFailures; }

private:
  base::Duration mBase;
  base::Duration mCap;
  std::uint32_t mFailures = 0;
};

} // namespace auburnmux::objects
