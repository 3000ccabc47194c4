#include "limits/src/SlotShare.h"

#include <algorithm>

namespace auburnmux::limits {

using base::ConnectionCount;
using base::HostId;
using base::SlotCount;
using base::UpstreamId;

namespace {

/** A host's rank in the rendezvous order of all hosts. */
struct HostRank
{
  std::uint32_t mHostCount = 0;
  std::uint32_t mRank = 0;
};

std::uint64_t Score(const HostId& aHost, std::uint64_t aUpstreamHash)
{
  return base::CombineHash(base::Hash64(aHost.Text()), aUpstreamHash);
}

/** \returns the number of hosts and the rank of \a aSelf among them in
 * rendezvous order. */
HostRank FindHostRank(const UpstreamId& aUpstream, const HostId& aSelf,
                      const std::vector<HostId>& aHosts)
{
  const std::uint64_t hash = base::Hash64(aUpstream.Text());
  const std::uint64_t own = Score(aSelf, hash);
  HostRank hostRank;
  hostRank.mHostCount = 1;
  for (const HostId& it : aHosts) {
    if (it == aSelf) {
      continue;
    }
    ++hostRank.mHostCount;
    const std::uint64_t other = Score(it, hash);
    if (other > own || (other == own && it < aSelf)) {
      ++hostRank.mRank;
    }
  }
  return hostRank;
}

std::uint32_t Divide(std::uint32_t aTotal, HostRank aHostRank)
{
  const bool extra = aHostRank.mRank < aTotal % aHostRank.mHostCount;
  return aTotal / aHostRank.mHostCount + (extra ? 1 : 0);
}

} // namespace

SlotCount SlotShare::Slots(const UpstreamId& aUpstream, SlotCount aSlots,
                           const HostId& aSelf,
                           const std::vector<HostId>& aLive, ShareFloor aFloor)
{
  const std::uint32_t share =
    Divide(aSlots.Count(), FindHostRank(aUpstream, aSelf, aLive));
  const bool raise = aFloor == ShareFloor::One && aSlots.Count() > 0;
  return SlotCount(raise ? std::max(share, 1U) : share);
}

ConnectionCount SlotShare::Connections(const UpstreamId& aUpstream,
                                       ConnectionCount aConnections,
                                       const HostId& aSelf,
                                       const std::vector<HostId>& aAll)
{
  // A host that is not listed gets none, because its share would exceed the
  // total.
  if (std::find(aAll.begin(), aAll.end(), aSelf) == aAll.end()) {
    return ConnectionCount(0);
  }
  return ConnectionCount(
    Divide(aConnections.Count(), FindHostRank(aUpstream, aSelf, aAll)));
}

} // namespace auburnmux::limits
