#pragma once

#include "membership/src/HostTable.h"

#include <map>
#include <set>
#include <vector>

namespace auburnmux::membership {

/**
 * Queue of hosts whose state is piggybacked on messages. Each is sent a number
 * of times that grows with the logarithm of the fleet size.
 */
class UpdateQueue
{
public:
  /** Queues the state of \a aId, or restarts its transmissions. */
  void Add(const base::HostId& aId, std::size_t aFleetSize);
  /** Takes up to \a aMaxCount hosts, least sent first, and appends their states
   * to \a aOut. Skips hosts that are unknown or suspected only by this host. */
  void Take(const HostTable& aTable, std::size_t aMaxCount,
            std::vector<HostUpdate>& aOut);
  bool IsEmpty() const { return mOrder.empty(); }

  /** \returns how often an update is sent in a fleet of \a aFleetSize hosts. */
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

  /** Remaining transmissions of each host. */
  std::map<base::HostId, std::size_t> mRemaining;
  /** The same entries, least sent first. */
  std::set<Entry> mOrder;
};

} // namespace auburnmux::membership
