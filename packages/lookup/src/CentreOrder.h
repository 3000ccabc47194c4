#pragma once

#include "lookup/src/CentreRanking.h"

#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/**
 * Order of the data centres for each bucket, in rendezvous order weighted by
 * their hosts, so that the work of a lost data centre spreads over the others
 * in proportion to their size.
 */
class CentreOrder
{
public:
  /** Data centres without hosts are left out. */
  void Rebuild(const std::vector<CentreRanking>& aCentres);

  /** \returns how many data centres have hosts. */
  std::size_t Size() const { return mSize; }
  /** \returns the index of the data centre at \a aPlace for the bucket. */
  std::uint8_t At(std::uint32_t aBucket, std::size_t aPlace) const
  {
    return mOrder[(aBucket * mSize) + aPlace];
  }

private:
  std::size_t mSize = 0;
  std::vector<std::uint8_t> mOrder;
};

} // namespace auburnmux::lookup
