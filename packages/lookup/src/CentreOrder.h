#pragma once

#include "lookup/src/CentreRanking.h"

#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/**
 * Orders the data centres for each bucket by rendezvous hashing, weighted by
 * their number of hosts. The load of a failed data centre therefore spreads
 * over the others in proportion to their size.
 */
class CentreOrder
{
public:
  /** Computes the order of all buckets; skips data centres without hosts. */
  void Rebuild(const std::vector<CentreRanking>& aCentres);

  /** \returns the number of data centres with hosts. */
  std::size_t Size() const { return mSize; }
  /**
   * \returns the index of the data centre at \a aRank for the bucket.
   * \pre aRank < Size()
   */
  std::uint8_t At(std::uint32_t aBucket, std::size_t aRank) const
  {
    return mOrder[(aBucket * mSize) + aRank];
  }

private:
  std::size_t mSize = 0;
  std::vector<std::uint8_t> mOrder;
};

} // namespace auburnmux::lookup
