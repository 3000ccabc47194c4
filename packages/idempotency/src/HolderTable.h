#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Number of a host's incarnation in a HolderTable. */
using HolderSlot = base::Quantity<struct HolderSlotTag, std::uint32_t>;

/**
 * Keeps each (host, incarnation) once, so that an index entry holds four bytes
 * in place of a host id. Slots are counted and used again when free.
 */
class HolderTable
{
public:
  /** \returns the slot of the incarnation, with its count raised. */
  HolderSlot Acquire(const base::HostId& aHost, base::Incarnation aIncarnation);
  void Release(HolderSlot aSlot);

  /** \pre the slot is in use */
  const base::HostId& Host(HolderSlot aSlot) const;
  base::Incarnation IncarnationOf(HolderSlot aSlot) const;

private:
  struct Row
  {
    base::HostId mHost;
    base::Incarnation mIncarnation;
    std::size_t mUses = 0;
  };

  std::vector<Row> mRows;
};

} // namespace auburnmux::idempotency
