#pragma once

#include <cassert>
#include <cstdint>

#include "base/Base.h"
#include "idempotency/src/IdempotencyKey.h"

namespace auburnmux::idempotency {

/** Index of a partition of the keys, counted from 0. */
using PartitionNumber =
  base::Quantity<struct PartitionNumberTag, std::uint32_t>;
using PartitionCount = base::Quantity<struct PartitionCountTag, std::uint32_t>;

/** Default number of partitions. All hosts must use the same number. */
constexpr PartitionCount kDefaultPartitions{ 16 };

/** \returns the partition of \a aKey. \pre aCount > 0 */
inline PartitionNumber PartitionOf(const IdempotencyKey& aKey,
                                   PartitionCount aCount = kDefaultPartitions)
{
  assert(aCount.Count() > 0);
  const auto hash = base::Hash64(aKey.Bytes());
  return PartitionNumber(static_cast<std::uint32_t>(hash % aCount.Count()));
}

} // namespace auburnmux::idempotency
