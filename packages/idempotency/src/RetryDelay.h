#pragma once

#include <algorithm>
#include <chrono>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Exponential backoff with full jitter between retries of a platform call. */
class RetryDelay
{
public:
  static constexpr base::Duration kInitialBound =
    std::chrono::milliseconds(100);
  static constexpr base::Duration kMaxBound = std::chrono::seconds(2);

  /** \returns a random delay in (0, bound]. The bound doubles with each call,
   * up to kMaxBound. */
  base::Duration Next(base::Random& aRandom)
  {
    const auto bound = static_cast<std::uint64_t>(mBound.count());
    mBound = std::min(mBound * 2, kMaxBound);
    return base::Duration(
      static_cast<base::Duration::rep>(1 + aRandom.Below(bound)));
  }

  void Reset() { mBound = kInitialBound; }

private:
  base::Duration mBound = kInitialBound;
};

} // namespace auburnmux::idempotency
