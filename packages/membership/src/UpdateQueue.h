#pragma once

#include "membership/src/HostTable.h"

#include <map>
#include <set>
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
  bool IsEmpty() const { return mOrder.empty(); }

  /** \returns how often an update is sent in a fleet of \a aFleetSize. */
  static std::size_t Transmissions(std::size_t aFleetSize);

private:
  struct Entry
  {
    std::size_t mRemaining = 0;
    base::HostId mId;

    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return aLeft.mRemaining != aRight.mRemaining
               ? aLeft.mRemaining > aRight.mRemaining
               : aLeft.mId < aRight.mId;
    }
  };

  std::map<base::HostId, std::size_t> mRemaining;
  /** The same entries, least sent first. */
  std::set<Entry> mOrder;
};

} // namespace auburnmux::membership
