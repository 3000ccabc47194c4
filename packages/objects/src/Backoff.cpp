#include "objects/src/Backoff.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::objects {

Backoff::Backoff(base::Duration aBase, base::Duration aCap)
  : mBase(aBase)
  , mCap(aCap)
{
  assert(aBase > base::Duration::zero() && aBase <= aCap);
}

base::Duration Backoff::Next(base::Random& aRandom)
{
  base::Duration bound = mBase;
  for (std::uint32_t it = 0; it < mFailures && bound < mCap; ++it) {
    bound = bound > mCap / 2 ? mCap : bound * 2;
  }
  ++mFailures;
  const auto range = static_cast<std::uint64_t>(bound.count()) + 1;
  return base::Duration(static_cast<base::Duration::rep>(aRandom.Below(range)));
}

} // namespace auburnmux::objects
