#pragma once

#include "membership/src/Membership.h"

#include <map>
#include <vector>

namespace auburnmux::membership {

/**
 * Counts the hosts among which a shared limit, such as a budget, is divided. A
 * silent host may only be partitioned and still be using its share, so it
 * counts for some minutes more. A host that announced its stop, or whose
 * address another process has taken, doesn't count.
 */
class ActiveHostCounter
{
public:
  /** Updates the count from the view of this host. */
  void OnView(base::TimePoint aNow, const std::vector<HostView>& aView);
  /** \returns the number of hosts that may be using their share, at least 1. */
  std::size_t Count(base::TimePoint aNow) const;
  /** \returns the hosts that may be using their share. */
  std::vector<HostIdentity> Hosts(base::TimePoint aNow) const;

private:
  struct CountedHost
  {
    HostIdentity mHost;
    bool mIsLive = true;
    base::TimePoint mSilentSince;
  };

  std::map<PeerAddress, CountedHost> mCountedHosts;
};

} // namespace auburnmux::membership
