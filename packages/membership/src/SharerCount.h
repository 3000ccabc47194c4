#pragma once

#include "membership/src/Membership.h"

#include <map>

namespace auburnmux::membership {

/**
 * Counts the hosts that may be using a bound that all hosts share, such as a
 * budget. A host that falls silent may only be cut off and still use its part,
 * so it counts for some minutes more; one that announced its stop, or whose
 * address another process has taken, doesn't.
 */
class SharerCount
{
public:
  /** Takes the view of this host. */
  void OnView(base::TimePoint aNow, const std::vector<HostView>& aView);
  /** \returns the hosts that may use their part, this one included. */
  std::size_t Count(base::TimePoint aNow) const;

private:
  struct Sharer
  {
    base::HostId mHost;
    bool mIsLive = true;
    base::TimePoint mSilentSince;
  };

  std::map<PeerAddress, Sharer> mSharers;
};

} // namespace auburnmux::membership
