#pragma once

#include "membership/src/HostTable.h"

#include <vector>

namespace auburnmux::membership {

/**
 * Hosts whose state is still to be piggybacked, each a number of times that
 * grows with the logarithm of the fleet size.
 */
class UpdateQueue
{
public:
  /** Starts to send the state of \a aId (anew). */
  void Add(const base::HostId& aId, std::size_t aFleetSize);
  /** Moves up to \a aMost hosts' states into \a aOut, least sent first. */
  void Take(const HostTable& aTable, std::size_t aMost,
            std::vector<HostUpdate>& aOut);
  bool IsEmpty() const { return mEntries.empty(); }

  /** \returns how often an update is sent in a fleet of \a aFleetSize. */
  static std::size_t Transmissions(std::size_t aFleetSize);

private:
  struct Entry
  {
    base::HostId mId;
    std::size_t mRemaining = 0;
  };

  std::vector<Entry> mEntries;
};

} // namespace auburnmux::membership
