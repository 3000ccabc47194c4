#pragma once

#include "membership/Membership.h"

#include <set>
#include <vector>

namespace auburnmux::cluster {

/**
 * Selects the hosts to which this host repeats its earlier reports: those that
 * have started, or are in reach again. A joined host is sent them by each host
 * of its data centre, and by one host of each other one.
 */
class JoinedHosts
{
public:
  explicit JoinedHosts(membership::HostIdentity aSelf);

  /** \returns the hosts to inform that were not live in the last call.
   * \param aLive the live hosts, this one included */
  std::vector<membership::HostIdentity> OnView(
    const std::vector<membership::HostView>& aLive);

private:
  bool IsInformedHere(const membership::HostIdentity& aJoined,
                      const std::vector<membership::HostView>& aLive) const;

  membership::HostIdentity mSelf;
  std::set<base::HostId> mKnown;
};

} // namespace auburnmux::cluster
