#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Index of a host's incarnation in a HolderTable. */
using HolderSlot = base::Quantity<struct HolderSlotTag, std::uint32_t>;

/**
 * Stores each (host, incarnation) pair once, so that an index entry needs four
 * bytes instead of a host id. Slots are reference-counted and reused when free.
 */
class HolderTable
{
public:
  /** Adds a reference to the incarnation. \returns its slot. */
  HolderSlot Acquire(const base::HostId& aHost, base::Incarnation aIncarnation);
  void Release(HolderSlot aSlot);

  /** \pre \a aSlot is in use */
  const base::HostId& Host(HolderSlot aSlot) const;
  base::Incarnation IncarnationOf(HolderSlot aSlot) const;

private:
  struct Row
  {
    base::HostId mHost;
    base::Incarnation mIncarnation;
    std::size_t mReferenceCount = 0;
  };

  std::vector<Row> mRows;
};

} // namespace auburnmux::idempotency
