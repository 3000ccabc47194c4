#pragma once

#include "membership/src/HostTable.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace auburnmux::membership {

/**
 * Consistent-hash ring of the hosts that aren't dead. The observers of a host
 * are the next host of its data centre, the next of its region outside the data
 * centre, and the next two outside the region, in different regions where
 * possible. Observers still missing are taken in ring order, first from the
 * data centre, then from the region, then from all hosts. So two observers
 * remain when the data centre or the region fails.
 */
class ObserverRing
{
public:
  /** Rebuilds the ring from \a aTable, for the host \a aSelf. */
  void Rebuild(const HostTable& aTable, const base::HostId& aSelf);

  std::vector<base::HostId> ObserversOf(const base::HostId& aId) const;
  /** \returns the hosts that this host observes. */
  const std::vector<base::HostId>& Subjects() const { return mSubjects; }
  /** \returns the hosts that observe this host. */
  const std::vector<base::HostId>& Observers() const { return mObservers; }
  /**
   * \returns the hosts to which this host forwards gossip: those at distances
   * j * 4^i (j = 1..3) on the ring, so that any host is reached in log4(n)
   * hops and a host keeps 3 * log4(n) connections. In a small fleet these are
   * all other hosts.
   */
  const std::vector<base::HostId>& GossipTargets() const { return mTargets; }

private:
  struct Member
  {
    std::uint64_t mPosition = 0;
    base::HostId mId;
    /** Index into `mCentreSizes`. */
    std::uint32_t mCentre = 0;
    /** Index into `mRegionSizes`. */
    std::uint32_t mRegion = 0;
  };
  using Positions = std::vector<std::size_t>;

  void CollectMembers(const HostTable& aTable);
  void FindTargets(std::size_t aSelf);
  Positions Observers(std::size_t aSubject) const;
  /** Adds further observers of \a aSubject, nearest tier first, up to
   * `kObserversPerHost`. */
  void AddNearest(std::size_t aSubject, Positions& aChosen) const;

  std::vector<Member> mMembers;
  std::unordered_map<base::HostId, std::size_t> mIndex;
  std::vector<std::size_t> mCentreSizes;
  std::vector<std::size_t> mRegionSizes;
  std::vector<base::HostId> mSubjects;
  std::vector<base::HostId> mObservers;
  std::vector<base::HostId> mTargets;
};

} // namespace auburnmux::membership
