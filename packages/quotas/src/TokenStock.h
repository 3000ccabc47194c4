#pragma once

#include "base/Base.h"

#include <cstdint>
#include <deque>

namespace auburnmux::quotas {

/** Tokens of a customer that a host holds. */
class TokenStock
{
public:
  void Add(base::TimePoint aExpiry, std::uint32_t aCount);
  /** \returns the number of tokens that are valid. */
  std::uint32_t Count(base::TimePoint aNow);
  /** Takes the \a aCount tokens that expire first. \returns when the first of
   * them does. \pre 0 < \a aCount <= Count(aNow) */
  base::TimePoint Take(std::uint32_t aCount);

private:
  struct Lot
  {
    base::TimePoint mExpiry;
    std::uint32_t mCount = 0;
  };

  /** In order of expiry. */
  std::deque<Lot> mLots;
  std::uint32_t mCount = 0;
};

} // namespace auburnmux::quotas
