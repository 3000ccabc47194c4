#include "idempotency/src/HolderTable.h"

#include <cassert>

namespace auburnmux::idempotency {

HolderSlot HolderTable::Acquire(const base::HostId& aHost,
                                base::Incarnation aIncarnation)
{
  // A linear search suffices: the rows are the host incarnations of one
  // retention window, which are few, and free rows are reused.
  std::size_t free = mRows.size();
  for (std::size_t it = 0; it < mRows.size(); ++it) {
    Row& row = mRows[it];
    if (row.mReferenceCount == 0) {
      free = it;
    } else if (row.mIncarnation == aIncarnation && row.mHost == aHost) {
      ++row.mReferenceCount;
      return HolderSlot(static_cast<std::uint32_t>(it));
    }
  }
  if (free == mRows.size()) {
    mRows.emplace_back();
  }
  mRows[free] = Row{ aHost, aIncarnation, 1 };
  return HolderSlot(static_cast<std::uint32_t>(free));
}

void HolderTable::Release(HolderSlot aSlot)
{
  assert(mRows[aSlot.Count()].mReferenceCount > 0);
  --mRows[aSlot.Count()].mReferenceCount;
}

const base::HostId& HolderTable::Host(HolderSlot aSlot) const
{
  return mRows[aSlot.Count()].mHost;
}

base::Incarnation HolderTable::IncarnationOf(HolderSlot aSlot) const
{
  return mRows[aSlot.Count()].mIncarnation;
}

} // namespace auburnmux::idempotency
