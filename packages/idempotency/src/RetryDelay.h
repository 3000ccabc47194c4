#pragma once

#include <algorithm>
#include <chrono>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Doubling delay with full jitter between retries of a platform call. */
class RetryDelay
{
public:
  static constexpr base::Duration kFirst = std::chrono::milliseconds(100);
  static constexpr base::Duration kLongest = std::chrono::seconds(2);

  /** \returns a delay in (0, bound]; the bound doubles with each call. */
  base::Duration Next(base::Random& aRandom)
  {
    const auto bound = static_cast<std::uint64_t>(mBound.count());
    mBound = std::min(mBound * 2, kLongest);
    return base::Duration(
      static_cast<base::Duration::rep>(1 + aRandom.Below(bound)));
  }

  void Reset() { mBound = kFirst; }

private:
  base::Duration mBound = kFirst;
};

} // namespace auburnmux::idempotency
